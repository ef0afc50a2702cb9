import {randomUUID} from 'node:crypto';
import {Map} from 'immutable';
import {startAgent} from '../agent/agent.js';
import type {Agent} from '../agent/agent.js';
import {createPot} from '../budget/index.js';
import {applyRevision, emptyConfig} from '../config/index.js';
import {openLog} from '../log/index.js';
import {openMember} from '../member/index.js';
import type {Members} from '../member/index.js';
import {chooseAgent} from '../route/index.js';
import {handleRouter} from '../router/handle.js';
import {openHostList} from '../router/hosts.js';
import {createRouterState} from '../router/state.js';
import type {RouterState} from '../router/state.js';
import type {Json} from '../table/index.js';
import {sleep} from '../loop/index.js';
import {
	fitLine, measureCall, measureHeap, readUsage,
} from './measure.js';
import {register, startProcesses, stopPrograms} from './processes.js';
import type {ProcessFleet} from './processes.js';

type Write = (line: string) => void;
type Point = readonly [number, number];

const describeSlope = (name: string, unit: string, points: readonly Point[], digits = 1): string => {
	const fit = fitLine(points);
	const measured = points.map(([x, y]) => `${x}: ${y.toFixed(digits)}`).join(', ');
	return `${name}: ${fit.slope.toFixed(digits + 1)} ${unit} + ${fit.intercept.toFixed(digits)} (fit error ${(fit.error * 100).toFixed(0)}%; ${measured})`;
};

const identity = {incarnation: 'r-bench', address: '127.0.0.1:1', dataCentre: 'here'};

const withPots = (count: number): RouterState => {
	const names = Array.from({length: count}, (_, index) => `budget-${index}`);
	return {...createRouterState(identity), pots: Map(names.map(name => [name, {...createPot(name, 0), granted: 20_000, version: 1}]))};
};

const listMembers = (count: number): Members => Array.from({length: count}, (_, index) => index).reduce<Members>((members, index) => openMember(members, {
	agent: `a-${index}`, address: `10.0.${Math.floor(index / 250)}.${index % 250}:7000`, pool: 'pool', dataCentre: 'here', models: ['model'], capacity: 32, session: 1,
}, 0).members, Map());

const describeOrganisations = (count: number) => applyRevision(emptyConfig, {
	revision: 1,
	isSnapshot: true,
	changes: Array.from({length: count}, (_, index) => ({
		name: `organisation/o-${index}`,
		value: {
			keys: [String(index).padStart(64, '0')], budget: `b-${index}`, classes: ['one', 'two'], defaultClass: 'one',
		},
	})),
});

const measurePure = (write: Write) => {
	const sizes = [2000, 8000, 32_000];
	write(describeSlope('heap of a budget held', 'bytes each', sizes.map((size): Point => [size, measureHeap(() => withPots(size))]), 0));
	write(describeSlope('heap of a replica known', 'bytes each', [200, 800, 3200].map((size): Point => [size, measureHeap(() => listMembers(size))]), 0));
	write(describeSlope('heap of an organisation', 'bytes each', [500, 2000, 8000].map((size): Point => [size, measureHeap(() => describeOrganisations(size))]), 0));
	write(describeSlope('tick', 'us a budget', [1000, 4000, 16_000].map((size): Point => {
		const state = withPots(size);
		return [size, measureCall(() => handleRouter(state, {kind: 'tick'}, 1))];
	}), 2));
	write(describeSlope('choice of a replica', 'us a replica known', [20, 200, 2000].map((size): Point => {
		const members = listMembers(size);
		return [size, measureCall(() => chooseAgent(members, {
			pool: 'pool', model: 'model', dataCentre: 'here', excluded: [], mayDispatch: () => true, seed: 1, now: 1,
		}), 50)];
	}), 2));
};

const settleTime = 5000; // Milliseconds
const watchTime = 10_000; // Milliseconds

type Idle = Readonly<{traffic: number; cpu: number; memory: number}>;

/** Watches an idle router: bytes a second, part of a core, and memory. */
const watchIdle = async (pid: number): Promise<Idle> => {
	await sleep(settleTime);
	const before = readUsage(pid);
	await sleep(watchTime);
	const after = readUsage(pid);
	return {traffic: (after.traffic - before.traffic) * 1000 / watchTime, cpu: (after.cpu - before.cpu) / watchTime, memory: after.memory};
};

const silent = openLog({program: 'bench', level: 'silent', metrics: undefined});

const startAgents = async (fleet: ProcessFleet, count: number): Promise<readonly Agent[]> => {
	const hosts = fleet.hosts.started.address!;
	const list = openHostList(`http://${hosts}`);
	return Promise.all(Array.from({length: count}, async () => {
		const agent = await startAgent({
			listen: {host: '127.0.0.1', port: 0},
			dataCentre: 'pl-central-1',
			pool: 'studio-models',
			endpoint: `http://${fleet.engine.started.address}`,
			kind: 'engine',
			capacity: 32,
			async listRouters() {
				const routers = await list.list('galena-router');
				return routers.map(router => router.address);
			},
			incarnation: `a-${randomUUID()}`,
			log: silent,
		});
		await register(hosts, 'galena-agent', agent.address);
		return agent;
	}));
};

const measureReplicas = async (write: Write) => {
	const fleet = await startProcesses(1);
	const steps = [0, 14, 14, 28];
	const points: Array<Readonly<{count: number; idle: Idle}>> = [];
	let count = 2;
	for (const step of steps) {
		await startAgents(fleet, step);
		count += step;
		points.push({count, idle: await watchIdle(fleet.routers[0]!.child.pid!)});
	}

	write(describeSlope('router control traffic', 'bytes a second a replica', points.map(({count: size, idle}): Point => [size, idle.traffic]), 0));
	write(describeSlope('router control CPU', '% of a core a replica', points.map(({count: size, idle}): Point => [size, idle.cpu * 100]), 2));
	write(describeSlope('router memory', 'MB a replica', points.map(({count: size, idle}): Point => [size, idle.memory / 1024 / 1024]), 1));
	stopPrograms();
};

const measurePeers = async (write: Write) => {
	const fleet = await startProcesses(1);
	const points: Array<Readonly<{count: number; idle: Idle}>> = [];
	for (const count of [0, 2, 5, 8]) {
		for (const _ of Array.from({length: count - (points.at(-1)?.count ?? 0)})) {
			await fleet.startRouter();
		}

		points.push({count, idle: await watchIdle(fleet.routers[0]!.child.pid!)});
	}

	write(describeSlope('router control traffic', 'bytes a second a peer', points.map(({count, idle}): Point => [count, idle.traffic]), 0));
	write(describeSlope('router control CPU', '% of a core a peer', points.map(({count, idle}): Point => [count, idle.cpu * 100]), 2));
	stopPrograms();
};

type Counts = Readonly<{reads: number; writes: number}>;

const readCounts = async (fleet: ProcessFleet): Promise<Counts> => {
	const response = await fetch(`http://${fleet.table.started.address}/_counts`);
	return await response.json() as Counts;
};

const settleWait = 3500; // Milliseconds

/** Counts the store's calls while something is done, less those of the polling that goes on anyway. */
const countCalls = async (fleet: ProcessFleet, work: () => Promise<unknown>): Promise<Counts> => {
	const start = await readCounts(fleet);
	await sleep(settleWait);
	const idle = await readCounts(fleet);
	await work();
	await sleep(settleWait);
	const end = await readCounts(fleet);
	return {reads: end.reads - idle.reads - (idle.reads - start.reads), writes: end.writes - idle.writes - (idle.writes - start.writes)};
};

const measureStore = async (write: Write) => {
	const fleet = await startProcesses(1);
	const [router] = fleet.routers;
	const ask = async (index: number) => {
		const response = await fleet.call(router!, '/v1/chat/completions', {model: 'stone-advice', messages: [{role: 'user', content: `count ${index}`}], max_tokens: 4});
		return response.text();
	};

	const start = await readCounts(fleet);
	await sleep(watchTime);
	const end = await readCounts(fleet);
	write(`store, one idle router: ${((end.reads - start.reads) * 1000 / watchTime).toFixed(2)} reads/s, ${((end.writes - start.writes) * 1000 / watchTime).toFixed(2)} writes/s`);
	const cases: ReadonlyArray<Readonly<{name: string; work: () => Promise<unknown>}>> = [
		{name: 'first request of a budget: grant and bill', work: async () => ask(0)},
		{name: 'one request from the grant: its bill', work: async () => ask(1)},
		{name: 'twenty requests from the grant: their bills', work: async () => Promise.all(Array.from({length: 20}, async (_, index) => ask(10 + index)))},
		{name: 'an act: claim, end of the claim, bill', work: async () => fleet.call(router!, '/v1/services/shop/orders', {ring: 1}, {'idempotency-key': 'bench'})},
		{name: 'the same act again: replayed', work: async () => fleet.call(router!, '/v1/services/shop/orders', {ring: 1}, {'idempotency-key': 'bench'})},
	];
	for (const {name, work} of cases) {
		const counts = await countCalls(fleet, work);
		write(`store, ${name}: ${counts.reads} reads, ${counts.writes} writes`);
	}

	stopPrograms();
};

/**
Measures the slopes that docs/CAPACITY.md works with.

@param write - Takes each line of the result.
*/
export const benchCapacity = async (write: Write): Promise<void> => {
	measurePure(write);
	await measureStore(write);
	await measureReplicas(write);
	await measurePeers(write);
};
