import type {SealAnswer} from '../attempt/index.js';
import {
	decodeClaim, decodeStoredAnswer, encodeStoredAnswer, buildClaimWrite,
} from '../claim/index.js';
import type {Claim} from '../claim/index.js';
import type {Answer} from '../attempt/index.js';
import {createFault} from '../errors/index.js';
import {chain, keepState} from '../loop/index.js';
import type {RouterEffect, RouterEvent, RouterStep} from '../router/messages.js';
import type {RouterState} from '../router/state.js';
import type {StoreReply} from '../table/index.js';
import {
	billRequest, dropRequest, logRequestEnd, putRequest, refuseRequest, replyFault, withRequest,
} from './common.js';
import {acquireReservation} from './grant.js';
import {readClaimRow, dispatchRequest, sendAttempt} from './dispatch.js';
import type {OpenAttempt, Request} from './state.js';

const sealRetryMs = 500;
const answeredSealRetryMs = 5000; // Longer, because no client is waiting
const maxSealTries = 6;

const refuseOutcomeUnknown = (state: RouterState, request: Request, detail: string, now: number): RouterStep =>
	refuseRequest(state, request.id, createFault('outcome-unknown', detail), now);

/** Replies with the answer stored in the claim or by the agent. The work was billed when it ran. */
const replayAnswer = (state: RouterState, request: Request, answer: Answer, now: number): RouterStep => {
	const effects: readonly RouterEffect[] = request.isAnswered ? [] : [{kind: 'reply', request: request.id, answer}, logRequestEnd(request, 'replayed', 0, now)];
	return chain({state, effects}, current => dropRequest(current, request, now));
};

const requestSeal = (state: RouterState, request: Request, claim: Claim, now: number): RouterStep => ({
	state: putRequest(state, {
		...request, phase: 'sealing', phaseAt: now, claim, sealAt: undefined, sealTries: request.sealTries + 1,
	}),
	effects: [{
		kind: 'ask-seal', request: request.id, attempt: claim.body.attempt, agent: claim.body.agent, address: claim.body.address,
	}],
});

const claimStateHandlers: Readonly<Record<Claim['state'], (state: RouterState, request: Request, claim: Claim, now: number) => RouterStep>> = {
	done: (state, request, claim, now) => claim.body.answer === undefined
		? refuseOutcomeUnknown(state, request, 'the work ran, but its answer was not kept', now)
		: replayAnswer(state, request, decodeStoredAnswer(claim.body.answer), now),
	unknown: (state, request, _claim, now) => refuseOutcomeUnknown(state, request, 'the work may have run; an operator has to resolve it', now),
	sent: (state, request, claim, now) => state.disabledRule === 'seal-before-retry'
		? reserveAndDispatch(putRequest(state, {...request, claim}), {...request, claim}, now)
		: requestSeal(state, request, claim, now),
};

/** Dispatches the request under the reservation that it holds, or makes one first. */
const reserveAndDispatch = (state: RouterState, request: Request, now: number): RouterStep => request.hold > 0
	? dispatchRequest(putRequest(state, {...request, phase: 'queued', phaseAt: now}), request.id, now)
	: acquireReservation(state, request, now);

const receiveClaim = (state: RouterState, request: Request, claim: Claim | undefined, now: number): RouterStep => {
	if (claim === undefined) {
		return reserveAndDispatch(state, {...request, claim: undefined}, now);
	}

	return claim.body.digest === request.digest
		? claimStateHandlers[claim.state](state, request, claim, now)
		: refuseRequest(state, request.id, createFault('key-conflict', 'Idempotency-Key: was used with another request'), now);
};

const claimUnreadFault = createFault('claim-unread', 'the claim under this Idempotency-Key cannot be read at present');

const receiveClaimRead = (state: RouterState, request: Request, reply: StoreReply, now: number): RouterStep => reply.kind === 'rows'
	? receiveClaim(state, request, decodeClaim(reply.rows[0]), now)
	// An earlier request under this key may have run, so the outcome cannot be reported as `not-run`.
	: refuseRequest(state, request.id, claimUnreadFault, now);

const writeReplyHandlers: Readonly<Record<StoreReply['kind'], (state: RouterState, request: Request, now: number) => RouterStep>> = {
	applied(state, request, now) {
		const {claim} = request;
		if (claim === undefined) {
			return keepState(state);
		}

		const written: Request = {...request, claim: {...claim, version: claim.version + 1}};
		if (request.isAnswered) {
			return dropRequest(state, request, now);
		}

		const view = state.agents.get(claim.body.agent);
		// The session may have closed during the write. The attempt was never sent, so the claim may be rewritten for another one.
		return view?.link === 'open'
			? sendAttempt(state, written, view, claim.body.attempt, now)
			: reserveAndDispatch(state, written, now);
	},
	conflict: (state, request, now) => readClaimRow(state, request, now),
	rows: state => keepState(state),
	lost: (state, request, now) => refuseRequest(state, request.id, createFault('store-unavailable', 'the claim under this Idempotency-Key cannot be written at present'), now),
};

/** Refuses the request because another try under the same key holds the claim and its outcome is not known here. */
const refuseInProgress = (state: RouterState, request: Request, now: number): RouterStep =>
	replyFault(state, request, createFault('in-progress', 'another try under this Idempotency-Key is under way'), now);

const decideRefusal = (state: RouterState, request: Request, claim: Claim | undefined, now: number): RouterStep => {
	const {refusal} = request;
	// An unchanged version means that no other try has run the request since this one read, wrote or sealed the claim.
	const isUnchanged = (claim?.version ?? 0) === (request.claim?.version ?? 0);
	if (refusal !== undefined && isUnchanged) {
		return replyFault(state, request, refusal, now);
	}

	return claim === undefined || claim.state === 'sent'
		? refuseInProgress(state, request, now)
		: receiveClaim(state, request, claim, now);
};

const receiveRefusalRead = (state: RouterState, request: Request, reply: StoreReply, now: number): RouterStep => reply.kind === 'rows'
	? decideRefusal(state, request, decodeClaim(reply.rows[0]), now)
	: refuseRequest(state, request.id, claimUnreadFault, now);

/** Writes the final state of an at-most-once request's claim. Its bill follows once the claim is durable. */
const writeFinalClaim = (state: RouterState, request: Request): RouterStep => {
	const {claim, verdict} = request;
	if (claim === undefined || verdict === undefined) {
		return keepState(state);
	}

	return {
		state,
		effects: [{
			kind: 'store',
			tag: {slice: 'claim', subject: request.id},
			call: {kind: 'write', writes: [buildClaimWrite(request.organisation, request.key ?? '', claim.version, verdict, claim.body)]},
		}],
	};
};

const finalClaimRetryMs = 1000;

const receiveFinalClaimRow = (state: RouterState, request: Request, claim: Claim | undefined, now: number): RouterStep => {
	const isUnfinished = claim?.state === 'sent' && claim.body.attempt === request.claim?.body.attempt;
	if (!isUnfinished || claim === undefined || request.claim === undefined) {
		return chain(keepState(billRequest(state, request, request.tokens)), current => dropRequest(current, request, now));
	}

	const next = {...request, claim: {...request.claim, version: claim.version}};
	return writeFinalClaim(putRequest(state, next), next);
};

const finishReplyHandlers: Readonly<Record<StoreReply['kind'], (state: RouterState, request: Request, now: number, reply: StoreReply) => RouterStep>> = {
	applied: (state, request, now) => chain(keepState(billRequest(state, request, request.tokens)), current => dropRequest(current, request, now)),
	conflict: (state, request, now) => rereadClaim(state, request, now),
	rows: (state, request, now, reply) => receiveFinalClaimRow(state, request, decodeClaim(reply.kind === 'rows' ? reply.rows[0] : undefined), now),
	lost: (state, request, now) => keepState(putRequest(state, {...request, sealAt: now + finalClaimRetryMs})),
};

const rereadClaim = (state: RouterState, request: Request, now: number): RouterStep => {
	const step = readClaimRow(state, request, now);
	return {state: putRequest(step.state, {...request, phase: 'finishing', sealAt: undefined}), effects: step.effects};
};

/**
Handles a reply of the store to a read or write of a claim.

@param state - The router state.
@param id - The request's id.
@param reply - The store's reply.
@param now - The current time in ms.
@returns The next router state and its effects.
*/
export const receiveClaimReply = (state: RouterState, id: string, reply: StoreReply, now: number): RouterStep => withRequest(state, id, request => {
	const phaseHandlers: Readonly<Partial<Record<Request['phase'], () => RouterStep>>> = {
		'claim-reading': () => receiveClaimRead(state, request, reply, now),
		'claim-writing': () => writeReplyHandlers[reply.kind](state, request, now),
		refusing: () => receiveRefusalRead(state, request, reply, now),
		finishing: () => finishReplyHandlers[reply.kind](state, request, now, reply),
	};
	return phaseHandlers[request.phase]?.() ?? keepState(state);
});

/**
Ends an at-most-once request (kind `act`): replies to the client at once, then makes the claim and the bill durable.

@param state - The router state.
@param request - The request.
@param end - The outcome of the attempt, its answer, and its cost in tokens.
@param now - The current time in ms.
@returns The next router state and its effects.
*/
export const finishAtMostOnce = (
	state: RouterState,
	request: Request,
	end: Readonly<{verdict: 'done' | 'unknown'; answer: Answer | undefined; tokens: number}>,
	now: number,
): RouterStep => {
	const stored = end.answer === undefined ? undefined : encodeStoredAnswer(end.answer);
	const claim = request.claim === undefined
		? undefined
		: {...request.claim, body: {...request.claim.body, ...(stored !== undefined && {answer: stored})}};
	const finishing: Request = {
		...request, phase: 'finishing', phaseAt: now, isAnswered: true, verdict: end.verdict, tokens: end.tokens, claim, sealAt: undefined,
	};
	const answered: readonly RouterEffect[] = request.isAnswered ? [] : [createAnswerEffect(request, end.answer), logRequestEnd(request, end.verdict, end.tokens, now)];
	const step = writeFinalClaim(putRequest(state, finishing), finishing);
	return {state: step.state, effects: [...answered, ...step.effects]};
};

const createAnswerEffect = (request: Request, answer: Answer | undefined): RouterEffect => answer === undefined
	? {kind: 'reply-fault', request: request.id, fault: createFault('outcome-unknown', 'the endpoint did not say whether it did the work')}
	: {kind: 'reply', request: request.id, answer};

const scheduleSealRetry = (state: RouterState, request: Request, now: number): RouterStep =>
	keepState(putRequest(state, {...request, sealAt: now + (request.isAnswered ? answeredSealRetryMs : sealRetryMs)}));

/** Finds the open attempt of this request. The claim's attempt may belong to another request under the same key at this router. */
const findOwnAttempt = (state: RouterState, request: Request): OpenAttempt | undefined => {
	const attempt = state.attempts.get(request.claim?.body.attempt ?? '');
	return attempt?.request === request.id ? attempt : undefined;
};

const receiveAttemptEnd = (state: RouterState, request: Request, answer: SealAnswer, now: number): RouterStep => {
	if (findOwnAttempt(state, request) === undefined) {
		return answer.answer === undefined
			? refuseOutcomeUnknown(state, request, 'the work may have run; its endpoint did not say', now)
			: replayAnswer(state, request, answer.answer, now);
	}

	const verdict = answer.answer === undefined ? 'unknown' : 'done';
	return chain(closeOwnAttempt(state, request), current => withRequest(current, request.id, latest =>
		finishAtMostOnce(current, latest, {verdict, answer: answer.answer, tokens: answer.tokens}, now)));
};

/** Closes the router's record of an attempt whose outcome a seal reply gave, and returns its reservation to the request. */
const closeOwnAttempt = (state: RouterState, request: Request): RouterStep => {
	const attempt = findOwnAttempt(state, request);
	return keepState(attempt === undefined
		? state
		: putRequest({...state, attempts: state.attempts.delete(attempt.id)}, {...request, hold: request.hold + attempt.cap}));
};

/** Starts a new attempt: the agent has promised that the sealed one will never run. */
const receiveSealed = (state: RouterState, request: Request, now: number): RouterStep =>
	chain(closeOwnAttempt(state, request), current => withRequest(current, request.id, latest => latest.isAnswered
		? dropRequest(current, latest, now)
		: reserveAndDispatch(current, {
			...latest,
			sealAt: undefined,
			places: latest.places.filter(entry => entry.attempt !== latest.claim?.body.attempt),
			excluded: [...latest.excluded, latest.claim?.body.agent ?? ''],
		}, now)));

const receiveAgentGone = (state: RouterState, request: Request, _answer: SealAnswer, now: number): RouterStep => findOwnAttempt(state, request) === undefined
	? refuseOutcomeUnknown(state, request, 'the agent that may have run the work is gone; an operator has to resolve it', now)
	: chain(closeOwnAttempt(state, request), current => withRequest(current, request.id, latest =>
		finishAtMostOnce(current, latest, {verdict: 'unknown', answer: undefined, tokens: 0}, now)));

/** Replies with a fault after `maxSealTries`. If this router sent the attempt, it keeps asking the agent. */
const retrySealOrRefuse = (state: RouterState, request: Request, detail: string, now: number): RouterStep => {
	const waiting = scheduleSealRetry(state, request, now);
	return request.sealTries < maxSealTries ? waiting : chain(waiting, current => refuseOutcomeUnknown(current, request, detail, now));
};

const sealStateHandlers: Readonly<Record<SealAnswer['state'], (state: RouterState, request: Request, answer: SealAnswer, now: number) => RouterStep>> = {
	sealed: (state, request, _answer, now) => receiveSealed(state, request, now),
	done: receiveAttemptEnd,
	unknown: receiveAttemptEnd,
	// The attempt is running, so only the deadline of the work class limits the wait for its answer.
	running: (state, request, _answer, now) => scheduleSealRetry(state, {...request, sealTries: 0}, now),
	gone: receiveAgentGone,
	full: (state, request, _answer, now) => retrySealOrRefuse(state, request, 'the agent cannot promise that the work will not run', now),
};

/**
Handles an agent's reply to a seal: a request to promise that an attempt will never run, or to report its outcome.

@param state - The router state.
@param event - The reply; its `answer` is undefined if the agent could not be reached.
@param now - The current time in ms.
@returns The next router state and its effects.
*/
export const receiveSeal = (state: RouterState, event: RouterEvent & {kind: 'seal-answered'}, now: number): RouterStep =>
	withRequest(state, event.request, request => {
		if (request.phase !== 'sealing' || request.claim?.body.attempt !== event.attempt) {
			return keepState(state);
		}

		return event.answer === undefined
			? retrySealOrRefuse(state, request, 'the agent that may have run the work cannot be reached', now)
			: sealStateHandlers[event.answer.state](state, request, event.answer, now);
	});

/**
Retries the pending step of a claim once its retry time has passed: sends the
seal again, or reads and writes the final state of the claim again.

@param state - The router state.
@param request - The request.
@param now - The current time in ms.
@returns The next router state and its effects.
*/
export const retryClaim = (state: RouterState, request: Request, now: number): RouterStep => {
	if (request.sealAt === undefined || now < request.sealAt || request.claim === undefined) {
		return keepState(state);
	}

	const retries: Readonly<Partial<Record<Request['phase'], (claim: Claim) => RouterStep>>> = {
		sealing: claim => requestSeal(state, request, claim, now),
		finishing: () => rereadClaim(state, request, now),
	};
	return retries[request.phase]?.(request.claim) ?? keepState(state);
};

/**
Seals this router's own attempt at an at-most-once request, after the session to its agent closed.

@param state - The router state.
@param request - The request.
@param now - The current time in ms.
@returns The next router state and its effects.
*/
export const sealOwnAttempt = (state: RouterState, request: Request, now: number): RouterStep =>
	request.claim === undefined ? keepState(state) : requestSeal(state, {...request, sealTries: 0}, request.claim, now);
