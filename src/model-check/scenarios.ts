import {List, Map} from 'immutable';
import type {RouterEvent} from '../router/messages.js';
import type {RequestSpec} from '../request/state.js';
import type {JsonValue, Row, Rows} from '../table/index.js';
import {createRandom} from '../random/index.js';
import type {Random} from '../random/index.js';
import {requestDeadlineMs} from './normalize-times.js';
import {tickAll} from './settle.js';
import {createCluster, noFaults, startPeerMonitoring} from './state.js';
import type {ClusterOptions, FaultBudget, ClusterState} from './state.js';

/** A small cluster to explore, with the faults that it allows. */
export type Scenario = Readonly<{
	name: string;
	/** The part of the system that it covers. */
	area: 'budget' | 'claim' | 'config';
	create: (disabledRule?: string) => ClusterState;
}>;

const cost = 1;

const createRow = (table: string, id: string, body: JsonValue): [string, Row] => [`${table}/${id}`, {
	table, id, version: 1, body,
}];

const createBudgetRows = (limit: number): Rows => Map([createRow('budget', 'b', {limit, granted: 0})]);

type RequestOptions = Readonly<{key?: string; kind?: RequestSpec['kind']}>;

/** Creates the arrival of a request at a router: `r1:1` is the first one at router r1. */
const createArrival = (arrival: string, options: RequestOptions = {}): Readonly<{router: string; event: RouterEvent}> => {
	const {key, kind = 'chat'} = options;
	const spec: RequestSpec = {
		id: arrival,
		billId: key === undefined ? arrival : `k-${key}`,
		organisation: 'o',
		budget: 'b',
		workClass: 'c',
		pool: 'pool',
		model: undefined,
		kind,
		isStream: false,
		key,
		digest: 'd',
		cap: cost,
		outputCap: cost,
		priority: 1,
		firstToken: Number.MAX_SAFE_INTEGER,
		giveUp: requestDeadlineMs,
		isForwarded: false,
	};
	return {router: arrival.split(':')[0] ?? '', event: {kind: 'request-arrived', order: spec}};
};

/** Creates an operator's request to a router to change the configuration. */
const createConfigChange = (router: string, id: string, base: number): Readonly<{router: string; event: RouterEvent}> => ({
	router,
	event: {
		kind: 'change-asked',
		change: {
			id, kind: 'config', subject: 'config', who: id, why: '', at: '0', fields: {base, changes: [{name: 'class/c', value: id}], before: []},
		},
	},
});

type ScenarioOptions = Readonly<{
	agents?: number;
	routers?: readonly string[];
	limit?: number;
	inputs: ReadonlyArray<Readonly<{router: string; event: RouterEvent}>>;
	faults: Partial<FaultBudget>;
	/** Routers that treat all others as unresponsive, each other included, and reclaim what these hold. */
	monitors?: readonly string[];
	/** True if no session is open when the exploration begins. */
	isCold?: boolean;
	canGossip?: boolean;
}>;

/** Lets the routers register, open their sessions and add the agents, before any fault can occur. */
const warmUp = (cluster: ClusterState, options: ScenarioOptions): ClusterState => {
	const {inputs, faults, links} = cluster;
	const warmedUp = tickAll(tickAll({
		...cluster, inputs: List(), faults: noFaults, links: options.isCold === true ? Map() : links,
	}));
	return (options.monitors ?? []).reduce((current, name) => startPeerMonitoring(current, name), {
		...warmedUp, inputs, faults, links: options.isCold === true ? links : warmedUp.links,
	});
};

const createScenario = (name: string, area: Scenario['area'], options: ScenarioOptions): Scenario => ({
	name,
	area,
	create(disabledRule) {
		const clusterOptions: ClusterOptions = {
			routers: options.routers ?? ['r1', 'r2'],
			agents: options.agents ?? 1,
			rows: createBudgetRows(options.limit ?? 2),
			inputs: List(options.inputs),
			faults: {...noFaults, ...options.faults},
			costTokens: cost,
			canGossip: options.canGossip ?? false,
			...(disabledRule !== undefined && {disabledRule}),
		};
		return warmUp(createCluster(clusterOptions), options);
	},
});

const act = {key: 'k', kind: 'act'} as const;
const keyed = {key: 'c'} as const;

/** All scenarios; each is small enough to be explored completely. */
export const scenarios: readonly Scenario[] = [
	createScenario('grant-lost-reply', 'budget', {
		routers: ['r1'], limit: 1, inputs: [createArrival('r1:1')], faults: {loseReply: 1, delayWrite: 1},
	}),
	createScenario('grant-cold-crash', 'budget', {
		limit: 1, inputs: [createArrival('r1:1')], faults: {crashRouter: 1}, monitors: ['r2'], isCold: true,
	}),
	createScenario('grant-crash', 'budget', {
		limit: 1, inputs: [createArrival('r1:1')], faults: {crashRouter: 1}, monitors: ['r2'],
	}),
	createScenario('grant-break', 'budget', {
		limit: 1, inputs: [createArrival('r1:1')], faults: {breakSession: 1}, monitors: ['r2'],
	}),
	createScenario('grant-restart', 'budget', {
		routers: ['r1'], limit: 2, inputs: [createArrival('r1:1')], faults: {restartAgent: 1},
	}),
	createScenario('grant-two-agents', 'budget', {
		routers: ['r1'], agents: 2, limit: 2, inputs: [createArrival('r1:1'), createArrival('r1:2')], faults: {breakSession: 1},
	}),
	createScenario('same-key-twice', 'budget', {
		limit: 2, inputs: [createArrival('r1:1', keyed), createArrival('r2:1', keyed)], faults: {},
	}),
	createScenario('act-break', 'claim', {
		routers: ['r1'], inputs: [createArrival('r1:1', act)], faults: {breakSession: 1, loseCall: 1},
	}),
	createScenario('act-lost-reply', 'claim', {
		routers: ['r1'], agents: 2, inputs: [createArrival('r1:1', act)], faults: {loseReply: 1, delayWrite: 1},
	}),
	createScenario('act-twice', 'claim', {
		inputs: [createArrival('r1:1', act), createArrival('r2:1', act)], faults: {},
	}),
	createScenario('act-same-router', 'claim', {
		routers: ['r1'], inputs: [createArrival('r1:1', act), createArrival('r1:2', act)], faults: {leave: 1},
	}),
	createScenario('act-crash-retry', 'claim', {
		inputs: [createArrival('r1:1', act), createArrival('r2:1', act)], faults: {crashRouter: 1},
	}),
	createScenario('act-restart-retry', 'claim', {
		inputs: [createArrival('r1:1', act), createArrival('r2:1', act)], faults: {restartAgent: 1},
	}),
	createScenario('config-race', 'config', {
		agents: 0, inputs: [createConfigChange('r1', 'x', 0), createConfigChange('r2', 'y', 0), createConfigChange('r1', 'z', 1)], faults: {loseReply: 1, delayWrite: 1}, canGossip: true,
	}),
];

const maxFaults = 3;

const generateFaults = (random: Random): FaultBudget => ({
	loseReply: random.pick(maxFaults),
	delayWrite: random.pick(maxFaults),
	loseCall: random.pick(maxFaults),
	repeatCall: random.pick(maxFaults),
	breakSession: random.pick(maxFaults),
	crashRouter: random.pick(2),
	restartAgent: random.pick(2),
	leave: random.pick(2),
});

/** Creates a top-up request to a router. Repeated requests under the same change id are retries. */
const createTopUp = (router: string, id: string): Readonly<{router: string; event: RouterEvent}> => ({
	router,
	event: {
		kind: 'change-asked',
		change: {
			id, kind: 'top-up', subject: 'b', fields: {add: 1}, who: 'x', why: '', at: '0',
		},
	},
});

const routerNames = ['r1', 'r2', 'r3'];

const generateInputs = (random: Random): ScenarioOptions['inputs'] => {
	const pickRouter = () => routerNames[random.pick(routerNames.length)] ?? 'r1';
	const requests = Array.from({length: 2 + random.pick(6)}, (_, index) => {
		const options = [{}, keyed, act, {key: 'm', kind: 'act'} as const][random.pick(4)];
		return createArrival(`${pickRouter()}:${index}`, options);
	});
	const topUps = Array.from({length: random.pick(3)}, () => createTopUp(pickRouter(), 'paid'));
	const changes = [createConfigChange(pickRouter(), 'x', 0), createConfigChange(pickRouter(), 'y', 0), createConfigChange(pickRouter(), 'z', 1)].slice(0, random.pick(4));
	return [...requests, ...topUps, ...changes];
};

/**
Creates a cluster that is too large to be explored completely: three routers
that may monitor one another, two agents, and faults of every kind.

@param seed - Determines the inputs, the allowed faults and the other options.
@param disabledRule - A safety rule to disable.
@returns The initial state.
*/
export const createRandomCluster = (seed: number, disabledRule?: string): ClusterState => {
	const random = createRandom(seed);
	return createScenario('storm', 'budget', {
		routers: routerNames,
		agents: 2,
		limit: 1 + random.pick(4),
		inputs: generateInputs(random),
		faults: generateFaults(random),
		monitors: routerNames.slice(0, random.pick(4)),
		isCold: random.pick(4) === 0,
		canGossip: true,
	}).create(disabledRule);
};

/** A safety rule that can be disabled, and a scenario in which a property is then violated. */
export type DisabledRuleCase = Readonly<{rule: string; scenario: string}>;

/** All safety rules. The check must find a violation when any one of them is disabled. */
export const disabledRuleCases: readonly DisabledRuleCase[] = [
	{rule: 'reach-before-dispatch', scenario: 'grant-cold-crash'},
	{rule: 'fence-before-return', scenario: 'grant-crash'},
	{rule: 'fence-refuses', scenario: 'grant-break'},
	{rule: 'recent-filter', scenario: 'grant-crash'},
	{rule: 'read-back', scenario: 'grant-lost-reply'},
	{rule: 'bill-if-absent', scenario: 'same-key-twice'},
	{rule: 'claim-before-dispatch', scenario: 'act-crash-retry'},
	{rule: 'seal-before-retry', scenario: 'act-twice'},
	{rule: 'session-check', scenario: 'act-break'},
	{rule: 'incarnation-check', scenario: 'act-restart-retry'},
	{rule: 'config-highest-wins', scenario: 'config-race'},
];
