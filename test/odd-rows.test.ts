import {Buffer} from 'node:buffer';
import {createServer, request} from 'node:http';
import {describe, expect, test} from 'vitest';
import {startRouter} from './edge-system.js';

const createEndpoint = (name: string) => createServer((incoming, response) => {
	incoming.resume();
	// Requests that are sent together overlap, so that all endpoints that may be used are.
	setTimeout(() => {
		response.writeHead(200, {'response-seal': 's', 'attempt-id': String(incoming.headers['attempt-id'])}).end(name);
	}, 100);
});

/** Starts a router with two sound endpoints. */
const startSystem = async () => {
	const system = await startRouter({endpoints: [{server: createEndpoint('i-1')}, {server: createEndpoint('i-2')}]});
	let count = 0;
	const send = async (): Promise<string> => new Promise(resolve => {
		count += 1;
		request({
			host: '127.0.0.1', port: system.port, agent: false, headers: {host: 'h', 'attempt-id': `a-${count}`, 'request-deadline-ms': '3000'},
		}, incoming => {
			let body = '';
			incoming.on('data', bytes => {
				body += String(bytes);
			});
			incoming.on('close', () => {
				resolve(incoming.statusCode === 200 ? body : String(incoming.statusCode));
			});
		}).on('error', error => {
			resolve(error.message);
		}).end();
	});
	/** Sends requests together. Returns the names of the endpoints that served them, and other outcomes. */
	const listOutcomes = async (): Promise<readonly string[]> => [...new Set(await Promise.all(Array.from({length: 20}, send)))].toSorted();
	return {...system, listOutcomes};
};

const sound = {
	service: 's', address: '127.0.0.1:1', zone: 'z', version: 'v1', slots: 64, state: 'ready', born: 1,
};

/** Text that is valid JSON, and nested as deeply as a row can hold. */
const deepText = `${'['.repeat(30_000)}${']'.repeat(30_000)}`;

/** Time within which a router has read a change of the store, in ms. */
const readMs = 700;

const sleep = async (milliseconds: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, milliseconds);
});

const oddValues: ReadonlyArray<readonly [string, string]> = [
	['bytes that are not JSON', '\u0000{'],
	['deeply nested arrays', deepText],
	['deeply nested objects', `${'{"a":'.repeat(10_000)}1${'}'.repeat(10_000)}`],
	['a deeply nested field', JSON.stringify(sound).replace('"v1"', deepText)],
	['a number that is too large', JSON.stringify(sound).replace('64', '1e400')],
	['a start time that is too large', JSON.stringify(sound).replace('"born":1', `"born":${'9'.repeat(5000)}`)],
	...['1e3', '0x50', ' 80', '80 ', '+80', '-1', '0', '70000', '99999999', '8.5', ''].map(port => [`the port "${port}"`, JSON.stringify({...sound, address: `127.0.0.1:${port}`})] as const),
	['no port', JSON.stringify({...sound, address: '127.0.0.1'})],
	['null', 'null'],
];

/** Ids that no header can hold, or that would end it. */
const oddIds = ['i-\u0000', 'i-\r\nX-Odd: 1', 'i-\u0142', ' ', ''];

describe('an odd entry among those of the endpoints', () => {
	test.each([['beside sound ones', 'i-3', ['i-1', 'i-2']], ['over a sound one', 'i-1', ['i-2']]])('takes no other endpoint away, %s', async (_, id, served) => {
		const {store, listOutcomes} = await startSystem();
		const soundText = store.get('servers', 'i-1');
		for (const [, text] of oddValues) {
			store.putText('servers', id, text);
			await sleep(readMs / 10);
		}

		await sleep(readMs);
		expect(await listOutcomes()).toEqual(served);
		store.putText('servers', 'i-1', soundText!);
		await sleep(readMs);
		expect(await listOutcomes()).toEqual(['i-1', 'i-2']);
	}, 20_000);

	test.each(oddValues)('is not used: %s', async (_, text) => {
		const {store, listOutcomes} = await startSystem();
		store.putText('servers', 'i-3', text);
		await sleep(readMs);
		expect(await listOutcomes()).toEqual(['i-1', 'i-2']);
	}, 20_000);

	test.each(oddIds)('ends no router by its id: %j', async id => {
		const {store, listOutcomes} = await startSystem();
		store.put('servers', id, {...sound, address: (JSON.parse(store.get('servers', 'i-2')!) as typeof sound).address});
		await sleep(readMs);
		expect(await listOutcomes()).toEqual(['i-1', 'i-2']);
	}, 20_000);

	test('does not stop the feed, however many there are', async () => {
		const {store, listOutcomes} = await startSystem();
		const value = Buffer.alloc(60_000, 'x').toString();
		Array.from({length: 300}).forEach((_, index) => {
			store.putText('servers', `odd-${index}`, value);
		});
		store.put('servers', 'i-1', undefined);
		await sleep(4 * readMs);
		expect(await listOutcomes()).toEqual(['i-2']);
	}, 30_000);
});

test.each(['127.0.0.1:99999999', '127.0.0.1:-1', '127.0.0.1:0', '127.0.0.1:1e3', 'odd', ':', '[::1]:x'])('a router whose row names the odd address %j ends no other one', async peer => {
	const {store, listOutcomes} = await startSystem();
	store.put('holds', 'other/127.0.0.2', {
		change: 'other#1/1', at: store.getNow(), peer, era: 1, holds: {},
	});
	await sleep(3 * readMs);
	expect(await listOutcomes()).toEqual(['i-1', 'i-2']);
}, 20_000);

describe('an odd row', () => {
	test.each(['holds', 'budgets', 'verdicts', 'versions', 'origins'])('of the table %s ends no router', async table => {
		const {store, listOutcomes} = await startSystem();
		oddValues.forEach(([, text], index) => {
			store.putText(table, `odd-${index}`, text);
		});
		await sleep(3 * readMs);
		expect(await listOutcomes()).toEqual(['i-1', 'i-2']);
	}, 20_000);
});
