import {List, Map, Set} from 'immutable';
import {createAgentState} from '../attempt/index.js';
import type {
	AgentState, FenceAnswer, Order as AgentOrder, SealAnswer,
} from '../attempt/index.js';
import type {RouterEvent, StoreTag} from '../router/messages.js';
import {createRouterState} from '../router/state.js';
import type {Order} from '../request/state.js';
import type {RouterState} from '../router/state.js';
import type {Rows, StoreCall} from '../table/index.js';

/**
A whole small fleet as one value: the project's own handlers for routers and
agents, one table, and a network that the checker steers. Every step is a pure
function, so a checker can explore all of them, and a random schedule can be
played again from its seed.
*/

/** Faults that may still happen. */
export type FaultBudget = Readonly<{
	/** Writes whose reply is lost after they took effect. */
	loseReply: number;
	/** Writes whose reply is lost and that take effect later, or never. */
	delayWrite: number;
	/** Calls between processes that are lost. */
	loseCall: number;
	/** Calls between processes whose request arrives twice. */
	repeatCall: number;
	/** Sessions that break. */
	breakSession: number;
	/** Routers that die. */
	crashRouter: number;
	/** Agents that die and start again as a new incarnation. */
	restartAgent: number;
	/** Callers who leave. */
	leave: number;
}>;

/** No faults at all. */
export const noFaults: FaultBudget = {
	loseReply: 0, delayWrite: 0, loseCall: 0, repeatCall: 0, breakSession: 0, crashRouter: 0, restartAgent: 0, leave: 0,
};

/** A router in the world. */
export type RouterNode = Readonly<{state: RouterState; isAlive: boolean; broken: string | undefined}>;

/** An agent in the world, at an address that outlives its incarnations. */
export type AgentNode = Readonly<{state: AgentState; incarnation: number}>;

/** What a router says on a session. */
export type Message =
	| Readonly<{kind: 'order'; order: AgentOrder}>
	| Readonly<{kind: 'settled'; attempts: readonly string[]}>
	| Readonly<{kind: 'cancel'; attempt: string}>;

/** What a router hears of a session. */
export type Report =
	| Readonly<{kind: 'hello'; agent: string; kept: readonly string[]; session: number}>
	| Readonly<{kind: 'closed'; agent: string}>
	| Readonly<{kind: 'event'; event: RouterEvent}>;

/** The session between a router and an agent. Messages within it keep their order. */
export type Link = Readonly<{
	/** The agent's number for the session; 0 while there is none. */
	session: number;
	/** True if the agent has not noticed yet that the session broke. */
	isStale: boolean;
	toAgent: List<Message>;
	toRouter: List<Report>;
}>;

/** A call between processes that is under way. */
export type Call =
	| Readonly<{kind: 'seal'; from: string; to: number; request: string; attempt: string; agent: string}>
	| Readonly<{kind: 'fence'; from: string; to: number; router: string; agent: string; probe: boolean}>
	| Readonly<{kind: 'seal-reply'; from: string; request: string; attempt: string; answer: SealAnswer | undefined}>
	| Readonly<{kind: 'fence-reply'; from: string; router: string; agent: string; answer: FenceAnswer}>;

/** A write under way. A late one has been given up by its router. */
export type Write = Readonly<{router: string; tag: StoreTag; call: StoreCall; isLate: boolean}>;

/** What callers were told. */
export type Told = Readonly<{arrival: string; kind: string; outcome: 'complete' | 'not-run' | 'unknown'; text: string}>;

/** What endpoints did. */
export type Execution = Readonly<{attempt: string; request: string; claimKey: string | undefined}>;

/** What operators were told of a change. */
export type ChangeEnd = Readonly<{id: string; kind: string; fault: string | undefined; revision: number}>;

/** The whole world. */
export type World = Readonly<{
	rows: Rows;
	routers: Map<string, RouterNode>;
	agents: List<AgentNode>;
	links: Map<string, Link>;
	writes: List<Write>;
	calls: List<Call>;
	faults: FaultBudget;
	/** Events from outside that are still to come, by router. */
	inputs: List<Readonly<{router: string; event: RouterEvent}>>;
	/** What each arrival asked for. */
	orders: Map<string, Order>;
	/** Which arrival each attempt was sent for. */
	sent: Map<string, string>;
	told: List<Told>;
	/** Arrivals whose caller has gone. */
	left: Set<string>;
	executions: List<Execution>;
	/** Arrivals that were told "not run" although their act had run. */
	lies: List<string>;
	changes: List<ChangeEnd>;
	/** The highest configuration revision that each process has had in force. */
	revisions: Map<string, number>;
	/** True if routers tell one another of revisions. */
	canGossip: boolean;
	/** True if a revision fell somewhere. */
	hasReverted: boolean;
	/** Tokens that each attempt uses. */
	cost: number;
	now: number;
}>;

/** One thing that happens next. */
export type Move =
	| Readonly<{type: 'input'; index: number}>
	| Readonly<{type: 'write'; index: number; how: 'apply' | 'lose-reply' | 'delay'}>
	| Readonly<{type: 'to-agent' | 'to-router'; link: string}>
	| Readonly<{type: 'connect' | 'break' | 'notice'; link: string}>
	| Readonly<{type: 'finish'; agent: number; attempt: string}>
	| Readonly<{type: 'call'; index: number; how: 'deliver' | 'lose' | 'repeat'}>
	| Readonly<{type: 'crash'; router: string}>
	| Readonly<{type: 'restart'; agent: number}>
	| Readonly<{type: 'leave'; router: string; request: string}>
	| Readonly<{type: 'tick'; router: string}>
	/** A revision that one router has had in force reaches another, whenever and as often as it likes. */
	| Readonly<{type: 'gossip'; from: string; to: string; revision: number}>;

/** No session. */
export const closedLink: Link = {
	session: 0, isStale: false, toAgent: List(), toRouter: List(),
};

/**
Names a session.

@param router - The router.
@param agent - The agent's place.
@returns The name.
*/
export const nameLink = (router: string, agent: number): string => `${router}>${agent}`;
/**
Reads the name of a session.

@param name - The name.
@returns The router, and the agent's place.
*/
export const splitLink = (name: string): Readonly<{router: string; agent: number}> => {
	const [router = '', agent = ''] = name.split('>');
	return {router, agent: Number(agent)};
};

/**
Names an agent incarnation.

@param index - The agent's place.
@param incarnation - How often it has started again.
@returns The incarnation's id.
*/
export const nameAgent = (index: number, incarnation: number): string => `a${index}-${incarnation}`;
/**
Reads an agent's place from its incarnation.

@param agent - The incarnation's id.
@returns The place.
*/
export const readSlot = (agent: string): number => Number(agent.slice(1).split('-')[0]);

/** What a world starts with. */
export type Plan = Readonly<{
	routers: readonly string[];
	agents: number;
	rows: Rows;
	inputs: World['inputs'];
	faults: FaultBudget;
	cost: number;
	canGossip?: boolean;
	/** A safety rule to switch off. */
	broken?: string;
	/** Milliseconds of the clock that handlers see; the checker keeps it at 0. */
	now?: number;
}>;

/** A router that looks for silent ones takes every other one for silent at each tick. */
const watch = (state: RouterState, others: readonly string[]): RouterState => ({
	...state,
	scannedAt: others.length === 0 ? Number.POSITIVE_INFINITY : 0,
	peers: Map(others.filter(other => other !== state.incarnation).map(other => [other, {
		router: other, address: other, heardAt: 0, revision: 0,
	}])),
});

/**
Lets a router look for silent ones, and take back what they hold.

@param world - The world.
@param name - The router.
@returns The world.
*/
export const startWatching = (world: World, name: string): World => ({
	...world,
	routers: world.routers.map(node => node.state.incarnation === name ? {...node, state: watch(node.state, world.routers.keySeq().toArray())} : node),
});

const createNode = (name: string, plan: Pick<Plan, 'cost' | 'broken'>): RouterNode => {
	const state = createRouterState({incarnation: name, address: name, dataCentre: 'here'}, {
		kind: 'fixed', size: plan.cost, horizon: 0, share: 1, refusalCost: 1,
	});
	return {state: {...watch(state, []), ...(plan.broken !== undefined && {broken: plan.broken})}, isAlive: true, broken: plan.broken};
};

/**
Adds a fresh router, as a host that was replaced does.

@param world - The world.
@param name - The router.
@returns The world with it.
*/
export const addRouter = (world: World, name: string): World => {
	const broken = world.routers.first()?.broken;
	const links = Map(world.agents.toArray().map((_node, index): [string, Link] => [nameLink(name, index), closedLink]));
	const node = createNode(name, {cost: world.cost, ...(broken !== undefined && {broken})});
	return {...world, routers: world.routers.set(name, node), links: world.links.merge(links)};
};

/**
Creates a world in which nothing has happened yet.

@param plan - What it starts with.
@returns The world.
*/
export const createWorld = (plan: Plan): World => {
	const routers = Map(plan.routers.map((name): [string, RouterNode] => [name, createNode(name, plan)]));
	const agents = List(Array.from({length: plan.agents}, (_, index): AgentNode => ({state: createAgentState(nameAgent(index, 0), 4), incarnation: 0})));
	const links = Map(plan.routers.flatMap(router => Array.from({length: plan.agents}, (_, index): [string, Link] => [nameLink(router, index), closedLink])));
	return {
		rows: plan.rows,
		routers,
		agents,
		links,
		writes: List(),
		calls: List(),
		faults: plan.faults,
		inputs: plan.inputs,
		orders: Map(),
		sent: Map(),
		told: List(),
		left: Set(),
		executions: List(),
		lies: List(),
		changes: List(),
		revisions: Map(),
		canGossip: plan.canGossip ?? false,
		hasReverted: false,
		cost: plan.cost,
		now: plan.now ?? 0,
	};
};
