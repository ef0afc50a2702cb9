import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import type {IncomingMessage, Server as HttpServer, ServerResponse} from 'node:http';
import type {AddressInfo, Server} from 'node:net';
import {createFault, fail, succeed} from '../errors/index.js';
import type {Result} from '../errors/index.js';
import type {Endpoint} from './address.js';

/** A server that listens. */
export type Listening = Readonly<{
	address: string;
	close: () => Promise<void>;
}>;

/**
Starts a server on an address; port 0 takes a free one.

@param server - The server.
@param at - Where to listen.
@returns The address it has got, and how to close it.
*/
export const listen = async (server: Server | HttpServer, at: Endpoint): Promise<Listening> => {
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(at.port, at.host, resolve);
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
Reads a body up to a limit.

@param request - The incoming request.
@param limit - Bytes.
@returns The body, or a fault if it is larger.
*/
export const readBody = async (request: IncomingMessage, limit: number): Promise<Result<Buffer>> => {
	const parts: Buffer[] = [];
	let size = 0;
	for await (const part of request as AsyncIterable<Buffer>) {
		size += part.byteLength;
		if (size > limit) {
			return fail(createFault('too-large', `body: exceeds ${limit} bytes`));
		}

		parts.push(part);
	}

	return succeed(Buffer.concat(parts));
};

/**
Answers with JSON.

@param response - Where to.
@param status - The status.
@param body - The value.
@param headers - Further headers.
*/
export const sendJson = (response: ServerResponse, status: number, body: unknown, headers: Readonly<Record<string, string>> = {}): void => {
	if (response.headersSent || response.destroyed) {
		return;
	}

	response.writeHead(status, {'content-type': 'application/json', ...headers});
	response.end(JSON.stringify(body));
};

type Handle = (request: IncomingMessage, response: ServerResponse, url: URL) => Promise<void> | void;

/**
Creates an HTTP server whose handler may fail without ending the process.

@param handle - Answers one request.
@param onError - Told of a handler that threw.
@returns The server.
*/
export const createHttpServer = (handle: Handle, onError: (error: unknown) => void): HttpServer => createServer(async (request, response) => {
	try {
		await handle(request, response, new URL(request.url ?? '/', 'http://localhost'));
	} catch (error) {
		onError(error);
		sendJson(response, 500, {error: 'internal'});
	}
});
