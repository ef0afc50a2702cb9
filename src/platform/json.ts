/**
Reads JSON that another writer may have spoilt.

@param text - What was read.
@returns The value; undefined if it is no JSON, which no schema accepts.
*/
export const decodeJson = (text: string | undefined): unknown => {
	try {
		return text === undefined ? undefined : JSON.parse(text) as unknown;
	} catch {
		// The caller's schema reports the missing value with the row's name.
		return undefined;
	}
};
