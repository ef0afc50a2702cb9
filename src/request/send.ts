import {createFault} from '../errors/index.js';
import type {ErrorKind} from '../errors/index.js';
import {chainAll, stay} from '../loop/index.js';
import {noteSent} from '../member/index.js';
import type {Member} from '../member/index.js';
import {canDispatch} from '../reach/index.js';
import {chooseAgent} from '../route/index.js';
import type {Choice} from '../route/index.js';
import {rowKeys} from '../table/index.js';
import {writeClaim} from '../claim/index.js';
import type {ClaimBody} from '../claim/index.js';
import type {RouterEffect, RouterStep} from '../router/messages.js';
import type {RouterState} from '../router/state.js';
import {putRequest, refuseRequest, withRequest} from './common.js';
import type {OpenAttempt, Request} from './state.js';

/** Requests that may wait for each place at a pool's endpoints. */
const maxQueuePerPlace = 2;
const minQueue = 16;

const nameAttempt = (state: RouterState): string => `${state.incarnation}.${state.counter + 1}`;

/**
Sends a request to an agent. For an act the claim must name this attempt already.

@param state - The router.
@param request - The request; it holds its reservation.
@param member - The agent; its session is open.
@param attempt - The attempt's id.
@param now - The time in ms.
@returns The router and the dispatch.
*/
export const sendAttempt = (state: RouterState, request: Request, member: Member, attempt: string, now: number): RouterStep => {
	const {agent, session} = member;
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
		members: noteSent(state.members, agent),
	};
	return {state: next, effects: [{kind: 'dispatch', attempt: open, request: sent}]};
};

/** Points the claim at a new attempt; the attempt is sent only once that is durable. */
const claimAttempt = (state: RouterState, request: Request, member: Member, now: number): RouterStep => {
	const attempt = nameAttempt(state);
	const body: ClaimBody = {
		digest: request.digest, request: request.billId, attempt, agent: member.agent, address: member.address,
	};
	const version = request.claim?.version ?? 0;
	const claiming: Request = {
		...request, phase: 'claim-writing', phaseAt: now, claim: {version, state: 'sent', body},
	};
	const effect: RouterEffect = {
		kind: 'store',
		tag: {slice: 'claim', subject: request.id},
		call: {kind: 'write', writes: [writeClaim(request.organisation, request.key ?? '', version, 'sent', body)]},
	};
	if (state.broken === 'claim-before-dispatch') {
		return sendAttempt({...putRequest(state, claiming), counter: state.counter + 1}, claiming, member, attempt, now);
	}

	return {state: {...putRequest(state, claiming), counter: state.counter + 1}, effects: [effect]};
};

const sendOrClaim = (state: RouterState, request: Request, member: Member, now: number): RouterStep => request.kind === 'act'
	? claimAttempt(state, request, member, now)
	: sendAttempt({...state, counter: state.counter + 1}, request, member, nameAttempt(state), now);

const countPlaces = (state: RouterState, pool: string): number =>
	state.members.valueSeq().toArray()
		.filter(member => member.pool === pool && member.link === 'open' && !member.isLeaving)
		.reduce((sum, member) => sum + member.load.capacity, 0);

const countQueued = (state: RouterState, request: Request): number =>
	state.requests.valueSeq().toArray()
		.filter(other => other.pool === request.pool && other.phase === 'queued' && other.arrivedAt < request.arrivedAt && !other.isAnswered).length;

/** Keeps a request waiting as long as its target can still be met, and refuses it at once when it cannot. */
const waitOrRefuse = (state: RouterState, request: Request, kind: ErrorKind, detail: string, now: number): RouterStep => {
	const isLate = now - request.arrivedAt >= request.firstToken;
	const isCrowded = countQueued(state, request) >= Math.max(minQueue, maxQueuePerPlace * countPlaces(state, request.pool));
	return isLate || isCrowded
		? refuseRequest(state, request.id, createFault(kind, detail), now)
		: stay(putRequest(state, {...request, phase: 'queued'}));
};

const choosers: Readonly<{[Kind in Choice['kind']]: (state: RouterState, request: Request, choice: Choice & {kind: Kind}, now: number) => RouterStep}> = {
	agent: (state, request, choice, now) => sendOrClaim(state, request, choice.member, now),
	busy: (state, request, _choice, now) => waitOrRefuse(state, request, 'overloaded', `pool "${request.pool}" is at its capacity`, now),
	none: (state, request, _choice, now) => waitOrRefuse(state, request, 'not-ready', `pool "${request.pool}" has no endpoint that can take the request`, now),
	'no-model': (state, request, _choice, now) => refuseRequest(state, request.id, createFault('bad-request', `model: "${request.model ?? ''}" is not served`), now),
};

/**
Looks for an endpoint for a request that holds its reservation.

@param state - The router.
@param id - The request's id.
@param now - The time in ms.
@returns The router and what it does.
*/
export const seekAgent = (state: RouterState, id: string, now: number): RouterStep => withRequest(state, id, request => {
	const choice = chooseAgent(state.members, {
		pool: request.pool,
		model: request.model,
		dataCentre: state.dataCentre,
		excluded: request.excluded,
		mayDispatch: agent => canDispatch(state.reach, agent) || state.broken === 'reach-before-dispatch',
		seed: state.counter,
		now,
	});
	const decide = choosers[choice.kind] as (state: RouterState, request: Request, choice: Choice, now: number) => RouterStep;
	return decide(state, request, choice, now);
});

const computeSlack = (request: Request, now: number): number =>
	request.arrivedAt + request.firstToken - now - (request.priority * slackPerPriority);

/** Milliseconds that one step of priority is worth in the queue. */
const slackPerPriority = 20;

/**
Lets queued requests go on, those with the least time left to their target first.

@param state - The router.
@param now - The time in ms.
@returns The router and what it does.
*/
export const wakeQueue = (state: RouterState, now: number): RouterStep => {
	const queued = state.requests.valueSeq().toArray()
		.filter(request => request.phase === 'queued' && !request.isAnswered)
		.toSorted((a, b) => computeSlack(a, now) - computeSlack(b, now));
	return chainAll(state, queued, (current, request) => seekAgent(current, request.id, now));
};

/**
Asks the store for the claim of an act.

@param state - The router.
@param request - The request.
@param now - The time in ms.
@returns The router and the call.
*/
export const readClaimRow = (state: RouterState, request: Request, now: number): RouterStep => ({
	state: putRequest(state, {...request, phase: 'claim-reading', phaseAt: now}),
	effects: [{
		kind: 'store',
		tag: {slice: 'claim', subject: request.id},
		call: {kind: 'read', keys: [rowKeys.claim(request.organisation, request.key ?? '')]},
	}],
});
