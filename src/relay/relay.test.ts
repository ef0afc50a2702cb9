import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {afterEach, expect, test} from 'vitest';
import {openBoundedLog} from '../log/bounded.js';
import {openStoreClient} from '../platform/index.js';
import {parseSettings} from '../settings/index.js';
import {relaySettings, startRelay} from './index.js';

let cleanups: ReadonlyArray<() => Promise<void> | void> = [];

afterEach(async () => {
	await Promise.all(cleanups.map(async close => close()));
	cleanups = [];
});

const openLog = () => {
	const lines: string[] = [];
	return {
		lines, log: openBoundedLog({
			write(line: string) {
				lines.push(line);
				return true;
			}, backlog: () => 0,
		}, {}),
	};
};

const startStore = async (): Promise<number> => {
	const server = createServer((incoming, response) => {
		incoming.resume();
		response.end(JSON.stringify({rows: [], ver: 7, nowMs: 3}));
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	cleanups = [...cleanups, () => {
		server.closeAllConnections();
		server.close();
	}];
	return (server.address() as AddressInfo).port;
};

const start = async (storePort: number) => {
	const {lines, log} = openLog();
	const relay = await startRelay({
		host: {name: 'h'},
		listen: {routers: {host: '127.0.0.1', port: 0}, metrics: {host: '127.0.0.1', port: 0}},
		store: {address: {host: '127.0.0.1', port: storePort}},
		limits: {memory: 210, descriptors: 2212},
	}, log);
	const store = openStoreClient();
	cleanups = [...cleanups, async () => relay.stop(), () => {
		store.close();
	}];
	return {lines, relay, operations: store.forAddress(relay.address)};
};

test('a request through a relay is answered by the store', async () => {
	const {operations} = await start(await startStore());
	expect(await operations.read('op')).toMatchObject({kind: 'done', version: 7});
	expect(await operations.transact([])).toMatchObject({kind: 'done', version: 7});
});

test('a relay that cannot reach the store closes the connection at once, and logs the failure once', async () => {
	const stoppedStore = createServer();
	await new Promise<void>(resolve => {
		stoppedStore.listen(0, '127.0.0.1', resolve);
	});
	const {port} = stoppedStore.address() as AddressInfo;
	await new Promise(resolve => {
		stoppedStore.close(resolve);
	});
	const {operations, lines} = await start(port);
	expect(await operations.read('op')).toMatchObject({kind: 'lost'});
	expect(await operations.read('op')).toMatchObject({kind: 'lost'});
	expect(lines.filter(line => line.includes('event=store-lost'))).toHaveLength(1);
});

const settingsText = '[host]\nname = side-1\n[listen]\nrouters = 10.0.0.1:8429\nmetrics = 10.0.0.1:7340\n[store]\naddress = 10.0.0.9:1\n';

test('the settings are validated', () => {
	expect(parseSettings('relay.ini', settingsText, relaySettings).unwrap().store.address).toEqual({host: '10.0.0.9', port: 1});
});

test.each([
	['name = side-1', 'name = Side 1', 'relay.ini:2: [host] name'],
	['routers = 10.0.0.1:8429', 'routers = everywhere', 'relay.ini:4: [listen] routers'],
	['address = 10.0.0.9:1', '', 'relay.ini:6: [store] address'],
])('settings with %j replaced by %j are rejected with the file and line', (right, wrong, place) => {
	const result = parseSettings('relay.ini', settingsText.replace(right, wrong), relaySettings);
	expect(result.err).toBe(true);
	expect(result.val).toMatchObject({detail: expect.stringContaining(place) as string});
});
