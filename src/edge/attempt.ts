import {recordPushbackClose, recordPushbackSuccess} from '../pushback/index.js';
import {
	canJudgeEndpoint, isExact, judgeStatement, recordObservation, selectTime, unknownPerformance,
} from '../endpoint-performance/index.js';
import type {ResponseTime} from '../endpoint-performance/index.js';
import {spendRetry} from '../retry-budget/index.js';
import {createFault} from '../errors/index.js';
import type {Fault} from '../errors/index.js';
import {isUnanswered} from '../in-flight/index.js';
import type {ResponseHead, InFlightRequest, UnansweredRequest} from '../in-flight/index.js';
import {chain, keepState} from '../loop/step.js';
import {suggestRetryAfter} from '../queue/index.js';
import {recordOrigin} from '../stream-origin/index.js';
import {decaySlowness} from '../registry/index.js';
import type {Endpoint} from '../registry/index.js';
import {
	abortResponse, canHaveRun, closeAttempt, computeRetryAfter, endRequest, identifyUnanswered, isRetryable, updateKnownEndpoint, putRequest, rejectRequest, applyToRequest,
} from './common.js';
import type {EdgeEffect, EdgeEvent, FailureStage} from './messages.js';
import {placeRequest, placeNext} from './place.js';
import {
	recordEndpointResponse, recordRequestAbandonment, recordRequestAnswer, recordRequestError, recordRequestOutput,
} from './poison.js';
import type {EdgeState, EdgeStep} from './state.js';

/** Weight of the latest attempt in the moving average of failures. */
const failureWeight = 0.1;

/** Failures since the last success after which an endpoint is ejected, that is, gets no new requests for a while. */
const ejectionThreshold = 3;

/** Duration of the first ejection; doubles with each further failure. */
const firstEjectionMs = 500;
const maxEjectionMs = 4000;

/** Attempts of one request that may fail to open a connection before the request fails. */
const maxUnsentAttempts = 4;

/** Weight of the latest first output in the moving average of an endpoint's slowness. */
const slownessWeight = 0.2;
const slownessBounds = {min: 0.5, max: 20} as const;

/** How an attempt ended, for the statistics of its endpoint. */
type AttemptResult = 'good' | 'refused' | 'failed' | 'unreachable';

const computeEjectionEnd = (failures: number, now: number): number =>
	now + Math.min(maxEjectionMs, firstEjectionMs * (2 ** Math.max(0, failures - ejectionThreshold)));

const recordFailure = (endpoint: Endpoint, isUnreachable: boolean, now: number): Endpoint => {
	const failures = endpoint.failures + 1;
	return {
		...endpoint,
		failures,
		failureFraction: endpoint.failureFraction + ((1 - endpoint.failureFraction) * failureWeight),
		ejectedUntil: isUnreachable || failures >= ejectionThreshold ? computeEjectionEnd(failures, now) : endpoint.ejectedUntil,
	};
};

const resultRecorders: Readonly<Record<AttemptResult, (endpoint: Endpoint, now: number) => Endpoint>> = {
	good: endpoint => ({...endpoint, failures: 0, failureFraction: endpoint.failureFraction * (1 - failureWeight)}),
	refused: endpoint => ({...endpoint, failureFraction: endpoint.failureFraction + ((1 - endpoint.failureFraction) * failureWeight / 2)}),
	failed: (endpoint, now) => recordFailure(endpoint, false, now),
	unreachable: (endpoint, now) => recordFailure(endpoint, true, now),
};

const recordResult = (state: EdgeState, request: InFlightRequest, attemptResult: AttemptResult, now: number): EdgeState =>
	updateKnownEndpoint(state, request.sentTo, endpoint => resultRecorders[attemptResult](endpoint, now));

/** Counts the attempts that may have reached an endpoint; those without a connection do not count towards the route's limit. */
const countReachedAttempts = (request: InFlightRequest, unsent: number): number => request.attempt - unsent;

type Retry = Readonly<{
	/** True if the request may have reached the endpoint. */
	hasReachedEndpoint: boolean;
	fault: Fault;
	random: number;
	now: number;
}>;

/** Retries a request if its route, its deadline and the retry budget allow it; otherwise fails it. */
const retryRequest = (state: EdgeState, request: InFlightRequest, retry: Retry): EdgeStep => {
	const {now, random} = retry;
	const unsent = retry.hasReachedEndpoint ? request.unsent : request.unsent + 1;
	const requeued: InFlightRequest = {
		...request, phase: 'queued', phaseAt: now, pending: 0, unsent,
	};
	const canRetry = (!request.hasPossiblyRun || isRetryable(request.route)) && now < request.expiresAt
		&& countReachedAttempts(request, unsent) < request.route.maxAttempts && unsent <= maxUnsentAttempts;
	const retryBudget = canRetry && retry.hasReachedEndpoint
		? spendRetry(state.retryBudget, request.service, state.retryBudgetBounds, state.liveRouters.length)
		: state.retryBudget;
	return !canRetry || retryBudget === undefined
		? rejectRequest(state, requeued, retry.fault, now)
		: placeRequest({...putRequest(state, requeued), retryBudget}, requeued, random, now);
};

type ResponseEvent = EdgeEvent & {kind: 'endpoint-answered'};

const describeRefusal = (head: ResponseHead, request: InFlightRequest): string => head.isOtherIncarnation
	? `another incarnation now serves the address of endpoint ${request.triedEndpoints.at(-1) ?? ''}`
	: `endpoint ${request.triedEndpoints.at(-1) ?? ''} did not run the request: status ${head.status}`;

/** Computes the time for which no endpoint of a service wants a request, in ms; 0 if one does. */
const computeRestMs = ({registry}: EdgeState, service: string, now: number): number => {
	const endpoints = registry.endpoints.valueSeq().filter(endpoint => endpoint.service === service);
	return Math.max(0, (endpoints.map(({pushback}) => pushback?.until ?? 0).min() ?? 0) - now);
};

/** Handles a response which says that the endpoint did not run the request. */
const receiveRefusal = (state: EdgeState, request: InFlightRequest, event: ResponseEvent, now: number): EdgeStep => {
	const closed = recordResult(closeAttempt(state, request), request, event.head.isOtherIncarnation ? 'unreachable' : 'refused', now);
	const detail = describeRefusal(event.head, request);
	const fault = request.hasPossiblyRun
		? createFault('endpoint-failed', detail)
		: createFault('overloaded', detail, computeRetryAfter(request, computeRestMs(closed, request.service, now), event.random, now));
	return retryRequest(closed, {...request, phase: 'queued'}, {
		hasReachedEndpoint: true, fault, random: event.random, now,
	});
};

const deliverResponse = (state: EdgeState, request: UnansweredRequest, event: ResponseEvent, now: number): EdgeStep => {
	const {head} = event;
	const observed = head.status < 300 && request.workload?.newTokens === undefined ? recordPlainResponse(state, request, getResponseTime(event, request, now), now) : state;
	const result = recordResult(observed, request, head.status >= 500 ? 'failed' : 'good', now);
	const recorded = (head.status < 300 ? recordRequestOutput : recordRequestError)(result, request, now);
	const ended = endRequest(recordRequestAnswer(recorded, request, now), request, {outcome: head.status < 400 ? 'answered' : 'endpoint-error', status: head.status, events: 0}, now);
	return {state: ended.state, effects: [{kind: 'deliver', call: identifyUnanswered(request)}, ...ended.effects]};
};

/** Handles a response that its client does not get: it is retried, or fails. */
const discardResponse = (state: EdgeState, request: InFlightRequest, {head, random}: ResponseEvent, now: number): EdgeStep => {
	const closed = recordResult(closeAttempt(recordRequestError(state, request, now), request), request, 'failed', now);
	const fault = createFault('endpoint-failed', `endpoint ${request.triedEndpoints.at(-1) ?? ''} responded with status ${head.status}`);
	return retryRequest(closed, {...request, phase: 'queued', hasPossiblyRun: true}, {
		hasReachedEndpoint: true, fault, random, now,
	});
};

const receiveResponse = (state: EdgeState, request: InFlightRequest, event: ResponseEvent, now: number): EdgeStep => {
	const {status} = event.head;
	const shouldRetry = status >= 500 && isRetryable(request.route) && request.triedEndpoints.length < request.route.maxAttempts;
	// A whole response cannot follow the events that a client has received.
	return shouldRetry || !isUnanswered(request) ? discardResponse(state, request, event, now) : deliverResponse(state, request, event, now);
};

const beginStream = (state: EdgeState, request: InFlightRequest, now: number): EdgeStep => ({
	state: updateKnownEndpoint(
		putRequest(state, {...request, phase: 'streaming', phaseAt: now}),
		request.sentTo,
		endpoint => ({...endpoint, pushback: recordPushbackClose(endpoint.pushback, request.sentAt)}),
	),
	effects: [{kind: 'relay', call: request.id}],
});

/** Records that an endpoint responds, and takes requests again if it did not turn this one away. */
const recordResponse = (state: EdgeState, request: InFlightRequest, {hasNotRun, status}: ResponseHead): EdgeState => {
	const recorded = recordEndpointResponse(state, request);
	return hasNotRun || status >= 500
		? recorded
		: updateKnownEndpoint(recorded, request.sentTo, endpoint => ({...endpoint, pushback: recordPushbackSuccess(endpoint.pushback, request.sentAt)}));
};

/**
Handles a complete response of an endpoint, or the head of a stream.

@param state - The edge state.
@param event - The response.
@param now - The current time in ms.
@returns The new state and the effects.
*/
export const receiveEndpointResponse = (state: EdgeState, event: ResponseEvent, now: number): EdgeStep => applyToRequest(state, event.call, request => {
	if (request.attempt !== event.attempt || request.phase !== 'sent') {
		return keepState(state);
	}

	const recorded = recordResponse(state, request, event.head);
	const step = event.head.hasNotRun
		? receiveRefusal(recorded, request, event, now)
		: (event.head.isStream && event.head.status === 200
			? beginStream(recorded, request, now)
			: receiveResponse(recorded, request, event, now));
	return chain(step, current => placeNext(current, request.service, event.random, now));
});

type FailureEvent = EdgeEvent & {kind: 'endpoint-failed'};

const stageResults: Readonly<Record<FailureStage, AttemptResult>> = {unsent: 'unreachable', sent: 'failed', streaming: 'failed'};

/**
Handles an attempt that failed before its response was complete.

@param state - The edge state.
@param event - The attempt, how far it got, and why it failed.
@param now - The current time in ms.
@returns The new state and the effects.
*/
export const receiveEndpointFailure = (state: EdgeState, event: FailureEvent, now: number): EdgeStep => applyToRequest(state, event.call, request => {
	if (request.attempt !== event.attempt) {
		return keepState(state);
	}

	const hasReachedEndpoint = event.stage !== 'unsent';
	const closed = recordResult(closeAttempt(state, request), request, stageResults[event.stage], now);
	const events = request.events + event.events;
	const failed: InFlightRequest = {
		...request,
		phase: 'queued',
		hasPossiblyRun: request.hasPossiblyRun || hasReachedEndpoint,
		events,
		streamVersion: request.streamVersion ?? (events > 0 ? request.sentVersion : undefined),
		lastEventId: event.lastEventId ?? request.lastEventId,
	};
	const fault = failed.hasPossiblyRun
		? createFault('endpoint-failed', event.reason)
		: createFault('not-ready', event.reason, suggestRetryAfter(request.expiresAt - now, event.random));
	const step = retryRequest(closed, failed, {
		hasReachedEndpoint, fault, random: event.random, now,
	});
	const logged: EdgeStep = {
		state: step.state,
		effects: [
			{kind: 'count', metric: 'attemptsFailed', labels: {service: request.service, stage: event.stage}},
			{
				kind: 'log', level: 'failure', event: 'attempt-failed', fields: {
					call: request.head.key, attempt: request.attempt, endpoint: request.triedEndpoints.at(-1), stage: event.stage, reason: event.reason,
					after: Math.round(now - request.sentAt), events: event.events,
				},
			},
			...step.effects,
		],
	};
	return chain(logged, current => placeNext(current, request.service, event.random, now));
});

/** Returns the time that an attempt took; the whole time until now if it was not measured more exactly. */
const getResponseTime = ({time}: Readonly<{time?: ResponseTime}>, {sentAt}: InFlightRequest, now: number): ResponseTime => time ?? {minMs: now - sentAt, maxMs: now - sentAt};

/** Records how fast an endpoint was, compared with what the rates of its service predict. */
const recordSlowness = (endpoint: Endpoint, request: InFlightRequest, time: ResponseTime, now: number): Endpoint => {
	const before = decaySlowness(endpoint, now);
	const usualMs = Math.max(1, request.predicted / request.slowness);
	const ratio = selectTime(time, usualMs) / usualMs;
	const bounded = Math.min(slownessBounds.max, Math.max(slownessBounds.min, ratio));
	return {
		...endpoint,
		lastResponseAt: now,
		load: judgeStatement(endpoint.load, request.statedFactor, bounded),
		slowness: before + ((bounded - before) * slownessWeight),
		slownessUpdatedAt: now,
	};
};

const recordFirstOutput = (endpoint: Endpoint, request: InFlightRequest, time: ResponseTime, now: number): Endpoint =>
	recordSlowness({...endpoint, pending: Math.max(0, endpoint.pending - request.pending)}, request, time, now);

/** Learns the rates of a service from the time to the first output of an attempt, or to the whole response of a plain request. */
const recordPerformance = (state: EdgeState, {service, workload, slowness}: InFlightRequest, time: ResponseTime): EdgeState => workload === undefined || !isExact(time)
	? state
	: {...state, performance: state.performance.set(service, recordObservation(state.performance.get(service) ?? unknownPerformance, workload, time.maxMs / slowness))};

/** Learns from the whole response of a plain request. */
const recordPlainResponse = (state: EdgeState, request: InFlightRequest, time: ResponseTime, now: number): EdgeState => {
	const learned = recordPerformance(state, request, time);
	return request.workload !== undefined && canJudgeEndpoint(state.performance.get(request.service), request.workload)
		? updateKnownEndpoint(learned, request.sentTo, endpoint => recordSlowness(endpoint, request, time, now))
		: learned;
};

/** Records where a stream begins if its client may resume it. */
const recordStream = (state: EdgeState, request: InFlightRequest, now: number): EdgeState =>
	request.head.resumeAfter !== undefined || request.events > 0 || request.sentVersion === undefined || !isRetryable(request.route)
		? state
		: {...state, origins: recordOrigin(state.origins, request.head.key, {service: request.service, softwareVersion: request.sentVersion}, now)};

/**
Handles the first event of a stream.

@param state - The edge state.
@param event - The request and attempt of the stream.
@param now - The current time in ms.
@returns The new state, with the endpoint's slowness updated, and the effects.
*/
export const receiveFirstOutput = (state: EdgeState, event: EdgeEvent & {kind: 'stream-began'}, now: number): EdgeStep => applyToRequest(state, event.call, request => request.attempt === event.attempt
	? {
		state: updateKnownEndpoint(
			putRequest(
				recordPerformance(recordStream(recordRequestOutput(state, request, now), request, now), request, getResponseTime(event, request, now)),
				{...request, pending: 0, firstEventAt: request.firstEventAt ?? now},
			),
			request.sentTo,
			endpoint => recordFirstOutput(endpoint, request, getResponseTime(event, request, now), now),
		),
		effects: [{
			kind: 'observe', metric: 'firstOutput', labels: {route: request.route.name}, milliseconds: now - request.arrivedAt,
		}],
	}
	: keepState(state));

/**
Handles a stream that ended normally.

@param state - The edge state.
@param event - The request and attempt of the stream, its number of events, and how its end was marked.
@param now - The current time in ms.
@returns The new state and the effects.
*/
export const receiveStreamEnd = (state: EdgeState, event: EdgeEvent & {kind: 'stream-ended'}, now: number): EdgeStep => applyToRequest(state, event.call, request => {
	if (request.attempt !== event.attempt) {
		return keepState(state);
	}

	const {framing} = event;
	const ended = endRequest(recordRequestAnswer(recordResult(state, request, 'good', now), request, now), request, {
		outcome: 'answered', status: 200, events: request.events + event.events, fields: {framing},
	}, now);
	return {state: ended.state, effects: [{kind: 'count', metric: 'streamsEnded', labels: {service: request.service, framing}}, ...ended.effects]};
});

/** Ends the request of a client that disconnected. One event more than the count is charged: it may have been in transit. */
const endDisconnectedRequest = (state: EdgeState, request: InFlightRequest, events: number, now: number): EdgeStep =>
	endRequest(state, request, {outcome: 'caller-left', status: 0, events: request.events + events + 1}, now);

/**
Stops the work for a client that disconnected.

Load pattern: many clients disconnect before the first output. Prompt tokens are charged only if the
request has run: it is cancelled at the endpoint, and how the endpoint closes the connection
tells whether it had run.

@param state - The edge state.
@param event - The request, and the events that its client received.
@param now - The current time in ms.
@returns The new state and the effects.
*/
export const receiveClientDisconnect = (state: EdgeState, event: EdgeEvent & {kind: 'caller-left'}, now: number): EdgeStep => applyToRequest(state, event.call, request => {
	if (request.phase === 'leaving') {
		return keepState(state);
	}

	const recorded = recordRequestAbandonment(state, request, now);
	const closeQueuedMs = now - (event.readAt ?? now);
	const left: InFlightRequest = {...request, closeQueuedMs};
	const observed: EdgeEffect = {
		kind: 'observe', metric: 'closeQueued', labels: {}, milliseconds: closeQueuedMs,
	};
	if (request.phase === 'sent' && request.reserved > 0 && !request.hasPossiblyRun) {
		return {state: putRequest(recorded, {...left, phase: 'leaving', phaseAt: now}), effects: [{kind: 'withdraw', call: request.id}, observed]};
	}

	const ended = endDisconnectedRequest(recorded, left, event.events, now);
	return {state: ended.state, effects: [{kind: 'abort', call: request.id}, observed, ...ended.effects]};
});

/**
Handles the end of a request that was cancelled after its client disconnected.

@param state - The edge state.
@param event - The request, and whether it has not run.
@param now - The current time in ms.
@returns The new state and the effects.
*/
export const receiveCancellation = (state: EdgeState, event: EdgeEvent & {kind: 'call-withdrawn'}, now: number): EdgeStep => applyToRequest(state, event.call, request => {
	if (request.phase !== 'leaving') {
		return keepState(state);
	}

	return event.hasNotRun
		? endDisconnectedRequest(closeAttempt(state, request), {...request, phase: 'queued'}, -1, now)
		: endDisconnectedRequest(state, request, 0, now);
});

/**
Ends a request whose deadline has passed.

@param state - The edge state.
@param request - The request in flight.
@param random - A random number in [0, 1).
@param now - The current time in ms.
@returns The new state and the effects.
*/
export const expireRequest = (state: EdgeState, request: InFlightRequest, random: number, now: number): EdgeStep => {
	if (request.phase === 'streaming') {
		// The number of events that the client received is not known here, so the maximum cost is charged.
		return abortResponse(state, request, {outcome: 'deadline', status: 0, events: request.head.modelRequest?.maxOutputTokens ?? request.events}, now);
	}

	const fault = canHaveRun(request)
		? createFault('deadline', `no response within ${Math.round(now - request.arrivedAt)} ms`)
		: createFault('overloaded', 'no endpoint was available before the deadline', suggestRetryAfter(request.expiresAt - now, random));
	return rejectRequest(recordRequestAbandonment(state, request, now), request, fault, now);
};
