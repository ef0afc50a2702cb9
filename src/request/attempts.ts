import {createFault} from '../errors/index.js';
import {chain, chainAll, keepState} from '../loop/index.js';
import {recordAttemptEnd, recordFirstToken, updateAgent} from '../agent-view/index.js';
import {releaseTokens, updateGrant, updateGrants} from '../router/grants.js';
import type {RouterEffect, RouterEvent, RouterStep} from '../router/messages.js';
import type {RouterState} from '../router/state.js';
import {finishAtMostOnce, sealOwnAttempt} from './claims.js';
import {
	closeRequest, logRequestEnd, putRequest, refuseRequest, withRequest,
} from './common.js';
import {acquireReservation} from './grant.js';
import {dispatchRequest, dispatchQueued} from './dispatch.js';
import type {OpenAttempt, Request} from './state.js';

type AttemptEnded = RouterEvent & {kind: 'attempt-ended'};

const maxTries = 4;

/** Removes an open attempt and records its outcome for the agent. The reservation is released separately. */
const closeAttempt = (state: RouterState, attempt: OpenAttempt, isSuccess: boolean, now: number): RouterState => ({
	...state,
	attempts: state.attempts.delete(attempt.id),
	agents: recordAttemptEnd(state.agents, attempt.agent, isSuccess, now),
});

const restoreReservation = (request: Request, attempt: OpenAttempt): Request => ({...request, hold: request.hold + attempt.cap});

/** Retries a request at another agent if the number of tries and, where it is charged, the retry budget allow it. */
const retryRequest = (state: RouterState, request: Request, needsRetryBudget: boolean, now: number): RouterStep => {
	const canRetry = request.tries < maxTries && (!needsRetryBudget || state.retryBudget >= 1);
	if (!canRetry) {
		const kind = request.places.length === 0 ? 'not-ready' : 'endpoint-failed';
		return refuseRequest(putRequest(state, request), request.id, createFault(kind, `attempt ${request.tries} failed, and no retry is left`), now);
	}

	const charged = needsRetryBudget ? {...state, retryBudget: state.retryBudget - 1} : state;
	const queued: Request = {...request, phase: 'queued', phaseAt: now};
	return request.hold >= request.cap
		? dispatchRequest(putRequest(charged, queued), request.id, now)
		: acquireReservation(charged, request, now);
};

/** Tells the agent to drop the usage of an attempt that no unsettled bill or open request names: its bill is durable, or another router wrote it. */
const settleOrphan = (state: RouterState, attempt: string, agent: string): readonly RouterEffect[] => {
	const isBillPending = state.pots.some(grant => grant.unsettled.some(bill => bill.attempts.some(entry => entry.attempt === attempt)))
		|| state.requests.some(request => request.places.some(entry => entry.attempt === attempt));
	return isBillPending ? [] : [{kind: 'settle', agent, attempts: [attempt]}];
};

const finishDone = (state: RouterState, request: Request, event: AttemptEnded, now: number): RouterStep => {
	if (request.kind === 'act') {
		return finishAtMostOnce(state, request, {verdict: 'done', answer: event.answer, tokens: event.tokens}, now);
	}

	const effect: RouterEffect = event.answer === undefined
		? {kind: 'end-stream', request: request.id}
		: {kind: 'reply', request: request.id, answer: event.answer};
	const effects = request.isAnswered ? [] : [effect, logRequestEnd(request, 'complete', event.tokens, now)];
	return chain({state, effects}, current => closeRequest(current, {...request, tokens: event.tokens, isAnswered: true}, now));
};

const finishNotRun = (state: RouterState, request: Request, event: AttemptEnded, now: number): RouterStep => {
	const next = {
		...request, places: request.places.filter(entry => entry.attempt !== event.attempt), excluded: [...request.excluded, event.agent],
	};
	return request.isAnswered ? closeRequest(state, next, now) : retryRequest(state, next, true, now);
};

const finishFailed = (state: RouterState, request: Request, event: AttemptEnded, now: number): RouterStep => {
	if (request.kind === 'act') {
		return finishAtMostOnce(state, request, {verdict: 'unknown', answer: undefined, tokens: event.tokens}, now);
	}

	if (request.isAnswered) {
		return closeRequest(state, {...request, tokens: event.tokens}, now);
	}

	const hasNoOutput = event.delivered === 0;
	const next: Request = {...request, excluded: [...request.excluded, event.agent], resumes: request.resumes || !hasNoOutput};
	return hasNoOutput || event.canResume
		? retryRequest(state, next, true, now)
		: refuseRequest(putRequest(state, next), request.id, createFault('endpoint-failed', 'the endpoint broke off, and the answer cannot be resumed'), now);
};

const outcomeHandlers: Readonly<Record<AttemptEnded['outcome'], (state: RouterState, request: Request, event: AttemptEnded, now: number) => RouterStep>> = {
	done: finishDone,
	'not-run': finishNotRun,
	failed: finishFailed,
	unknown: finishFailed,
	cancelled: (state, request, event, now) => request.isAnswered
		? closeRequest(state, {...request, tokens: event.tokens}, now)
		: finishFailed(state, request, event, now),
};

const isSuccessfulEnd = (event: AttemptEnded): boolean => event.outcome === 'done' || event.outcome === 'cancelled';

/**
Handles the end of an attempt. Only the current attempt of a request decides its
answer; an older one only releases its reservation.

@param state - The router state.
@param event - The outcome, cost and answer of the attempt.
@param now - The current time in ms.
@returns The next router state and its effects.
*/
export const endAttempt = (state: RouterState, event: AttemptEnded, now: number): RouterStep => {
	const attempt = state.attempts.get(event.attempt);
	if (attempt === undefined) {
		return {state, effects: settleOrphan(state, event.attempt, event.agent)};
	}

	if (attempt.isAct && attempt.link === 'lost') {
		// The answer was lost with the session, and a seal request to the agent will return it.
		return keepState(state);
	}

	const closed = closeAttempt(state, attempt, isSuccessfulEnd(event), now);
	const request = closed.requests.get(attempt.request);
	const step = request?.attempt === attempt.id
		? outcomeHandlers[event.outcome](closed, restoreReservation(request, attempt), event, now)
		: chain(releaseTokens(closed, attempt.budget, attempt.cap, now), current => ({
			state: current, effects: settleOrphan(current, attempt.id, attempt.agent),
		}));
	return chain(step, current => dispatchQueued(current, now));
};

/**
Handles the refusal of an attempt, which did not run and never will.

@param state - The router state.
@param event - The refusal.
@param now - The current time in ms.
@returns The next router state and its effects.
*/
export const receiveRefusal = (state: RouterState, event: RouterEvent & {kind: 'attempt-refused'}, now: number): RouterStep => {
	const attempt = state.attempts.get(event.attempt);
	if (attempt === undefined) {
		return keepState(state);
	}

	const closed: RouterState = {
		...state,
		attempts: state.attempts.delete(attempt.id),
		agents: updateAgent(state.agents, attempt.agent, view => ({...view, open: Math.max(0, view.open - 1)})),
	};
	const request = closed.requests.get(attempt.request);
	if (request?.attempt !== attempt.id) {
		return releaseTokens(closed, attempt.budget, attempt.cap, now);
	}

	const next: Request = {
		...restoreReservation(request, attempt),
		places: request.places.filter(entry => entry.attempt !== attempt.id),
		excluded: [...request.excluded, attempt.agent],
	};
	return request.isAnswered ? closeRequest(closed, next, now) : retryRequest(closed, next, event.error === 'overloaded', now);
};

/**
Records the time to the first output of an attempt for its agent.

@param state - The router state.
@param id - The attempt's id.
@param now - The current time in ms.
@returns The next router state, with the agent's latency updated.
*/
export const recordFirstOutput = (state: RouterState, id: string, now: number): RouterStep => {
	const attempt = state.attempts.get(id);
	return attempt === undefined
		? keepState(state)
		: keepState({...state, agents: recordFirstToken(state.agents, attempt.agent, now - attempt.sentAt)});
};

type SessionClosed = RouterEvent & {kind: 'session-closed'};

/** Handles an open attempt whose session closed. An at-most-once request is sealed; other work is retried elsewhere, and the attempt keeps its reservation. */
const receiveAttemptLoss = (state: RouterState, attempt: OpenAttempt, event: SessionClosed, now: number): RouterStep => {
	const lost: RouterState = {...state, attempts: state.attempts.set(attempt.id, {...attempt, link: 'lost'})};
	return withRequest(lost, attempt.request, request => {
		if (request.attempt !== attempt.id) {
			return keepState(lost);
		}

		if (request.kind === 'act') {
			return sealOwnAttempt(lost, request, now);
		}

		const detached: Request = {...request, attempt: undefined, excluded: [...request.excluded, attempt.agent]};
		const progress = event.broken.find(each => each.attempt === attempt.id);
		if (request.isAnswered) {
			return closeRequest(lost, detached, now);
		}

		return progress === undefined || progress.delivered === 0 || progress.canResume
			? retryRequest(lost, {...detached, resumes: request.resumes || (progress?.delivered ?? 0) > 0}, true, now)
			: refuseRequest(putRequest(lost, detached), request.id, createFault('endpoint-failed', 'the session broke, and the answer cannot be resumed'), now);
	});
};

/**
Handles the end of an agent's session.

@param state - The router state.
@param event - The agent, and how much of the answer of each attempt was delivered.
@param now - The current time in ms.
@returns The next router state and its effects.
*/
export const receiveSessionEnd = (state: RouterState, event: SessionClosed, now: number): RouterStep => {
	const closed: RouterState = {...state, agents: updateAgent(state.agents, event.agent, view => ({...view, link: 'closed'}))};
	const sent = closed.attempts.valueSeq().toArray().filter(attempt => attempt.agent === event.agent && attempt.link === 'sent');
	return chainAll(closed, sent, (current, attempt) => receiveAttemptLoss(current, attempt, event, now));
};

/** Closes an attempt whose agent is lost and will not report its outcome. */
const closeLostAttempt = (state: RouterState, attempt: OpenAttempt, now: number): RouterStep => {
	const request = state.requests.get(attempt.request);
	const closed = closeAttempt(state, attempt, false, now);
	if (request?.attempt !== attempt.id) {
		return releaseTokens(closed, attempt.budget, attempt.cap, now);
	}

	const next = restoreReservation(request, attempt);
	if (request.kind === 'act') {
		return finishAtMostOnce(closed, next, {verdict: 'unknown', answer: undefined, tokens: 0}, now);
	}

	return request.isAnswered ? closeRequest(closed, next, now) : keepState(putRequest(closed, next));
};

/** Marks an agent incarnation as gone and closes all its open attempts. */
const closeAgent = (state: RouterState, agent: string, now: number, close: (state: RouterState, attempt: OpenAttempt) => RouterStep): RouterStep => {
	const gone: RouterState = {...state, agents: updateAgent(state.agents, agent, view => ({...view, link: 'gone'}))};
	const attempts = gone.attempts.valueSeq().toArray().filter(attempt => attempt.agent === agent);
	return chain(chainAll(gone, attempts, close), current => forgetAgentAttempts(current, agent, now));
};

/**
Handles the permanent loss of an agent incarnation.

@param state - The router state.
@param agent - The agent's incarnation.
@param now - The current time in ms.
@returns The next router state and its effects.
*/
export const closeLostAgent = (state: RouterState, agent: string, now: number): RouterStep =>
	closeAgent(state, agent, now, (current, attempt) => closeLostAttempt(current, attempt, now));

/**
Handles the graceful shutdown of an agent incarnation, which has kept no usage.
An attempt that it has not answered never ran, and is retried elsewhere.

@param state - The router state.
@param agent - The agent's incarnation.
@param now - The current time in ms.
@returns The next router state and its effects.
*/
export const closeDrainedAgent = (state: RouterState, agent: string, now: number): RouterStep =>
	closeAgent(state, agent, now, (current, attempt) =>
		receiveRefusal(current, {kind: 'attempt-refused', attempt: attempt.id, error: 'not-ready'}, now));

/** Drops the recent attempts of an agent from all budgets, as the usage that it kept will not be requested again. */
const forgetAgentAttempts = (state: RouterState, agent: string, now: number): RouterStep => {
	const forgotten = state.pots.valueSeq().toArray()
		.flatMap(grant => grant.recent.valueSeq().toArray().flat())
		.filter(entry => entry.agent === agent)
		.map(entry => entry.attempt);
	return updateGrants(state, {kind: 'attempts-forgotten', attempts: forgotten}, now);
};

/**
Closes attempts that were sent on a lost session and that the agent, on its new session, does not know.

@param state - The router state.
@param agent - The agent's incarnation.
@param kept - The ids of the attempts that it knows.
@param now - The current time in ms.
@returns The next router state and its effects.
*/
export const closeUnknownAttempts = (state: RouterState, agent: string, kept: readonly string[], now: number): RouterStep => {
	const known = new Set(kept);
	const unseen = state.attempts.valueSeq().toArray()
		.filter(attempt => attempt.agent === agent && attempt.link === 'lost' && !known.has(attempt.id));
	return chainAll(state, unseen, (current, attempt) => receiveRefusal(current, {kind: 'attempt-refused', attempt: attempt.id, error: 'not-ready'}, now));
};

/**
Cancels the work of a client that has disconnected. An at-most-once request continues, since its answer is kept.

@param state - The router state.
@param id - The request's id.
@param now - The current time in ms.
@returns The next router state and its effects.
*/
export const cancelRequest = (state: RouterState, id: string, now: number): RouterStep => withRequest(state, id, request => {
	const attempt = state.attempts.get(request.attempt ?? '');
	const effects: readonly RouterEffect[] = attempt === undefined || attempt.isAct ? [] : [{kind: 'cancel', agent: attempt.agent, attempt: attempt.id}];
	const logged = request.isAnswered ? [] : [logRequestEnd(request, 'caller-left', 0, now)];
	return chain({state, effects: [...logged, ...effects]}, current => closeRequest(current, {...request, isAnswered: true}, now));
});

/**
Drops attempts whose usage the agents no longer keep.

@param state - The router state.
@param attempts - The ids of the attempts.
@param now - The current time in ms.
@returns The next router state and its effects.
*/
export const forgetAttempts = (state: RouterState, attempts: readonly string[], now: number): RouterStep => {
	const gone = new Set(attempts);
	const budgets = state.pots.valueSeq().toArray()
		.filter(grant => grant.recent.some(entries => entries.some(entry => gone.has(entry.attempt))))
		.map(grant => grant.budget);
	return chainAll(state, budgets, (current, budget) => updateGrant(current, budget, {kind: 'attempts-forgotten', attempts}, now));
};
