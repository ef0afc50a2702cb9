/** The value of a log field; `undefined` omits the field. */
export type Field = string | number | boolean | undefined;

/** The fields of a log line, in output order. */
export type Fields = Readonly<Record<string, Field>>;

const needsQuotes = /[\s="\\]/v;

const formatValue = (value: Field): string => {
	const text = String(value);
	return text === '' || needsQuotes.test(text) ? JSON.stringify(text) : text;
};

/**
Formats an event as one line of logfmt.

@param fields - The fields, in output order.
@returns `key=value` pairs, separated by spaces, without the undefined values. Values that are empty or
contain whitespace, quotes, `=` or backslashes are JSON strings.
*/
export const formatLine = (fields: Fields): string =>
	Object.entries(fields)
		.filter(([, value]) => value !== undefined)
		.map(([key, value]) => `${key}=${formatValue(value)}`)
		.join(' ');
