/**
Parses JSON that may be corrupt.

@param text - The text; undefined for a missing row.
@returns The value, or undefined if the text is not JSON. No schema accepts undefined.
*/
export const decodeJson = (text: string | undefined): unknown => {
	try {
		return text === undefined ? undefined : JSON.parse(text) as unknown;
	} catch {
		// Schema validation reports the missing value with the name of the row.
		return undefined;
	}
};
