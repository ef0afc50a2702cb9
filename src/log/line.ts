/** The value of a log field; `undefined` omits the field. */
export type Field = string | number | boolean | undefined;

/** The fields of a log line, in output order. */
export type Fields = Readonly<Record<string, Field>>;

const needsQuotes = /[\s="\\]/v;

const formatValue = (value: Exclude<Field, undefined>): string => {
	if (typeof value !== 'string') {
		return String(value);
	}

	return value === '' || needsQuotes.test(value) ? JSON.stringify(value) : value;
};

/**
Formats an event as one line of logfmt.

@param fields - The fields, in output order.
@returns `key=value` pairs, separated by spaces, without the undefined values. Values that are empty or
contain whitespace, quotes, `=` or backslashes are JSON strings.
*/
export const formatLine = (fields: Fields): string => Object.keys(fields).reduce((line, key) => {
	const value = fields[key];
	return value === undefined ? line : `${line}${line === '' ? '' : ' '}${key}=${formatValue(value)}`;
}, '');
