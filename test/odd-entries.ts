/** An endpoint's entry with all fields, at a port where nothing listens. */
export const soundEntry = {
	service: 's', address: '127.0.0.1:1', zone: 'z', version: 'v1', slots: 64, state: 'ready', born: 1,
};

/** Text that is valid JSON, and nested as deeply as a row can hold. */
const deepText = `${'['.repeat(30_000)}${']'.repeat(30_000)}`;

/** Texts of entries that name no endpoint, as another writer may leave them, each with its name. */
export const oddEntries: ReadonlyArray<readonly [string, string]> = [
	['bytes that are not JSON', '\u0000{'],
	['deeply nested arrays', deepText],
	['deeply nested objects', `${'{"a":'.repeat(10_000)}1${'}'.repeat(10_000)}`],
	['a deeply nested field', JSON.stringify(soundEntry).replace('"v1"', deepText)],
	['a number that is too large', JSON.stringify(soundEntry).replace('64', '1e400')],
	['a start time that is too large', JSON.stringify(soundEntry).replace('"born":1', `"born":${'9'.repeat(5000)}`)],
	...['1e3', '0x50', ' 80', '80 ', '+80', '-1', '0', '70000', '99999999', '8.5', ''].map(port => [`the port "${port}"`, JSON.stringify({...soundEntry, address: `127.0.0.1:${port}`})] as const),
	['no port', JSON.stringify({...soundEntry, address: '127.0.0.1'})],
	['null', 'null'],
];

/** Ids that no header can hold, or that would end it. */
export const oddIds = ['i-\u0000', 'i-\r\nX-Odd: 1', 'i-\u0142', ' ', ''];
