import {addBill} from '../budget/index.js';
import {errorResponses, createFault} from '../errors/index.js';
import type {Fault} from '../errors/index.js';
import {chain, keepState} from '../loop/index.js';
import type {RouterEffect, RouterStep} from '../router/messages.js';
import {logEvent} from '../router/messages.js';
import {putGrant, releaseTokens} from '../router/grants.js';
import {rowKeys} from '../table/index.js';
import type {RouterState} from '../router/state.js';
import type {Request} from './state.js';

/**
Adds or replaces an unfinished request.

@param state - The router state.
@param request - The request.
@returns The next router state.
*/
export const putRequest = (state: RouterState, request: Request): RouterState =>
	({...state, requests: state.requests.set(request.id, request)});

/**
Runs a decision on an unfinished request.

@param state - The router state.
@param id - The request's id.
@param decide - The decision.
@returns The next router state and its effects; unchanged if the request has finished.
*/
export const withRequest = (state: RouterState, id: string, decide: (request: Request) => RouterStep): RouterStep => {
	const request = state.requests.get(id);
	return request === undefined ? keepState(state) : decide(request);
};

/**
Removes a finished request and releases the tokens reserved for it.

@param state - The router state.
@param request - The request.
@param now - The current time in ms.
@returns The next router state and its effects.
*/
export const dropRequest = (state: RouterState, request: Request, now: number): RouterStep =>
	releaseTokens({...state, requests: state.requests.delete(request.id)}, request.budget, request.hold, now);

/**
Adds the bill of an answered request to its budget. A request has a single bill,
however many attempts were made for it.

@param state - The router state.
@param request - The request.
@param tokens - The cost of its answer in tokens; limited to the request's cap.
@returns The next router state, with the bill pending settlement.
*/
export const billRequest = (state: RouterState, request: Request, tokens: number): RouterState => {
	const grant = state.pots.get(request.budget);
	// A router without local state for the budget has been fenced. The reclaiming router then writes the bill from the usage that the agent kept.
	return grant === undefined
		? state
		: putGrant(state, addBill(grant, {
			request: request.billId, organisation: request.organisation, tokens: Math.min(tokens, request.cap), keyed: request.keyed, attempts: request.places,
		}));
};

const createEndLog = (request: Request, fields: Readonly<Record<string, string | number>>, now: number): RouterEffect => logEvent('request-ended', {
	request: request.billId,
	organisation: request.organisation,
	class: request.workClass,
	attempt: request.attempt,
	tries: request.tries,
	elapsed: Math.round(now - request.arrivedAt),
	...fields,
});

/**
Creates the log entry for the end of a request.

@param request - The request.
@param outcome - The outcome reported to the client.
@param tokens - The billed tokens.
@param now - The current time in ms.
@returns The log effect.
*/
export const logRequestEnd = (request: Request, outcome: string, tokens: number, now: number): RouterEffect =>
	createEndLog(request, {outcome, tokens}, now);

/** Replaces a fault that reports `not-run` if an attempt may have run. */
const downgradeNotRun = (request: Request, fault: Fault): Fault =>
	request.places.length > 0 && errorResponses[fault.kind].outcome === 'not-run'
		? createFault('endpoint-failed', fault.detail)
		: fault;

/**
Closes a request whose client has the final answer. It is kept while its attempt
is open and may still cost tokens; after that it is billed once and removed.

@param state - The router state.
@param request - The request.
@param now - The current time in ms.
@returns The next router state and its effects.
*/
export const closeRequest = (state: RouterState, request: Request, now: number): RouterStep => {
	if (request.attempt !== undefined && state.attempts.has(request.attempt)) {
		return keepState(putRequest(state, {...request, isAnswered: true}));
	}

	const billed = request.places.length > 0 ? billRequest(state, request, request.isFailed ? 0 : request.tokens) : state;
	return dropRequest(billed, request, now);
};

/** Another try under the same key may have run while this one waited, so the claim has to be read before `not-run` is reported. */
const needsConfirmation = (request: Request, fault: Fault): boolean =>
	request.kind === 'act' && !request.isAnswered && errorResponses[fault.kind].outcome === 'not-run' && fault.kind !== 'key-conflict';

/** Reads the claim of an at-most-once request before reporting `not-run` to its client. */
const readClaimBeforeRefusal = (state: RouterState, request: Request, fault: Fault): RouterStep => {
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
Refuses a request with a final fault. An at-most-once request receives `not-run`
only after its claim has confirmed it; all other faults are sent at once.

@param state - The router state.
@param id - The request's id.
@param fault - The fault.
@param now - The current time in ms.
@returns The next router state and its effects.
*/
export const refuseRequest = (state: RouterState, id: string, fault: Fault, now: number): RouterStep =>
	withRequest(state, id, request => {
		const finalFault = downgradeNotRun(request, fault);
		return needsConfirmation(request, finalFault) ? readClaimBeforeRefusal(state, request, finalFault) : replyFault(state, request, finalFault, now);
	});

/**
Replies to the client with a fault and closes the request.

@param state - The router state.
@param request - The request.
@param fault - The fault.
@param now - The current time in ms.
@returns The next router state and its effects.
*/
export const replyFault = (state: RouterState, request: Request, fault: Fault, now: number): RouterStep => {
	const effects: readonly RouterEffect[] = request.isAnswered
		? []
		: [{kind: 'reply-fault', request: request.id, fault}, createEndLog(request, {outcome: fault.kind, detail: fault.detail, tokens: 0}, now)];
	return chain({state, effects}, current => closeRequest(current, {...request, isAnswered: true, isFailed: true}, now));
};
