import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import type {CounterName, EdgeEffect, HistogramName as TimerName} from './messages.js';

/** Upper bounds of the histogram buckets, in ms. Dense around the latency targets of 0.2 to 0.5 s, and up to the longest timeouts. */
const bucketsMs = [5, 10, 20, 50, 100, 150, 200, 300, 400, 500, 750, 1000, 1500, 2000, 3000, 5000, 10_000, 15_000];

/** Counters and histograms of a process. */
export type Metrics = Readonly<{
	apply: (effect: EdgeEffect & {kind: 'count' | 'observe'}) => void;
	/** Sets what is held for clients. */
	setHeld: (held: Readonly<{bytes: number; connections: number}>) => void;
	/** Formats all metrics in the Prometheus text format. */
	format: () => Promise<string>;
}>;

/**
Creates the metrics of the edge process.

@returns The metrics, all zero.
*/
export const openMetrics = (): Metrics => {
	const registry = new Registry();
	const registers = [registry];
	const counters: Readonly<Record<CounterName, Counter>> = {
		calls: new Counter({
			name: 'galena_calls_total', help: 'Calls by route and outcome.', labelNames: ['route', 'outcome'], registers,
		}),
		attemptsFailed: new Counter({
			name: 'galena_attempts_failed_total', help: 'Failed attempts, by service and how far they got.', labelNames: ['service', 'stage'], registers,
		}),
		streamsResumed: new Counter({
			name: 'galena_streams_resumed_total', help: 'Streams that clients resume, by service and how their origin is known.', labelNames: ['service', 'origin'], registers,
		}),
		givenUp: new Counter({
			name: 'galena_given_up_total', help: 'What was given up for lack of memory or descriptors, by kind; "refused" was not read.', labelNames: ['kind'], registers,
		}),
		streamsEnded: new Counter({
			name: 'galena_streams_ended_total', help: 'Streams that ended normally, by service and framing.', labelNames: ['service', 'framing'], registers,
		}),
	};
	const histograms: Readonly<Record<TimerName, Histogram>> = {
		call: new Histogram({
			name: 'galena_call_milliseconds', help: 'Time from a call\'s arrival to its end, by route.', labelNames: ['route'], buckets: bucketsMs, registers,
		}),
		firstOutput: new Histogram({
			name: 'galena_first_output_milliseconds', help: 'Time from a call\'s arrival to the first event, by route.', labelNames: ['route'], buckets: bucketsMs, registers,
		}),
		unread: new Histogram({
			name: 'galena_unread_milliseconds', help: 'Longest time for which a request may have waited until it was read, by connection.', labelNames: ['connection'], buckets: bucketsMs, registers,
		}),
		lag: new Histogram({
			name: 'galena_lag_milliseconds', help: 'Lag of a timer that fires every 20 ms: how long the event loop did not poll its sockets.', buckets: bucketsMs, registers,
		}),
	};
	const heldBytes = new Gauge({name: 'galena_held_bytes', help: 'Memory that is held for clients.', registers});
	const connections = new Gauge({name: 'galena_client_connections', help: 'Open connections of clients.', registers});
	return {
		setHeld(held) {
			heldBytes.set(held.bytes);
			connections.set(held.connections);
		},
		apply(effect) {
			if (effect.kind === 'count') {
				counters[effect.metric].inc(effect.labels, 1);
			} else {
				histograms[effect.metric].observe(effect.labels, effect.milliseconds);
			}
		},
		format: async () => registry.metrics(),
	};
};
