import type {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {FinalHead} from '../http-head/index.js';

/** Time after which a client is given up that reads nothing of its response, in ms. Node.js notices it after one to two of these. */
const stallTimeoutMs = 3000;

/** A response of which nothing has been sent. */
export type OpenResponse = Readonly<{
	state: 'open';
	/** Sends a whole response, and its length. */
	answer: (head: FinalHead, body: Buffer) => void;
	/** Sends the head of a stream. */
	begin: (head: FinalHead) => StreamResponse;
	/** Closes the connection without a response. */
	break: () => void;
}>;

/** A response whose head has been sent: only further events or its end can follow, or a break that the client notices. */
export type StreamResponse = Readonly<{
	state: 'streaming';
	/** Sends complete events. Returns false while the client reads too slowly. */
	write: (events: Buffer) => boolean;
	/** Ends the stream as complete. */
	end: (rest: Buffer) => void;
	/** Closes the connection after the last event, so that the stream does not look complete. */
	break: () => void;
}>;

/** A response to a client. */
export type ClientResponse = OpenResponse | StreamResponse;

/** Closes a connection in such a way that the bytes written before reach the client if it reads them. */
const closeConnection = (response: ServerResponse): void => {
	if (response.socket && !response.writableNeedDrain) {
		// Events written just before are still in the socket's buffer.
		response.socket.destroySoon();
	} else {
		response.destroy();
	}
};

const breakStream = (response: ServerResponse): void => {
	if (response.socket && !response.chunkedEncoding) {
		// The body ends with its connection, and would look complete after an ordinary close.
		response.socket.resetAndDestroy();
	} else {
		closeConnection(response);
	}
};

/**
Writes the head of a response.

@param response - The response to the client.
@param head - Status and headers.
@param framing - Raw headers that state the length of the body, if it is known.
@param isLast - True to ask the client to close its connection.
*/
export const writeHead = (response: ServerResponse, {status, headers}: FinalHead, framing: readonly string[], isLast: boolean): void => {
	response.writeHead(status, [...headers, ...framing, ...(isLast ? ['Connection', 'close'] : [])]);
};

const createStreamResponse = (response: ServerResponse): StreamResponse => ({
	state: 'streaming',
	write(events) {
		const isAccepted = response.write(events);
		if (!isAccepted) {
			response.setTimeout(stallTimeoutMs);
		}

		return isAccepted;
	},
	end(rest) {
		response.setTimeout(stallTimeoutMs);
		response.end(rest);
	},
	break() {
		breakStream(response);
	},
});

/**
Wraps a response so that its type tells whether its head has been sent.

@param response - The response, of which nothing has been sent.
@param onDrain - Called when the client of a stream reads again.
@param isLast - Called as the head is written: whether the response closes the client's connection.
@param onStall - Called when the client has stopped reading, before its connection is closed.
@returns The response.
*/
export const openClientResponse = (response: ServerResponse, onDrain: () => void, isLast: () => boolean, onStall: () => void): OpenResponse => {
	// Node.js takes progress of a write for activity.
	response.on('timeout', () => {
		onStall();
		response.destroy();
	});
	return {
		state: 'open',
		answer(head, body) {
			writeHead(response, head, ['Content-Length', String(body.length)], isLast());
			response.setTimeout(stallTimeoutMs);
			response.end(body);
		},
		begin(head) {
			writeHead(response, head, [], isLast());
			response.on('drain', () => {
				response.setTimeout(0);
				onDrain();
			});
			return createStreamResponse(response);
		},
		break() {
			closeConnection(response);
		},
	};
};
