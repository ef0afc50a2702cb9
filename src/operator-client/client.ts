import {Agent, request} from 'undici';
import type {JsonValue} from '../table/index.js';

/** A router's response to an operator request. The revision comes from the `ETag` header, if there is one. */
export type OperatorReply = Readonly<{status: number; body: JsonValue; revision: string | undefined}>;

/** A client of the operator API of one router. */
export type OperatorClient = Readonly<{
	call: (method: 'GET' | 'PUT' | 'POST', path: string, body?: JsonValue, headers?: Readonly<Record<string, string>>) => Promise<OperatorReply>;
}>;

const timeoutMs = 15_000;

/** Maximum size of a response, in bytes. */
const maxResponseBytes = 16 * 1024 * 1024;

const dispatcher = new Agent({maxResponseSize: maxResponseBytes});

/**
Creates a client of a router's operator API.

@param address - For example `http://10.0.0.5:8080`.
@param key - The operator's API key.
@returns The client.
*/
export const createOperatorClient = (address: string, key: string): OperatorClient => ({
	async call(method, path, body, headers = {}) {
		const response = await request(`${address}${path}`, {
			dispatcher,
			method,
			headers: {authorization: `Bearer ${key}`, 'content-type': 'application/json', ...headers},
			...(body !== undefined && {body: JSON.stringify(body)}),
			headersTimeout: timeoutMs,
			bodyTimeout: timeoutMs,
		});
		const {etag} = response.headers;
		return {status: response.statusCode, body: await response.body.json() as JsonValue, revision: typeof etag === 'string' ? etag.replaceAll('"', '') : undefined};
	},
});
