import {z} from 'zod';
import {limitsSection} from '../settings/limits.js';
import {address, label} from '../settings/settings.js';

/** Schema of the `galena-relay` settings, by section. */
export const relaySettings = z.object({
	host: z.object({name: label}),
	listen: z.object({
		/** Address for routers that cannot reach the store directly. */
		routers: address,
		/** Address that serves the counters, in the Prometheus text format. */
		metrics: address,
	}),
	store: z.object({address}),
	limits: limitsSection,
});

/** Validated settings of a relay. */
export type RelaySettings = z.output<typeof relaySettings>;
