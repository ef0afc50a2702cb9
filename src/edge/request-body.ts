import type {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {createByteBuffer} from '../byte-buffer/index.js';
import {createAllowance, findPieceExcess, takePiece} from '../byte-buffer/pieces.js';
import {createFault} from '../errors/index.js';
import type {Fault} from '../errors/index.js';
import {writeErrorResponse} from './http-proxy.js';
import {getReadTurns, openReadGate} from './read-gate.js';

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
	/** Called when the body is rejected for its many small pieces. */
	onFlood: () => void;
}>;

/**
Bodies in chunks that are read at a time without taking turns. Ordinary ones arrive in one or two reads, so that few are read at a
time; turns would delay each of them by iterations of the event loop, which are long when the process is busy.
*/
const maxReadFreely = 16;

let chunkedBodies = 0;

/** Lets a body in chunks take turns with others if many are being read. */
const takeTurnsAmongMany = (incoming: IncomingMessage): void => {
	chunkedBodies += 1;
	let isReading = true;
	const finish = () => {
		chunkedBodies -= isReading ? 1 : 0;
		isReading = false;
	};

	incoming.on('end', finish);
	incoming.on('close', finish);
	if (chunkedBodies > maxReadFreely) {
		const awaitTurn = getReadTurns(incoming.socket);
		awaitTurn();
		incoming.on('data', awaitTurn);
	}
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
		takeTurnsAmongMany(incoming);
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
			openReadGate(incoming.socket).close();
			account.onFlood();
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
			openReadGate(incoming.socket).close();
		}
	};

	incoming.on('data', discard);
	if (incoming.readableEnded) {
		end();
	} else {
		incoming.on('close', end);
	}
};
