import type {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';

/** A response of which nothing has been sent. */
export type OpenResponse = Readonly<{
	state: 'open';
	/** Sends a whole response. */
	answer: (status: number, headers: readonly string[], body: Buffer) => void;
	/** Sends the head of a stream. */
	begin: (status: number, headers: readonly string[]) => StreamResponse;
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

const createStreamResponse = (response: ServerResponse): StreamResponse => ({
	state: 'streaming',
	write: events => response.write(events),
	end(rest) {
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
@returns The response.
*/
export const openClientResponse = (response: ServerResponse, onDrain: () => void): OpenResponse => ({
	state: 'open',
	answer(status, headers, body) {
		// Raw headers, alternating names and values.
		response.writeHead(status, [...headers]);
		response.end(body);
	},
	begin(status, headers) {
		response.writeHead(status, [...headers]);
		response.on('drain', onDrain);
		return createStreamResponse(response);
	},
	break() {
		closeConnection(response);
	},
});
