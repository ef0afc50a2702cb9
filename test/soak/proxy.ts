import type {Buffer} from 'node:buffer';
import {connect, createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {runInBackground} from '../../src/loop/background.js';

/**
How a proxy treats the bytes of its connections: `calm` forwards them, `slow` delays them, `drop-responses`
drops those from the upstream, `silent` drops all of them, and `reset` closes every connection.
*/
export type ProxyMode = 'calm' | 'slow' | 'drop-responses' | 'silent' | 'reset';

/** A TCP proxy on the loopback interface that injects network faults between a client and one upstream port. */
export type FaultProxy = Readonly<{address: string; setMode: (mode: ProxyMode) => void; close: () => void}>;

/** A TCP proxy on the loopback interface that plays the link of a machine: all responses together get a limited rate. */
export type RateProxy = Readonly<{
	/** Two addresses of the upstream, which share the link. */
	addresses: readonly string[];
	/** Sets the rate of all connections together, in bytes per ms. */
	setRate: (bytesPerMs: number) => void;
	close: () => void;
}>;

/** Bytes of a connection that are on the link at a time. */
const linkPieceBytes = 16_384;

/** Delay of each chunk in `slow` mode, in ms. */
const addedLatencyMs = 200;

/**
Starts a proxy that listens on a free loopback port.

@param port - The upstream port on the loopback interface.
@returns The proxy, in `calm` mode.
*/
export const startProxy = async (port: number): Promise<FaultProxy> => {
	let mode: ProxyMode = 'calm';
	const pairs = new Set<readonly [Socket, Socket]>();

	const forwardBytes = (from: Socket, to: Socket, isResponse: boolean) => {
		from.on('data', bytes => {
			const write = () => {
				if (!to.destroyed) {
					to.write(bytes);
				}
			};

			if (mode === 'slow') {
				setTimeout(write, addedLatencyMs);
			} else if (mode === 'calm' || (mode === 'drop-responses' && !isResponse)) {
				write();
			}
		});
		from.on('error', () => undefined);
		from.on('close', () => {
			to.destroy();
		});
	};

	const server = createServer(client => {
		if (mode === 'reset') {
			client.destroy();
			return;
		}

		const upstream = connect(port, '127.0.0.1');
		const pair = [client, upstream] as const;
		pairs.add(pair);
		client.on('close', () => {
			pairs.delete(pair);
		});
		forwardBytes(client, upstream, false);
		forwardBytes(upstream, client, true);
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const destroyConnections = () => {
		[...pairs].flat().forEach(socket => {
			socket.destroy();
		});
	};

	return {
		address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
		setMode(next) {
			mode = next;
			if (next === 'reset') {
				destroyConnections();
			}
		},
		close() {
			server.close();
			destroyConnections();
		},
	};
};

/**
Starts a proxy that forwards responses at a limited rate, piece by piece in the order in which they come.

@param port - The upstream port on the loopback interface.
@param bytesPerMs - The rate of all connections together.
@returns The proxy.
*/
export const startRateProxy = async (port: number, bytesPerMs: number): Promise<RateProxy> => {
	let rate = bytesPerMs;
	let freeAt = 0;
	const sockets = new Set<Socket>();

	/** Resolves once a piece has crossed the link. */
	const crossLink = async (bytes: number): Promise<void> => {
		freeAt = Math.max(freeAt, performance.now()) + (bytes / rate);
		return sleep(freeAt - performance.now());
	};

	const forwardResponse = async (upstream: Socket, client: Socket): Promise<void> => {
		for await (const chunk of upstream as AsyncIterable<Buffer>) {
			for (let start = 0; start < chunk.length && !client.destroyed; start += linkPieceBytes) {
				const piece = chunk.subarray(start, start + linkPieceBytes);
				await crossLink(piece.length);
				client.write(piece);
			}
		}
	};

	const forwardConnection = (client: Socket) => {
		const upstream = connect(port, '127.0.0.1');
		[client, upstream].forEach(socket => {
			sockets.add(socket);
			socket.on('error', () => undefined);
			socket.on('close', () => {
				sockets.delete(socket);
				client.destroy();
				upstream.destroy();
			});
		});
		client.on('data', bytes => {
			upstream.write(bytes);
		});
		runInBackground(async () => forwardResponse(upstream, client));
	};

	const servers = await Promise.all([createServer(forwardConnection), createServer(forwardConnection)].map(async server => new Promise<Server>(resolve => {
		server.listen(0, '127.0.0.1', () => {
			resolve(server);
		});
	})));
	return {
		addresses: servers.map(server => `127.0.0.1:${(server.address() as AddressInfo).port}`),
		setRate(next) {
			rate = next;
		},
		close() {
			servers.forEach(server => {
				server.close();
			});
			sockets.forEach(socket => {
				socket.destroy();
			});
		},
	};
};
