import {request} from 'undici';
import type {Json} from '../table/index.js';

/** What a router answered to an operator. */
export type OperatorReply = Readonly<{status: number; body: Json; revision: string | undefined}>;

/** Calls the operators' interface of one router. */
export type OperatorClient = Readonly<{
	call: (method: 'GET' | 'PUT' | 'POST', path: string, body?: Json, headers?: Readonly<Record<string, string>>) => Promise<OperatorReply>;
}>;

const timeout = 15_000; // Milliseconds

/**
Opens a client of a router's operators' interface.

@param address - For example `http://10.0.0.5:8080`.
@param key - The operator's key.
@returns The client.
*/
export const openOperator = (address: string, key: string): OperatorClient => ({
	async call(method, path, body, headers = {}) {
		const response = await request(`${address}${path}`, {
			method,
			headers: {authorization: `Bearer ${key}`, 'content-type': 'application/json', ...headers},
			...(body !== undefined && {body: JSON.stringify(body)}),
			headersTimeout: timeout,
			bodyTimeout: timeout,
		});
		const {etag} = response.headers;
		return {status: response.statusCode, body: await response.body.json() as Json, revision: typeof etag === 'string' ? etag.replaceAll('"', '') : undefined};
	},
});
