import {z} from 'zod';
import {
	address, count, duration, httpAddress, label, logSection, share, size,
} from '../settings/index.js';

/** The settings of `galena-router`, by section. */
export const routerSettings = z.strictObject({
	router: z.strictObject({
		/** Listen address for clients and operators. */
		listen: address,
		/** Listen address for peers and agents. */
		control: address,
		'data-centre': label,
		/** Base URL of the service registry. */
		hosts: httpAddress,
		seed: count.default(1),
	}),
	table: z.strictObject({
		address: httpAddress,
		name: label.default('galena'),
		timeout: duration.default(1000),
	}),
	/** SHA-256 of each operator's API key, by operator name. */
	operators: z.record(label, z.string().regex(/^[a-f\d]{64}$/v, 'must be a SHA-256 in lower-case hex')).prefault({}),
	grants: z.strictObject({
		policy: z.enum(['fixed', 'horizon', 'forecast', 'newsvendor']).default('newsvendor'),
		/** Size of the first grant, in tokens. */
		size: count.default(20_000),
		/** Time of demand that a grant covers. */
		horizon: duration.default(4_200_000),
		/** Fraction of the ungranted tokens that one draw may take, divided by the number of routers. */
		share: share.default(0.5),
		/** Cost of a refused token relative to that of a stranded one (held but not used). */
		'refusal-cost': count.default(10),
	}).prefault({}),
	limits: z.strictObject({
		/** Maximum size of a client request's body. */
		body: size.default(4 * 1024 * 1024),
		/** Maximum size of a client request's headers. */
		headers: size.default(16 * 1024),
	}).prefault({}),
	log: logSection,
});

/** Validated settings of a router. */
export type RouterSettings = z.output<typeof routerSettings>;
