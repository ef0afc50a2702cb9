import type {AddressInfo} from 'node:net';
import process from 'node:process';
import {startEdge} from '../edge/edge.js';
import type {EdgeSettings} from '../edge/settings.js';
import {openBoundedLog} from '../log/bounded.js';
import {sleep} from '../loop/sleep.js';
import {createSampleRows} from '../platform/sample.js';
import {listen} from '../server/http.js';
import {parseAddress} from '../server/address.js';
import {createMemoryStore} from './memory-store.js';
import {runSampleClient} from './sample-client.js';
import {createSampleEndpoint} from './sample-endpoint.js';

const loopback = {host: '127.0.0.1', port: 0} as const;

/** Number of endpoints in the sample registry, all at one address: decisions depend on their number. */
const endpointCount = 40;

/** Number of sample routers. Code that is optimized for the objects of a single one would have to be optimized anew for the router of the process. */
const routerCount = 2;

/** Number of clients, each with one request at a time. */
const clientCount = 12;

/** Interval at which it is checked whether the sample router is ready, in ms. */
const readyPollMs = 5;

/** Number of requests whose processor time is stated. */
const statedRequests = 160;

/** What a warm-up has done. */
export type WarmUp = Readonly<{
	requests: number;
	elapsedMs: number;
	/** Processor time of a request in ms, with that of its client and its endpoint, among the first and the last ones. */
	firstRequestMs: number;
	lastRequestMs: number;
}>;

const readProcessorMs = (): number => {
	const {user, system} = process.cpuUsage();
	return (user + system) / 1000;
};

const round = (milliseconds: number): number => Math.round(milliseconds * 100) / 100;

const discardedLog = () => openBoundedLog({write: () => true, backlog: () => 0}, {});

/** Settings of a sample router: those of the process, with addresses that nobody else can reach. */
const createSampleSettings = (settings: EdgeSettings, name: string): EdgeSettings => ({
	...settings,
	host: {...settings.host, name, address: loopback.host},
	listen: {
		callers: loopback, ready: loopback, metrics: loopback, peers: loopback,
	},
	limits: {...settings.limits, 'cpu-share': undefined},
});

/**
Serves sample requests inside the process, so that its code is optimized before the first client's request. Routers of its own
take them over the loopback interface, with a store in memory and an endpoint: nothing leaves the process, and nothing of it is
logged or counted.

Load pattern: a router that has just started gets its full load at once, and a request takes three times as much processor time as
later on.

@param settings - Settings of the process.
@param limits - Number of requests and time in ms after which it ends, and a signal that ends it at once.
@returns What was done.
*/
export const warmUp = async (settings: EdgeSettings, {maxRequests, maxMs, signal}: Readonly<{maxRequests: number; maxMs: number; signal: AbortSignal}>): Promise<WarmUp> => {
	const startedAt = performance.now();
	const endpoint = createSampleEndpoint();
	await listen(endpoint, loopback);
	const {port} = endpoint.address() as AddressInfo;
	const rows = createSampleRows(settings.host['data-centre'], Array.from({length: endpointCount}, () => `${loopback.host}:${port}`));
	const store = createMemoryStore(rows);
	const edges = await Promise.all(Array.from({length: routerCount}, async (_, index) => startEdge(createSampleSettings(settings, `sample-${index}`), discardedLog(), {store})));
	const isOver = () => signal.aborted || performance.now() - startedAt >= maxMs;
	const awaitReady = async (): Promise<void> => {
		if (!edges.every(edge => edge.isReady()) && !isOver()) {
			await sleep(readyPollMs);
			return awaitReady();
		}
	};

	await awaitReady();
	let requests = 0;
	const usedMs = [readProcessorMs()];
	const takeNext = (): number | undefined => {
		if (isOver() || requests >= maxRequests) {
			return undefined;
		}

		requests += 1;
		if (requests % statedRequests === 0) {
			usedMs.push(readProcessorMs());
		}

		return requests;
	};

	await Promise.all(Array.from({length: clientCount}, async (_, index) => runSampleClient(parseAddress(edges[index % routerCount]!.address), takeNext)));
	edges.forEach(edge => {
		edge.close();
	});
	endpoint.close();
	const requestMs = usedMs.slice(1).map((used, index) => (used - usedMs[index]!) / statedRequests);
	return {
		requests, elapsedMs: Math.round(performance.now() - startedAt), firstRequestMs: round(requestMs[0] ?? 0), lastRequestMs: round(requestMs.at(-1) ?? 0),
	};
};
