import {createFault, fail, succeed} from '../errors/index.js';
import type {Result} from '../errors/index.js';
import type {InFlightRequest} from '../in-flight/index.js';
import {suggestRetryAfter} from '../queue/index.js';
import {boundResponseTime, boundStreamTime} from '../service-time/index.js';
import {getTokensPerEvent} from '../routing-config/index.js';
import type {Route} from '../routing-config/index.js';
import type {EdgeState} from './state.js';

const boundDeadline = (request: InFlightRequest, answerBy: number): InFlightRequest => request.expiresAt <= answerBy
	? request
	: {...request, expiresAt: answerBy, isCutShort: true};

/**
Begins the shutdown. Each request gets its final response in time, as at its own deadline.

@param state - The edge state.
@param answerBy - When the last responses must have been sent, in ms.
@returns The new state.
*/
export const beginShutdown = (state: EdgeState, answerBy: number): EdgeState => ({
	...state, answerBy, requests: state.requests.map(request => boundDeadline(request, answerBy)),
});

type TimeBounder = (state: EdgeState, request: InFlightRequest) => number;

/** A stream can't be replaced by an error response once it has begun, so that only the size that its request states bounds it. */
const boundStream: TimeBounder = (state, {service, head: {modelRequest}}) => {
	if (modelRequest === undefined) {
		return Number.POSITIVE_INFINITY;
	}

	return boundStreamTime(state.serviceTimes, service, {
		promptTokens: modelRequest.promptTokens,
		// A first event may come without a token.
		maxEvents: Math.ceil(modelRequest.maxOutputTokens / getTokensPerEvent(state.config, service)) + 1,
	});
};

/** What bounds the time of a request other than its own deadline, by the kind of its route. */
const timeBounders: Readonly<Record<Route['kind'], TimeBounder>> = {
	// After the end of the process, nobody could tell its client whether it has run.
	unsafe: () => Number.POSITIVE_INFINITY,
	// One that takes longer, against all experience, still gets an error response.
	safe: ({serviceTimes}, {route}) => boundResponseTime(serviceTimes, route.name),
	stream: boundStream,
};

/**
Tells whether a request that is sent now will have its whole response before the process ends. Without a shutdown, and
for a request whose own deadline comes before that, it is always true.

@param state - The edge state.
@param request - The request, with a deadline before the end of the process.
@param now - The current time in ms.
@returns False if nothing that is known bounds the request to the time that is left.
*/
export const canEndInTime = (state: EdgeState, request: InFlightRequest, now: number): boolean =>
	state.answerBy === undefined || request.isCutShort !== true || now + timeBounders[request.route.kind](state, request) <= state.answerBy;

/**
Explains why a request is not sent.

@param state - The edge state, of a process that stops.
@param now - The current time in ms.
@returns The reason.
*/
export const explainShutdown = ({answerBy = 0}: EdgeState, now: number): string => `the router ends in ${Math.round(answerBy - now)} ms, and nothing bounds the request to that time`;

/**
Decides whether a request that arrives during the shutdown is taken.

Load pattern: load balancers and kept connections bring requests for some seconds after the stop signal. One that
may not end before the process does is better off at another router; what most requests of its route take says
nothing about this one.

@param state - The edge state.
@param request - The request, with its own deadline.
@param random - A random number in [0, 1).
@param now - The current time in ms.
@returns The request, with a deadline before the end of the process; a fault if it is not taken.
*/
export const admitDuringShutdown = (state: EdgeState, request: InFlightRequest, random: number, now: number): Result<InFlightRequest> => {
	const {answerBy} = state;
	if (answerBy === undefined) {
		return succeed(request);
	}

	const bounded = boundDeadline(request, answerBy);
	return now < answerBy && canEndInTime(state, bounded, now)
		? succeed(bounded)
		: fail(createFault('not-ready', explainShutdown(state, now), suggestRetryAfter(request.expiresAt - now, random)));
};
