import {z} from 'zod';
import {
	address, wholeNumber, duration, httpAddress, label, logSection, fraction, byteSize,
} from '../settings/index.js';
import {limitsSchema} from '../settings/limits.js';

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
		seed: wholeNumber.default(1),
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
		size: wholeNumber.default(20_000),
		/** Time of demand that a grant covers. */
		horizon: duration.default(4_200_000),
		/** Fraction of the ungranted tokens that one draw may take, divided by the number of routers. */
		share: fraction.default(0.5),
		/** Cost of a refused token relative to that of a stranded one (held but not used). */
		'refusal-cost': wholeNumber.default(10),
	}).prefault({}),
	/** Limits of requests, and of the machine. */
	limits: limitsSchema.extend({
		/** Maximum size of a client request's body. */
		body: byteSize.default(4 * 1024 * 1024),
		/** Maximum size of a client request's headers. */
		headers: byteSize.default(16 * 1024),
	}).strict().prefault({}),
	log: logSection,
});

/** Validated settings of a router. */
export type RouterSettings = z.output<typeof routerSettings>;
