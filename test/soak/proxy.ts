import {connect, createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';

/**
How a proxy treats the bytes of its connections: `calm` forwards them, `slow` delays them, `drop-responses`
drops those from the upstream, `silent` drops all of them, and `reset` closes every connection.
*/
export type ProxyMode = 'calm' | 'slow' | 'drop-responses' | 'silent' | 'reset';

/** A TCP proxy on the loopback interface that injects network faults between a client and one upstream port. */
export type FaultProxy = Readonly<{address: string; setMode: (mode: ProxyMode) => void; close: () => void}>;

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
