import {Set} from 'immutable';
import {computeBackoff, stay} from '../loop/index.js';
import type {Step} from '../loop/index.js';
import {putRow, rowKeys} from '../table/index.js';
import type {
	Json, Row, StoreCall, StoreReply,
} from '../table/index.js';

/** The body of a router's row. */
export type RouterBody = Readonly<{
	address: string;
	dataCentre: string;
	/** Agent incarnations that the router may dispatch to. */
	reach: readonly string[];
}>;

/**
The router's own row: whether it may draw and whom it may dispatch to.

Invariant: `canDispatch` holds for an agent only if the row names it, whatever
write is still under way. A reclaimer that fences every agent of the row has
therefore fenced every agent that this router can make work for it.
*/
export type Reach = Readonly<{
	router: string;
	address: string;
	dataCentre: string;
	row: 'unregistered' | 'active' | 'closing' | 'closed' | 'fenced';
	version: number;
	/** Agents in the row as last known. */
	members: Set<string>;
	/** Agents that ought to be in the row. */
	wanted: Set<string>;
	sync: ReachSync;
}>;

type ReachSync =
	| Readonly<{step: 'idle'}>
	| Readonly<{step: 'writing' | 'reading' | 'waiting'; next: Set<string>; closes: boolean; failures: number; until: number}>;

/** What happens to the router's row. */
export type ReachEvent =
	| Readonly<{kind: 'agents-wanted'; agents: readonly string[]}>
	/** All attempts there are settled, and the agent is gone. */
	| Readonly<{kind: 'agents-settled'; agents: readonly string[]}>
	| Readonly<{kind: 'store-replied'; reply: StoreReply; random: number}>
	| Readonly<{kind: 'close-wanted'}>
	| Readonly<{kind: 'tick'}>;

/** What the router's row asks for. */
export type ReachEffect =
	| Readonly<{kind: 'store'; call: StoreCall}>
	| Readonly<{kind: 'reach-changed'}>
	| Readonly<{kind: 'router-closed'}>
	| Readonly<{kind: 'router-fenced'}>;

type ReachStep = Step<Reach, ReachEffect>;

const backoff = {first: 250, longest: 5000} as const; // Milliseconds

/**
Creates the state of a router that has no row yet.

@param router - The router's incarnation.
@param address - Where peers reach it.
@param dataCentre - Where it stands.
@returns The state.
*/
export const createReach = (router: string, address: string, dataCentre: string): Reach => ({
	router, address, dataCentre, row: 'unregistered', version: 0, members: Set(), wanted: Set(), sync: {step: 'idle'},
});

/**
Tells whether the router may dispatch to an agent.

@param reach - The router's row.
@param agent - The agent's incarnation.
@returns True if the row names it now and after any write under way.
*/
export const canDispatch = (reach: Reach, agent: string): boolean =>
	(reach.row === 'active' || reach.row === 'closing') && reach.members.has(agent)
	&& (reach.sync.step === 'idle' || reach.sync.next.has(agent));

const writeRow = (reach: Reach, next: Set<string>, closes: boolean, failures: number): ReachStep => {
	const body: RouterBody = {address: reach.address, dataCentre: reach.dataCentre, reach: next.toArray().toSorted()};
	return {
		state: {
			...reach, sync: {
				step: 'writing', next, closes, failures, until: 0,
			},
		},
		effects: [{
			kind: 'store',
			call: {kind: 'write', writes: [putRow(rowKeys.router(reach.router), reach.version, body, closes ? 'closed' : 'active')]},
		}],
	};
};

const writeIfNeeded = (reach: Reach): ReachStep => {
	if (reach.sync.step !== 'idle' || reach.row === 'fenced' || reach.row === 'closed') {
		return stay(reach);
	}

	if (reach.row === 'closing') {
		return writeRow(reach, reach.members, true, 0);
	}

	return reach.row === 'unregistered' || !reach.wanted.equals(reach.members)
		? writeRow(reach, reach.wanted, false, 0)
		: stay(reach);
};

const acceptRow = (reach: Reach, members: Set<string>, version: number, isClosed: boolean): ReachStep => {
	const row = isClosed ? 'closed' : (reach.row === 'closing' ? 'closing' : 'active');
	const next: Reach = {
		...reach, row, version, members, sync: {step: 'idle'},
	};
	const more = writeIfNeeded(next);
	const change: ReachEffect = isClosed ? {kind: 'router-closed'} : {kind: 'reach-changed'};
	return {state: more.state, effects: [change, ...more.effects]};
};

const loseRow = (reach: Reach): ReachStep => ({
	state: {...reach, row: 'fenced', sync: {step: 'idle'}},
	effects: [{kind: 'router-fenced'}],
});

const receiveRow = (reach: Reach, row: Row | undefined): ReachStep => {
	const {sync} = reach;
	if (sync.step === 'idle') {
		return stay(reach);
	}

	if ((row?.version ?? 0) === reach.version) {
		// The lost write may still take effect, so only the same one is sent again.
		return writeRow(reach, sync.next, sync.closes, sync.failures);
	}

	if (row === undefined || row.state === 'fencing' || (row.state === 'closed' && !sync.closes)) {
		return loseRow(reach);
	}

	return acceptRow(reach, Set((row.body as RouterBody).reach), row.version, row.state === 'closed');
};

const readRow = (reach: Reach, sync: Exclude<ReachSync, {step: 'idle'}>): ReachStep => ({
	state: {...reach, sync: {...sync, step: 'reading'}},
	effects: [{kind: 'store', call: {kind: 'read', keys: [rowKeys.router(reach.router)]}}],
});

const receiveReply = (reach: Reach, reply: StoreReply, random: number, now: number): ReachStep => {
	const {sync} = reach;
	if (sync.step === 'idle' || sync.step === 'waiting') {
		return stay(reach);
	}

	const replies: Readonly<Record<StoreReply['kind'], () => ReachStep>> = {
		applied: () => acceptRow(reach, sync.next, reach.version + 1, sync.closes),
		conflict: () => readRow(reach, sync),
		rows: () => receiveRow(reach, reply.kind === 'rows' ? reply.rows[0] : undefined),
		lost: () => stay({
			...reach,
			sync: {
				...sync,
				step: 'waiting',
				failures: sync.failures + 1,
				until: now + computeBackoff(backoff, sync.failures, random),
			},
		}),
	};
	return replies[reply.kind]();
};

type Decide<Event> = (reach: Reach, event: Event, now: number) => ReachStep;

const handlers: Readonly<{[Kind in ReachEvent['kind']]: Decide<ReachEvent & {kind: Kind}>}> = {
	'agents-wanted': (reach, event) => writeIfNeeded({...reach, wanted: reach.wanted.union(event.agents)}),
	'agents-settled': (reach, event) => writeIfNeeded({...reach, wanted: reach.wanted.subtract(event.agents)}),
	'store-replied': (reach, event, now) => receiveReply(reach, event.reply, event.random, now),
	'close-wanted': reach => reach.row === 'active' ? writeIfNeeded({...reach, row: 'closing'}) : stay(reach),
	tick: (reach, _event, now) => reach.sync.step === 'waiting' && now >= reach.sync.until ? readRow(reach, reach.sync) : writeIfNeeded(reach),
};

/**
Decides what the router's row does next.

@param reach - The router's row.
@param event - What happened.
@param now - The time in ms.
@returns The row's state and what it asks for.
*/
export const handleReach = (reach: Reach, event: ReachEvent, now: number): ReachStep => {
	const decide = handlers[event.kind] as Decide<ReachEvent>;
	return decide(reach, event, now);
};
