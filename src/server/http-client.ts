import {Buffer} from 'node:buffer';
import {Agent} from 'node:http';
import type {AgentOptions, ClientRequest} from 'node:http';
import type {OnReadOpts, Socket} from 'node:net';
import {createTurnQueue} from '../loop/turns.js';

/** How a connection is read. */
type Reading = {
	/** True if its reads take turns with those of other such connections. */
	isTakingTurns: boolean;
	isPaused: boolean;
	/** The bytes of a read that are not parsed yet; no further read is made meanwhile. */
	unparsed: Buffer | undefined;
};

/** Connections that are not read as fast as they can be. */
const readings = new WeakMap<Socket, Reading>();

const awaitTurn = createTurnQueue();

const pushUnparsed = (connection: Socket, reading: Reading): void => {
	const {unparsed} = reading;
	if (unparsed !== undefined && !reading.isPaused && !connection.destroyed) {
		reading.unparsed = undefined;
		connection.push(unparsed);
	}
};

/** Reads by way of one buffer, as each read is copied before the next one. */
const createReads = (buffer: Buffer): OnReadOpts => ({
	buffer: () => buffer,
	callback(this: unknown, length: number, bytes: Uint8Array) {
		const connection = this as Socket;
		const copy = Buffer.from(bytes.subarray(0, length));
		const reading = readings.get(connection);
		if (reading === undefined) {
			return connection.push(copy);
		}

		reading.unparsed = copy;
		if (reading.isTakingTurns) {
			awaitTurn(() => {
				pushUnparsed(connection, reading);
			});
		}

		return false;
	},
});

const getReading = (connection: Socket): Reading => {
	const reading = readings.get(connection) ?? {isTakingTurns: false, isPaused: false, unparsed: undefined};
	readings.set(connection, reading);
	return reading;
};

/**
Lets a connection take turns with other such connections: one read of one of them in each iteration of the event loop.

@param connection - A connection of an agent of `createAgent`.
*/
export const takeTurns = (connection: Socket): void => {
	getReading(connection).isTakingTurns = true;
};

/**
Reads no more of a connection than has been read. Pausing its response alone does not: Node.js reads on until the response
holds a number of bytes, and each piece of them takes up hundreds of bytes of memory.

@param connection - A connection of an agent of `createAgent`.
*/
export const pauseReading = (connection: Socket): void => {
	getReading(connection).isPaused = true;
};

/**
Goes on reading a connection.

@param connection - A connection of an agent of `createAgent`.
*/
export const resumeReading = (connection: Socket): void => {
	const reading = readings.get(connection);
	if (reading === undefined) {
		return;
	}

	reading.isPaused = false;
	if (!reading.isTakingTurns) {
		readings.delete(connection);
	}

	pushUnparsed(connection, reading);
};

/**
Creates an agent that bounds how much is read from a connection at a time. Node.js parses all of a read before anything else
runs, so a connection that is closed as it is read takes no more work than that.

@param options - Options of Node's agent.
@param readBytes - Size of a read.
@returns The agent.
*/
export const createAgent = (options: AgentOptions, readBytes: number): Agent => new Agent({...options, onread: createReads(Buffer.alloc(readBytes))});

/** Interim responses that a request may get. */
const maxInterimResponses = 8;

function closeConnection(this: Socket): void {
	this.destroy();
}

/**
Reports interim responses without end, and closes the connection of a complete response if more bytes follow while it is idle.

@param outgoing - A request that has not been sent.
@param onExcess - Called once there are too many interim responses.
*/
export const limitResponses = (outgoing: ClientRequest, onExcess: (reason: string) => void): void => {
	let count = 0;
	let connection: Socket | undefined;
	outgoing.on('information', () => {
		count += 1;
		if (count === maxInterimResponses + 1) {
			onExcess(`more than ${maxInterimResponses} interim responses`);
		}
	});
	outgoing.on('socket', socket => {
		connection = socket;
		socket.off('data', closeConnection);
	});
	outgoing.on('close', () => {
		if (connection?.destroyed === false) {
			connection.on('data', closeConnection);
			getReading(connection).isTakingTurns = false;
			resumeReading(connection);
		}
	});
};
