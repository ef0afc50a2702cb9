import type {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {createByteBuffer} from '../byte-buffer/index.js';
import {createAllowance, findPieceExcess, takePiece} from '../byte-buffer/pieces.js';
import {createFault} from '../errors/index.js';
import type {Fault} from '../errors/index.js';
import {writeErrorResponse} from './http-proxy.js';

/** Time for which the rest of a rejected body is discarded, in ms. Closing at once would reset the connection before the client has read the response. */
const lingerMs = 500;

/** Bounds of a request's body. */
export type BodyLimits = Readonly<{maxBytes: number; timeoutMs: number}>;

/**
Reads the body of a client's request.

Load pattern: clients send without end, in pieces of any size, or stop in the middle.

@param incoming - The request.
@param limits - Bounds of the body.
@param onComplete - Called with the whole body.
@param onFault - Called at most once, and not after `onComplete`, as soon as the body is too large or late.
@returns A function that rejects a body which is not complete yet.
*/
export const readRequestBody = (incoming: IncomingMessage, limits: BodyLimits, onComplete: (body: Buffer) => void, onFault: (fault: Fault) => void): ((fault: Fault) => void) => {
	const buffer = createByteBuffer();
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
	incoming.on('data', (chunk: Buffer) => {
		allowance = takePiece(allowance, chunk.length, performance.now());
		const excess = findPieceExcess(allowance);
		if (excess !== undefined) {
			// The client can still read its response, but nothing more is read of it.
			incoming.pause();
			fail(createFault('too-large', `body: ${excess}`));
		}

		if (isSettled) {
			return;
		}

		buffer.add(chunk);
		if (buffer.countBytes() > limits.maxBytes) {
			fail(createFault('too-large', `body: larger than the limit of ${limits.maxBytes} bytes`));
		}
	});
	incoming.on('end', () => {
		settle(() => {
			onComplete(buffer.getBytes());
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
	if (incoming.readableEnded) {
		end();
	} else {
		incoming.on('close', end);
	}
};
