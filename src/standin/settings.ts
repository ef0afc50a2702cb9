import {z} from 'zod';
import {
	address, count, duration, label, logSection,
} from '../settings/index.js';

/** The schema of the settings of `galena-standin`; each section present, other than `log`, starts one stand-in. */
export const standinSettings = z.strictObject({
	table: z.strictObject({
		listen: address,
		'writes-per-second': count.default(500),
		'reads-per-second': count.default(2000),
		seed: count.default(1),
	}).optional(),
	hosts: z.strictObject({
		listen: address,
		lag: duration.default(500),
	}).optional(),
	engine: z.strictObject({
		listen: address,
		model: label.default('standin-model'),
		'max-running': count.default(32),
	}).optional(),
	service: z.strictObject({listen: address}).optional(),
	log: logSection,
});

/** Validated settings of `galena-standin`. */
export type StandinSettings = z.output<typeof standinSettings>;
