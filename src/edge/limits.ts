import {listLiveRouters} from '../quota/index.js';
import {computeReturnDelay, extendPushback} from '../pushback/index.js';
import {adoptStatement, setShare} from '../rate-limit/index.js';
import type {RateLimitStatement} from '../rate-limit/index.js';
import {findKnown, updateEndpoints} from '../registry/index.js';
import type {Endpoint, Incarnation} from '../registry/index.js';
import type {PeerMessage} from '../gossip/index.js';
import type {ResponseHead} from '../in-flight/index.js';
import {chainAll, keepState} from '../loop/step.js';
import {createLogEffect, updateKnownEndpoint} from './common.js';
import type {EdgeState, EdgeStep} from './state.js';

const updateShare = (state: EdgeState, endpoint: Endpoint, now: number): Endpoint => ({
	...endpoint, rateLimit: setShare(endpoint.rateLimit, endpoint.id, state.quota.router, state.liveRouters, now),
});

const describeLimit = (requestsPerSecond: number | undefined): number | 'none' => requestsPerSecond ?? 'none';

/** Applies what an endpoint stated about its rate limit, and logs each change. */
const applyStatement = (state: EdgeState, incarnation: Incarnation, statement: RateLimitStatement, source: string, now: number): EdgeStep => {
	const endpoint = findKnown(state.registry, incarnation);
	if (endpoint === undefined) {
		return keepState(state);
	}

	const {rateLimit: before} = endpoint;
	const rateLimit = adoptStatement(before, statement, now);
	if (rateLimit.requestsPerSecond === before.requestsPerSecond) {
		return keepState(updateKnownEndpoint(state, incarnation, current => ({...current, rateLimit})));
	}

	const updated = updateShare(state, {...endpoint, rateLimit}, now);
	return {
		state: updateKnownEndpoint(state, incarnation, () => updated),
		effects: [createLogEffect('rate-limit-changed', {
			endpoint: incarnation.id,
			limit: describeLimit(rateLimit.requestsPerSecond),
			before: describeLimit(before.requestsPerSecond),
			source,
			age: Math.round(now - statement.statedAt),
			share: updated.rateLimit.share,
			routers: state.liveRouters.length,
		})],
	};
};

/**
Records the rate limit that an endpoint's response states.

@param state - The edge state.
@param endpoint - The endpoint that the request was sent to.
@param head - The head of the response.
@param now - The current time in ms.
@returns The new state and the effects.
*/
export const recordRateLimit = (state: EdgeState, endpoint: Incarnation, {rateLimit}: ResponseHead, now: number): EdgeStep => rateLimit.ok
	? applyStatement(state, endpoint, {requestsPerSecond: rateLimit.val, statedAt: now, isFirstHand: true}, 'endpoint', now)
	: {
		state, effects: [{
			kind: 'log', level: 'failure', event: 'rate-limit-unreadable', fields: {endpoint: endpoint.id, reason: rateLimit.val.detail},
		}],
	};

/** Time for which an endpoint is left alone whose own time cannot be read, in ms. */
const defaultPushbackMs = 1000;

/**
Records for how long an endpoint that has rejected a request wants no further one.

@param state - The edge state.
@param incarnation - The endpoint that the request was sent to.
@param head - The head of the response.
@param now - The current time in ms.
@returns The new state and the effects.
*/
export const recordPushback = (state: EdgeState, incarnation: Incarnation, {pushbackMs}: ResponseHead, now: number): EdgeStep => {
	const duration = pushbackMs.ok ? pushbackMs.val : defaultPushbackMs;
	if (duration === undefined) {
		return keepState(state);
	}

	const getReturnTime = (endpoint: Endpoint) => now + duration + computeReturnDelay(duration, endpoint.idHash, state.quota.router, state.liveRouters);
	return {
		// The request that was turned away is still open.
		state: updateKnownEndpoint(state, incarnation, endpoint => ({...endpoint, pushback: extendPushback(endpoint.pushback, getReturnTime(endpoint), endpoint.open - 1)})),
		effects: [createLogEffect('pushback', {endpoint: incarnation.id, duration, reason: pushbackMs.ok ? undefined : pushbackMs.val.detail})],
	};
};

/**
Applies the rate limits that endpoints stated to a peer.

@param state - The edge state.
@param message - The peer's message.
@param now - The current time in ms.
@returns The new state and the effects.
*/
export const receivePeerLimits = (state: EdgeState, {router, limits}: PeerMessage, now: number): EdgeStep => chainAll(state, limits, (current, {endpoint: id, startedAt, requestsPerSecond, ageMs}) => {
	const endpoint = current.registry.endpoints.get(id);
	return endpoint === undefined || (startedAt !== undefined && startedAt !== endpoint.startedAt)
		? keepState(current)
		: applyStatement(current, endpoint, {requestsPerSecond, statedAt: now - ageMs, isFirstHand: false}, router, now);
});

/**
Divides the rate limits anew if other routers are live than before. A router counts as
live by its row in the store, or by its messages while the store does not show it.

@param state - The edge state.
@param now - The current time in ms.
@returns The new state.
*/
export const updateShares = (state: EdgeState, now: number): EdgeState => {
	const liveRouters = [...new Set([...listLiveRouters(state.quota), ...state.peers.keys()])].toSorted();
	if (liveRouters.join('\n') === state.liveRouters.join('\n')) {
		return state;
	}

	const updated: EdgeState = {...state, liveRouters};
	return {
		...updated, registry: updateEndpoints(state.registry, endpoint => endpoint.rateLimit.requestsPerSecond === undefined ? endpoint : updateShare(updated, endpoint, now)),
	};
};
