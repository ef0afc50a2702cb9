import type {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import type {IncomingMessage, Server as HttpServer, ServerResponse} from 'node:http';
import type {AddressInfo, Server} from 'node:net';
import {createByteBuffer} from '../byte-buffer/index.js';
import {createFault, fail, succeed} from '../errors/index.js';
import type {Result} from '../errors/index.js';
import type {SocketAddress} from './address.js';

/** A listening server. */
export type ListeningServer = Readonly<{
	address: string;
	/** Stops the server; an HTTP server closes its connections immediately. */
	close: () => Promise<void>;
}>;

/**
Starts a server on an address.

@param server - The server.
@param requestedAddress - Listen address; port 0 selects a free port.
@returns The listening server with its actual address.
*/
export const listen = async (server: Server | HttpServer, requestedAddress: SocketAddress): Promise<ListeningServer> => {
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(requestedAddress.port, requestedAddress.host, resolve);
	});
	const {address, port} = server.address() as AddressInfo;
	return {
		address: `${address}:${port}`,
		async close() {
			if ('closeAllConnections' in server) {
				server.closeAllConnections();
			}

			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
			});
		},
	};
};

/**
Reads a request body.

@param request - The incoming request.
@param maxBytes - Maximum size of the body.
@returns The body, or a `too-large` fault.
*/
export const readBody = async (request: IncomingMessage, maxBytes: number): Promise<Result<Buffer>> => {
	const buffer = createByteBuffer();
	for await (const chunk of request as AsyncIterable<Buffer>) {
		if (buffer.countBytes() + chunk.byteLength > maxBytes) {
			return fail(createFault('too-large', `body: exceeds ${maxBytes} bytes`));
		}

		buffer.add(chunk);
	}

	return succeed(buffer.getBytes());
};

/**
Sends a JSON response, unless a response has already been sent or the connection is closed.

@param response - The response.
@param status - The status code.
@param body - Value of the body.
@param headers - Additional headers.
*/
export const sendJson = (response: ServerResponse, status: number, body: unknown, headers: Readonly<Record<string, string>> = {}): void => {
	if (response.headersSent || response.destroyed) {
		return;
	}

	response.writeHead(status, {'content-type': 'application/json', ...headers});
	response.end(JSON.stringify(body));
};

type RequestHandler = (request: IncomingMessage, response: ServerResponse, url: URL) => Promise<void> | void;

/**
Creates an HTTP server that responds with status 500 if its handler throws, so that the error doesn't end the process.

@param handleRequest - Handles one request.
@param onError - Receives the error of a handler that threw.
@returns The server.
*/
export const createHttpServer = (handleRequest: RequestHandler, onError: (error: unknown) => void): HttpServer => createServer(async (request, response) => {
	try {
		await handleRequest(request, response, new URL(request.url ?? '/', 'http://localhost'));
	} catch (error) {
		onError(error);
		sendJson(response, 500, {error: 'internal'});
	}
});
