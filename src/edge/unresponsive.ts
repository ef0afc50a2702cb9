import type {InFlightRequest} from '../in-flight/index.js';
import {chainAll, keepState} from '../loop/step.js';
import {findIncarnation} from '../registry/index.js';
import {receiveEndpointFailure} from './attempt.js';
import {isRetryable, updateKnownEndpoint} from './common.js';
import type {EdgeState, EdgeStep} from './state.js';

/** Shortest time without any response before an endpoint counts as unresponsive: far above the response time of a healthy endpoint under load. */
const minSilenceMs = 1000;

/** Multiple of the predicted time to first output that must also have passed. */
const silenceFactor = 4;

/** Time for which an unresponsive endpoint gets no new requests. */
const unresponsiveEjectionMs = 2000;

const isUnresponsive = (state: EdgeState, request: InFlightRequest, now: number): boolean => {
	const endpoint = request.sentTo === undefined ? undefined : findIncarnation(state.registry, request.sentTo);
	const elapsedMs = now - request.sentAt;
	return request.phase === 'sent' && request.firstEventAt === undefined
		&& elapsedMs >= Math.max(minSilenceMs, silenceFactor * request.predicted)
		&& (endpoint === undefined || endpoint.lastResponseAt <= request.sentAt);
};

/** Ejects the endpoint of a request; a request that is not retryable stays there. */
const ejectEndpoint = (state: EdgeState, request: InFlightRequest, now: number): EdgeStep => keepState(updateKnownEndpoint(state, request.sentTo, endpoint => ({
	...endpoint, ejectedUntil: Math.max(endpoint.ejectedUntil, now + unresponsiveEjectionMs),
})));

const failOver = (state: EdgeState, request: InFlightRequest, random: number, now: number): EdgeStep => {
	const address = request.sentTo?.address;
	const ejected = ejectEndpoint(state, request, now).state;
	const failed = receiveEndpointFailure(ejected, {
		kind: 'endpoint-failed',
		call: request.id,
		attempt: request.attempt,
		stage: 'sent',
		reason: `no response from the endpoint for ${Math.round(now - request.sentAt)} ms`,
		events: 0,
		lastEventId: undefined,
		random,
	}, now);
	return {
		state: failed.state,
		effects: [{kind: 'abort', call: request.id}, ...(address === undefined ? [] : [{kind: 'forget', address} as const]), ...failed.effects],
	};
};

/**
Retries requests at another endpoint if theirs has not responded since they were
sent, and ejects that endpoint. Requests that are not retryable stay where they are.

Load pattern: endpoints lose power, or connections die without a reset; each
request sent there would wait until its deadline.

@param state - The edge state.
@param random - A random number in [0, 1).
@param now - The current time in ms.
@returns The new state and the effects.
*/
export const failOverUnresponsive = (state: EdgeState, random: number, now: number): EdgeStep => {
	const unresponsive = state.requests.valueSeq().toArray().filter(request => isUnresponsive(state, request, now));
	return chainAll(state, unresponsive, (current, request) => isRetryable(request.route)
		? failOver(current, request, random, now)
		: ejectEndpoint(current, request, now));
};
