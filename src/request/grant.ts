import {createHash} from 'node:crypto';
import {countFreeTokens, recordDemand, reserveTokens} from '../budget/index.js';
import {createFault} from '../errors/index.js';
import type {ErrorKind, Fault} from '../errors/index.js';
import {chain, chainAll, keepState} from '../loop/index.js';
import type {RouterStep} from '../router/messages.js';
import {findGrant, putGrant, updateGrant} from '../router/grants.js';
import type {Peer, RouterState} from '../router/state.js';
import {putRequest, refuseRequest} from './common.js';
import {dispatchRequest} from './dispatch.js';
import type {Request, GrantShortage} from './state.js';

/** Maximum number of peers that a request is forwarded to. */
const maxForwardPeers = 4;
/** Fraction of the first-token target that a request may wait for tokens reserved by others. */
const maxWaitFraction = 0.5;

const listGrantWaiters = (state: RouterState, budget: string): readonly Request[] =>
	state.requests.valueSeq().toArray().filter(request => request.phase === 'granting' && request.budget === budget && !request.isAnswered);

const tryReserve = (state: RouterState, request: Request, now: number): RouterState | undefined => {
	const grant = reserveTokens(findGrant(state, request.budget, now), request.cap);
	return grant === undefined
		? undefined
		: putRequest(putGrant(state, grant), {
			...request, hold: request.cap, phase: 'queued', phaseAt: now,
		});
};

const requestDraw = (state: RouterState, budget: string, now: number): RouterStep => {
	const caps = listGrantWaiters(state, budget).map(request => request.cap);
	return caps.length === 0
		? keepState(state)
		: updateGrant(state, budget, {kind: 'draw-wanted', tokens: caps.reduce((sum, cap) => sum + cap, 0), least: Math.min(...caps)}, now);
};

/** Running attempts rarely use their whole reservation, so a request may wait for tokens that they release, within a fraction of its first-token target. */
const canWaitForRelease = (state: RouterState, request: Request, now: number): boolean => {
	const grant = findGrant(state, request.budget, now);
	const isWithinWait = now - request.arrivedAt < request.firstToken * maxWaitFraction;
	return isWithinWait && countFreeTokens(grant) + grant.reserved >= request.cap;
};

/**
Reserves a request's maximum cost in tokens, and draws on the budget if the local grant is too small.

@param state - The router state.
@param request - A request in phase `granting`.
@param now - The current time in ms.
@returns The next router state and its effects.
*/
export const acquireReservation = (state: RouterState, request: Request, now: number): RouterStep => {
	const withDemand = putGrant(state, recordDemand(findGrant(state, request.budget, now), request.cap, now));
	const waiting = putRequest(withDemand, {...request, phase: 'granting', phaseAt: now});
	const reserved = tryReserve(waiting, request, now);
	if (reserved !== undefined) {
		return dispatchRequest(reserved, request.id, now);
	}

	if (!request.isForwarded) {
		return requestDraw(waiting, request.budget, now);
	}

	// A forwarded request may use only tokens already granted to this router, so that peers never draw on behalf of each other.
	return canWaitForRelease(waiting, request, now)
		? keepState(waiting)
		: refuseRequest(waiting, request.id, createFault('budget-exhausted', `budget "${request.budget}" has no grant here`), now);
};

const shortageFaults: Readonly<Record<GrantShortage, Readonly<{kind: ErrorKind; detail: string}>>> = {
	exhausted: {kind: 'budget-exhausted', detail: 'cannot cover the prompt and the output cap of the request'},
	unavailable: {kind: 'store-unavailable', detail: 'has no grant left here, and none can be drawn at present'},
};

/**
Creates the fault for a request that the budget's grant does not cover.

@param request - The request.
@param shortage - Why the grant was too small.
@returns The fault.
*/
export const createShortageFault = (request: Request, shortage: GrantShortage): Fault => {
	const {kind, detail} = shortageFaults[shortage];
	return createFault(kind, `budget "${request.budget}" ${detail}`);
};

/** Ranks peers by rendezvous hashing, so that the requests of a budget go to the same few routers. */
const rankPeers = (state: RouterState, budget: string): readonly Peer[] =>
	state.peers.valueSeq().toArray()
		.map(peer => ({peer, rank: createHash('sha1').update(`${budget}/${peer.router}`).digest('hex')}))
		.toSorted((a, b) => (a.rank < b.rank ? -1 : 1))
		.map(({peer}) => peer);

/** Forwards the request to peers that may still hold a grant of the budget, or refuses it. */
const forwardOrRefuse = (state: RouterState, request: Request, reason: GrantShortage, now: number): RouterStep => {
	const peers = rankPeers(state, request.budget).slice(0, maxForwardPeers).map(peer => peer.address);
	if (request.isForwarded || peers.length === 0) {
		return refuseRequest(state, request.id, createShortageFault(request, reason), now);
	}

	const forwarded: Request = {
		...request, phase: 'forwarding', phaseAt: now, keyed: true, shortage: reason,
	};
	return {state: putRequest(state, forwarded), effects: [{kind: 'forward', request: forwarded, peers}]};
};

/**
Forwards or refuses requests that have waited for tokens longer than `maxWaitFraction` of their first-token target.

@param state - The router state.
@param now - The current time in ms.
@returns The next router state and its effects.
*/
export const refuseOverdue = (state: RouterState, now: number): RouterStep => {
	const overdue = state.requests.valueSeq().toArray()
		.filter(request => request.phase === 'granting' && !request.isAnswered && now - request.arrivedAt >= request.firstToken * maxWaitFraction)
		.filter(request => state.pots.get(request.budget)?.sync.step === 'idle');
	return chainAll(state, overdue, (current, request) => forwardOrRefuse(current, request, 'exhausted', now));
};

/**
Resumes the requests that wait for a budget's grant.

@param state - The router state.
@param budget - The budget.
@param reason - Whether tokens were drawn, or why none could be.
@param now - The current time in ms.
@returns The next router state and its effects.
*/
export const resumeGrantWaiters = (state: RouterState, budget: string, reason: 'drawn' | GrantShortage, now: number): RouterStep => {
	const step = chainAll(state, listGrantWaiters(state, budget), (current, request): RouterStep => {
		const reserved = tryReserve(current, request, now);
		if (reserved !== undefined) {
			return dispatchRequest(reserved, request.id, now);
		}

		return reason === 'drawn' || canWaitForRelease(current, request, now) ? keepState(current) : forwardOrRefuse(current, request, reason, now);
	});
	return reason === 'drawn' ? chain(step, current => requestDraw(current, budget, now)) : step;
};
