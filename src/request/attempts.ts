import {createFault} from '../errors/index.js';
import {chain, chainAll, stay} from '../loop/index.js';
import {noteEnded, noteFirstToken, updateMember} from '../member/index.js';
import {releaseTokens, updatePot, updatePots} from '../router/pots.js';
import type {RouterEffect, RouterEvent, RouterStep} from '../router/messages.js';
import type {RouterState} from '../router/state.js';
import {finishAct, sealOwnAttempt} from './claims.js';
import {
	closeRequest, logEnd, putRequest, refuseRequest, withRequest,
} from './common.js';
import {seekGrant} from './grant.js';
import {seekAgent, wakeQueue} from './send.js';
import type {OpenAttempt, Request} from './state.js';

type Ended = RouterEvent & {kind: 'attempt-ended'};

const maxTries = 4;

/** Takes an attempt out of those that are open, and gives its reservation back to the request or the budget. */
const closeAttempt = (state: RouterState, attempt: OpenAttempt, isGood: boolean, now: number): RouterState => ({
	...state,
	attempts: state.attempts.delete(attempt.id),
	members: noteEnded(state.members, attempt.agent, isGood, now),
});

const holdAgain = (request: Request, attempt: OpenAttempt): Request => ({...request, hold: request.hold + attempt.cap});

/** Sends a request on to another agent, if the retry allowance and the number of tries permit. */
const retryRequest = (state: RouterState, request: Request, isCharged: boolean, now: number): RouterStep => {
	const isAllowed = request.tries < maxTries && (!isCharged || state.retryAllowance >= 1);
	if (!isAllowed) {
		const kind = request.places.length === 0 ? 'not-ready' : 'endpoint-failed';
		return refuseRequest(putRequest(state, request), request.id, createFault(kind, `attempt ${request.tries} failed, and no retry is left`), now);
	}

	const charged = isCharged ? {...state, retryAllowance: state.retryAllowance - 1} : state;
	const queued: Request = {...request, phase: 'queued', phaseAt: now};
	return request.hold >= request.cap
		? seekAgent(putRequest(charged, queued), request.id, now)
		: seekGrant(charged, request, now);
};

/** A bill that is durable, or that another router has written, lets the agent forget the attempt. */
const settleStray = (state: RouterState, attempt: string, agent: string): readonly RouterEffect[] => {
	const isAwaited = state.pots.some(pot => pot.unsettled.some(bill => bill.attempts.some(place => place.attempt === attempt)))
		|| state.requests.some(request => request.places.some(place => place.attempt === attempt));
	return isAwaited ? [] : [{kind: 'settle', agent, attempts: [attempt]}];
};

const finishDone = (state: RouterState, request: Request, event: Ended, now: number): RouterStep => {
	if (request.kind === 'act') {
		return finishAct(state, request, {verdict: 'done', answer: event.answer, tokens: event.tokens}, now);
	}

	const effect: RouterEffect = event.answer === undefined
		? {kind: 'end-stream', request: request.id}
		: {kind: 'reply', request: request.id, answer: event.answer};
	const effects = request.isAnswered ? [] : [effect, logEnd(request, 'complete', event.tokens, now)];
	return chain({state, effects}, current => closeRequest(current, {...request, tokens: event.tokens, isAnswered: true}, now));
};

const finishNotRun = (state: RouterState, request: Request, event: Ended, now: number): RouterStep => {
	const unplaced = {
		...request, places: request.places.filter(place => place.attempt !== event.attempt), excluded: [...request.excluded, event.agent],
	};
	return request.isAnswered ? closeRequest(state, unplaced, now) : retryRequest(state, unplaced, true, now);
};

const finishFailed = (state: RouterState, request: Request, event: Ended, now: number): RouterStep => {
	if (request.kind === 'act') {
		return finishAct(state, request, {verdict: 'unknown', answer: undefined, tokens: event.tokens}, now);
	}

	if (request.isAnswered) {
		return closeRequest(state, {...request, tokens: event.tokens}, now);
	}

	const isFresh = event.delivered === 0;
	const next: Request = {...request, excluded: [...request.excluded, event.agent], resumes: request.resumes || !isFresh};
	return isFresh || event.canResume
		? retryRequest(state, next, true, now)
		: refuseRequest(putRequest(state, next), request.id, createFault('endpoint-failed', 'the endpoint broke off, and the answer cannot be resumed'), now);
};

const finishers: Readonly<Record<Ended['outcome'], (state: RouterState, request: Request, event: Ended, now: number) => RouterStep>> = {
	done: finishDone,
	'not-run': finishNotRun,
	failed: finishFailed,
	unknown: finishFailed,
	cancelled: (state, request, event, now) => request.isAnswered
		? closeRequest(state, {...request, tokens: event.tokens}, now)
		: finishFailed(state, request, event, now),
};

const isGoodEnd = (event: Ended): boolean => event.outcome === 'done' || event.outcome === 'cancelled';

/**
Takes in the end of an attempt. Only the request's current attempt decides its
answer; an older one merely frees its reservation.

@param state - The router.
@param event - How it ended.
@param now - The time in ms.
@returns The router and what it does.
*/
export const endAttempt = (state: RouterState, event: Ended, now: number): RouterStep => {
	const attempt = state.attempts.get(event.attempt);
	if (attempt === undefined) {
		return {state, effects: settleStray(state, event.attempt, event.agent)};
	}

	if (attempt.isAct && attempt.link === 'lost') {
		// Its answer was lost with the session; the agent is being asked for it.
		return stay(state);
	}

	const closed = closeAttempt(state, attempt, isGoodEnd(event), now);
	const request = closed.requests.get(attempt.request);
	const step = request?.attempt === attempt.id
		? finishers[event.outcome](closed, holdAgain(request, attempt), event, now)
		: chain(releaseTokens(closed, attempt.budget, attempt.cap, now), current => ({
			state: current, effects: settleStray(current, attempt.id, attempt.agent),
		}));
	return chain(step, current => wakeQueue(current, now));
};

/**
Takes in a refusal: the attempt did not run and never will.

@param state - The router.
@param event - The refusal.
@param now - The time in ms.
@returns The router and what it does.
*/
export const refuseAttempt = (state: RouterState, event: RouterEvent & {kind: 'attempt-refused'}, now: number): RouterStep => {
	const attempt = state.attempts.get(event.attempt);
	if (attempt === undefined) {
		return stay(state);
	}

	const closed: RouterState = {
		...state,
		attempts: state.attempts.delete(attempt.id),
		members: updateMember(state.members, attempt.agent, member => ({...member, open: Math.max(0, member.open - 1)})),
	};
	const request = closed.requests.get(attempt.request);
	if (request?.attempt !== attempt.id) {
		return releaseTokens(closed, attempt.budget, attempt.cap, now);
	}

	const next: Request = {
		...holdAgain(request, attempt),
		places: request.places.filter(place => place.attempt !== attempt.id),
		excluded: [...request.excluded, attempt.agent],
	};
	return request.isAnswered ? closeRequest(closed, next, now) : retryRequest(closed, next, event.error === 'overloaded', now);
};

/**
Takes in the first part of an attempt's answer.

@param state - The router.
@param id - The attempt's id.
@param now - The time in ms.
@returns The router, which has learned how fast the agent is.
*/
export const beginAttempt = (state: RouterState, id: string, now: number): RouterStep => {
	const attempt = state.attempts.get(id);
	return attempt === undefined
		? stay(state)
		: stay({...state, members: noteFirstToken(state.members, attempt.agent, now - attempt.sentAt)});
};

type Closed = RouterEvent & {kind: 'session-closed'};

/** The session broke: an act is asked about, other work goes elsewhere while the attempt keeps its reservation. */
const loseAttempt = (state: RouterState, attempt: OpenAttempt, event: Closed, now: number): RouterStep => {
	const lost: RouterState = {...state, attempts: state.attempts.set(attempt.id, {...attempt, link: 'lost'})};
	return withRequest(lost, attempt.request, request => {
		if (request.attempt !== attempt.id) {
			return stay(lost);
		}

		if (request.kind === 'act') {
			return sealOwnAttempt(lost, request, now);
		}

		const loose: Request = {...request, attempt: undefined, excluded: [...request.excluded, attempt.agent]};
		const broken = event.broken.find(each => each.attempt === attempt.id);
		if (request.isAnswered) {
			return closeRequest(lost, loose, now);
		}

		return broken === undefined || broken.delivered === 0 || broken.canResume
			? retryRequest(lost, {...loose, resumes: request.resumes || (broken?.delivered ?? 0) > 0}, true, now)
			: refuseRequest(putRequest(lost, loose), request.id, createFault('endpoint-failed', 'the session broke, and the answer cannot be resumed'), now);
	});
};

/**
Takes in the end of an agent's session.

@param state - The router.
@param event - Whose session, and how far its attempts had come.
@param now - The time in ms.
@returns The router and what it does.
*/
export const loseSession = (state: RouterState, event: Closed, now: number): RouterStep => {
	const closed: RouterState = {...state, members: updateMember(state.members, event.agent, member => ({...member, link: 'closed'}))};
	const sent = closed.attempts.valueSeq().toArray().filter(attempt => attempt.agent === event.agent && attempt.link === 'sent');
	return chainAll(closed, sent, (current, attempt) => loseAttempt(current, attempt, event, now));
};

/** What is left of an attempt whose agent will never speak again. */
const buryAttempt = (state: RouterState, attempt: OpenAttempt, now: number): RouterStep => {
	const request = state.requests.get(attempt.request);
	const closed = closeAttempt(state, attempt, false, now);
	if (request?.attempt !== attempt.id) {
		return releaseTokens(closed, attempt.budget, attempt.cap, now);
	}

	const next = holdAgain(request, attempt);
	if (request.kind === 'act') {
		return finishAct(closed, next, {verdict: 'unknown', answer: undefined, tokens: 0}, now);
	}

	return request.isAnswered ? closeRequest(closed, next, now) : stay(putRequest(closed, next));
};

/** Closes all that an agent incarnation holds that will not be heard again. */
const endAgent = (state: RouterState, agent: string, now: number, close: (state: RouterState, attempt: OpenAttempt) => RouterStep): RouterStep => {
	const gone: RouterState = {...state, members: updateMember(state.members, agent, member => ({...member, link: 'gone'}))};
	const attempts = gone.attempts.valueSeq().toArray().filter(attempt => attempt.agent === agent);
	return chain(chainAll(gone, attempts, close), current => forgetPlaces(current, agent, now));
};

/**
Takes in that an agent incarnation is gone for good.

@param state - The router.
@param agent - The agent's incarnation.
@param now - The time in ms.
@returns The router and what it does.
*/
export const buryAgent = (state: RouterState, agent: string, now: number): RouterStep =>
	endAgent(state, agent, now, (current, attempt) => buryAttempt(current, attempt, now));

/**
Takes in that an agent incarnation has ended in good order, with nothing kept.
What it has not answered never ran and goes elsewhere.

@param state - The router.
@param agent - The agent's incarnation.
@param now - The time in ms.
@returns The router and what it does.
*/
export const releaseAgent = (state: RouterState, agent: string, now: number): RouterStep =>
	endAgent(state, agent, now, (current, attempt) =>
		refuseAttempt(current, {kind: 'attempt-refused', attempt: attempt.id, error: 'not-ready'}, now));

/** The agent kept usages that nobody will ask for again. */
const forgetPlaces = (state: RouterState, agent: string, now: number): RouterStep => {
	const forgotten = state.pots.valueSeq().toArray()
		.flatMap(pot => pot.recent.valueSeq().toArray().flat())
		.filter(place => place.agent === agent)
		.map(place => place.attempt);
	return updatePots(state, {kind: 'attempts-forgotten', attempts: forgotten}, now);
};

/**
Closes the record of attempts that an agent, back on a new session, has never seen.

@param state - The router.
@param agent - The agent's incarnation.
@param kept - The attempts that it knows.
@param now - The time in ms.
@returns The router and what it does.
*/
export const closeUnseen = (state: RouterState, agent: string, kept: readonly string[], now: number): RouterStep => {
	const known = new Set(kept);
	const unseen = state.attempts.valueSeq().toArray()
		.filter(attempt => attempt.agent === agent && attempt.link === 'lost' && !known.has(attempt.id));
	return chainAll(state, unseen, (current, attempt) => refuseAttempt(current, {kind: 'attempt-refused', attempt: attempt.id, error: 'not-ready'}, now));
};

/**
Stops the work of a caller who has gone. An act goes on, since its answer is kept.

@param state - The router.
@param id - The request's id.
@param now - The time in ms.
@returns The router and what it does.
*/
export const leaveRequest = (state: RouterState, id: string, now: number): RouterStep => withRequest(state, id, request => {
	const attempt = state.attempts.get(request.attempt ?? '');
	const effects: readonly RouterEffect[] = attempt === undefined || attempt.isAct ? [] : [{kind: 'cancel', agent: attempt.agent, attempt: attempt.id}];
	const left = request.isAnswered ? [] : [logEnd(request, 'caller-left', 0, now)];
	return chain({state, effects: [...left, ...effects]}, current => closeRequest(current, {...request, isAnswered: true}, now));
});

/**
Forgets attempts whose usage the agents no longer keep.

@param state - The router.
@param attempts - The attempts' ids.
@param now - The time in ms.
@returns The router and what it does.
*/
export const forgetAttempts = (state: RouterState, attempts: readonly string[], now: number): RouterStep => {
	const gone = new Set(attempts);
	const budgets = state.pots.valueSeq().toArray()
		.filter(pot => pot.recent.some(places => places.some(place => gone.has(place.attempt))))
		.map(pot => pot.budget);
	return chainAll(state, budgets, (current, budget) => updatePot(current, budget, {kind: 'attempts-forgotten', attempts}, now));
};
