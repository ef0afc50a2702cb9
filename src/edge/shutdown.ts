import {createFault, fail, succeed} from '../errors/index.js';
import type {Result} from '../errors/index.js';
import type {InFlightRequest} from '../in-flight/index.js';
import {suggestRetryAfter} from '../queue/index.js';
import {boundServiceTime} from '../service-time/index.js';
import type {EdgeState} from './state.js';

const boundDeadline = (request: InFlightRequest, answerBy: number): InFlightRequest => ({...request, expiresAt: Math.min(request.expiresAt, answerBy)});

/**
Begins the shutdown. Each request gets its final response in time, as at its own deadline.

@param state - The edge state.
@param answerBy - When the last responses must have been sent, in ms.
@returns The new state.
*/
export const beginShutdown = (state: EdgeState, answerBy: number): EdgeState => ({
	...state, answerBy, requests: state.requests.map(request => boundDeadline(request, answerBy)),
});

/**
Decides whether a request that arrives during the shutdown is taken.

Load pattern: load balancers and kept connections bring requests for some seconds after the stop signal. One that
cannot be answered before the process ends is better off at another router; an act most of all, since after the end
nobody could tell its client whether it has run.

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

	const endsAt = request.route.kind === 'unsafe' ? request.expiresAt : Math.min(request.expiresAt, now + boundServiceTime(state.serviceTimes, request.route.name));
	return endsAt <= answerBy
		? succeed(boundDeadline(request, answerBy))
		: fail(createFault('not-ready', `the router ends in ${Math.round(answerBy - now)} ms`, suggestRetryAfter(request.expiresAt - now, random)));
};
