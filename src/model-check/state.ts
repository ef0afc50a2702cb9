import {List, Map, Set} from 'immutable';
import {createAgentState} from '../attempt/index.js';
import type {
	AgentState, FenceAnswer, AttemptSpec, SealAnswer,
} from '../attempt/index.js';
import type {RouterEvent, StoreTag} from '../router/messages.js';
import {createRouterState} from '../router/state.js';
import type {RequestSpec} from '../request/state.js';
import type {RouterState} from '../router/state.js';
import type {Rows, StoreCall} from '../table/index.js';

/**
The state of a small simulated cluster as one immutable value: the production
handlers for routers and agents, one table, and a network that the checker
controls. Every transition is a pure function, so the checker can explore all of
them, and a random schedule can be reproduced from its seed.
*/

/** The number of faults of each kind that may still occur. */
export type FaultBudget = Readonly<{
	/** Writes that are applied but whose reply is lost. */
	loseReply: number;
	/** Writes whose reply is lost and that are applied later, or never. */
	delayWrite: number;
	/** Calls between processes that are lost. */
	loseCall: number;
	/** Calls between processes whose request is delivered twice. */
	repeatCall: number;
	/** Sessions that break. */
	breakSession: number;
	/** Routers that crash. */
	crashRouter: number;
	/** Agents that crash and restart as a new incarnation. */
	restartAgent: number;
	/** Clients that disconnect before they get a response. */
	leave: number;
}>;

/** Allows no faults. */
export const noFaults: FaultBudget = {
	loseReply: 0, delayWrite: 0, loseCall: 0, repeatCall: 0, breakSession: 0, crashRouter: 0, restartAgent: 0, leave: 0,
};

/** A router in the cluster. */
export type RouterNode = Readonly<{state: RouterState; isAlive: boolean; disabledRule: string | undefined}>;

/** An agent in the cluster, at an address that its incarnations share. */
export type AgentNode = Readonly<{state: AgentState; incarnation: number}>;

/** A message from a router to an agent on a session. */
export type MessageToAgent =
	| Readonly<{kind: 'order'; order: AttemptSpec}>
	| Readonly<{kind: 'settled'; attempts: readonly string[]}>
	| Readonly<{kind: 'cancel'; attempt: string}>;

/** A message from an agent to a router on a session, or the notice that the session ended. */
export type MessageToRouter =
	| Readonly<{kind: 'hello'; agent: string; kept: readonly string[]; session: number}>
	| Readonly<{kind: 'closed'; agent: string}>
	| Readonly<{kind: 'event'; event: RouterEvent}>;

/** The session between a router and an agent. Messages are delivered in order. */
export type Link = Readonly<{
	/** The agent's number for the session; 0 while there is none. */
	session: number;
	/** True if the session broke and the agent has not detected it yet. */
	isStale: boolean;
	toAgent: List<MessageToAgent>;
	toRouter: List<MessageToRouter>;
}>;

/** A call between processes, or its reply, that is not delivered yet. */
export type Call =
	| Readonly<{kind: 'seal'; from: string; to: number; request: string; attempt: string; agent: string}>
	| Readonly<{kind: 'fence'; from: string; to: number; router: string; agent: string; probe: boolean}>
	| Readonly<{kind: 'seal-reply'; from: string; request: string; attempt: string; answer: SealAnswer | undefined}>
	| Readonly<{kind: 'fence-reply'; from: string; router: string; agent: string; answer: FenceAnswer}>;

/** A pending write. If `isLate`, its router no longer waits for the reply. */
export type Write = Readonly<{router: string; tag: StoreTag; call: StoreCall; isLate: boolean}>;

/** A response that a client got. */
export type ClientResponse = Readonly<{arrival: string; kind: string; outcome: 'complete' | 'not-run' | 'unknown'; text: string}>;

/** An attempt that an endpoint ran. */
export type Execution = Readonly<{attempt: string; request: string; claimKey: string | undefined}>;

/** The result of a change, as reported to the operator. */
export type ChangeOutcome = Readonly<{id: string; kind: string; fault: string | undefined; revision: number}>;

/** The state of the cluster. */
export type ClusterState = Readonly<{
	rows: Rows;
	routers: Map<string, RouterNode>;
	agents: List<AgentNode>;
	links: Map<string, Link>;
	writes: List<Write>;
	calls: List<Call>;
	faults: FaultBudget;
	/** External events that have not been delivered yet, with the router that each one goes to. */
	inputs: List<Readonly<{router: string; event: RouterEvent}>>;
	/** The request of each arrival, by arrival. */
	requestSpecs: Map<string, RequestSpec>;
	/** The arrival that each attempt was dispatched for, by attempt. */
	arrivalByAttempt: Map<string, string>;
	responses: List<ClientResponse>;
	/** Arrivals whose client has disconnected. */
	departed: Set<string>;
	executions: List<Execution>;
	/** Arrivals that got the outcome "not run" although their request had run. */
	falseNotRuns: List<string>;
	changes: List<ChangeOutcome>;
	/** The highest configuration revision that each router has had in force, by router. */
	revisions: Map<string, number>;
	/** True if routers send configuration revisions to one another. */
	canGossip: boolean;
	/** True if a router went back to a lower revision. */
	hasReverted: boolean;
	/** Tokens that each attempt uses. */
	costTokens: number;
	now: number;
}>;

/** A transition from one state to the next. */
export type Transition =
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
	/** A revision that one router has had in force reaches another router, at any time and any number of times. */
	| Readonly<{type: 'gossip'; from: string; to: string; revision: number}>;

/** A link without a session. */
export const closedLink: Link = {
	session: 0, isStale: false, toAgent: List(), toRouter: List(),
};

/**
Creates the id of a link.

@param router - The router.
@param agent - The index of the agent.
@returns The id.
*/
export const createLinkId = (router: string, agent: number): string => `${router}>${agent}`;
/**
Parses the id of a link.

@param linkId - The id.
@returns The router and the index of the agent.
*/
export const parseLinkId = (linkId: string): Readonly<{router: string; agent: number}> => {
	const [router = '', agent = ''] = linkId.split('>');
	return {router, agent: Number(agent)};
};

/**
Creates the id of an agent incarnation.

@param index - The index of the agent.
@param incarnation - How many times it has restarted.
@returns The id.
*/
export const createAgentId = (index: number, incarnation: number): string => `a${index}-${incarnation}`;
/**
Reads the index of an agent from the id of one of its incarnations.

@param agent - The id of the incarnation.
@returns The index.
*/
export const parseAgentIndex = (agent: string): number => Number(agent.slice(1).split('-')[0]);

/** The initial contents of a cluster. */
export type ClusterOptions = Readonly<{
	routers: readonly string[];
	agents: number;
	rows: Rows;
	inputs: ClusterState['inputs'];
	faults: FaultBudget;
	costTokens: number;
	canGossip?: boolean;
	/** A safety rule to disable. */
	disabledRule?: string;
	/** Time that the handlers see, in ms; the checker keeps it at 0. */
	now?: number;
}>;

/** Makes a router treat the given others as unresponsive at each tick. Without others, it does not scan for unresponsive routers. */
const monitorPeers = (state: RouterState, others: readonly string[]): RouterState => ({
	...state,
	scannedAt: others.length === 0 ? Number.POSITIVE_INFINITY : 0,
	peers: Map(others.filter(other => other !== state.incarnation).map(other => [other, {
		router: other, address: other, heartbeatReceivedAt: 0, revision: 0,
	}])),
});

/**
Makes a router treat all others as unresponsive and reclaim what they hold.

@param cluster - The state of the cluster.
@param name - The router.
@returns The new state.
*/
export const startPeerMonitoring = (cluster: ClusterState, name: string): ClusterState => ({
	...cluster,
	routers: cluster.routers.map(node => node.state.incarnation === name ? {...node, state: monitorPeers(node.state, cluster.routers.keySeq().toArray())} : node),
});

const createNode = (name: string, options: Pick<ClusterOptions, 'costTokens' | 'disabledRule'>): RouterNode => {
	const state = createRouterState({incarnation: name, address: name, dataCentre: 'here'}, {
		kind: 'fixed', size: options.costTokens, horizon: 0, share: 1, refusalCost: 1,
	});
	return {state: {...monitorPeers(state, []), ...(options.disabledRule !== undefined && {disabledRule: options.disabledRule})}, isAlive: true, disabledRule: options.disabledRule};
};

/**
Adds a new router, as when a host is replaced.

@param cluster - The state of the cluster.
@param name - The router.
@returns The state with the new router.
*/
export const addRouter = (cluster: ClusterState, name: string): ClusterState => {
	const disabledRule = cluster.routers.first()?.disabledRule;
	const links = Map(cluster.agents.toArray().map((_node, index): [string, Link] => [createLinkId(name, index), closedLink]));
	const node = createNode(name, {costTokens: cluster.costTokens, ...(disabledRule !== undefined && {disabledRule})});
	return {...cluster, routers: cluster.routers.set(name, node), links: cluster.links.merge(links)};
};

/**
Creates the initial state of a cluster.

@param options - The initial contents.
@returns The state, before any event.
*/
export const createCluster = (options: ClusterOptions): ClusterState => {
	const routers = Map(options.routers.map((name): [string, RouterNode] => [name, createNode(name, options)]));
	const agents = List(Array.from({length: options.agents}, (_, index): AgentNode => ({state: createAgentState(createAgentId(index, 0), 4), incarnation: 0})));
	const links = Map(options.routers.flatMap(router => Array.from({length: options.agents}, (_, index): [string, Link] => [createLinkId(router, index), closedLink])));
	return {
		rows: options.rows,
		routers,
		agents,
		links,
		writes: List(),
		calls: List(),
		faults: options.faults,
		inputs: options.inputs,
		requestSpecs: Map(),
		arrivalByAttempt: Map(),
		responses: List(),
		departed: Set(),
		executions: List(),
		falseNotRuns: List(),
		changes: List(),
		revisions: Map(),
		canGossip: options.canGossip ?? false,
		hasReverted: false,
		costTokens: options.costTokens,
		now: options.now ?? 0,
	};
};
