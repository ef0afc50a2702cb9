import {Set} from 'immutable';
import {computeBackoff, keepState} from '../loop/index.js';
import type {Step} from '../loop/index.js';
import {putRow, rowKeys} from '../table/index.js';
import type {
	JsonValue, Row, StoreCall, StoreReply,
} from '../table/index.js';

/** The body of a router's row in the `router` table. */
export type RouterRowBody = Readonly<{
	address: string;
	dataCentre: string;
	/** Agent incarnations to which the router may dispatch requests. */
	reach: readonly string[];
}>;

/**
The router's registration: the state of its own row in the store. It decides
whether the router may draw tokens from budgets, and to which agents it may dispatch.

Invariant: `canDispatch` holds for an agent only if the row lists it, both before
and after any write in progress. A reclaimer that has fenced every agent listed in
the row has therefore fenced every agent to which this router can dispatch.
*/
export type Registration = Readonly<{
	/** The router's incarnation. */
	router: string;
	address: string;
	dataCentre: string;
	/** State of the row. `closing`: a shutdown was requested, and the row is not known to be closed yet. */
	row: 'unregistered' | 'active' | 'closing' | 'closed' | 'fenced';
	/** Version of the row; 0 before it exists. */
	version: number;
	/** Agents listed in the row as last known. */
	registeredAgents: Set<string>;
	/** Agents that the row should list. */
	desiredAgents: Set<string>;
	/** Progress of the current write of the row. */
	sync: RowWrite;
}>;

/** `until` is the time in ms at which a failed write is checked and retried; `failures` counts consecutive failures. */
type RowWrite =
	| Readonly<{step: 'idle'}>
	| Readonly<{step: 'writing' | 'reading' | 'waiting'; pendingAgents: Set<string>; isClosing: boolean; failures: number; until: number}>;

/** Events that change the router's registration. */
export type RegistrationEvent =
	| Readonly<{kind: 'agents-wanted'; agents: readonly string[]}>
	/** The agents are gone, and all attempts dispatched to them are settled. */
	| Readonly<{kind: 'agents-settled'; agents: readonly string[]}>
	| Readonly<{kind: 'store-replied'; reply: StoreReply; random: number}>
	| Readonly<{kind: 'close-wanted'}>
	| Readonly<{kind: 'tick'}>;

/** Effects that the registration requests. */
export type RegistrationEffect =
	| Readonly<{kind: 'store'; call: StoreCall}>
	| Readonly<{kind: 'reach-changed'}>
	| Readonly<{kind: 'router-closed'}>
	| Readonly<{kind: 'router-fenced'}>;

type RegistrationStep = Step<Registration, RegistrationEffect>;

const retryBackoffMs = {first: 250, longest: 5000} as const;

/**
Creates the registration of a router that has no row yet.

@param router - The router's incarnation.
@param address - The address at which peers connect to it.
@param dataCentre - The data centre in which it runs.
@returns The registration, in state `unregistered`.
*/
export const createRegistration = (router: string, address: string, dataCentre: string): Registration => ({
	router, address, dataCentre, row: 'unregistered', version: 0, registeredAgents: Set(), desiredAgents: Set(), sync: {step: 'idle'},
});

/**
Checks whether the router may dispatch to an agent.

@param registration - The router's registration.
@param agent - The agent's incarnation.
@returns True if the row lists the agent now and after any write in progress.
*/
export const canDispatch = (registration: Registration, agent: string): boolean =>
	(registration.row === 'active' || registration.row === 'closing') && registration.registeredAgents.has(agent)
	&& (registration.sync.step === 'idle' || registration.sync.pendingAgents.has(agent));

const writeRow = (registration: Registration, pendingAgents: Set<string>, isClosing: boolean, failures: number): RegistrationStep => {
	const body: RouterRowBody = {address: registration.address, dataCentre: registration.dataCentre, reach: pendingAgents.toArray().toSorted()};
	return {
		state: {
			...registration, sync: {
				step: 'writing', pendingAgents, isClosing, failures, until: 0,
			},
		},
		effects: [{
			kind: 'store',
			call: {kind: 'write', writes: [putRow(rowKeys.router(registration.router), registration.version, body, isClosing ? 'closed' : 'active')]},
		}],
	};
};

const writeIfNeeded = (registration: Registration): RegistrationStep => {
	if (registration.sync.step !== 'idle' || registration.row === 'fenced' || registration.row === 'closed') {
		return keepState(registration);
	}

	if (registration.row === 'closing') {
		return writeRow(registration, registration.registeredAgents, true, 0);
	}

	return registration.row === 'unregistered' || !registration.desiredAgents.equals(registration.registeredAgents)
		? writeRow(registration, registration.desiredAgents, false, 0)
		: keepState(registration);
};

const adoptRow = (registration: Registration, agents: Set<string>, version: number, isClosed: boolean): RegistrationStep => {
	const rowState = isClosed ? 'closed' : (registration.row === 'closing' ? 'closing' : 'active');
	const next: Registration = {
		...registration, row: rowState, version, registeredAgents: agents, sync: {step: 'idle'},
	};
	const followUp = writeIfNeeded(next);
	const change: RegistrationEffect = isClosed ? {kind: 'router-closed'} : {kind: 'reach-changed'};
	return {state: followUp.state, effects: [change, ...followUp.effects]};
};

const markFenced = (registration: Registration): RegistrationStep => ({
	state: {...registration, row: 'fenced', sync: {step: 'idle'}},
	effects: [{kind: 'router-fenced'}],
});

const reconcileRow = (registration: Registration, row: Row | undefined): RegistrationStep => {
	const {sync} = registration;
	if (sync.step === 'idle') {
		return keepState(registration);
	}

	if ((row?.version ?? 0) === registration.version) {
		// The write whose reply was lost may still be applied, so exactly the same write is retried.
		return writeRow(registration, sync.pendingAgents, sync.isClosing, sync.failures);
	}

	if (row === undefined || row.state === 'fencing' || (row.state === 'closed' && !sync.isClosing)) {
		return markFenced(registration);
	}

	return adoptRow(registration, Set((row.body as RouterRowBody).reach), row.version, row.state === 'closed');
};

const readRow = (registration: Registration, sync: Exclude<RowWrite, {step: 'idle'}>): RegistrationStep => ({
	state: {...registration, sync: {...sync, step: 'reading'}},
	effects: [{kind: 'store', call: {kind: 'read', keys: [rowKeys.router(registration.router)]}}],
});

const receiveReply = (registration: Registration, reply: StoreReply, random: number, now: number): RegistrationStep => {
	const {sync} = registration;
	if (sync.step === 'idle' || sync.step === 'waiting') {
		return keepState(registration);
	}

	const replyHandlers: Readonly<Record<StoreReply['kind'], () => RegistrationStep>> = {
		applied: () => adoptRow(registration, sync.pendingAgents, registration.version + 1, sync.isClosing),
		conflict: () => readRow(registration, sync),
		rows: () => reconcileRow(registration, reply.kind === 'rows' ? reply.rows[0] : undefined),
		lost: () => keepState({
			...registration,
			sync: {
				...sync,
				step: 'waiting',
				failures: sync.failures + 1,
				until: now + computeBackoff(retryBackoffMs, sync.failures, random),
			},
		}),
	};
	return replyHandlers[reply.kind]();
};

type EventHandler<Event> = (registration: Registration, event: Event, now: number) => RegistrationStep;

const handlers: Readonly<{[Kind in RegistrationEvent['kind']]: EventHandler<RegistrationEvent & {kind: Kind}>}> = {
	'agents-wanted': (registration, event) => writeIfNeeded({...registration, desiredAgents: registration.desiredAgents.union(event.agents)}),
	'agents-settled': (registration, event) => writeIfNeeded({...registration, desiredAgents: registration.desiredAgents.subtract(event.agents)}),
	'store-replied': (registration, event, now) => receiveReply(registration, event.reply, event.random, now),
	'close-wanted': registration => registration.row === 'active' ? writeIfNeeded({...registration, row: 'closing'}) : keepState(registration),
	tick: (registration, _event, now) => registration.sync.step === 'waiting' && now >= registration.sync.until ? readRow(registration, registration.sync) : writeIfNeeded(registration),
};

/**
Applies an event to the router's registration.

@param registration - The router's registration.
@param event - The event.
@param now - The time in ms.
@returns The new registration and the effects that it requests.
*/
export const handleRegistration = (registration: Registration, event: RegistrationEvent, now: number): RegistrationStep => {
	const handleEvent = handlers[event.kind] as EventHandler<RegistrationEvent>;
	return handleEvent(registration, event, now);
};
