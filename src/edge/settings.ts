import {z} from 'zod';
import {
	address, addresses, count, duration, label, share,
} from '../settings/settings.js';

/** The settings of `galena-edge`, by section. */
export const edgeSettings = z.object({
	host: z.object({
		/** Names this host among all routers. */
		name: label,
		/** Tells a host from another that had the same name before. */
		address: z.string(),
		'data-centre': label,
	}),
	listen: z.object({
		callers: address,
		/** Answers whether new connections are welcome. */
		ready: address,
		/** Counters and histograms, as text. */
		metrics: address,
		/** Where peers say what they have under way, by datagrams. */
		peers: address,
	}),
	store: z.object({
		address,
		/** Relays that may reach the store when this host does not. */
		relays: addresses.default([]),
	}),
	bounds: z.object({
		/** From the signal to stop to the kill. */
		grace: duration,
		/** Repeats for each call, over all routers. */
		'repeat-ratio': share,
		/** Repeats beyond that in one window, over all routers. */
		'repeat-slack': count,
	}),
});

/** Checked settings of the edge. */
export type EdgeSettings = z.output<typeof edgeSettings>;
