import {createServer} from 'node:http2';
import type {AddressInfo} from 'node:net';
import type {ConnectRouter} from '@connectrpc/connect';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import type {SocketAddress} from './address.js';

/** A running RPC server. */
export type RpcServer = Readonly<{
	address: string;
	/** Closes the server and all its connections immediately. */
	close: () => void;
}>;

/**
Starts a server for RPCs between routers and agents, by the Connect protocol over HTTP/2.

@param address - Listen address; port 0 selects a free port.
@param routes - Registers the services.
@returns The server.
*/
export const startRpcServer = async (address: SocketAddress, routes: (router: ConnectRouter) => ConnectRouter): Promise<RpcServer> => {
	const server = createServer(connectNodeAdapter({routes}));
	const connections = new Set<{destroy: () => void}>();
	server.on('session', session => {
		connections.add(session);
		session.once('close', () => connections.delete(session));
	});
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(address.port, address.host, resolve);
	});
	const boundAddress = server.address() as AddressInfo;
	return {
		address: `${boundAddress.address}:${boundAddress.port}`,
		close() {
			connections.forEach(connection => {
				connection.destroy();
			});
			server.close();
		},
	};
};
