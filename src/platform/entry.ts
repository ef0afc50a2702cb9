import {z} from 'zod';
import {
	createFault, createValidationFault, fail, succeed,
} from '../errors/index.js';
import type {Result} from '../errors/index.js';
import type {RegistryEntry} from '../registry/index.js';
import {isRemoteAddress} from '../server/address.js';
import {decodeJson} from './json.js';

/** Requests name the id in a header. */
const idPattern = /^[\u0021-\u007E]+$/v;

const entrySchema = z.object({
	service: z.string(),
	address: z.string().refine(isRemoteAddress, 'is not an IP address and a port'),
	/** The data centre. */
	zone: z.string(),
	/** Version of the endpoint's software, not of its model. */
	version: z.string(),
	slots: z.number().int().nonnegative(),
	state: z.enum(['ready', 'draining']),
	/** Remaining warm-up time after the start, during which the endpoint is slow. */
	coldRemainingMs: z.number().default(0),
	/** Start time of this incarnation, in Unix ms. The same id with another start time is another incarnation. */
	born: z.number().int().optional(),
});

/**
Decodes an endpoint's entry in the registry.

@param id - Key of the entry, which is the endpoint's id.
@param text - Value of the entry.
@param rowVersion - Version of its row.
@returns The decoded entry, or a fault that names the invalid field.
*/
export const decodeEntry = (id: string, text: string | undefined, rowVersion: number): Result<RegistryEntry> => {
	if (!idPattern.test(id)) {
		return fail(createFault('bad-request', `endpoint ${JSON.stringify(id)}: id: has characters that a header cannot hold`));
	}

	const parsed = entrySchema.safeParse(decodeJson(text));
	if (!parsed.success) {
		return fail(createValidationFault(parsed.error, `endpoint ${id}`));
	}

	const {data} = parsed;
	return succeed({
		id,
		service: data.service,
		address: data.address,
		dataCentre: data.zone,
		softwareVersion: data.version,
		slots: data.slots,
		isLeaving: data.state === 'draining',
		slowStartMs: data.coldRemainingMs,
		startedAt: data.born ?? 0,
		rowVersion,
	});
};
