import {validateHeaderName, validateHeaderValue} from 'node:http';
import {createFault, fail, succeed} from '../errors/index.js';
import type {Result} from '../errors/index.js';

declare const writable: unique symbol;

/** Raw headers, alternating names and values, which Node.js can write. */
export type WritableHeaders = readonly string[] & Readonly<{[writable]: true}>;

/** The head of a final response, which Node.js can write, and whose client can read what follows as its body. */
export type FinalHead = Readonly<{status: number; headers: WritableHeaders}>;

/** Statuses of final responses, as in RFC 9110, 15. A client takes a lower one for an interim response, or for a switch to another protocol. */
const finalStatuses = {min: 200, max: 599} as const;

/**
Checks that raw headers can be written. Node.js reads more than it writes, and throws on the rest: its parser
accepts names that are empty or have a blank.

@param raw - Raw headers, alternating names and values.
@returns The same headers, or a fault that names the invalid one.
*/
export const checkHeaders = (raw: readonly string[]): Result<WritableHeaders> => {
	try {
		raw.forEach((text, index) => {
			if (index % 2 === 0) {
				validateHeaderName(text);
			} else {
				validateHeaderValue(raw[index - 1]!, text);
			}
		});
		return succeed(raw as WritableHeaders);
	} catch (error) {
		return fail(createFault('bad-request', `header: ${error instanceof Error ? error.message : 'cannot be written'}`));
	}
};

/**
Checks that a head can be written, and is that of a final response.

@param status - The status code.
@param raw - Raw headers, alternating names and values.
@returns The head, or a fault that names what is invalid.
*/
export const checkFinalHead = (status: number, raw: readonly string[]): Result<FinalHead> => status >= finalStatuses.min && status <= finalStatuses.max
	? checkHeaders(raw).map(headers => ({status, headers}))
	: fail(createFault('bad-request', `status: ${status} is not that of a final response`));
