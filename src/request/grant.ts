import {createHash} from 'node:crypto';
import {countFree, noteDemand, reserveTokens} from '../budget/index.js';
import {createFault} from '../errors/index.js';
import type {ErrorKind, Fault} from '../errors/index.js';
import {chain, chainAll, stay} from '../loop/index.js';
import type {RouterStep} from '../router/messages.js';
import {findPot, putPot, updatePot} from '../router/pots.js';
import type {Peer, RouterState} from '../router/state.js';
import {putRequest, refuseRequest} from './common.js';
import {seekAgent} from './send.js';
import type {Request, Shortage} from './state.js';

/** Peers that are asked to serve a request at the most. */
const maxForwards = 4;
/** Part of the target for the first token that may pass in waiting for other requests' tokens. */
const waitShare = 0.5;

const listGranting = (state: RouterState, budget: string): readonly Request[] =>
	state.requests.valueSeq().toArray().filter(request => request.phase === 'granting' && request.budget === budget && !request.isAnswered);

const tryReserve = (state: RouterState, request: Request, now: number): RouterState | undefined => {
	const pot = reserveTokens(findPot(state, request.budget, now), request.cap);
	return pot === undefined
		? undefined
		: putRequest(putPot(state, pot), {
			...request, hold: request.cap, phase: 'queued', phaseAt: now,
		});
};

const wantDraw = (state: RouterState, budget: string, now: number): RouterStep => {
	const caps = listGranting(state, budget).map(request => request.cap);
	return caps.length === 0
		? stay(state)
		: updatePot(state, budget, {kind: 'draw-wanted', tokens: caps.reduce((sum, cap) => sum + cap, 0), least: Math.min(...caps)}, now);
};

/** Running attempts rarely cost all that is reserved for them: while the target allows, what they leave is waited for. */
const canBeFreed = (state: RouterState, request: Request, now: number): boolean => {
	const pot = findPot(state, request.budget, now);
	const isEarly = now - request.arrivedAt < request.firstToken * waitShare;
	return isEarly && countFree(pot) + pot.reserved >= request.cap;
};

/**
Reserves the worst case for a request, and draws on the budget if the grant has too little.

@param state - The router.
@param request - A request in phase `granting`.
@param now - The time in ms.
@returns The router and what it does.
*/
export const seekGrant = (state: RouterState, request: Request, now: number): RouterStep => {
	const noted = putPot(state, noteDemand(findPot(state, request.budget, now), request.cap, now));
	const waiting = putRequest(noted, {...request, phase: 'granting', phaseAt: now});
	const reserved = tryReserve(waiting, request, now);
	if (reserved !== undefined) {
		return seekAgent(reserved, request.id, now);
	}

	if (!request.isForwarded) {
		return wantDraw(waiting, request.budget, now);
	}

	// A forwarded request is served from what is held here, so that peers never draw for one another.
	return canBeFreed(waiting, request, now)
		? stay(waiting)
		: refuseRequest(waiting, request.id, createFault('budget-exhausted', `budget "${request.budget}" has no grant here`), now);
};

const refusals: Readonly<Record<Shortage, Readonly<{kind: ErrorKind; detail: string}>>> = {
	exhausted: {kind: 'budget-exhausted', detail: 'cannot cover the prompt and the output cap of the request'},
	unavailable: {kind: 'store-unavailable', detail: 'has no grant left here, and none can be drawn at present'},
};

/**
Describes why a budget's grant does not cover a request.

@param request - The request.
@param shortage - What is short.
@returns The fault.
*/
export const describeShortage = (request: Request, shortage: Shortage): Fault => {
	const {kind, detail} = refusals[shortage];
	return createFault(kind, `budget "${request.budget}" ${detail}`);
};

/** Ranks peers by rendezvous hashing, so that a budget's requests gather at the same few routers. */
const rankPeers = (state: RouterState, budget: string): readonly Peer[] =>
	state.peers.valueSeq().toArray()
		.map(peer => ({peer, rank: createHash('sha1').update(`${budget}/${peer.router}`).digest('hex')}))
		.toSorted((a, b) => (a.rank < b.rank ? -1 : 1))
		.map(({peer}) => peer);

/** A peer may still hold a grant of the budget. */
const forwardOrRefuse = (state: RouterState, request: Request, reason: Shortage, now: number): RouterStep => {
	const peers = rankPeers(state, request.budget).slice(0, maxForwards).map(peer => peer.address);
	if (request.isForwarded || peers.length === 0) {
		return refuseRequest(state, request.id, describeShortage(request, reason), now);
	}

	const forwarded: Request = {
		...request, phase: 'forwarding', phaseAt: now, keyed: true, shortage: reason,
	};
	return {state: putRequest(state, forwarded), effects: [{kind: 'forward', request: forwarded, peers}]};
};

/**
Gives up waiting for other requests' tokens once the target no longer allows it.

@param state - The router.
@param now - The time in ms.
@returns The router and what it does.
*/
export const refuseLate = (state: RouterState, now: number): RouterStep => {
	const late = state.requests.valueSeq().toArray()
		.filter(request => request.phase === 'granting' && !request.isAnswered && now - request.arrivedAt >= request.firstToken * waitShare)
		.filter(request => state.pots.get(request.budget)?.sync.step === 'idle');
	return chainAll(state, late, (current, request) => forwardOrRefuse(current, request, 'exhausted', now));
};

/**
Lets the requests go on that wait for a budget's grant.

@param state - The router.
@param budget - The budget.
@param reason - Why they are looked at again.
@param now - The time in ms.
@returns The router and what it does.
*/
export const resumeGranting = (state: RouterState, budget: string, reason: 'drawn' | Shortage, now: number): RouterStep => {
	const step = chainAll(state, listGranting(state, budget), (current, request): RouterStep => {
		const reserved = tryReserve(current, request, now);
		if (reserved !== undefined) {
			return seekAgent(reserved, request.id, now);
		}

		return reason === 'drawn' || canBeFreed(current, request, now) ? stay(current) : forwardOrRefuse(current, request, reason, now);
	});
	return reason === 'drawn' ? chain(step, current => wantDraw(current, budget, now)) : step;
};
