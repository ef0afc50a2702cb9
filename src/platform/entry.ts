import {isIP} from 'node:net';
import {z} from 'zod';
import {describeIssue, fail, succeed} from '../errors/index.js';
import type {Result} from '../errors/index.js';
import type {Listing} from '../registry/index.js';
import {parseAddress} from '../server/address.js';
import {decodeJson} from './json.js';

const wireEntry = z.object({
	service: z.string(),
	address: z.string().refine(text => {
		const {host, port} = parseAddress(text);
		return isIP(host) !== 0 && Number.isInteger(port) && port > 0 && port < 65_536;
	}, 'is not an IP number and a port'),
	/** The data centre. */
	zone: z.string(),
	slots: z.number().int().nonnegative(),
	state: z.enum(['ready', 'draining']),
	/** Milliseconds for which it stays slow after its start. */
	coldRemainingMs: z.number().default(0),
	/** When this incarnation began, in Unix ms: the same id with another value is another incarnation. */
	born: z.number().int().optional(),
});

/**
Decodes an endpoint's entry in the registry.

@param id - The entry's key, which is the endpoint's id.
@param text - The entry's value.
@returns What it lists, or a fault that names the wrong field.
*/
export const decodeEntry = (id: string, text: string | undefined): Result<Listing> => {
	const parsed = wireEntry.safeParse(decodeJson(text));
	if (!parsed.success) {
		return fail(describeIssue(parsed.error, `endpoint ${id}`));
	}

	const {data} = parsed;
	return succeed({
		id,
		service: data.service,
		address: data.address,
		dataCentre: data.zone,
		slots: data.slots,
		isLeaving: data.state === 'draining',
		coldFor: data.coldRemainingMs,
		bornAt: data.born ?? 0,
	});
};
