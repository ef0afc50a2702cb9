import {Buffer} from 'node:buffer';
import {createServer, request} from 'node:http';
import {describe, expect, test} from 'vitest';
import {startRouter} from './edge-system.js';
import {oddEntries, oddIds, soundEntry} from './odd-entries.js';

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

/** Time within which a router has read a change of the store, in ms. */
const readMs = 700;

const sleep = async (milliseconds: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, milliseconds);
});

describe('an odd entry among those of the endpoints', () => {
	test.each([['beside sound ones', 'i-3', ['i-1', 'i-2']], ['over a sound one', 'i-1', ['i-2']]])('takes no other endpoint away, %s', async (_, id, served) => {
		const {store, listOutcomes} = await startSystem();
		const soundText = store.get('servers', 'i-1');
		for (const [, text] of oddEntries) {
			store.putText('servers', id, text);
			await sleep(readMs / 10);
		}

		await sleep(readMs);
		expect(await listOutcomes()).toEqual(served);
		store.putText('servers', 'i-1', soundText!);
		await expect.poll(listOutcomes).toEqual(['i-1', 'i-2']);
	}, 20_000);

	test.each(oddEntries)('is not used: %s', async (_, text) => {
		const {store, listOutcomes} = await startSystem();
		store.putText('servers', 'i-3', text);
		await sleep(readMs);
		expect(await listOutcomes()).toEqual(['i-1', 'i-2']);
	}, 20_000);

	test.each(oddIds)('ends no router by its id: %j', async id => {
		const {store, listOutcomes} = await startSystem();
		store.put('servers', id, {...soundEntry, address: (JSON.parse(store.get('servers', 'i-2')!) as typeof soundEntry).address});
		await sleep(readMs);
		expect(await listOutcomes()).toEqual(['i-1', 'i-2']);
	}, 20_000);

	// Guards against a feed that ends in silence: nothing that the operator changes comes into force any more.
	test('does not stop the feed by a key that no URL can hold, at the end of a page', async () => {
		const {store, listOutcomes} = await startSystem();
		Array.from({length: 600}).forEach((_, index) => {
			store.putText('servers', `odd-${index}-\uD800`, 'x');
		});
		// Changes that do not fit into one reply make the router read all rows, in pages.
		const value = Buffer.alloc(60_000, 'x').toString();
		Array.from({length: 300}).forEach((_, index) => {
			store.putText('servers', `large-${index}`, value);
		});
		await sleep(readMs);
		store.put('servers', 'i-1', undefined);
		await expect.poll(listOutcomes, {timeout: 20_000}).toEqual(['i-2']);
	}, 40_000);

	test('does not stop the feed, however many there are', async () => {
		const {store, listOutcomes} = await startSystem();
		const value = Buffer.alloc(60_000, 'x').toString();
		Array.from({length: 300}).forEach((_, index) => {
			store.putText('servers', `odd-${index}`, value);
		});
		store.put('servers', 'i-1', undefined);
		await expect.poll(listOutcomes).toEqual(['i-2']);
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
		oddEntries.forEach(([, text], index) => {
			store.putText(table, `odd-${index}`, text);
		});
		await sleep(3 * readMs);
		expect(await listOutcomes()).toEqual(['i-1', 'i-2']);
	}, 20_000);
});
