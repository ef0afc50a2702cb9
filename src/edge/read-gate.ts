import type {Socket} from 'node:net';
import {createTurnQueue} from '../loop/turns.js';

/** Lets a connection be read or not. */
export type ReadGate = Readonly<{close: () => void; open: () => void}>;

/**
Opens a gate of a connection. Pausing its request does not stop reading: Node.js reads on until the request holds 16 KB, which
in pieces of a byte take up several megabytes. Closing the gate takes effect at once, as libuv reads up to 32 times from a
connection before it turns to another one; what has been read already is still parsed.

@param socket - A connection of an HTTP server.
@returns The gate, which is open. A connection is read if all of its gates are open.
*/
export const openReadGate = (socket: Socket): ReadGate => {
	let isClosed = false;
	// Node.js resumes the socket for each request that flows.
	socket.on('resume', () => {
		if (isClosed) {
			socket.pause();
		}
	});
	return {
		close() {
			isClosed = true;
			socket.pause();
		},
		open() {
			isClosed = false;
			socket.resume();
		},
	};
};

const awaitTurn = createTurnQueue();

/** The functions of `getReadTurns`, so that a connection with many requests has one gate. */
const readTurns = new WeakMap<Socket, () => void>();

/**
Returns a function that lets a connection wait for its turn with other such connections: one of them is read in each
iteration of the event loop.

Load pattern: a read of 64 KB takes 40 ms where it brings chunks of a byte, and otherwise all connections are read in one iteration.

@param socket - A connection of an HTTP server.
@returns Reads no more of the connection until its turn comes; does nothing while it waits.
*/
export const getReadTurns = (socket: Socket): (() => void) => {
	const existing = readTurns.get(socket);
	if (existing !== undefined) {
		return existing;
	}

	const gate = openReadGate(socket);
	let isWaiting = false;
	const waitForTurn = () => {
		if (!isWaiting) {
			isWaiting = true;
			gate.close();
			awaitTurn(() => {
				isWaiting = false;
				gate.open();
			});
		}
	};

	readTurns.set(socket, waitForTurn);
	return waitForTurn;
};
