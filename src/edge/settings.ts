import {z} from 'zod';
import {limitsSection} from '../settings/limits.js';
import {
	address, addresses, wholeNumber, duration, label, fraction,
} from '../settings/settings.js';

/** Schema of the `galena-edge` settings, by section. */
export const edgeSettings = z.object({
	host: z.object({
		/** Unique name of this host among all routers. */
		name: label,
		/** Distinguishes this host from an earlier one of the same name. */
		address: z.string(),
		'data-centre': label,
	}),
	listen: z.object({
		callers: address,
		/** Readiness health check: whether new connections are accepted. */
		ready: address,
		/** Counters and histograms, in the Prometheus text format. */
		metrics: address,
		/** UDP address that receives the load reports of peers. */
		peers: address,
	}),
	store: z.object({
		address,
		/** Relays used when this host cannot reach the store directly. */
		relays: addresses.default([]),
	}),
	bounds: z.object({
		/** Time between the stop signal and the forced kill, in ms. */
		grace: duration,
		/** Time for which an endpoint goes on serving after the store has accepted that it leaves, in ms. */
		drain: duration.default(2000),
		/** Retry budget: retries per client request, over all routers. */
		'repeat-ratio': fraction,
		/** Retry budget: additional retries per time window, over all routers. */
		'repeat-slack': wholeNumber,
	}),
	limits: limitsSection,
});

/** Validated settings of the edge process. */
export type EdgeSettings = z.output<typeof edgeSettings>;
