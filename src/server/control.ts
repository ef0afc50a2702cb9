import {createServer} from 'node:http2';
import type {AddressInfo} from 'node:net';
import type {ConnectRouter} from '@connectrpc/connect';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import type {Endpoint} from './address.js';

/** A server for the fleet's own processes. */
export type ControlServer = Readonly<{
	address: string;
	/** Ends every connection at once. */
	close: () => void;
}>;

/**
Starts a server for the fleet's own processes: connect over HTTP/2.

@param at - Where it listens; port 0 takes a free one.
@param routes - What it serves.
@returns The server.
*/
export const startControlServer = async (at: Endpoint, routes: (router: ConnectRouter) => ConnectRouter): Promise<ControlServer> => {
	const server = createServer(connectNodeAdapter({routes}));
	const connections = new Set<{destroy: () => void}>();
	server.on('session', session => {
		connections.add(session);
		session.once('close', () => connections.delete(session));
	});
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(at.port, at.host, resolve);
	});
	const bound = server.address() as AddressInfo;
	return {
		address: `${bound.address}:${bound.port}`,
		close() {
			connections.forEach(connection => {
				connection.destroy();
			});
			server.close();
		},
	};
};
