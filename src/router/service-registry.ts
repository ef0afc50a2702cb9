import {request} from 'undici';
import {z} from 'zod';
import {createValidationFault} from '../errors/index.js';
import type {Log} from '../log/index.js';
import {isRemoteAddress} from '../server/address.js';

/** A process in the platform's service registry. */
export type RegisteredProcess = Readonly<{address: string; isLeaving: boolean}>;

/** Client of the platform's service registry. Entries may be out of date. */
export type ServiceRegistry = Readonly<{
	/** Lists the processes of a service, live and leaving. */
	list: (service: 'galena-router' | 'galena-agent') => Promise<readonly RegisteredProcess[]>;
}>;

const entrySchema = z.object({
	Service: z.object({Address: z.string(), Port: z.number()}),
	Checks: z.array(z.object({Status: z.string()})),
}).transform(({Service: {Address: host, Port: port}, Checks: checks}): RegisteredProcess => ({
	address: `${host}:${port}`,
	isLeaving: checks.some(check => check.Status !== 'passing'),
})).refine(({address}) => isRemoteAddress(address), {error: 'is not an IP address and a port', path: ['Service']});

const requestTimeoutMs = 1000;

/**
Opens a client of the service registry, which uses the health endpoint of Consul's HTTP API (version 1).

@param address - Base URL, such as `http://127.0.0.1:8500`.
@param log - Log of the entries that cannot be read; they name no process.
@returns The client.
*/
export const openServiceRegistry = (address: string, log: Log): ServiceRegistry => ({
	async list(service) {
		const response = await request(`${address}/v1/health/service/${service}`, {headersTimeout: requestTimeoutMs, bodyTimeout: requestTimeoutMs});
		const entries = z.array(z.unknown()).parse(await response.body.json());
		return entries.flatMap((entry, index) => {
			const parsed = entrySchema.safeParse(entry);
			if (parsed.success) {
				return parsed.data;
			}

			log.warn('registry-entry-unreadable', {service, index, reason: createValidationFault(parsed.error, 'entry').detail});
			return [];
		});
	},
});
