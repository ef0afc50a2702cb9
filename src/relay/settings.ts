import {z} from 'zod';
import {address, label} from '../settings/settings.js';

/** The settings of `galena-relay`, by section. */
export const relaySettings = z.object({
	host: z.object({name: label}),
	listen: z.object({
		/** Where routers connect that do not reach the store. */
		routers: address,
		/** Counters, as text. */
		metrics: address,
	}),
	store: z.object({address}),
});

/** Checked settings of a relay. */
export type RelaySettings = z.output<typeof relaySettings>;
