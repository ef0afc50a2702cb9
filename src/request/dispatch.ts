import {createFault} from '../errors/index.js';
import type {ErrorKind} from '../errors/index.js';
import {chainAll, keepState} from '../loop/index.js';
import {recordDispatch} from '../agent-view/index.js';
import type {AgentView} from '../agent-view/index.js';
import {canDispatch} from '../registration/index.js';
import {chooseAgent} from '../route/index.js';
import type {RouteChoice} from '../route/index.js';
import {rowKeys} from '../table/index.js';
import {buildClaimWrite} from '../claim/index.js';
import type {ClaimBody} from '../claim/index.js';
import type {RouterEffect, RouterStep} from '../router/messages.js';
import type {RouterState} from '../router/state.js';
import {putRequest, refuseRequest, withRequest} from './common.js';
import type {OpenAttempt, Request} from './state.js';

/** Maximum queued requests for each attempt that a pool's endpoints can run at once. */
const maxQueuedPerSlot = 2;
const minQueueLimit = 16;

const createAttemptId = (state: RouterState): string => `${state.incarnation}.${state.attemptCounter + 1}`;

/**
Sends a request to an agent. The claim of an at-most-once request must already name this attempt.

@param state - The router state.
@param request - The request; its tokens are reserved.
@param view - The agent, with an open session.
@param attempt - The attempt's id.
@param now - The current time in ms.
@returns The next router state and the dispatch effect.
*/
export const sendAttempt = (state: RouterState, request: Request, view: AgentView, attempt: string, now: number): RouterStep => {
	const {agent, session} = view;
	const open: OpenAttempt = {
		id: attempt,
		request: request.id,
		organisation: request.organisation,
		budget: request.budget,
		agent,
		cap: request.hold,
		link: 'sent',
		session,
		sentAt: now,
		isAct: request.kind === 'act',
	};
	const sent: Request = {
		...request,
		phase: 'running',
		phaseAt: now,
		hold: 0,
		attempt,
		tries: request.tries + 1,
		places: [...request.places, {attempt, agent}],
	};
	const next: RouterState = {
		...putRequest(state, sent),
		attempts: state.attempts.set(attempt, open),
		agents: recordDispatch(state.agents, agent),
	};
	return {state: next, effects: [{kind: 'dispatch', attempt: open, request: sent}]};
};

/** Writes the new attempt into the claim; the attempt is sent only once the write is durable. */
const writeAttemptClaim = (state: RouterState, request: Request, view: AgentView, now: number): RouterStep => {
	const attempt = createAttemptId(state);
	const body: ClaimBody = {
		digest: request.digest, request: request.billId, attempt, agent: view.agent, address: view.address,
	};
	const version = request.claim?.version ?? 0;
	const claiming: Request = {
		...request, phase: 'claim-writing', phaseAt: now, claim: {version, state: 'sent', body},
	};
	const effect: RouterEffect = {
		kind: 'store',
		tag: {slice: 'claim', subject: request.id},
		call: {kind: 'write', writes: [buildClaimWrite(request.organisation, request.key ?? '', version, 'sent', body)]},
	};
	if (state.disabledRule === 'claim-before-dispatch') {
		return sendAttempt({...putRequest(state, claiming), attemptCounter: state.attemptCounter + 1}, claiming, view, attempt, now);
	}

	return {state: {...putRequest(state, claiming), attemptCounter: state.attemptCounter + 1}, effects: [effect]};
};

const sendOrClaim = (state: RouterState, request: Request, view: AgentView, now: number): RouterStep => request.kind === 'act'
	? writeAttemptClaim(state, request, view, now)
	: sendAttempt({...state, attemptCounter: state.attemptCounter + 1}, request, view, createAttemptId(state), now);

const sumCapacity = (state: RouterState, pool: string): number =>
	state.agents.valueSeq().toArray()
		.filter(view => view.pool === pool && view.link === 'open' && !view.isLeaving)
		.reduce((sum, view) => sum + view.load.capacity, 0);

const countQueued = (state: RouterState, request: Request): number =>
	state.requests.valueSeq().toArray()
		.filter(other => other.pool === request.pool && other.phase === 'queued' && other.arrivedAt < request.arrivedAt && !other.isAnswered).length;

/** Queues a request, or refuses it if its first-token target has passed or the queue of its pool is full. */
const queueOrRefuse = (state: RouterState, request: Request, kind: ErrorKind, detail: string, now: number): RouterStep => {
	const isPastTarget = now - request.arrivedAt >= request.firstToken;
	const isQueueFull = countQueued(state, request) >= Math.max(minQueueLimit, maxQueuedPerSlot * sumCapacity(state, request.pool));
	return isPastTarget || isQueueFull
		? refuseRequest(state, request.id, createFault(kind, detail), now)
		: keepState(putRequest(state, {...request, phase: 'queued'}));
};

const choiceHandlers: Readonly<{[Kind in RouteChoice['kind']]: (state: RouterState, request: Request, choice: RouteChoice & {kind: Kind}, now: number) => RouterStep}> = {
	agent: (state, request, choice, now) => sendOrClaim(state, request, choice.view, now),
	busy: (state, request, _choice, now) => queueOrRefuse(state, request, 'overloaded', `pool "${request.pool}" is at its capacity`, now),
	none: (state, request, _choice, now) => queueOrRefuse(state, request, 'not-ready', `pool "${request.pool}" has no endpoint that can take the request`, now),
	'no-model': (state, request, _choice, now) => refuseRequest(state, request.id, createFault('bad-request', `model: "${request.model ?? ''}" is not served`), now),
};

/**
Selects an endpoint for a request whose tokens are reserved, and dispatches, queues or refuses it.

@param state - The router state.
@param id - The request's id.
@param now - The current time in ms.
@returns The next router state and its effects.
*/
export const dispatchRequest = (state: RouterState, id: string, now: number): RouterStep => withRequest(state, id, request => {
	const choice = chooseAgent(state.agents, {
		pool: request.pool,
		model: request.model,
		dataCentre: state.dataCentre,
		excluded: request.excluded,
		canDispatch: agent => canDispatch(state.reach, agent) || state.disabledRule === 'reach-before-dispatch',
		seed: state.attemptCounter,
		now,
	});
	const decide = choiceHandlers[choice.kind] as (state: RouterState, request: Request, choice: RouteChoice, now: number) => RouterStep;
	return decide(state, request, choice, now);
});

const computeSlackMs = (request: Request, now: number): number =>
	request.arrivedAt + request.firstToken - now - (request.priority * slackPerPriorityMs);

/** Each level of priority counts as this much less slack in the queue. */
const slackPerPriorityMs = 20;

/**
Dispatches queued requests in order of least slack until their first-token target.

@param state - The router state.
@param now - The current time in ms.
@returns The next router state and its effects.
*/
export const dispatchQueued = (state: RouterState, now: number): RouterStep => {
	const queued = state.requests.valueSeq().toArray()
		.filter(request => request.phase === 'queued' && !request.isAnswered)
		.toSorted((a, b) => computeSlackMs(a, now) - computeSlackMs(b, now));
	return chainAll(state, queued, (current, request) => dispatchRequest(current, request.id, now));
};

/**
Reads the claim of an at-most-once request from the store.

@param state - The router state.
@param request - The request.
@param now - The current time in ms.
@returns The next router state and the store call.
*/
export const readClaimRow = (state: RouterState, request: Request, now: number): RouterStep => ({
	state: putRequest(state, {...request, phase: 'claim-reading', phaseAt: now}),
	effects: [{
		kind: 'store',
		tag: {slice: 'claim', subject: request.id},
		call: {kind: 'read', keys: [rowKeys.claim(request.organisation, request.key ?? '')]},
	}],
});
