import type {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {createByteBuffer} from '../byte-buffer/index.js';
import {createAllowance, findPieceExcess, takePiece} from '../byte-buffer/pieces.js';
import {createFault} from '../errors/index.js';
import type {Fault} from '../errors/index.js';
import {createTurnQueue} from '../loop/turns.js';
import {writeErrorResponse} from './http-proxy.js';

/** Time for which the rest of a rejected body is discarded, in ms. Closing at once would reset the connection before the client has read the response. */
const lingerMs = 500;

/** Bytes of a rejected body that are discarded. A client that sends more of them gets its response only if it reads before it has sent all. */
const maxDiscardedBytes = 1024 * 1024;

/** Memory of a small piece besides its bytes, in bytes. */
const pieceBytes = 256;

/** Bounds of a request's body. */
export type BodyLimits = Readonly<{
	maxBytes: number;
	timeoutMs: number;
	/** Size of the body; 0 if its head does not announce it. */
	expectedBytes: number;
}>;

/** Takes what is read of a body into account. */
export type BodyAccount = Readonly<{
	/** Called with the size of each piece and the memory of its bookkeeping, in bytes. */
	addRead: (bytes: number) => void;
	/** Called with the memory that the body takes up, in bytes, when it has grown; may reject the body. */
	hold: (bytes: number) => void;
}>;

/** Lets a connection be read or not. */
type Gate = Readonly<{close: () => void; open: () => void}>;

/**
Opens a gate of a connection. Pausing its request does not stop reading: Node.js reads on until the request holds 16 KB, which
in pieces of a byte take up several megabytes. Closing the gate takes effect at once, as libuv reads up to 32 times from a
connection before it turns to another one; what has been read already is still parsed.
*/
const openGate = ({socket}: IncomingMessage): Gate => {
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

/**
Lets a connection whose request comes in chunks take turns with other such connections, one read in each iteration of the event
loop. A read of 64 KB takes 40 ms where each chunk has a byte, and all connections may be read in one iteration.
*/
const takeTurns = (incoming: IncomingMessage): void => {
	const gate = openGate(incoming);
	let isWaiting = false;
	const wait = () => {
		if (!isWaiting) {
			isWaiting = true;
			gate.close();
			awaitTurn(() => {
				isWaiting = false;
				gate.open();
			});
		}
	};

	wait();
	incoming.on('data', wait);
};

/**
Reads the body of a client's request.

Load pattern: clients send without end, in pieces of any size, or stop in the middle.

@param incoming - The request.
@param limits - Bounds of the body.
@param onComplete - Called with the whole body.
@param onFault - Called at most once, and not after `onComplete`, as soon as the body is too large or late.
@param account - Takes what is read into account.
@returns A function that rejects a body which is not complete yet.
*/
export const readRequestBody = (
	incoming: IncomingMessage,
	limits: BodyLimits,
	onComplete: (body: Buffer) => void,
	onFault: (fault: Fault) => void,
	account: BodyAccount,
): ((fault: Fault) => void) => {
	const buffer = createByteBuffer(limits.expectedBytes);
	let isSettled = false;
	let allowance = createAllowance(performance.now());
	const settle = (report: () => void) => {
		if (!isSettled) {
			isSettled = true;
			clearTimeout(timer);
			report();
		}
	};

	const fail = (fault: Fault) => {
		settle(() => {
			buffer.clear();
			onFault(fault);
		});
	};

	const timer = setTimeout(() => {
		fail(createFault('body-late', `body: not complete within ${limits.timeoutMs} ms`));
	}, limits.timeoutMs);
	if (incoming.headers['transfer-encoding'] !== undefined) {
		takeTurns(incoming);
	}

	incoming.on('data', (chunk: Buffer) => {
		account.addRead(chunk.length + pieceBytes);
		if (isSettled) {
			return;
		}

		allowance = takePiece(allowance, chunk.length, performance.now());
		const excess = findPieceExcess(allowance);
		if (excess !== undefined) {
			// The client can still read its response, but nothing more is read of it.
			openGate(incoming).close();
			fail(createFault('too-large', `body: ${excess}`));
			return;
		}

		if (buffer.add(chunk)) {
			account.hold(buffer.countMemory());
		}

		if (buffer.countBytes() > limits.maxBytes) {
			fail(createFault('too-large', `body: larger than the limit of ${limits.maxBytes} bytes`));
		}
	});
	incoming.on('end', () => {
		settle(() => {
			const body = buffer.getBytes();
			buffer.clear();
			onComplete(body);
		});
	});
	incoming.on('error', () => undefined);
	incoming.on('close', () => {
		settle(() => undefined);
	});
	return fail;
};

/**
Rejects a request whose body may not be complete, and closes its connection once the client has had time to read the response.

@param incoming - The request.
@param response - The response to the client.
@param fault - The error.
*/
export const rejectUnread = (incoming: IncomingMessage, response: ServerResponse, fault: Fault): void => {
	writeErrorResponse(response, fault, true);
	const end = () => {
		clearTimeout(timer);
		response.end();
	};

	const timer = setTimeout(end, lingerMs);
	let discardedBytes = 0;
	const discard = (chunk: Buffer) => {
		discardedBytes += chunk.length + pieceBytes;
		if (discardedBytes > maxDiscardedBytes) {
			incoming.off('data', discard);
			openGate(incoming).close();
		}
	};

	incoming.on('data', discard);
	if (incoming.readableEnded) {
		end();
	} else {
		incoming.on('close', end);
	}
};
