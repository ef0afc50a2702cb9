import {randomUUID} from 'node:crypto';
import {Map} from 'immutable';
import {startAgent} from '../agent/agent.js';
import type {Agent} from '../agent/agent.js';
import {createBudgetGrant} from '../budget/index.js';
import {applyRevision, emptyConfig} from '../config/index.js';
import {openLog} from '../log/index.js';
import {openAgentSession} from '../agent-view/index.js';
import type {AgentViews} from '../agent-view/index.js';
import {chooseAgent} from '../route/index.js';
import {handleRouter} from '../router/handle.js';
import {openServiceRegistry} from '../router/service-registry.js';
import {createRouterState} from '../router/state.js';
import type {RouterState} from '../router/state.js';
import type {JsonValue} from '../table/index.js';
import {sleep} from '../loop/index.js';
import {
	fitLine, measureCallUs, measureHeapBytes, readUsage,
} from './measure.js';
import {registerService, startProcesses, stopPrograms} from './processes.js';
import type {ProcessFleet} from './processes.js';

type WriteLine = (line: string) => void;
type Point = readonly [number, number];

const formatSlope = (name: string, unit: string, points: readonly Point[], digits = 1): string => {
	const fit = fitLine(points);
	const measured = points.map(([x, y]) => `${x}: ${y.toFixed(digits)}`).join(', ');
	return `${name}: ${fit.slope.toFixed(digits + 1)} ${unit} + ${fit.intercept.toFixed(digits)} (fit error ${(fit.error * 100).toFixed(0)}%; ${measured})`;
};

const identity = {incarnation: 'r-bench', address: '127.0.0.1:1', dataCentre: 'here'};

const buildRouterState = (count: number): RouterState => {
	const names = Array.from({length: count}, (_, index) => `budget-${index}`);
	return {...createRouterState(identity), pots: Map(names.map(name => [name, {...createBudgetGrant(name, 0), granted: 20_000, version: 1}]))};
};

const buildAgentViews = (count: number): AgentViews => Array.from({length: count}, (_, index) => index).reduce<AgentViews>((agents, index) => openAgentSession(agents, {
	agent: `a-${index}`, address: `10.0.${Math.floor(index / 250)}.${index % 250}:7000`, pool: 'pool', dataCentre: 'here', models: ['model'], capacity: 32, session: 1,
}, 0).agents, Map());

const buildConfig = (count: number) => applyRevision(emptyConfig, {
	revision: 1,
	isSnapshot: true,
	changes: Array.from({length: count}, (_, index) => ({
		name: `organisation/o-${index}`,
		value: {
			keys: [String(index).padStart(64, '0')], budget: `b-${index}`, classes: ['one', 'two'], defaultClass: 'one',
		},
	})),
});

const measureInProcess = (write: WriteLine) => {
	const sizes = [2000, 8000, 32_000];
	write(formatSlope('heap per held budget', 'bytes', sizes.map((size): Point => [size, measureHeapBytes(() => buildRouterState(size))]), 0));
	write(formatSlope('heap per known replica', 'bytes', [200, 800, 3200].map((size): Point => [size, measureHeapBytes(() => buildAgentViews(size))]), 0));
	write(formatSlope('heap per organisation', 'bytes', [500, 2000, 8000].map((size): Point => [size, measureHeapBytes(() => buildConfig(size))]), 0));
	write(formatSlope('tick', 'us per budget', [1000, 4000, 16_000].map((size): Point => {
		const state = buildRouterState(size);
		return [size, measureCallUs(() => handleRouter(state, {kind: 'tick'}, 1))];
	}), 2));
	write(formatSlope('replica selection', 'us per known replica', [20, 200, 2000].map((size): Point => {
		const agents = buildAgentViews(size);
		return [size, measureCallUs(() => chooseAgent(agents, {
			pool: 'pool', model: 'model', dataCentre: 'here', excluded: [], canDispatch: () => true, seed: 1, now: 1,
		}), 50)];
	}), 2));
};

const settleTimeMs = 5000;
const observationTimeMs = 10_000;

type IdleUsage = Readonly<{trafficBytesPerSecond: number; cpuFraction: number; memoryBytes: number}>;

/** Measures the control traffic, the CPU use as a fraction of a core, and the resident memory of an idle process. */
const measureIdleUsage = async (pid: number): Promise<IdleUsage> => {
	await sleep(settleTimeMs);
	const before = readUsage(pid);
	await sleep(observationTimeMs);
	const after = readUsage(pid);
	return {
		trafficBytesPerSecond: (after.trafficBytes - before.trafficBytes) * 1000 / observationTimeMs,
		cpuFraction: (after.cpuMs - before.cpuMs) / observationTimeMs,
		memoryBytes: after.memoryBytes,
	};
};

const silentLog = openLog({program: 'bench', level: 'silent', metrics: undefined});

const startAgents = async (fleet: ProcessFleet, count: number): Promise<readonly Agent[]> => {
	const hosts = fleet.hosts.started.address!;
	const hostList = openServiceRegistry(`http://${hosts}`, silentLog);
	return Promise.all(Array.from({length: count}, async () => {
		const agent = await startAgent({
			listen: {host: '127.0.0.1', port: 0},
			dataCentre: 'pl-central-1',
			pool: 'studio-models',
			endpoint: `http://${fleet.engine.started.address}`,
			kind: 'engine',
			capacity: 32,
			async listRouters() {
				const routers = await hostList.list('galena-router');
				return routers.map(router => router.address);
			},
			incarnation: `a-${randomUUID()}`,
			log: silentLog,
		});
		await registerService(hosts, 'galena-agent', agent.address);
		return agent;
	}));
};

const measureReplicas = async (write: WriteLine) => {
	const fleet = await startProcesses(1);
	const steps = [0, 14, 14, 28];
	const points: Array<Readonly<{count: number; idle: IdleUsage}>> = [];
	let count = 2;
	for (const step of steps) {
		await startAgents(fleet, step);
		count += step;
		points.push({count, idle: await measureIdleUsage(fleet.routers[0]!.child.pid!)});
	}

	write(formatSlope('router control traffic', 'bytes/s per replica', points.map(({count: size, idle}): Point => [size, idle.trafficBytesPerSecond]), 0));
	write(formatSlope('router control CPU', '% of a core per replica', points.map(({count: size, idle}): Point => [size, idle.cpuFraction * 100]), 2));
	write(formatSlope('router memory', 'MB per replica', points.map(({count: size, idle}): Point => [size, idle.memoryBytes / 1024 / 1024]), 1));
	stopPrograms();
};

const measurePeers = async (write: WriteLine) => {
	const fleet = await startProcesses(1);
	const points: Array<Readonly<{count: number; idle: IdleUsage}>> = [];
	for (const count of [0, 2, 5, 8]) {
		for (const _ of Array.from({length: count - (points.at(-1)?.count ?? 0)})) {
			await fleet.startRouter();
		}

		points.push({count, idle: await measureIdleUsage(fleet.routers[0]!.child.pid!)});
	}

	write(formatSlope('router control traffic', 'bytes/s per peer', points.map(({count, idle}): Point => [count, idle.trafficBytesPerSecond]), 0));
	write(formatSlope('router control CPU', '% of a core per peer', points.map(({count, idle}): Point => [count, idle.cpuFraction * 100]), 2));
	stopPrograms();
};

type StoreCallCounts = Readonly<{reads: number; writes: number}>;

const readStoreCallCounts = async (fleet: ProcessFleet): Promise<StoreCallCounts> => {
	const response = await fetch(`http://${fleet.table.started.address}/_counts`);
	return await response.json() as StoreCallCounts;
};

const settleWaitMs = 3500;

/** Counts the calls to the store while `work` runs, minus the background polling, which is measured before it. */
const countStoreCalls = async (fleet: ProcessFleet, work: () => Promise<unknown>): Promise<StoreCallCounts> => {
	const start = await readStoreCallCounts(fleet);
	await sleep(settleWaitMs);
	const idle = await readStoreCallCounts(fleet);
	await work();
	await sleep(settleWaitMs);
	const end = await readStoreCallCounts(fleet);
	return {reads: end.reads - idle.reads - (idle.reads - start.reads), writes: end.writes - idle.writes - (idle.writes - start.writes)};
};

const measureStoreCalls = async (write: WriteLine) => {
	const fleet = await startProcesses(1);
	const [router] = fleet.routers;
	const sendChat = async (index: number) => {
		const response = await fleet.call(router!, '/v1/chat/completions', {model: 'stone-advice', messages: [{role: 'user', content: `count ${index}`}], max_tokens: 4});
		return response.text();
	};

	const start = await readStoreCallCounts(fleet);
	await sleep(observationTimeMs);
	const end = await readStoreCallCounts(fleet);
	write(`store, one idle router: ${((end.reads - start.reads) * 1000 / observationTimeMs).toFixed(2)} reads/s, ${((end.writes - start.writes) * 1000 / observationTimeMs).toFixed(2)} writes/s`);
	const scenarios: ReadonlyArray<Readonly<{name: string; work: () => Promise<unknown>}>> = [
		{name: 'first request against a budget: grant and bill', work: async () => sendChat(0)},
		{name: 'one request covered by the grant: bill', work: async () => sendChat(1)},
		{name: 'twenty requests covered by the grant: bills', work: async () => Promise.all(Array.from({length: 20}, async (_, index) => sendChat(10 + index)))},
		{name: 'non-idempotent call: claim, completion of the claim, bill', work: async () => fleet.call(router!, '/v1/services/shop/orders', {ring: 1}, {'idempotency-key': 'bench'})},
		{name: 'the same call under the same key: replayed', work: async () => fleet.call(router!, '/v1/services/shop/orders', {ring: 1}, {'idempotency-key': 'bench'})},
	];
	for (const {name, work} of scenarios) {
		const counts = await countStoreCalls(fleet, work);
		write(`store, ${name}: ${counts.reads} reads, ${counts.writes} writes`);
	}

	stopPrograms();
};

/**
Measures the cost slopes on which docs/CAPACITY.md is based.

@param write - Receives each line of the result.
*/
export const benchCapacity = async (write: WriteLine): Promise<void> => {
	measureInProcess(write);
	await measureStoreCalls(write);
	await measureReplicas(write);
	await measurePeers(write);
};
