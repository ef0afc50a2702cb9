import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import type {
	CounterName, EdgeEffect, GaugeName, HistogramName as TimerName,
} from './messages.js';

/** Upper bounds of the histogram buckets, in ms. Dense around the latency targets of 0.2 to 0.5 s, and up to the longest timeouts. */
const bucketsMs = [5, 10, 20, 50, 100, 150, 200, 300, 400, 500, 750, 1000, 1500, 2000, 3000, 5000, 10_000, 15_000];

/** Value of a gauge when the metrics are read. */
export type GaugeValue = Readonly<{metric: GaugeName; labels: Readonly<Record<string, string>>; value: number}>;

/** Counters and histograms of a process. */
export type Metrics = Readonly<{
	apply: (effect: EdgeEffect & {kind: 'count' | 'observe'}) => void;
	/** Sets whether the process is overloaded and says that it is not ready. */
	setOverloaded: (isOverloaded: boolean) => void;
	/** Sets what is held for clients. */
	setHeld: (held: Readonly<{bytes: number; connections: number}>) => void;
	/** Formats all metrics in the Prometheus text format. */
	format: (gauges: readonly GaugeValue[]) => Promise<string>;
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
		heldBack: new Counter({
			name: 'galena_held_back_total', help: 'Decisions to hold back a request for the sake of more urgent ones, by service and priority.', labelNames: ['service', 'priority'], registers,
		}),
		attemptsFailed: new Counter({
			name: 'galena_attempts_failed_total', help: 'Failed attempts, by service and how far they got.', labelNames: ['service', 'stage'], registers,
		}),
		streamsResumed: new Counter({
			name: 'galena_streams_resumed_total', help: 'Streams that clients resume, by service and how their origin is known.', labelNames: ['service', 'origin'], registers,
		}),
		remoteRequests: new Counter({
			name: 'galena_remote_requests_total', help: 'Requests sent to endpoints of other data centres, by service.', labelNames: ['service'], registers,
		}),
		remoteBytes: new Counter({
			name: 'galena_remote_bytes_total', help: 'Bytes of the bodies of these requests, by service.', labelNames: ['service'], registers,
		}),
		givenUp: new Counter({
			name: 'galena_given_up_total', help: 'What was given up for lack of memory or descriptors, by kind; "refused" was not read.', labelNames: ['kind'], registers,
		}),
		streamsEnded: new Counter({
			name: 'galena_streams_ended_total', help: 'Streams that ended normally, by service and framing.', labelNames: ['service', 'framing'], registers,
		}),
		tokensGranted: new Counter({
			name: 'galena_tokens_granted_total', help: 'Tokens sent to other routers directly.', registers,
		}),
		tokensReceived: new Counter({
			name: 'galena_tokens_received_total', help: 'Tokens received from other routers directly.', registers,
		}),
		feedBytes: new Counter({
			name: 'galena_feed_bytes_total', help: 'Bytes of the store\'s replies from which a followed table was updated, by table.', labelNames: ['table'], registers,
		}),
		abandonedBytes: new Counter({
			name: 'galena_store_abandoned_bytes_total', help: 'Bytes received of replies of the store that were given up before they were complete.', registers,
		}),
		stageTime: new Counter({
			name: 'galena_stage_milliseconds_total',
			help: 'Time of the event loop on requests, by stage. The first 160 requests of a process meet code that is not optimized yet.',
			labelNames: ['stage', 'requests'],
			registers,
		}),
		outcomeTime: new Counter({
			name: 'galena_outcome_milliseconds_total', help: 'The same for requests that have ended, by outcome.', labelNames: ['outcome'], registers,
		}),
		outcomes: new Counter({
			name: 'galena_outcomes_total', help: 'These requests, and those that were shed as they were read, by outcome.', labelNames: ['outcome'], registers,
		}),
		processorTime: new Counter({
			name: 'galena_processor_milliseconds_total', help: 'Processor time of the process, with Node\'s own work on sockets and other threads.', registers,
		}),
		tokenShortages: new Counter({
			name: 'galena_token_shortages_total', help: 'Requests rejected because tokens were short, by reason.', labelNames: ['reason'], registers,
		}),
	};
	const gauges: Readonly<Record<GaugeName, Gauge>> = {
		evacuatedDataCentres: new Gauge({name: 'galena_evacuated_data_centres', help: 'Data centres whose endpoints get nothing new.', registers}),
		configVersion: new Gauge({name: 'galena_configuration_version', help: 'Version of the configuration that is in force.', registers}),
		coldEndpoints: new Gauge({name: 'galena_cold_endpoints', help: 'Endpoints that are cold, of services with a rate for cold ones.', registers}),
		coldShare: new Gauge({name: 'galena_cold_share', help: 'Requests per second that this router may send to all cold endpoints together.', registers}),
		serviceRate: new Gauge({
			name: 'galena_service_rate', help: 'Learned rates of a service: prompt tokens per ms, or ms.', labelNames: ['service', 'rate'], registers,
		}),
		endpointWorkFactor: new Gauge({
			name: 'galena_endpoint_work_factor', help: 'Factor by which the work of an endpoint takes longer than predicted.', labelNames: ['endpoint'], registers,
		}),
		overflowFraction: new Gauge({
			name: 'galena_overflow_fraction', help: 'Fraction of the requests of a service that may leave the data centre.', labelNames: ['service'], registers,
		}),
		endpointReportTrust: new Gauge({
			name: 'galena_endpoint_report_trust', help: 'Weight of the work factor that an endpoint states, from 0 to 1.', labelNames: ['endpoint'], registers,
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
		closeQueued: new Histogram({
			name: 'galena_close_queued_milliseconds', help: 'Time from when the close of a client was read to when its request was ended.', buckets: bucketsMs, registers,
		}),
		feedReceive: new Histogram({
			name: 'galena_feed_receive_milliseconds', help: 'Time from the head to the last byte of replies for a followed table, by table.', labelNames: ['table'], buckets: bucketsMs, registers,
		}),
		configDecode: new Histogram({
			name: 'galena_configuration_decode_milliseconds', help: 'Time that it took to decode a version of the configuration.', buckets: bucketsMs, registers,
		}),
		lag: new Histogram({
			name: 'galena_lag_milliseconds', help: 'Lag of a timer that fires every 20 ms: how long the event loop did not poll its sockets.', buckets: bucketsMs, registers,
		}),
	};
	const overloaded = new Gauge({
		name: 'galena_overloaded', help: '1 while the process is overloaded and says that it is not ready.', registers,
	});
	const heldBytes = new Gauge({name: 'galena_held_bytes', help: 'Memory that is held for clients.', registers});
	const connections = new Gauge({name: 'galena_client_connections', help: 'Open connections of clients.', registers});
	return {
		setOverloaded(isOverloaded) {
			overloaded.set(isOverloaded ? 1 : 0);
		},
		setHeld(held) {
			heldBytes.set(held.bytes);
			connections.set(held.connections);
		},
		apply(effect) {
			if (effect.kind === 'count') {
				counters[effect.metric].inc(effect.labels, effect.amount ?? 1);
			} else {
				histograms[effect.metric].observe(effect.labels, effect.milliseconds);
			}
		},
		async format(values) {
			Object.values(gauges).forEach(gauge => {
				gauge.reset();
			});
			values.forEach(({metric, labels, value}) => {
				gauges[metric].set(labels, value);
			});
			return registry.metrics();
		},
	};
};
