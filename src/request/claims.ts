import type {SealAnswer} from '../attempt/index.js';
import {
	readClaim, restoreAnswer, storeAnswer, writeClaim,
} from '../claim/index.js';
import type {Claim} from '../claim/index.js';
import type {Answer} from '../attempt/index.js';
import {createFault} from '../errors/index.js';
import {chain, stay} from '../loop/index.js';
import type {RouterEffect, RouterEvent, RouterStep} from '../router/messages.js';
import type {RouterState} from '../router/state.js';
import type {StoreReply} from '../table/index.js';
import {
	billRequest, dropRequest, logEnd, putRequest, refuseRequest, tellFault, withRequest,
} from './common.js';
import {seekGrant} from './grant.js';
import {readClaimRow, seekAgent, sendAttempt} from './send.js';
import type {OpenAttempt, Request} from './state.js';

const sealInterval = 500; // Milliseconds
const answeredInterval = 5000; // Milliseconds, once nobody waits any more
const maxSealTries = 6;

const refuseUnknown = (state: RouterState, request: Request, detail: string, now: number): RouterStep =>
	refuseRequest(state, request.id, createFault('outcome-unknown', detail), now);

/** Gives the caller an answer that the claim or the agent kept. It was billed when it ran. */
const replayAnswer = (state: RouterState, request: Request, answer: Answer, now: number): RouterStep => {
	const effects: readonly RouterEffect[] = request.isAnswered ? [] : [{kind: 'reply', request: request.id, answer}, logEnd(request, 'replayed', 0, now)];
	return chain({state, effects}, current => dropRequest(current, request, now));
};

const askSeal = (state: RouterState, request: Request, claim: Claim, now: number): RouterStep => ({
	state: putRequest(state, {
		...request, phase: 'sealing', phaseAt: now, claim, sealAt: undefined, sealTries: request.sealTries + 1,
	}),
	effects: [{
		kind: 'ask-seal', request: request.id, attempt: claim.body.attempt, agent: claim.body.agent, address: claim.body.address,
	}],
});

const found: Readonly<Record<Claim['state'], (state: RouterState, request: Request, claim: Claim, now: number) => RouterStep>> = {
	done: (state, request, claim, now) => claim.body.answer === undefined
		? refuseUnknown(state, request, 'the work ran, but its answer was not kept', now)
		: replayAnswer(state, request, restoreAnswer(claim.body.answer), now),
	unknown: (state, request, _claim, now) => refuseUnknown(state, request, 'the work may have run; an operator has to resolve it', now),
	sent: (state, request, claim, now) => state.broken === 'seal-before-retry'
		? seekHolding(putRequest(state, {...request, claim}), {...request, claim}, now)
		: askSeal(state, request, claim, now),
};

/** Goes on towards an endpoint, with the reservation that is held already or with a new one. */
const seekHolding = (state: RouterState, request: Request, now: number): RouterStep => request.hold > 0
	? seekAgent(putRequest(state, {...request, phase: 'queued', phaseAt: now}), request.id, now)
	: seekGrant(state, request, now);

const receiveClaim = (state: RouterState, request: Request, claim: Claim | undefined, now: number): RouterStep => {
	if (claim === undefined) {
		return seekHolding(state, {...request, claim: undefined}, now);
	}

	return claim.body.digest === request.digest
		? found[claim.state](state, request, claim, now)
		: refuseRequest(state, request.id, createFault('key-conflict', 'Idempotency-Key: was used with another request'), now);
};

const unreadClaim = createFault('claim-unread', 'the claim under this Idempotency-Key cannot be read at present');

const receiveRead = (state: RouterState, request: Request, reply: StoreReply, now: number): RouterStep => reply.kind === 'rows'
	? receiveClaim(state, request, readClaim(reply.rows[0]), now)
	// An earlier request under this key may have run, so "not run" would be a guess.
	: refuseRequest(state, request.id, unreadClaim, now);

const writeReplies: Readonly<Record<StoreReply['kind'], (state: RouterState, request: Request, now: number) => RouterStep>> = {
	applied(state, request, now) {
		const {claim} = request;
		if (claim === undefined) {
			return stay(state);
		}

		const written: Request = {...request, claim: {...claim, version: claim.version + 1}};
		if (request.isAnswered) {
			return dropRequest(state, request, now);
		}

		const member = state.members.get(claim.body.agent);
		// The session may have broken meanwhile. The attempt was never sent, so the claim may move on.
		return member?.link === 'open'
			? sendAttempt(state, written, member, claim.body.attempt, now)
			: seekHolding(state, written, now);
	},
	conflict: (state, request, now) => readClaimRow(state, request, now),
	rows: state => stay(state),
	lost: (state, request, now) => refuseRequest(state, request.id, createFault('store-unavailable', 'the claim under this Idempotency-Key cannot be written at present'), now),
};

/** Another try holds the claim, and what became of it is not known here. */
const refuseOverlap = (state: RouterState, request: Request, now: number): RouterStep =>
	tellFault(state, request, createFault('in-progress', 'another try under this Idempotency-Key is under way'), now);

const confirmRead = (state: RouterState, request: Request, claim: Claim | undefined, now: number): RouterStep => {
	const {refusal} = request;
	// The version is the one that this try has read, written or sealed: nobody else has run the act since.
	const isUnchanged = (claim?.version ?? 0) === (request.claim?.version ?? 0);
	if (refusal !== undefined && isUnchanged) {
		return tellFault(state, request, refusal, now);
	}

	return claim === undefined || claim.state === 'sent'
		? refuseOverlap(state, request, now)
		: receiveClaim(state, request, claim, now);
};

const receiveConfirmation = (state: RouterState, request: Request, reply: StoreReply, now: number): RouterStep => reply.kind === 'rows'
	? confirmRead(state, request, readClaim(reply.rows[0]), now)
	: refuseRequest(state, request.id, unreadClaim, now);

/** Makes the end of an act durable: its claim first, then its bill. */
const writeVerdict = (state: RouterState, request: Request): RouterStep => {
	const {claim, verdict} = request;
	if (claim === undefined || verdict === undefined) {
		return stay(state);
	}

	return {
		state,
		effects: [{
			kind: 'store',
			tag: {slice: 'claim', subject: request.id},
			call: {kind: 'write', writes: [writeClaim(request.organisation, request.key ?? '', claim.version, verdict, claim.body)]},
		}],
	};
};

const retryInterval = 1000; // Milliseconds

const receiveVerdictRow = (state: RouterState, request: Request, claim: Claim | undefined, now: number): RouterStep => {
	const isOpen = claim?.state === 'sent' && claim.body.attempt === request.claim?.body.attempt;
	if (!isOpen || claim === undefined || request.claim === undefined) {
		return chain(stay(billRequest(state, request, request.tokens)), current => dropRequest(current, request, now));
	}

	const next = {...request, claim: {...request.claim, version: claim.version}};
	return writeVerdict(putRequest(state, next), next);
};

const finishReplies: Readonly<Record<StoreReply['kind'], (state: RouterState, request: Request, now: number, reply: StoreReply) => RouterStep>> = {
	applied: (state, request, now) => chain(stay(billRequest(state, request, request.tokens)), current => dropRequest(current, request, now)),
	conflict: (state, request, now) => readVerdict(state, request, now),
	rows: (state, request, now, reply) => receiveVerdictRow(state, request, readClaim(reply.kind === 'rows' ? reply.rows[0] : undefined), now),
	lost: (state, request, now) => stay(putRequest(state, {...request, sealAt: now + retryInterval})),
};

const readVerdict = (state: RouterState, request: Request, now: number): RouterStep => {
	const step = readClaimRow(state, request, now);
	return {state: putRequest(step.state, {...request, phase: 'finishing', sealAt: undefined}), effects: step.effects};
};

/**
Takes in what the store said of a claim.

@param state - The router.
@param id - The request's id.
@param reply - The reply.
@param now - The time in ms.
@returns The router and what it does.
*/
export const receiveClaimReply = (state: RouterState, id: string, reply: StoreReply, now: number): RouterStep => withRequest(state, id, request => {
	const phases: Readonly<Partial<Record<Request['phase'], () => RouterStep>>> = {
		'claim-reading': () => receiveRead(state, request, reply, now),
		'claim-writing': () => writeReplies[reply.kind](state, request, now),
		refusing: () => receiveConfirmation(state, request, reply, now),
		finishing: () => finishReplies[reply.kind](state, request, now, reply),
	};
	return phases[request.phase]?.() ?? stay(state);
});

/**
Ends an act: the caller is answered at once, then the claim and the bill are made durable.

@param state - The router.
@param request - The request.
@param end - How the attempt ended, with its answer and cost.
@param now - The time in ms.
@returns The router and what it does.
*/
export const finishAct = (
	state: RouterState,
	request: Request,
	end: Readonly<{verdict: 'done' | 'unknown'; answer: Answer | undefined; tokens: number}>,
	now: number,
): RouterStep => {
	const stored = end.answer === undefined ? undefined : storeAnswer(end.answer);
	const claim = request.claim === undefined
		? undefined
		: {...request.claim, body: {...request.claim.body, ...(stored !== undefined && {answer: stored})}};
	const finishing: Request = {
		...request, phase: 'finishing', phaseAt: now, isAnswered: true, verdict: end.verdict, tokens: end.tokens, claim, sealAt: undefined,
	};
	const answered: readonly RouterEffect[] = request.isAnswered ? [] : [describeAnswer(request, end.answer), logEnd(request, end.verdict, end.tokens, now)];
	const step = writeVerdict(putRequest(state, finishing), finishing);
	return {state: step.state, effects: [...answered, ...step.effects]};
};

const describeAnswer = (request: Request, answer: Answer | undefined): RouterEffect => answer === undefined
	? {kind: 'reply-fault', request: request.id, fault: createFault('outcome-unknown', 'the endpoint did not say whether it did the work')}
	: {kind: 'reply', request: request.id, answer};

const waitForSeal = (state: RouterState, request: Request, now: number): RouterStep =>
	stay(putRequest(state, {...request, sealAt: now + (request.isAnswered ? answeredInterval : sealInterval)}));

/** Finds the open attempt of this very arrival: another one under the same key may have come to the same router. */
const findOwn = (state: RouterState, request: Request): OpenAttempt | undefined => {
	const attempt = state.attempts.get(request.claim?.body.attempt ?? '');
	return attempt?.request === request.id ? attempt : undefined;
};

const receiveDone = (state: RouterState, request: Request, answer: SealAnswer, now: number): RouterStep => {
	if (findOwn(state, request) === undefined) {
		return answer.answer === undefined
			? refuseUnknown(state, request, 'the work may have run; its endpoint did not say', now)
			: replayAnswer(state, request, answer.answer, now);
	}

	const verdict = answer.answer === undefined ? 'unknown' : 'done';
	return chain(endOwnAttempt(state, request), current => withRequest(current, request.id, latest =>
		finishAct(current, latest, {verdict, answer: answer.answer, tokens: answer.tokens}, now)));
};

/** Closes the router's own record of an attempt whose end the agent has told through the seal; the request holds its reservation again. */
const endOwnAttempt = (state: RouterState, request: Request): RouterStep => {
	const attempt = findOwn(state, request);
	return stay(attempt === undefined
		? state
		: putRequest({...state, attempts: state.attempts.delete(attempt.id)}, {...request, hold: request.hold + attempt.cap}));
};

/** The attempt will never run: a new one may take its place. */
const receiveSealed = (state: RouterState, request: Request, now: number): RouterStep =>
	chain(endOwnAttempt(state, request), current => withRequest(current, request.id, latest => latest.isAnswered
		? dropRequest(current, latest, now)
		: seekHolding(current, {
			...latest,
			sealAt: undefined,
			places: latest.places.filter(place => place.attempt !== latest.claim?.body.attempt),
			excluded: [...latest.excluded, latest.claim?.body.agent ?? ''],
		}, now)));

const receiveGone = (state: RouterState, request: Request, _answer: SealAnswer, now: number): RouterStep => findOwn(state, request) === undefined
	? refuseUnknown(state, request, 'the agent that may have run the work is gone; an operator has to resolve it', now)
	: chain(endOwnAttempt(state, request), current => withRequest(current, request.id, latest =>
		finishAct(current, latest, {verdict: 'unknown', answer: undefined, tokens: 0}, now)));

/** After a few tries the caller is told; this router goes on asking about an attempt of its own. */
const waitOrGiveUp = (state: RouterState, request: Request, detail: string, now: number): RouterStep => {
	const waiting = waitForSeal(state, request, now);
	return request.sealTries < maxSealTries ? waiting : chain(waiting, current => refuseUnknown(current, request, detail, now));
};

const sealed: Readonly<Record<SealAnswer['state'], (state: RouterState, request: Request, answer: SealAnswer, now: number) => RouterStep>> = {
	sealed: (state, request, _answer, now) => receiveSealed(state, request, now),
	done: receiveDone,
	unknown: receiveDone,
	// The answer is on its way: the class's limit decides how long to wait for it.
	running: (state, request, _answer, now) => waitForSeal(state, {...request, sealTries: 0}, now),
	gone: receiveGone,
	full: (state, request, _answer, now) => waitOrGiveUp(state, request, 'the agent cannot promise that the work will not run', now),
};

/**
Takes in what an agent said of an attempt that may have run.

@param state - The router.
@param event - The answer; undefined if the agent could not be reached.
@param now - The time in ms.
@returns The router and what it does.
*/
export const receiveSeal = (state: RouterState, event: RouterEvent & {kind: 'seal-answered'}, now: number): RouterStep =>
	withRequest(state, event.request, request => {
		if (request.phase !== 'sealing' || request.claim?.body.attempt !== event.attempt) {
			return stay(state);
		}

		return event.answer === undefined
			? waitOrGiveUp(state, request, 'the agent that may have run the work cannot be reached', now)
			: sealed[event.answer.state](state, request, event.answer, now);
	});

/**
Goes on with claims whose time has come: agents are asked again, and the end of
an act is written again.

@param state - The router.
@param request - The request.
@param now - The time in ms.
@returns The router and what it does.
*/
export const retryClaim = (state: RouterState, request: Request, now: number): RouterStep => {
	if (request.sealAt === undefined || now < request.sealAt || request.claim === undefined) {
		return stay(state);
	}

	const retries: Readonly<Partial<Record<Request['phase'], (claim: Claim) => RouterStep>>> = {
		sealing: claim => askSeal(state, request, claim, now),
		finishing: () => readVerdict(state, request, now),
	};
	return retries[request.phase]?.(request.claim) ?? stay(state);
};

/**
Asks the agent of a broken session what became of this router's own act.

@param state - The router.
@param request - The request.
@param now - The time in ms.
@returns The router and what it does.
*/
export const sealOwnAttempt = (state: RouterState, request: Request, now: number): RouterStep =>
	request.claim === undefined ? stay(state) : askSeal(state, {...request, sealTries: 0}, request.claim, now);
