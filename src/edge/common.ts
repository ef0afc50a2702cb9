import {recordRejected} from '../admission/index.js';
import type {Candidate} from '../admission/index.js';
import {recordPushbackClose} from '../pushback/index.js';
import {spreadRetryAfter, suggestRetryAfter} from '../queue/index.js';
import {chargeTokens} from '../quota/index.js';
import {updateEndpoint} from '../registry/index.js';
import {recordResponseTime, recordStreamTime} from '../service-time/index.js';
import type {ServiceTimes} from '../service-time/index.js';
import type {Endpoint, Incarnation} from '../registry/index.js';
import {isUnanswered} from '../in-flight/index.js';
import type {InFlightRequest, UnansweredRequest} from '../in-flight/index.js';
import type {Route} from '../routing-config/index.js';
import {errorResponses} from '../errors/index.js';
import type {Fault} from '../errors/index.js';
import type {Fields} from '../log/index.js';
import {keepState} from '../loop/step.js';
import type {EdgeEffect, UnansweredCall} from './messages.js';
import type {EdgeState, EdgeStep} from './state.js';

/**
Creates an effect that writes a routine log line.

@param event - The event.
@param fields - Its fields.
@returns The effect.
*/
export const createLogEffect = (event: string, fields: Fields): EdgeEffect => ({
	kind: 'log', level: 'routine', event, fields,
});

/** Longest time after which a client is asked to retry, in ms: until then, other endpoints may have come. */
const maxRoomAfterMs = 60_000;

/**
Determines when the client of a rejected request retries.

@param request - The request.
@param roomAfterMs - Time after which an endpoint takes requests again, in ms; 0 if that is not known.
@param random - A random number in [0, 1).
@param now - The current time in ms.
@returns Seconds.
*/
export const computeRetryAfter = (request: InFlightRequest, roomAfterMs: number, random: number, now: number): number =>
	Math.max(suggestRetryAfter(request.expiresAt - now, random), spreadRetryAfter(Math.min(maxRoomAfterMs, roomAfterMs), random));

/**
Tells whether a request may be retried after it may have run.

@param route - The request's route.
@returns True for idempotent requests, and for streams that can be resumed.
*/
export const isRetryable = (route: Route): boolean => route.kind === 'safe' || (route.kind === 'stream' && route.isResumable);

/**
Applies a handler to a request that is still in flight.

@param state - The edge state.
@param call - The request's number.
@param handle - The handler.
@returns The handler's step; an unchanged state if the request has ended.
*/
export const applyToRequest = (state: EdgeState, call: number, handle: (request: InFlightRequest) => EdgeStep): EdgeStep => {
	const request = state.requests.get(call);
	return request === undefined ? keepState(state) : handle(request);
};

/**
Stores a request in flight.

@param state - The edge state.
@param request - The request with its new fields.
@returns The new state.
*/
export const putRequest = (state: EdgeState, request: InFlightRequest): EdgeState => ({...state, requests: state.requests.set(request.id, request)});

/**
Selects the fields of a request on which its admission depends.

@param request - The request in flight.
@returns The fields.
*/
export const describeCandidate = ({service, priority, organisation, route}: InFlightRequest): Candidate => ({
	service, priority, organisation, targetMs: route.targetMs,
});

/**
Updates the statistics of an endpoint, if it is known.

@param state - The edge state.
@param incarnation - The endpoint; undefined changes nothing.
@param update - Returns the updated endpoint.
@returns The new state.
*/
export const updateKnownEndpoint = (state: EdgeState, incarnation: Incarnation | undefined, update: (endpoint: Endpoint) => Endpoint): EdgeState =>
	incarnation === undefined ? state : {...state, registry: updateEndpoint(state.registry, incarnation, update)};

/** Returns the endpoint of the attempt in progress. */
const getActiveEndpoint = (request: InFlightRequest): Incarnation | undefined =>
	request.phase === 'sent' || request.phase === 'streaming' || request.phase === 'leaving' ? request.sentTo : undefined;

/**
Removes the attempt in progress from the load of its endpoint.

@param state - The edge state.
@param request - The request in flight.
@returns The new state.
*/
export const closeAttempt = (state: EdgeState, request: InFlightRequest): EdgeState => updateKnownEndpoint(state, getActiveEndpoint(request), endpoint => ({
	...endpoint,
	open: Math.max(0, endpoint.open - 1),
	pending: Math.max(0, endpoint.pending - request.pending),
	// A stream has taken up no room there since its response began.
	pushback: request.phase === 'streaming' ? endpoint.pushback : recordPushbackClose(endpoint.pushback, request.sentAt),
}));

/**
Tells whether a request may have run at any endpoint.

@param request - The request in flight.
@returns False only if every endpoint that received it reported that it did not run it.
*/
export const canHaveRun = (request: InFlightRequest): boolean => request.hasPossiblyRun || getActiveEndpoint(request) !== undefined;

/** Returns the charge in tokens: prompt and delivered output, by the service as it was when the request was sent; 0 if the request cannot have run. */
const computeChargeTokens = (request: InFlightRequest, events: number): number =>
	canHaveRun(request) ? (request.head.modelRequest?.promptTokens ?? 0) + (events * (request.tokensPerEvent ?? 1)) : 0;

/**
Identifies a request to which a whole response can be sent.

@param request - The request, of which its client has received nothing.
@returns Its number.
*/
export const identifyUnanswered = (request: Pick<UnansweredRequest, 'id' | 'phase' | 'events'>): UnansweredCall => request.id as UnansweredCall;

/** How a request ended, for metrics and the log. */
export type RequestOutcome = Readonly<{outcome: string; status: number; events: number; fields?: Readonly<Record<string, string | number | undefined>>}>;

/** Records how long a request took. Of streams, those count that ended normally at the endpoint that began them. */
const recordServiceTime = (times: ServiceTimes, request: InFlightRequest, {outcome, events}: RequestOutcome, now: number): ServiceTimes => {
	const {route, service, firstEventAt, head: {modelRequest}} = request;
	if (request.attempt === 0 || outcome === 'caller-left') {
		return times;
	}

	if (route.kind !== 'stream') {
		return recordResponseTime(times, route.name, request.phase === 'streaming' ? Number.POSITIVE_INFINITY : now - request.arrivedAt, now);
	}

	return outcome !== 'answered' || request.events > 0 || firstEventAt === undefined || modelRequest === undefined
		? times
		: recordStreamTime(times, service, {
			promptTokens: modelRequest.promptTokens, firstEventMs: firstEventAt - request.sentAt, remainingEventsMs: now - firstEventAt, events,
		}, now);
};

/**
Ends a request: removes it from the load of its endpoint, and charges its tokens.

@param state - The edge state.
@param request - The request in flight.
@param requestOutcome - How the request ended.
@param now - The current time in ms.
@returns The new state, and effects that count and log the end.
*/
export const endRequest = (state: EdgeState, request: InFlightRequest, requestOutcome: RequestOutcome, now: number): EdgeStep => {
	const released = closeAttempt(state, request);
	const charged = computeChargeTokens(request, requestOutcome.events);
	const isFailure = requestOutcome.status === 0 || requestOutcome.status >= 400;
	const effects: readonly EdgeEffect[] = [
		{
			kind: 'count', metric: 'calls', labels: {route: request.route.name, outcome: requestOutcome.outcome}, call: request.id,
		},
		{
			kind: 'observe', metric: 'call', labels: {route: request.route.name}, milliseconds: now - request.arrivedAt,
		},
		{
			kind: 'log',
			level: isFailure ? 'failure' : 'routine',
			event: 'call-ended',
			fields: {
				call: request.head.key,
				route: request.route.name,
				organisation: request.organisation,
				outcome: requestOutcome.outcome,
				status: requestOutcome.status,
				elapsed: Math.round(now - request.arrivedAt),
				unread: Math.round(request.unreadMs),
				first: request.firstEventAt === undefined ? undefined : Math.round(request.firstEventAt - request.arrivedAt),
				closeQueued: request.closeQueuedMs === undefined ? undefined : Math.round(request.closeQueuedMs),
				predicted: Math.round(request.predicted),
				sends: request.attempt,
				endpoint: request.triedEndpoints.at(-1),
				events: requestOutcome.events,
				charged,
				configuration: state.config?.version,
				...requestOutcome.fields,
			},
		},
	];
	return {
		state: {
			...released,
			requests: released.requests.delete(request.id),
			serviceTimes: recordServiceTime(released.serviceTimes, request, requestOutcome, now),
			quota: request.budget === undefined || request.reserved === 0 ? released.quota : chargeTokens(released.quota, request.budget, request.reserved, charged),
		},
		effects,
	};
};

/**
Ends a request by closing the client's connection in the middle of the response.

@param state - The edge state.
@param request - The request in flight.
@param requestOutcome - How the request ended.
@param now - The current time in ms.
@returns The new state and the effects.
*/
export const abortResponse = (state: EdgeState, request: InFlightRequest, requestOutcome: RequestOutcome, now: number): EdgeStep => {
	const ended = endRequest(state, request, requestOutcome, now);
	return {state: ended.state, effects: [{kind: 'abort', call: request.id}, {kind: 'cut', call: request.id}, ...ended.effects]};
};

/**
Fails a request: with an error response, or by closing the connection if the client already has events of its stream.

@param state - The edge state.
@param request - The request in flight.
@param fault - The error for the client.
@param now - The current time in ms.
@returns The new state and the effects.
*/
export const rejectRequest = (state: EdgeState, request: InFlightRequest, fault: Fault, now: number): EdgeStep => {
	if (!isUnanswered(request)) {
		return abortResponse(state, request, {
			outcome: 'cut', status: 0, events: request.events, fields: {reason: fault.detail},
		}, now);
	}

	const ended = endRequest(state, request, {
		outcome: fault.kind, status: errorResponses[fault.kind].status, events: 0, fields: {reason: fault.detail, retryAfter: fault.retryAfter},
	}, now);
	return {
		state: state.prioritizesUrgent && fault.retryAfter !== undefined
			? {...ended.state, demand: recordRejected(ended.state.demand, request.fingerprint, request.firstArrivedAt, now)}
			: ended.state,
		effects: [{kind: 'abort', call: request.id}, {kind: 'refuse', call: identifyUnanswered(request), fault}, ...ended.effects],
	};
};
