import type {Buffer} from 'node:buffer';
import {request} from 'node:http';
import type {RequestOptions} from 'node:http';

/** Status of a response, or the error code of a request without one, as in `ECONNRESET`. */
export type Outcome = number | string;

/**
Sends a request to a port of this machine, and reads the response to its end.

@param options - The port, method, path and headers; a connection of its own unless they name an agent.
@param body - The body, if any.
@returns The status of the response, or the error code. Never rejects.
*/
export const fetchOutcome = async (options: RequestOptions, body?: Buffer | string): Promise<Outcome> => new Promise(resolve => {
	const outgoing = request({host: '127.0.0.1', agent: false, ...options}, incoming => {
		incoming.resume();
		incoming.on('close', () => {
			resolve(incoming.statusCode!);
		});
	});
	outgoing.on('error', (error: NodeJS.ErrnoException) => {
		resolve(error.code ?? error.message);
	});
	outgoing.end(body);
});
