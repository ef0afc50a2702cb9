import {handleConfig} from '../config/index.js';
import type {ConfigEffect, ConfigEvent} from '../config/index.js';
import {createFault} from '../errors/index.js';
import {isGrantEmpty} from '../budget/index.js';
import {chain, chainAll, keepState} from '../loop/index.js';
import {openAgentSession, updateAgent} from '../agent-view/index.js';
import {handleOperation, startOperation} from '../operation/index.js';
import type {OperationEffect} from '../operation/index.js';
import {handleRegistration} from '../registration/index.js';
import type {RegistrationEffect, RegistrationEvent} from '../registration/index.js';
import {createReclaim, handleReclaim} from '../reclaim/index.js';
import type {ReclaimEffect, ReclaimEvent} from '../reclaim/index.js';
import {
	recordFirstOutput, closeLostAgent, closeUnknownAttempts, endAttempt, forgetAttempts, cancelRequest, receiveSessionEnd, receiveRefusal, closeDrainedAgent,
} from '../request/attempts.js';
import {receiveClaimReply, receiveSeal, retryClaim} from '../request/claims.js';
import {putRequest, refuseRequest, withRequest} from '../request/common.js';
import {createShortageFault, refuseOverdue, acquireReservation} from '../request/grant.js';
import {readClaimRow, dispatchQueued} from '../request/dispatch.js';
import {createRequest} from '../request/state.js';
import type {Request} from '../request/state.js';
import type {Row} from '../table/index.js';
import {logEvent} from './messages.js';
import type {
	RouterEffect, RouterEvent, RouterStep, StoreTag,
} from './messages.js';
import {tickGrants, updateGrant} from './grants.js';
import type {RouterState} from './state.js';

const maxOpenRequests = 10_000;
const retryBudgetFraction = 0.1;
const maxRetryBudget = 20;
const peerTimeoutMs = 8000;
/** Time that each peer adds to the timeout, since heartbeats are sent to a few peers at a time. */
const peerTimeoutPerPeerMs = 500;
const scanIntervalMs = 30_000;
const maxRouterRows = 2000;

const registrationEffectHandlers: Readonly<Record<RegistrationEffect['kind'], (state: RouterState, effect: RegistrationEffect, now: number) => RouterStep>> = {
	store: (state, effect) => ({
		state, effects: effect.kind === 'store' ? [{kind: 'store', tag: {slice: 'reach', subject: ''}, call: effect.call}] : [],
	}),
	'reach-changed': (state, _effect, now) => dispatchQueued(state, now),
	'router-closed': state => ({state: {...state, phase: 'closed'}, effects: [{kind: 'closed'}]}),
	'router-fenced': state => ({state: {...state, phase: 'fenced'}, effects: [logEvent('router-fenced', {router: state.incarnation})]}),
};

const updateRegistration = (state: RouterState, event: RegistrationEvent, now: number): RouterStep => {
	const step = handleRegistration(state.reach, event, now);
	return chainAll({...state, reach: step.state}, step.effects, (current, effect) => registrationEffectHandlers[effect.kind](current, effect, now));
};

const convertConfigEffects = (effects: readonly ConfigEffect[]): readonly RouterEffect[] => effects.map((effect): RouterEffect => effect.kind === 'store'
	? {kind: 'store', tag: {slice: 'config', subject: ''}, call: effect.call}
	: effect);

const updateConfig = (state: RouterState, event: ConfigEvent, now: number): RouterStep => {
	const step = handleConfig(state.config, event, now, state.disabledRule);
	return {state: {...state, config: step.state}, effects: convertConfigEffects(step.effects)};
};

const reclaimEffectHandlers: Readonly<{[Kind in ReclaimEffect['kind']]: (state: RouterState, effect: ReclaimEffect & {kind: Kind}) => RouterStep}> = {
	store: (state, effect) => ({state, effects: [{kind: 'store', tag: {slice: 'reclaim', subject: effect.router}, call: effect.call}]}),
	'ask-fence': (state, effect) => ({state, effects: [{...effect, address: state.agents.get(effect.agent)?.address}]}),
	'close-router': (state, effect) => ({
		state, effects: [{kind: 'close-router', router: effect.router, addresses: effect.agents.flatMap(agent => state.agents.get(agent)?.address ?? [])}],
	}),
	reclaimed: (state, effect) => ({
		state: {...state, reclaims: state.reclaims.delete(effect.router), peers: state.peers.delete(effect.router)},
		effects: [logEvent('router-reclaimed', {router: effect.router})],
	}),
	'reclaim-stopped': (state, effect) => keepState({...state, reclaims: state.reclaims.delete(effect.router)}),
};

const updateReclaim = (state: RouterState, router: string, event: ReclaimEvent, now: number): RouterStep => {
	const reclaim = state.reclaims.get(router);
	if (reclaim === undefined) {
		return keepState(state);
	}

	const step = handleReclaim(reclaim, event, now, state.disabledRule);
	return chainAll({...state, reclaims: state.reclaims.set(router, step.state)}, step.effects, (current, effect) => {
		const handleEffect = reclaimEffectHandlers[effect.kind] as (state: RouterState, effect: ReclaimEffect) => RouterStep;
		return handleEffect(current, effect);
	});
};

const startReclaim = (state: RouterState, router: string, now: number): RouterStep => {
	if (state.reclaims.has(router) || router === state.incarnation || state.phase !== 'serving') {
		return keepState(state);
	}

	const started = {...state, reclaims: state.reclaims.set(router, createReclaim(router, state.incarnation))};
	return chain({state: started, effects: [logEvent('reclaim-started', {router})]}, current => updateReclaim(current, router, {kind: 'begin'}, now));
};

const convertOperationEffects = (state: RouterState, id: string, effects: readonly OperationEffect[]): RouterStep => ({
	state,
	effects: effects.flatMap((effect): readonly RouterEffect[] => effect.kind === 'store'
		? [{kind: 'store', tag: {slice: 'operation', subject: id}, call: effect.call}]
		: [
			effect,
			logEvent('change-ended', {
				change: id, kind: effect.change.kind, subject: effect.change.subject, who: effect.change.who, fault: effect.fault?.kind,
			}),
		]),
});

/** Starts the reclaim of routers that have an open row but are not known as peers: no heartbeat came from them. */
const receiveScan = (state: RouterState, rows: ReadonlyArray<Row | undefined>, now: number): RouterStep => {
	const unknownRouters = rows.flatMap(row => row === undefined || row.state === 'closed' || state.peers.has(row.id) ? [] : [row.id]);
	return chainAll(state, unknownRouters, (current, router) => startReclaim(current, router, now));
};

type ReplyHandler = (state: RouterState, event: RouterEvent & {kind: 'store-replied'}, now: number) => RouterStep;

const replyHandlers: Readonly<Record<StoreTag['slice'], ReplyHandler>> = {
	pot: (state, event, now) => state.pots.has(event.tag.subject)
		? updateGrant(state, event.tag.subject, {kind: 'store-replied', reply: event.reply, random: event.random}, now)
		: keepState(state),
	reach: (state, event, now) => updateRegistration(state, {kind: 'store-replied', reply: event.reply, random: event.random}, now),
	claim: (state, event, now) => receiveClaimReply(state, event.tag.subject, event.reply, now),
	config: (state, event, now) => updateConfig(state, {kind: 'store-replied', reply: event.reply}, now),
	reclaim: (state, event, now) => updateReclaim(state, event.tag.subject, {kind: 'store-replied', reply: event.reply, random: event.random}, now),
	operation(state, event) {
		const operation = state.operations.get(event.tag.subject);
		if (operation === undefined) {
			return keepState(state);
		}

		const step = handleOperation(operation, event.reply);
		const operations = step.state === undefined
			? state.operations.delete(event.tag.subject)
			: state.operations.set(event.tag.subject, step.state);
		return convertOperationEffects({...state, operations}, event.tag.subject, step.effects);
	},
	scan: (state, event, now) => event.reply.kind === 'rows' ? receiveScan(state, event.reply.rows, now) : keepState(state),
};

const admitRequest = (state: RouterState, event: RouterEvent & {kind: 'request-arrived'}, now: number): RouterStep => {
	const request = createRequest(event.order, now);
	const admitted: RouterState = {
		...putRequest(state, request),
		retryBudget: Math.min(maxRetryBudget, state.retryBudget + retryBudgetFraction),
	};
	if (state.phase !== 'serving') {
		return refuseRequest(admitted, request.id, createFault('not-ready', 'this router is shutting down'), now);
	}

	if (state.requests.size >= maxOpenRequests) {
		return refuseRequest(admitted, request.id, createFault('overloaded', `this router holds ${maxOpenRequests} requests`), now);
	}

	return request.kind === 'act' ? readClaimRow(admitted, request, now) : acquireReservation(admitted, request, now);
};

const openSession = (state: RouterState, event: RouterEvent & {kind: 'session-opened'}, now: number): RouterStep => {
	const {agent} = event.introduction;
	const opened = openAgentSession(state.agents, event.introduction, now);
	const withoutReplaced = chainAll({...state, agents: opened.agents}, opened.replaced, (current, old) => closeLostAgent(current, old, now));
	const withoutUnseen = chain(withoutReplaced, current => closeUnknownAttempts(current, agent, event.kept, now));
	const registered = chain(withoutUnseen, current => updateRegistration(current, {kind: 'agents-wanted', agents: [agent]}, now));
	return chain(registered, current => dispatchQueued(current, now));
};

const recordLoad = (state: RouterState, event: RouterEvent & {kind: 'load-reported'}, now: number): RouterStep => keepState({
	...state,
	agents: updateAgent(state.agents, event.agent, view => ({
		...view,
		load: {
			...view.load, running: event.running, waiting: event.waiting, at: now,
		},
		sentSince: 0,
		isLeaving: view.isLeaving || event.isLeaving,
		revision: Math.max(view.revision, event.revision),
	})),
});

const recordPeer = (state: RouterState, event: RouterEvent & {kind: 'peer-heard'}, now: number): RouterStep => {
	const updated = {
		...state, peers: state.peers.set(event.router, {
			router: event.router, address: event.address, heartbeatReceivedAt: now, revision: event.revision,
		}),
	};
	return updateConfig(updated, {kind: 'revisions-heard', revisions: event.revisions}, now);
};

type ForwardEnded = RouterEvent & {kind: 'forward-ended'};

const forwardOutcomeHandlers: Readonly<Record<ForwardEnded['outcome'], (state: RouterState, request: Request, now: number) => RouterStep>> = {
	// The peer has answered and billed the request.
	answered: (state, request) => keepState({...state, requests: state.requests.delete(request.id)}),
	'not-run': (state, request, now) => refuseRequest(state, request.id, createShortageFault(request, request.shortage), now),
	unknown: (state, request, now) => refuseRequest(state, request.id, createFault(request.kind === 'act' ? 'outcome-unknown' : 'endpoint-failed', 'the peer that served the request broke off'), now),
};

const endForward = (state: RouterState, event: ForwardEnded, now: number): RouterStep =>
	withRequest(state, event.request, request => forwardOutcomeHandlers[event.outcome](state, request, now));

/** Ends a request whose deadline has passed, and answers its client at once. */
const expireRequest = (state: RouterState, request: Request, now: number): RouterStep => {
	const attempt = state.attempts.get(request.attempt ?? '');
	const cancels: readonly RouterEffect[] = attempt === undefined || attempt.isAct ? [] : [{kind: 'cancel', agent: attempt.agent, attempt: attempt.id}];
	const kind = request.places.length === 0 && request.phase === 'queued' ? 'overloaded' : 'deadline';
	const fault = createFault(kind, `class "${request.workClass}" allows ${request.giveUp} ms`);
	return chain({state, effects: cancels}, current => refuseRequest(current, request.id, fault, now));
};

const tickRequest = (state: RouterState, request: Request, now: number): RouterStep => request.isAnswered || now - request.arrivedAt < request.giveUp
	? retryClaim(state, request, now)
	: expireRequest(state, request, now);

const isSilent = (state: RouterState, heartbeatReceivedAt: number, now: number): boolean =>
	now - heartbeatReceivedAt >= peerTimeoutMs + (peerTimeoutPerPeerMs * state.peers.size);

/** True if no peer whose heartbeats still arrive has a lower incarnation. */
const hasLowestIncarnation = (state: RouterState, now: number): boolean =>
	state.peers.valueSeq().every(peer => isSilent(state, peer.heartbeatReceivedAt, now) || peer.router > state.incarnation);

/**
Starts the reclaim of silent peers. Normally only one router does so at a time; if
several do, the store's conditional writes decide.
*/
const reclaimSilentPeers = (state: RouterState, now: number): RouterStep => {
	if (state.phase !== 'serving' || !hasLowestIncarnation(state, now)) {
		return keepState(state);
	}

	const silent = state.peers.valueSeq().toArray().filter(peer => isSilent(state, peer.heartbeatReceivedAt, now)).map(peer => peer.router);
	const reclaimed = chainAll(state, silent, (current, router) => startReclaim(current, router, now));
	return now - state.scannedAt < scanIntervalMs
		? reclaimed
		: {
			state: {...reclaimed.state, scannedAt: now},
			effects: [...reclaimed.effects, {
				kind: 'store',
				tag: {slice: 'scan', subject: ''},
				call: {
					kind: 'query', table: 'router', prefix: '', limit: maxRouterRows,
				},
			}],
		};
};

/** Removes agents from the router's row that are gone and have no open attempts or unsettled bills. */
const unregisterGoneAgents = (state: RouterState, now: number): RouterStep => {
	const gone = state.agents.valueSeq().toArray().filter(view => view.link === 'gone').map(view => view.agent);
	const settled = gone.filter(agent =>
		!state.attempts.some(attempt => attempt.agent === agent)
		&& !state.pots.some(grant => grant.unsettled.some(bill => bill.attempts.some(place => place.agent === agent))));
	if (settled.length === 0) {
		return keepState(state);
	}

	const next = {...state, agents: state.agents.deleteAll(settled)};
	return updateRegistration(next, {kind: 'agents-settled', agents: settled}, now);
};

const isShuttingDown = (state: RouterState): boolean => state.phase === 'draining' || state.phase === 'fenced';

const waitingPhases: ReadonlySet<Request['phase']> = new Set(['granting', 'queued']);

/** A fenced router gets no more tokens and can't dispatch to further agents, so waiting requests are refused at once. */
const refuseWaitingRequests = (state: RouterState, now: number): RouterStep => {
	const waiting = state.phase === 'fenced'
		? state.requests.valueSeq().toArray().filter(request => waitingPhases.has(request.phase) && !request.isAnswered)
		: [];
	return chainAll(state, waiting, (current, request) =>
		refuseRequest(current, request.id, createFault('not-ready', 'this router is being replaced'), now));
};

/** Time that a router waits during shutdown for the store and for agents that do not answer. */
const shutdownTimeoutMs = 30_000;

/** Ends a shutdown that has timed out. The row stays open, so that a reclaimer settles what is left. */
const abandonShutdown = (state: RouterState, now: number): RouterStep => now - state.leavingAt < shutdownTimeoutMs
	? keepState(state)
	: {state: {...state, phase: 'closed'}, effects: [logEvent('router-left-open', {router: state.incarnation, attempts: state.attempts.size}), {kind: 'closed'}]};

/** Continues a shutdown: once no request is open, settles all bills, returns all tokens and closes the row. */
const continueShutdown = (state: RouterState, now: number): RouterStep => {
	if (!isShuttingDown(state) || state.requests.size > 0) {
		return keepState(state);
	}

	if (state.leavingAt === 0) {
		// A fenced router was not asked to shut down, so its timeout starts here.
		return keepState({...state, leavingAt: now});
	}

	const unreturned = state.pots.valueSeq().toArray().filter(grant => !isGrantEmpty(grant)).map(grant => grant.budget);
	if (unreturned.length > 0) {
		return now - state.leavingAt >= shutdownTimeoutMs ? abandonShutdown(state, now) : chainAll(state, unreturned, (current, budget) => updateGrant(current, budget, {kind: 'return-wanted'}, now));
	}

	if (state.phase === 'fenced' || state.reach.row === 'unregistered') {
		return {state: {...state, phase: 'closed'}, effects: [{kind: 'closed'}]};
	}

	return state.attempts.size > 0 ? abandonShutdown(state, now) : updateRegistration(state, {kind: 'close-wanted'}, now);
};

const handleTick = (state: RouterState, _event: RouterEvent & {kind: 'tick'}, now: number): RouterStep => {
	const expired = chainAll(state, state.requests.valueSeq().toArray(), (current, request) => tickRequest(current, request, now));
	const steps: ReadonlyArray<(current: RouterState) => RouterStep> = [
		current => tickGrants(current, now),
		current => updateRegistration(current, {kind: 'tick'}, now),
		current => updateConfig(current, {kind: 'tick'}, now),
		current => chainAll(current, current.reclaims.keySeq().toArray(), (inner, router) => updateReclaim(inner, router, {kind: 'tick'}, now)),
		current => reclaimSilentPeers(current, now),
		current => unregisterGoneAgents(current, now),
		current => dispatchQueued(current, now),
		current => refuseOverdue(current, now),
		current => refuseWaitingRequests(current, now),
		current => continueShutdown(current, now),
	];
	return steps.reduce((step, handleStep) => chain(step, handleStep), expired);
};

type EventHandler<Event> = (state: RouterState, event: Event, now: number) => RouterStep;

const handlers: Readonly<{[Kind in RouterEvent['kind']]: EventHandler<RouterEvent & {kind: Kind}>}> = {
	'request-arrived': admitRequest,
	'caller-left': (state, event, now) => cancelRequest(state, event.request, now),
	'store-replied': (state, event, now) => replyHandlers[event.tag.slice](state, event, now),
	'session-opened': openSession,
	'session-closed': (state, event, now) => receiveSessionEnd(state, event, now),
	'session-refused': state => ({state: {...state, phase: state.phase === 'closed' ? 'closed' : 'fenced'}, effects: [logEvent('router-fenced', {router: state.incarnation})]}),
	'load-reported': recordLoad,
	'agent-leaving': (state, event) => keepState({...state, agents: updateAgent(state.agents, event.agent, view => ({...view, isLeaving: true}))}),
	'agent-left': (state, event, now) => closeDrainedAgent(state, event.agent, now),
	'agent-gone': (state, event, now) => closeLostAgent(state, event.agent, now),
	'attempt-refused': receiveRefusal,
	'attempt-began': (state, event, now) => recordFirstOutput(state, event.attempt, now),
	'attempt-ended': endAttempt,
	'attempts-forgotten': (state, event, now) => forgetAttempts(state, event.attempts, now),
	'seal-answered': receiveSeal,
	'fence-answered': (state, event, now) => updateReclaim(state, event.router, {kind: 'fence-answered', agent: event.agent, answer: event.answer}, now),
	'forward-ended': endForward,
	'peer-heard': recordPeer,
	'change-asked'(state, event) {
		const step = startOperation(event.change);
		const operations = step.state === undefined ? state.operations : state.operations.set(event.change.id, step.state);
		return convertOperationEffects({...state, operations}, event.change.id, step.effects);
	},
	'drain-asked': (state, _event, now) => keepState({...state, phase: state.phase === 'serving' ? 'draining' : state.phase, leavingAt: now}),
	tick: handleTick,
};

/**
Applies an event to a router.

@param state - The router's state.
@param event - The event.
@param now - The time in ms.
@returns The new state and the effects to perform.
*/
export const handleRouter = (state: RouterState, event: RouterEvent, now: number): RouterStep => {
	const handleEvent = handlers[event.kind] as EventHandler<RouterEvent>;
	return handleEvent(state, event, now);
};
