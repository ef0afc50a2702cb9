import {createServer} from 'node:http';
import {connect, createServer as createSocketServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {afterEach, expect, test} from 'vitest';
import {openBoundedLog} from '../log/bounded.js';
import {openStoreClient} from '../platform/index.js';
import {parseAddress} from '../server/address.js';
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

/** Starts a relay of a store that writes a part of a response, and returns how the router's connection ends. */
const listenToEnd = async (endResponse: (socket: Socket) => void): Promise<string> => {
	const server = createSocketServer(socket => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			socket.write('HTTP/1.1 200 OK\r\n\r\npart');
			endResponse(socket);
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	cleanups = [...cleanups, () => {
		server.close();
	}];
	const {relay} = await start((server.address() as AddressInfo).port);
	const {host, port} = parseAddress(relay.address);
	return new Promise(resolve => {
		const router = connect(port, host);
		router.on('error', error => {
			resolve((error as NodeJS.ErrnoException).code ?? '');
		});
		router.on('end', () => {
			router.write('', error => {
				resolve((error as NodeJS.ErrnoException | undefined)?.code ?? 'end');
			});
		});
		router.resume();
		router.write('GET / HTTP/1.1\r\n\r\n');
	});
};

// Guards against MIXED by way of a relay: a response without a length that was reset looks complete after an ordinary close.
test.each<[string, (socket: Socket) => void, string]>([
	['at once', socket => {
		socket.resetAndDestroy();
	}, 'ECONNRESET'],
	['after a while', socket => {
		setTimeout(() => {
			socket.resetAndDestroy();
		}, 50);
	}, 'ECONNRESET'],
	['never', socket => {
		socket.end();
	}, 'end'],
])('a connection that the store resets %s is not closed as complete', async (_, endResponse, outcome) => {
	expect(await listenToEnd(endResponse)).toBe(outcome);
});

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
