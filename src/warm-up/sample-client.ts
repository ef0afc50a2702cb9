import {Buffer} from 'node:buffer';
import {connect} from 'node:net';
import type {Socket} from 'node:net';
import {formatSampleRequest, isSampleComplete, sampleKinds} from '../platform/sample.js';
import type {SocketAddress} from '../server/address.js';

/** How many requests a client sends over a connection, and which of its requests it gives up. */
const requestsPerConnection = 6;
const leavePeriod = 40;

/** Kinds of the requests in turn: the first ones are frequent. */
const kindOrder = [0, 1, 2, 1, 0, 3, 2, 4, 1, 0, 2, 3, 1, 0, 2, 5] as const;

/**
Sends a request. Some are given up as their response begins.

@param socket - A connection without a request in progress.
@param index - Number of the request, which selects its kind.
@returns Resolves once the response is complete or the connection is closed.
*/
export const sendSample = async (socket: Socket, index: number): Promise<void> => new Promise(resolve => {
	let received = Buffer.alloc(0);
	const finish = () => {
		socket.off('data', receive);
		socket.off('close', finish);
		resolve();
	};

	const receive = (bytes: Buffer) => {
		received = Buffer.concat([received, bytes]);
		if (index % leavePeriod === leavePeriod - 1) {
			socket.destroy();
		} else if (isSampleComplete(received)) {
			finish();
		}
	};

	socket.on('data', receive);
	socket.on('close', finish);
	socket.write(formatSampleRequest(sampleKinds[kindOrder[index % kindOrder.length]!]!, index));
});

/**
Sends sample requests one after another, over connections that are kept for several requests each.

@param address - Address of the router.
@param takeNext - Returns the number of the next request; undefined if no further one is sent.
*/
export const runSampleClient = async (address: SocketAddress, takeNext: () => number | undefined): Promise<void> => {
	const sendNext = async (socket: Socket, sent: number): Promise<void> => {
		const isUsable = sent < requestsPerConnection && !socket.destroyed;
		const index = isUsable ? takeNext() : undefined;
		if (index === undefined) {
			socket.destroy();
			return isUsable ? undefined : openNext();
		}

		await sendSample(socket, index);
		return sendNext(socket, sent + 1);
	};

	const openNext = async (): Promise<void> => {
		const socket = connect({port: address.port, host: address.host, noDelay: true});
		socket.on('error', () => undefined);
		return sendNext(socket, 0);
	};

	return openNext();
};
