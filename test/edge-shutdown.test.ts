import {Buffer} from 'node:buffer';
import {subscribe, unsubscribe} from 'node:diagnostics_channel';
import {createServer, get, request} from 'node:http';
import type {ClientRequest, IncomingMessage, Server} from 'node:http';
import {createServer as createSocketServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {afterEach, expect, test} from 'vitest';
import {startEdge} from '../src/edge/edge.js';
import {edgeSettings} from '../src/edge/settings.js';
import {createStore} from './soak/store.js';

const servers: Server[] = [];

afterEach(() => {
	servers.splice(0).forEach(server => {
		server.closeAllConnections();
		server.close();
	});
});

const listen = async (server: Server): Promise<number> => new Promise(resolve => {
	servers.push(server);
	server.listen(0, '127.0.0.1', () => {
		resolve((server.address() as AddressInfo).port);
	});
});

const findPort = async (): Promise<number> => new Promise(resolve => {
	const server = createSocketServer().listen(0, '127.0.0.1', () => {
		const {port} = server.address() as AddressInfo;
		server.close(() => {
			resolve(port);
		});
	});
});

/** More than a connection whose client does not read usually takes up. */
const largeBody = Buffer.alloc(6 * 1024 * 1024, 'x');

/** Time after the stop signal at which clients go on, in ms. By then the router has closed its listening socket. */
const clientPauseMs = 3300;

const startSystem = async () => {
	const store = createStore();
	const storePort = await listen(store.server);
	const endpointPort = await listen(createServer((incoming, response) => {
		incoming.resume();
		incoming.on('end', () => {
			response.writeHead(200, {'response-seal': 's', 'attempt-id': String(incoming.headers['attempt-id'])}).end(largeBody);
		});
	}));
	store.put('servers', 'i-1', {
		service: 's', address: `127.0.0.1:${endpointPort}`, zone: 'z', version: 'v1', slots: 64, state: 'ready', born: 1,
	});
	store.put('op', 'config', {
		version: 1,
		routes: [{
			name: 'r', host: 'h', prefix: '/', kind: 'unsafe', timeoutMs: 6000, targetLatencyMs: 500, priority: 1, service: 's', anonymous: true,
		}],
		services: [{name: 's', maxConnections: 200}],
		limits: {
			maxHeaderBytes: 16_384, maxBodyBytes: 100_000, headerTimeoutMs: 3000, idleTimeoutMs: 10_000,
		},
	});
	const [callers, ready, metrics, peers] = await Promise.all([findPort(), findPort(), findPort(), findPort()]);
	const edge = await startEdge(edgeSettings.parse({
		host: {name: 'r', address: '127.0.0.1', 'data-centre': 'z'},
		listen: {
			callers: `127.0.0.1:${callers}`, ready: `127.0.0.1:${ready}`, metrics: `127.0.0.1:${metrics}`, peers: `127.0.0.1:${peers}`,
		},
		store: {address: `127.0.0.1:${storePort}`},
		bounds: {grace: '7s', 'repeat-ratio': '0.2', 'repeat-slack': '50'},
	}), {write: () => undefined, tick: () => undefined});
	const isReady = async (): Promise<boolean> => new Promise(resolve => {
		get({host: '127.0.0.1', port: ready}, incoming => {
			incoming.resume();
			resolve(incoming.statusCode === 200);
		});
	});
	await expect.poll(isReady).toBe(true);
	return {edge, port: callers};
};

/** Collects the server's side of the connections on which requests to a port arrive. */
const collectConnections = (port: number): Readonly<{connections: ReadonlySet<Socket>; end: () => void}> => {
	const connections = new Set<Socket>();
	const add = (message: unknown) => {
		const {socket} = message as Readonly<{socket: Socket}>;
		if (socket.localPort === port) {
			connections.add(socket);
		}
	};

	subscribe('http.server.request.start', add);
	return {
		connections,
		end() {
			unsubscribe('http.server.request.start', add);
		},
	};
};

test('a graceful shutdown ends only after slow clients have their whole responses', async () => {
	const {edge, port} = await startSystem();
	const {connections, end} = collectConnections(port);
	const send = async (id: string, onRequest: (outgoing: ClientRequest) => void, onResponse: (incoming: IncomingMessage) => void): Promise<string> => new Promise(resolve => {
		const outgoing = request({
			host: '127.0.0.1', port, method: 'POST', headers: {host: 'h', 'attempt-id': id, 'request-deadline-ms': '6000'},
		}, incoming => {
			let received = 0;
			incoming.on('data', (bytes: Buffer) => {
				received += bytes.length;
			});
			incoming.on('error', () => undefined);
			incoming.on('close', () => {
				resolve(`${id} ${incoming.statusCode} ${received === largeBody.length ? 'whole' : 'broken off'}`);
			});
			onResponse(incoming);
		}).on('error', () => {
			resolve(`${id} failed`);
		});
		onRequest(outgoing);
	});

	let stopped: Promise<void> | undefined;
	const stop = async () => {
		await edge.stop();
		// The end of the process closes all connections: what the system has not taken over is lost.
		[...connections].forEach(connection => {
			connection.destroy();
		});
	};

	let resumeWriter: () => void = () => undefined;
	const outcomes = await Promise.all([
		send('slow-writer', outgoing => {
			outgoing.write('first part');
			resumeWriter = () => {
				outgoing.end('second part');
			};
		}, () => undefined),
		send('slow-reader', outgoing => {
			outgoing.end();
		}, incoming => {
			incoming.pause();
			setTimeout(() => {
				resumeWriter();
				incoming.resume();
			}, clientPauseMs);
			stopped = stop();
		}),
	]);
	await stopped;
	end();
	expect(outcomes).toEqual(['slow-writer 200 whole', 'slow-reader 200 whole']);
});
