import type {Flight} from '../flight/index.js';
import {chainAll, stay} from '../loop/step.js';
import {receiveEndpointFailure} from './attempt.js';
import {isRepeatable, learnEndpoint} from './common.js';
import type {EdgeState, EdgeStep} from './state.js';

/** Milliseconds without any word from an endpoint before a call there may be taken for lost: far above the answer time of a sound one under load. */
const shortestSilence = 1000;

/** How many times the predicted time must have passed as well. */
const silenceFactor = 4;

/** Milliseconds for which an endpoint that is silent gets no new calls. */
const silentEjection = 2000;

const isSilent = (state: EdgeState, flight: Flight, now: number): boolean => {
	const endpoint = state.registry.endpoints.get(flight.tried.at(-1) ?? '');
	const waited = now - flight.sentAt;
	return flight.phase === 'sent' && flight.firstAt === undefined
		&& waited >= Math.max(shortestSilence, silenceFactor * flight.predicted)
		&& (endpoint === undefined || endpoint.heardAt <= flight.sentAt);
};

/** A call that may not be repeated stays where it is; others are to avoid the endpoint. */
const avoidEndpoint = (state: EdgeState, flight: Flight, now: number): EdgeStep => stay(learnEndpoint(state, flight.tried.at(-1), endpoint => ({
	...endpoint, ejectedUntil: Math.max(endpoint.ejectedUntil, now + silentEjection),
})));

const leaveEndpoint = (state: EdgeState, flight: Flight, random: number, now: number): EdgeStep => {
	const address = state.registry.endpoints.get(flight.tried.at(-1) ?? '')?.address;
	const avoided = avoidEndpoint(state, flight, now).state;
	const failed = receiveEndpointFailure(avoided, {
		kind: 'endpoint-failed',
		call: flight.id,
		attempt: flight.attempt,
		stage: 'sent',
		reason: `no word from the endpoint for ${Math.round(now - flight.sentAt)} ms`,
		events: 0,
		lastEvent: undefined,
		random,
	}, now);
	return {
		state: failed.state,
		effects: [{kind: 'abort', call: flight.id}, ...(address === undefined ? [] : [{kind: 'forget', address} as const]), ...failed.effects],
	};
};

/**
Sends calls elsewhere whose endpoint has said nothing since they were sent.

Load pattern: endpoints lose power or their connections go dead without a reset;
each call sent there would wait until its time is over.

@param state - The edge.
@param random - In [0, 1).
@param now - The time in ms.
@returns The edge, and what it does.
*/
export const leaveSilent = (state: EdgeState, random: number, now: number): EdgeStep => {
	const silent = state.flights.valueSeq().toArray().filter(flight => isSilent(state, flight, now));
	return chainAll(state, silent, (current, flight) => isRepeatable(flight.route)
		? leaveEndpoint(current, flight, random, now)
		: avoidEndpoint(current, flight, now));
};
