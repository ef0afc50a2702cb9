/** A value of a log line. */
export type Field = string | number | boolean | undefined;

/** The fields of a log line, in the order in which they appear. */
export type Fields = Readonly<Record<string, Field>>;

const needsQuotes = /[\s="\\]/v;

const formatValue = (value: Field): string => {
	const text = String(value);
	return text === '' || needsQuotes.test(text) ? JSON.stringify(text) : text;
};

/**
Formats an event as one line.

@param fields - The fields in the order in which they appear.
@returns Pairs of key=value, separated by spaces; undefined values are left out.
*/
export const formatLine = (fields: Fields): string =>
	Object.entries(fields)
		.filter(([, value]) => value !== undefined)
		.map(([key, value]) => `${key}=${formatValue(value)}`)
		.join(' ');
