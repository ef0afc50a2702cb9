import {Agent} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {beforeAll, expect, test} from 'vitest';
import {
	buildConfig, bundlePrograms, formatPrefix, startEdgeProcess,
} from './edge-process.js';
import type {EdgeProcess} from './edge-process.js';
import {fetchOutcome} from './http-status.js';
import type {Outcome} from './http-status.js';
import {knownRedTest} from './known-red.js';

/** Time within which a confirmed version is in force, in ms. */
const configMs = 3000;

/** The smallest host: memory in MB, descriptors, cores, and its link of 7 Mbit/s. */
const smallest = {
	memory: 210, descriptors: 2212, cpuShare: 0.184, linkBytesPerMs: 875,
};

/** Routes of a large configuration. */
const routeCount = 1440;

beforeAll(bundlePrograms);

/** Starts the edge on the smallest host, with a large configuration and a feed of all its versions. */
const startSmallest = async (): Promise<EdgeProcess> => startEdgeProcess({...smallest, routeCount: routeCount + 1, store: {feedsAllVersions: true}});

/** Sends a request to a further route. */
const sendRequest = async ({port}: EdgeProcess, {routeIndex, id, agent}: Readonly<{routeIndex: number; id: string; agent: Agent | false}>): Promise<Outcome> => fetchOutcome({
	port, agent, path: `${formatPrefix(routeIndex)}p`, headers: {host: 'further', 'attempt-id': id, 'request-deadline-ms': '2000'},
});

/** True for a request that an operator's client sends again: without a response, or rejected as not run. */
const isRepeatable = (outcome: Outcome): boolean => typeof outcome === 'string' || outcome === 503;

/** Interval at which such a request is sent again, in ms, and how often. */
const repeatIntervalMs = 200;
const maxRepeats = 10;

/** Sends a request to the latest route of a version, and again while the host rejects it. */
const probe = async (edge: EdgeProcess, version: number, repeats = 0): Promise<Outcome> => {
	const outcome = await sendRequest(edge, {routeIndex: routeCount + version - 1, id: `probe-${version}-${repeats}`, agent: false});
	if (!isRepeatable(outcome) || repeats === maxRepeats) {
		return outcome;
	}

	await sleep(repeatIntervalMs);
	return probe(edge, version, repeats + 1);
};

/** The statuses of so many requests that are served. */
const formatServed = (count: number): string => Array.from({length: count}, () => 200).join(' ');

/** Versions that are written one after another, and the time between two of them, in ms. */
type Storm = Readonly<{count: number; gapMs: number}>;

/** Writes versions one after another, each of which adds a route. Resolves to the final outcomes of requests to these routes, each sent `configMs` after its version was confirmed. */
const writeVersions = async (edge: EdgeProcess, {count, gapMs}: Storm): Promise<readonly Outcome[]> => {
	const first = 2;
	return Promise.all(Array.from({length: count}, async (_, index) => {
		await sleep(index * gapMs);
		const version = first + index;
		edge.store.put('op', 'config', buildConfig(version, routeCount + version));
		await sleep(configMs);
		return probe(edge, version);
	}));
};

/** Versions in quick succession, as operators write them. */
const slowStorm: Storm = {count: 12, gapMs: 330};
const fastStorm: Storm = {count: 25, gapMs: 80};

// Guards against a configuration whose transfer is cut off by a time limit, sent twice, or queued behind older versions.
const testStorm = async (storm: Storm, freeFraction: number): Promise<void> => {
	const edge = await startSmallest();
	edge.link?.setRate(smallest.linkBytesPerMs * freeFraction);
	const statuses = await writeVersions(edge, storm);
	expect(statuses.join(' ')).toBe(formatServed(storm.count));
};

test('a large configuration is in force in time on the smallest host, alone', async () => testStorm(slowStorm, 1), 60_000);

knownRedTest.each([
	['in a faster storm', fastStorm, 1],
	['beside other bytes on half of the link', slowStorm, 0.5],
])('a large configuration is in force in time on the smallest host, %s', async (_, storm, freeFraction) => testStorm(storm, freeFraction), 60_000);

/** Clients that send one request after another; together more than the smallest host can serve. */
const clientCount = 16;

/** Keeps clients sending until the returned function is called. */
const startClients = (edge: EdgeProcess): (() => Promise<unknown>) => {
	const agent = new Agent({keepAlive: true});
	let isStopped = false;
	const sendRepeatedly = async (client: number, count = 0): Promise<void> => {
		if (isStopped) {
			return;
		}

		await sendRequest(edge, {routeIndex: client, id: `load-${client}-${count}`, agent});
		return sendRepeatedly(client, count + 1);
	};

	const clients = Promise.all(Array.from({length: clientCount}, async (_, client) => sendRepeatedly(client)));
	return async () => {
		isStopped = true;
		await clients;
		agent.destroy();
	};
};

// Guards against a configuration that waits behind a backlog of requests.
test('an overloaded host rejects requests, but handles none by an older version', async () => {
	const edge = await startSmallest();
	const stopClients = startClients(edge);
	const statuses = await writeVersions(edge, slowStorm);
	await stopClients();
	expect(statuses).not.toContain(404);
}, 60_000);

/** Time after which a host that was disturbed is held to its bounds again, in ms. */
const contactMs = 4000;

// Guards against a host that takes up an older configuration as its first one, or loses its place in the feed.
test.each<[string, (edge: EdgeProcess) => void | Promise<void>]>([
	['starts again', async edge => edge.restart()],
	['loses its store for a second', async ({store}) => {
		store.setUnavailable(true);
		await sleep(1000);
		store.setUnavailable(false);
	}],
	['has its store restored from a copy', ({store}) => {
		store.restore(2000);
	}],
])('a host that %s in a storm has the latest configuration in time', async (_, disturb) => {
	const edge = await startSmallest();
	const count = 24;
	const written = writeVersions(edge, {count, gapMs: slowStorm.gapMs});
	await sleep(1500);
	await disturb(edge);
	const heldFrom = Math.ceil((1500 + 1000 + contactMs) / slowStorm.gapMs);
	const statuses = await written;
	expect(statuses.slice(heldFrom).join(' ')).toBe(formatServed(count - heldFrom));
}, 60_000);
