import {connect, createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';

/** What a proxy does to the bytes that pass: pass them on, late, in one direction only, not at all, or break off. */
export type Weather = 'calm' | 'slow' | 'no-answers' | 'silent' | 'reset';

/** A loopback proxy in front of an address. */
export type FaultProxy = Readonly<{address: string; setWeather: (weather: Weather) => void; close: () => void}>;

/** Milliseconds that a slow proxy holds bytes back. */
const slowness = 200;

/**
Starts a proxy.

@param port - The port behind it.
@returns The proxy.
*/
export const startProxy = async (port: number): Promise<FaultProxy> => {
	let weather: Weather = 'calm';
	const pairs = new Set<readonly [Socket, Socket]>();

	const carry = (from: Socket, to: Socket, isAnswer: boolean) => {
		from.on('data', bytes => {
			const write = () => {
				if (!to.destroyed) {
					to.write(bytes);
				}
			};

			if (weather === 'slow') {
				setTimeout(write, slowness);
			} else if (weather === 'calm' || (weather === 'no-answers' && !isAnswer)) {
				write();
			}
		});
		from.on('error', () => undefined);
		from.on('close', () => {
			to.destroy();
		});
	};

	const server = createServer(near => {
		if (weather === 'reset') {
			near.destroy();
			return;
		}

		const far = connect(port, '127.0.0.1');
		const pair = [near, far] as const;
		pairs.add(pair);
		near.on('close', () => {
			pairs.delete(pair);
		});
		carry(near, far, false);
		carry(far, near, true);
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const breakOff = () => {
		[...pairs].flat().forEach(socket => {
			socket.destroy();
		});
	};

	return {
		address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
		setWeather(next) {
			weather = next;
			if (next === 'reset') {
				breakOff();
			}
		},
		close() {
			server.close();
			breakOff();
		},
	};
};
