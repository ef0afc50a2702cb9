import {request} from 'undici';

/** A process on the platform's host list. */
export type ListedHost = Readonly<{address: string; isLeaving: boolean}>;

/** Reads the platform's lagging list of live and leaving hosts. */
export type HostList = Readonly<{
	list: (service: 'galena-router' | 'galena-agent') => Promise<readonly ListedHost[]>;
}>;

type Entry = Readonly<{
	Service: Readonly<{Address: string; Port: number}>;
	Checks: ReadonlyArray<Readonly<{Status: string}>>;
}>;

const timeout = 1000; // Milliseconds

/**
Opens a client of the host list, by the health path of Consul's published HTTP API (version 1).

@param address - For example `http://127.0.0.1:8500`.
@returns The client.
*/
export const openHostList = (address: string): HostList => ({
	async list(service) {
		const response = await request(`${address}/v1/health/service/${service}`, {headersTimeout: timeout, bodyTimeout: timeout});
		const entries = await response.body.json() as readonly Entry[];
		return entries.map(({Service: where, Checks: checks}) => ({
			address: `${where.Address}:${where.Port}`,
			isLeaving: checks.some(check => check.Status !== 'passing'),
		}));
	},
});
