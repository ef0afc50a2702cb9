import {z} from 'zod';
import {
	address, wholeNumber, duration, label, logSection,
} from '../settings/index.js';

/** The schema of the settings of `galena-standin`; each section present, other than `log`, starts one stand-in. */
export const standinSettings = z.strictObject({
	table: z.strictObject({
		listen: address,
		'writes-per-second': wholeNumber.default(500),
		'reads-per-second': wholeNumber.default(2000),
		seed: wholeNumber.default(1),
	}).optional(),
	hosts: z.strictObject({
		listen: address,
		lag: duration.default(500),
	}).optional(),
	engine: z.strictObject({
		listen: address,
		model: label.default('standin-model'),
		'max-running': wholeNumber.default(32),
	}).optional(),
	service: z.strictObject({listen: address}).optional(),
	log: logSection,
});

/** Validated settings of `galena-standin`. */
export type StandinSettings = z.output<typeof standinSettings>;
