import type {Server, ServerResponse} from 'node:http';

/** The responses of a server that its clients have not received whole. */
export type OpenResponses = Readonly<{
	/** Counts the requests whose heads have been read and whose responses are not written yet. */
	count: () => number;
}>;

/**
Tracks the open responses of a server, and keeps the server from closing their connections as idle: Node.js takes a
connection for idle once its response has ended, even if most of it is still to be written, and closes it with the
listening socket.

@param server - The server, which has not accepted a connection yet.
@returns The open responses.
*/
export const trackResponses = (server: Server): OpenResponses => {
	const open = new Set<ServerResponse>();
	const closeIdleConnections = server.closeIdleConnections.bind(server);
	server.on('request', (_, response: ServerResponse) => {
		open.add(response);
		response.on('close', () => {
			open.delete(response);
		});
	});
	server.closeIdleConnections = () => {
		if (![...open].some(response => response.writableEnded)) {
			closeIdleConnections();
		}
	};

	return {count: () => open.size};
};
