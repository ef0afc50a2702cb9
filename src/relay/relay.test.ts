import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {afterEach, expect, test} from 'vitest';
import {openBoundedLog} from '../log/bounded.js';
import {openStore} from '../platform/index.js';
import {checkSettings} from '../settings/index.js';
import {relaySettings, startRelay} from './index.js';

let closers: ReadonlyArray<() => Promise<void> | void> = [];

afterEach(async () => {
	await Promise.all(closers.map(async close => close()));
	closers = [];
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
	closers = [...closers, () => {
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
	}, log);
	const store = openStore();
	closers = [...closers, async () => relay.stop(), () => {
		store.close();
	}];
	return {lines, relay, calls: store.at(relay.address)};
};

test('a call by a relay is answered by the store', async () => {
	const {calls} = await start(await startStore());
	expect(await calls.read('op')).toMatchObject({kind: 'done', version: 7});
	expect(await calls.transact([])).toMatchObject({kind: 'done', version: 7});
});

test('a relay that cannot reach the store closes the connection at once, and says so once', async () => {
	const gone = createServer();
	await new Promise<void>(resolve => {
		gone.listen(0, '127.0.0.1', resolve);
	});
	const {port} = gone.address() as AddressInfo;
	await new Promise(resolve => {
		gone.close(resolve);
	});
	const {calls, lines} = await start(port);
	expect(await calls.read('op')).toMatchObject({kind: 'lost'});
	expect(await calls.read('op')).toMatchObject({kind: 'lost'});
	expect(lines.filter(line => line.includes('event=store-lost'))).toHaveLength(1);
});

const text = '[host]\nname = side-1\n[listen]\nrouters = 10.0.0.1:8429\nmetrics = 10.0.0.1:7340\n[store]\naddress = 10.0.0.9:1\n';

test('its settings are checked', () => {
	expect(checkSettings('relay.ini', text, relaySettings).unwrap().store.address).toEqual({host: '10.0.0.9', port: 1});
});

test.each([
	['name = side-1', 'name = Side 1', 'relay.ini:2: [host] name'],
	['routers = 10.0.0.1:8429', 'routers = everywhere', 'relay.ini:4: [listen] routers'],
	['address = 10.0.0.9:1', '', 'relay.ini:6: [store] address'],
])('settings with %j as %j are refused, naming the place', (right, wrong, place) => {
	const result = checkSettings('relay.ini', text.replace(right, wrong), relaySettings);
	expect(result.err).toBe(true);
	expect(result.val).toMatchObject({detail: expect.stringContaining(place) as string});
});
