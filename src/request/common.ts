import {addBill} from '../budget/index.js';
import {answers, createFault} from '../errors/index.js';
import type {Fault} from '../errors/index.js';
import {chain, stay} from '../loop/index.js';
import type {RouterEffect, RouterStep} from '../router/messages.js';
import {logEvent} from '../router/messages.js';
import {putPot, releaseTokens} from '../router/pots.js';
import {rowKeys} from '../table/index.js';
import type {RouterState} from '../router/state.js';
import type {Request} from './state.js';

/**
Puts a request among those that are not finished.

@param state - The router.
@param request - The request.
@returns The router with it.
*/
export const putRequest = (state: RouterState, request: Request): RouterState =>
	({...state, requests: state.requests.set(request.id, request)});

/**
Finds a request that is not finished.

@param state - The router.
@param id - The request's id.
@param decide - What to do with it.
@returns What was decided, or nothing if it is finished.
*/
export const withRequest = (state: RouterState, id: string, decide: (request: Request) => RouterStep): RouterStep => {
	const request = state.requests.get(id);
	return request === undefined ? stay(state) : decide(request);
};

/**
Drops a request that is finished, and what is reserved for it.

@param state - The router.
@param request - The request.
@param now - The time in ms.
@returns The router and what it does.
*/
export const dropRequest = (state: RouterState, request: Request, now: number): RouterStep =>
	releaseTokens({...state, requests: state.requests.delete(request.id)}, request.budget, request.hold, now);

/**
Writes the bill of a request that has its answer. It is the only one, whatever
attempts were made for it.

@param state - The router.
@param request - The request.
@param tokens - What its answer cost; at most its reservation.
@returns The router with the bill among those to be settled.
*/
export const billRequest = (state: RouterState, request: Request, tokens: number): RouterState => {
	const pot = state.pots.get(request.budget);
	// Without its pot the router is fenced, and the reclaimer writes the bill from what the agent kept.
	return pot === undefined
		? state
		: putPot(state, addBill(pot, {
			request: request.billId, organisation: request.organisation, tokens: Math.min(tokens, request.cap), keyed: request.keyed, attempts: request.places,
		}));
};

const describeEnd = (request: Request, fields: Readonly<Record<string, string | number>>, now: number): RouterEffect => logEvent('request-ended', {
	request: request.billId,
	organisation: request.organisation,
	class: request.workClass,
	attempt: request.attempt,
	tries: request.tries,
	elapsed: Math.round(now - request.arrivedAt),
	...fields,
});

/**
Notes in the log how a request ended.

@param request - The request.
@param outcome - What the caller was told.
@param tokens - What it is billed.
@param now - The time in ms.
@returns The effect.
*/
export const logEnd = (request: Request, outcome: string, tokens: number, now: number): RouterEffect =>
	describeEnd(request, {outcome, tokens}, now);

/** Work that may have run is never called "not run". */
const weakenFault = (request: Request, fault: Fault): Fault =>
	request.places.length > 0 && answers[fault.kind].outcome === 'not-run'
		? createFault('endpoint-failed', fault.detail)
		: fault;

/**
Finishes with a request whose caller has the final answer. While its attempt may
still cost something it stays; then it is billed once and dropped.

@param state - The router.
@param request - The request.
@param now - The time in ms.
@returns The router and what it does.
*/
export const closeRequest = (state: RouterState, request: Request, now: number): RouterStep => {
	if (request.attempt !== undefined && state.attempts.has(request.attempt)) {
		return stay(putRequest(state, {...request, isAnswered: true}));
	}

	const billed = request.places.length > 0 ? billRequest(state, request, request.isFailed ? 0 : request.tokens) : state;
	return dropRequest(billed, request, now);
};

/** Another try under the same key may have run while this one waited, so the claim has the last word. */
const hasToConfirm = (request: Request, fault: Fault): boolean =>
	request.kind === 'act' && !request.isAnswered && answers[fault.kind].outcome === 'not-run' && fault.kind !== 'key-conflict';

/** Reads the claim of an act before its caller is told that it has not run. */
const confirmRefusal = (state: RouterState, request: Request, fault: Fault): RouterStep => {
	const refusing: Request = {...request, phase: 'refusing', refusal: fault};
	return {
		state: putRequest(state, refusing),
		effects: [{
			kind: 'store',
			tag: {slice: 'claim', subject: request.id},
			call: {kind: 'read', keys: [rowKeys.claim(request.organisation, request.key ?? '')]},
		}],
	};
};

/**
Answers a request with a fault, for good: at once, or for an act that is to be
told "not run" as soon as its claim says the same.

@param state - The router.
@param id - The request's id.
@param fault - The fault.
@param now - The time in ms.
@returns The router and what it does.
*/
export const refuseRequest = (state: RouterState, id: string, fault: Fault, now: number): RouterStep =>
	withRequest(state, id, request => {
		const told = weakenFault(request, fault);
		return hasToConfirm(request, told) ? confirmRefusal(state, request, told) : tellFault(state, request, told, now);
	});

/**
Tells a caller of a fault.

@param state - The router.
@param request - The request.
@param fault - The fault.
@param now - The time in ms.
@returns The router and what it does.
*/
export const tellFault = (state: RouterState, request: Request, fault: Fault, now: number): RouterStep => {
	const effects: readonly RouterEffect[] = request.isAnswered
		? []
		: [{kind: 'reply-fault', request: request.id, fault}, describeEnd(request, {outcome: fault.kind, detail: fault.detail, tokens: 0}, now)];
	return chain({state, effects}, current => closeRequest(current, {...request, isAnswered: true, isFailed: true}, now));
};
