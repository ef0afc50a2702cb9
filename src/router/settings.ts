import {z} from 'zod';
import {
	address, count, duration, httpAddress, label, logSection, share, size,
} from '../settings/index.js';

/** The settings of `galena-router`, by section. */
export const routerSettings = z.strictObject({
	router: z.strictObject({
		/** Where callers and operators reach it. */
		listen: address,
		/** Where peers and agents reach it. */
		control: address,
		'data-centre': label,
		/** The host list. */
		hosts: httpAddress,
		seed: count.default(1),
	}),
	table: z.strictObject({
		address: httpAddress,
		name: label.default('galena'),
		timeout: duration.default(1000),
	}),
	/** SHA-256 of each operator's key, by name. */
	operators: z.record(label, z.string().regex(/^[a-f\d]{64}$/v, 'must be a SHA-256 in lower-case hex')).prefault({}),
	grants: z.strictObject({
		policy: z.enum(['fixed', 'horizon', 'forecast', 'newsvendor']).default('newsvendor'),
		/** Tokens of the first grant. */
		size: count.default(20_000),
		horizon: duration.default(4_200_000),
		share: share.default(0.5),
		'refusal-cost': count.default(10),
	}).prefault({}),
	limits: z.strictObject({
		body: size.default(4 * 1024 * 1024),
		headers: size.default(16 * 1024),
	}).prefault({}),
	log: logSection,
});

/** Checked settings of a router. */
export type RouterSettings = z.output<typeof routerSettings>;
