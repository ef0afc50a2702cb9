import {List, Map} from 'immutable';
import type {RouterEvent} from '../router/messages.js';
import type {Order} from '../request/state.js';
import type {Json, Row, Rows} from '../table/index.js';
import {createRandom} from '../random/index.js';
import type {Random} from '../random/index.js';
import {giveUpTime} from './freeze.js';
import {tickAll} from './settle.js';
import {createWorld, noFaults, startWatching} from './state.js';
import type {FaultBudget, Plan, World} from './state.js';

/** A small world to explore, with the faults that it allows. */
export type Scenario = Readonly<{
	name: string;
	/** What it is about. */
	duty: 'budget' | 'claim' | 'config';
	create: (broken?: string) => World;
}>;

const cost = 1;

const describeRow = (table: string, id: string, body: Json): [string, Row] => [`${table}/${id}`, {
	table, id, version: 1, body,
}];

const payIn = (limit: number): Rows => Map([describeRow('budget', 'b', {limit, granted: 0})]);

type OrderFields = Readonly<{key?: string; kind?: Order['kind']}>;

/** A request that arrives at a router: `r1:1` is the first one at router r1. */
const arrive = (arrival: string, fields: OrderFields = {}): Readonly<{router: string; event: RouterEvent}> => {
	const {key, kind = 'chat'} = fields;
	const order: Order = {
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
		giveUp: giveUpTime,
		isForwarded: false,
	};
	return {router: arrival.split(':')[0] ?? '', event: {kind: 'request-arrived', order}};
};

/** An operator's change of the configuration at a router. */
const configure = (router: string, id: string, base: number): Readonly<{router: string; event: RouterEvent}> => ({
	router,
	event: {
		kind: 'change-asked',
		change: {
			id, kind: 'config', subject: 'config', who: id, why: '', at: '0', fields: {base, changes: [{name: 'class/c', value: id}], before: []},
		},
	},
});

type Fields = Readonly<{
	agents?: number;
	routers?: readonly string[];
	limit?: number;
	inputs: ReadonlyArray<Readonly<{router: string; event: RouterEvent}>>;
	faults: Partial<FaultBudget>;
	/** Routers that look for silent ones, each other included. */
	watchers?: readonly string[];
	/** True if agents are still to be met when the exploration begins. */
	isCold?: boolean;
	canGossip?: boolean;
}>;

/** Lets the routers register, open their sessions and take up the agents, before anything can go wrong. */
const warmUp = (world: World, fields: Fields): World => {
	const {inputs, faults, links} = world;
	const warm = tickAll(tickAll({
		...world, inputs: List(), faults: noFaults, links: fields.isCold === true ? Map() : links,
	}));
	return (fields.watchers ?? []).reduce((current, name) => startWatching(current, name), {
		...warm, inputs, faults, links: fields.isCold === true ? links : warm.links,
	});
};

const describeScenario = (name: string, duty: Scenario['duty'], fields: Fields): Scenario => ({
	name,
	duty,
	create(broken) {
		const plan: Plan = {
			routers: fields.routers ?? ['r1', 'r2'],
			agents: fields.agents ?? 1,
			rows: payIn(fields.limit ?? 2),
			inputs: List(fields.inputs),
			faults: {...noFaults, ...fields.faults},
			cost,
			canGossip: fields.canGossip ?? false,
			...(broken !== undefined && {broken}),
		};
		return warmUp(createWorld(plan), fields);
	},
});

const act = {key: 'k', kind: 'act'} as const;
const keyed = {key: 'c'} as const;

/** Every scenario, small enough to be explored whole. */
export const scenarios: readonly Scenario[] = [
	describeScenario('grant-lost-reply', 'budget', {
		routers: ['r1'], limit: 1, inputs: [arrive('r1:1')], faults: {loseReply: 1, delayWrite: 1},
	}),
	describeScenario('grant-cold-crash', 'budget', {
		limit: 1, inputs: [arrive('r1:1')], faults: {crashRouter: 1}, watchers: ['r2'], isCold: true,
	}),
	describeScenario('grant-crash', 'budget', {
		limit: 1, inputs: [arrive('r1:1')], faults: {crashRouter: 1}, watchers: ['r2'],
	}),
	describeScenario('grant-break', 'budget', {
		limit: 1, inputs: [arrive('r1:1')], faults: {breakSession: 1}, watchers: ['r2'],
	}),
	describeScenario('grant-restart', 'budget', {
		routers: ['r1'], limit: 2, inputs: [arrive('r1:1')], faults: {restartAgent: 1},
	}),
	describeScenario('grant-two-agents', 'budget', {
		routers: ['r1'], agents: 2, limit: 2, inputs: [arrive('r1:1'), arrive('r1:2')], faults: {breakSession: 1},
	}),
	describeScenario('same-key-twice', 'budget', {
		limit: 2, inputs: [arrive('r1:1', keyed), arrive('r2:1', keyed)], faults: {},
	}),
	describeScenario('act-break', 'claim', {
		routers: ['r1'], inputs: [arrive('r1:1', act)], faults: {breakSession: 1, loseCall: 1},
	}),
	describeScenario('act-lost-reply', 'claim', {
		routers: ['r1'], agents: 2, inputs: [arrive('r1:1', act)], faults: {loseReply: 1, delayWrite: 1},
	}),
	describeScenario('act-twice', 'claim', {
		inputs: [arrive('r1:1', act), arrive('r2:1', act)], faults: {},
	}),
	describeScenario('act-same-router', 'claim', {
		routers: ['r1'], inputs: [arrive('r1:1', act), arrive('r1:2', act)], faults: {leave: 1},
	}),
	describeScenario('act-crash-retry', 'claim', {
		inputs: [arrive('r1:1', act), arrive('r2:1', act)], faults: {crashRouter: 1},
	}),
	describeScenario('act-restart-retry', 'claim', {
		inputs: [arrive('r1:1', act), arrive('r2:1', act)], faults: {restartAgent: 1},
	}),
	describeScenario('config-race', 'config', {
		agents: 0, inputs: [configure('r1', 'x', 0), configure('r2', 'y', 0), configure('r1', 'z', 1)], faults: {loseReply: 1, delayWrite: 1}, canGossip: true,
	}),
];

const maxFaults = 3;

const drawFaults = (random: Random): FaultBudget => ({
	loseReply: random.pick(maxFaults),
	delayWrite: random.pick(maxFaults),
	loseCall: random.pick(maxFaults),
	repeatCall: random.pick(maxFaults),
	breakSession: random.pick(maxFaults),
	crashRouter: random.pick(2),
	restartAgent: random.pick(2),
	leave: random.pick(2),
});

/** A top-up at a router, sent under one change id as often as the operator likes. */
const topUp = (router: string, id: string): Readonly<{router: string; event: RouterEvent}> => ({
	router,
	event: {
		kind: 'change-asked',
		change: {
			id, kind: 'top-up', subject: 'b', fields: {add: 1}, who: 'x', why: '', at: '0',
		},
	},
});

const stormRouters = ['r1', 'r2', 'r3'];

const drawInputs = (random: Random): Fields['inputs'] => {
	const pickRouter = () => stormRouters[random.pick(stormRouters.length)] ?? 'r1';
	const requests = Array.from({length: 2 + random.pick(6)}, (_, index) => {
		const fields = [{}, keyed, act, {key: 'm', kind: 'act'} as const][random.pick(4)];
		return arrive(`${pickRouter()}:${index}`, fields);
	});
	const topUps = Array.from({length: random.pick(3)}, () => topUp(pickRouter(), 'paid'));
	const changes = [configure(pickRouter(), 'x', 0), configure(pickRouter(), 'y', 0), configure(pickRouter(), 'z', 1)].slice(0, random.pick(4));
	return [...requests, ...topUps, ...changes];
};

/**
Creates a world with more of everything than can be explored whole: three
routers that watch one another, two agents, and faults of every kind.

@param seed - Decides what arrives and which faults are allowed.
@param broken - A safety rule to switch off.
@returns The world.
*/
export const createStorm = (seed: number, broken?: string): World => {
	const random = createRandom(seed);
	return describeScenario('storm', 'budget', {
		routers: stormRouters,
		agents: 2,
		limit: 1 + random.pick(4),
		inputs: drawInputs(random),
		faults: drawFaults(random),
		watchers: stormRouters.slice(0, random.pick(4)),
		isCold: random.pick(4) === 0,
		canGossip: true,
	}).create(broken);
};

/** A safety rule that can be switched off, and a scenario in which that shows. */
export type Breakage = Readonly<{rule: string; scenario: string}>;

/** Every rule that the check must be able to do without noticing nothing. */
export const breakages: readonly Breakage[] = [
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
