import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/** What is to be done for the open responses of a connection when its client disconnects. */
const closeHandlers = new WeakMap<Socket, Set<() => void>>();

const getHandlers = (socket: Socket): Set<() => void> => {
	const existing = closeHandlers.get(socket);
	if (existing !== undefined) {
		return existing;
	}

	const handlers = new Set<() => void>();
	closeHandlers.set(socket, handlers);
	const disconnect = () => {
		[...handlers].forEach(handle => {
			handle();
		});
	};

	// Node.js closes the connection of a client that has ended its side, which takes further iterations of the event loop.
	socket.once('end', disconnect);
	socket.once('close', disconnect);
	return handlers;
};

/**
Calls back once if the client disconnects before its response has been written. Node.js reports a close to the response whose
turn it is only, and not to those of further requests that were read from the connection meanwhile.

@param response - A response that is not complete.
@param onDisconnect - Called as soon as the end of the connection has been read.
*/
export const watchDisconnect = (response: ServerResponse, onDisconnect: () => void): void => {
	const handlers = getHandlers(response.req.socket);
	const handle = () => {
		if (handlers.delete(handle) && !response.writableFinished) {
			onDisconnect();
		}
	};

	handlers.add(handle);
	response.once('close', handle);
};
