import {request} from 'undici';

/** A process in the platform's service registry. */
export type RegisteredProcess = Readonly<{address: string; isLeaving: boolean}>;

/** Client of the platform's service registry. Entries may be out of date. */
export type ServiceRegistry = Readonly<{
	/** Lists the processes of a service, live and leaving. */
	list: (service: 'galena-router' | 'galena-agent') => Promise<readonly RegisteredProcess[]>;
}>;

type HealthEntry = Readonly<{
	Service: Readonly<{Address: string; Port: number}>;
	Checks: ReadonlyArray<Readonly<{Status: string}>>;
}>;

const requestTimeoutMs = 1000;

/**
Opens a client of the service registry, which uses the health endpoint of Consul's HTTP API (version 1).

@param address - Base URL, such as `http://127.0.0.1:8500`.
@returns The client.
*/
export const openServiceRegistry = (address: string): ServiceRegistry => ({
	async list(service) {
		const response = await request(`${address}/v1/health/service/${service}`, {headersTimeout: requestTimeoutMs, bodyTimeout: requestTimeoutMs});
		const entries = await response.body.json() as readonly HealthEntry[];
		return entries.map(({Service: location, Checks: checks}) => ({
			address: `${location.Address}:${location.Port}`,
			isLeaving: checks.some(check => check.Status !== 'passing'),
		}));
	},
});
