import type {InFlightRequest} from '../in-flight/index.js';

/** Tells whether a request was rejected here and has come back. */
const isReturning = ({firstArrivedAt, arrivedAt}: InFlightRequest): boolean => firstArrivedAt < arrivedAt;

/**
Orders queued requests by priority; then those that come back after a rejection go first, in the order of their first arrival; then by target time, then by arrival.

Load pattern: a burst fills every endpoint; urgent requests must not wait behind
others.

@param requests - The queued requests.
@returns The same requests, the next one first.
*/
export const orderQueue = (requests: readonly InFlightRequest[]): readonly InFlightRequest[] => requests.toSorted((a, b) =>
	(a.priority - b.priority)
	|| (Number(isReturning(b)) - Number(isReturning(a)))
	|| (isReturning(a) ? a.firstArrivedAt - b.firstArrivedAt : 0)
	|| ((a.arrivedAt + a.route.targetMs) - (b.arrivedAt + b.route.targetMs))
	|| (a.id - b.id));

/**
Picks the queued requests that are reconsidered next.

Load pattern: the endpoints of one service are full or have reached their rate
limits. Its queued requests must not keep those of other services from theirs.

@param requests - The queued requests.
@param countPerService - Number of requests to pick of each service.
@returns The picked requests, the next one first.
*/
export const pickNext = (requests: readonly InFlightRequest[], countPerService: number): readonly InFlightRequest[] => {
	const ordered = orderQueue(requests);
	const services = [...new Set(ordered.map(({service}) => service))];
	return orderQueue(services.flatMap(service => ordered.filter(request => request.service === service).slice(0, countPerService)));
};

/** Decision on a request for which an endpoint was selected. */
export type Dispatch =
	| 'send'
	/** It will miss its target at every endpoint: it waits for a lightly loaded one, so as not to delay requests that can be on time. */
	| 'wait'
	/** It will not be served before its deadline. */
	| 'refuse';

/** Input of a dispatch decision. */
export type DispatchQuery = Readonly<{
	request: InFlightRequest;
	/** Predicted time to the first output at the best endpoint, in ms. */
	predicted: number;
	/** The same if that endpoint were idle. */
	predictedIdleMs: number;
	/** Late requests of the service that are queued at this router. */
	waiting: number;
	/** Number of endpoints of the service. */
	endpointCount: number;
	/** Predicted time up to which it may be sent, in ms, so that more urgent requests find room; undefined if only its own target counts. */
	dispatchBoundMs?: number | undefined;
	now: number;
}>;

/** A late request is sent to an endpoint only if its first output is predicted within this margin of an idle endpoint's time. */
const lightLoadMarginMs = 60;

/** Limit of late requests queued at this router, per endpoint: more could not be served before their clients time out. */
const maxLateQueuedPerEndpoint = 2;

/** Fraction of a request's time limit that is reserved for serving it; it may wait for the rest. */
const serviceTimeFraction = 0.4;

/**
Tells whether a request has waited so long that it could not be served before its deadline.

@param request - The request.
@param now - The current time in ms.
@returns True once less time is left than the fraction reserved for serving it.
*/
export const hasWaitedTooLong = (request: InFlightRequest, now: number): boolean =>
	request.expiresAt - now < (request.expiresAt - request.arrivedAt) * serviceTimeFraction;

const isOnTime = ({request, predicted, dispatchBoundMs = Number.POSITIVE_INFINITY, now}: DispatchQuery): boolean =>
	now + predicted <= request.arrivedAt + request.route.targetMs && predicted <= dispatchBoundMs;

/**
Decides whether a request is sent to the best endpoint now.

Load pattern: endpoints are lost, and the rest cannot process prompts as fast as
they arrive. In order of arrival, every request would be late. So requests that can be
on time go first, and a late one only where it delays none of them. Late requests that
would wait too long are rejected at once. Neither holds for a request whose work has begun.

@param query - The request, the predictions for it and the load.
@returns The decision.
*/
export const decideDispatch = (query: DispatchQuery): Dispatch => {
	const {request, predicted, predictedIdleMs, now} = query;
	// Part of the work of a request that was sent before, or of a resumed stream, is done.
	const hasBegun = request.attempt > 0 || request.streamVersion !== undefined;
	if (hasBegun || isOnTime(query) || predicted <= predictedIdleMs + lightLoadMarginMs) {
		return 'send';
	}

	const isNewArrival = request.phase !== 'queued';
	return (isNewArrival && !isReturning(request) && query.waiting >= maxLateQueuedPerEndpoint * query.endpointCount) || hasWaitedTooLong(request, now) ? 'refuse' : 'wait';
};

/** Input of a decision on a request while all its endpoints have turned requests away for some time, or their rate limits are used up. */
export type LimitedQuery = Readonly<{
	request: InFlightRequest;
	/** When one request may be sent, in ms; infinite if none may be. */
	nextSendAt: number;
	/** Requests that may be sent from then on, per second. */
	requestsPerSecond: number;
	/** Requests of the service that are queued at this router. */
	waiting: number;
}>;

/**
Predicts when a request can be sent that its endpoints do not take yet.

@param query - The request and the limits.
@returns The time in ms, infinite if it cannot be sent. A request that is queued already is counted as the next one.
*/
export const predictLimitedSendAt = ({request, nextSendAt, requestsPerSecond, waiting}: LimitedQuery): number =>
	nextSendAt + (request.phase === 'queued' || waiting === 0 ? 0 : waiting * 1000 / requestsPerSecond);

/**
Decides whether a request waits until its endpoints take requests again.

Load pattern: all endpoints of a service state limits or turn requests away, and clients
send more. What cannot be sent in time is rejected at once, so that the queue stays short.

@param query - The request and the limits.
@returns The decision.
*/
export const decideLimitedDispatch = (query: LimitedQuery): Exclude<Dispatch, 'send'> =>
	hasWaitedTooLong(query.request, predictLimitedSendAt(query)) ? 'refuse' : 'wait';

/** Admission decision on a request that was read completely. */
export type AdmissionDecision =
	| 'take'
	/** Its client may have disconnected, which must be checked first. */
	| 'check'
	| 'refuse';

/** What an admission decision depends on. */
export type AdmissionQuery = Readonly<{
	/** Lag of the process behind its timers and events, in ms. */
	lagMs: number;
	/** Longest time for which the request may have waited before it was read, in ms. */
	unreadMs: number;
	/** Time from when the client sent the request until it must have its final response, in ms. */
	timeLimitMs: number;
	isFirstOnConnection: boolean;
	/** Lag from which new requests are shed, in ms; undefined for the usual one. */
	shedLagMs?: number | undefined;
}>;

/** Fraction of its time limit that must be left of a request when it is read: with less, it cannot be served. */
const minRemainingFraction = 0.1;

/** Delay from which a client may have disconnected before its request was read: clients wait at least one second. */
const checkDelayMs = 100;

/** Lag from which new requests are shed unless the machine's limits say otherwise: they would take CPU time from those already admitted. */
const usualShedLagMs = 400;

/**
Decides whether a request is admitted.

Load pattern: a retry storm overloads the CPU, and requests are read so late that
their clients have disconnected, or that they cannot be served before their deadline. The first request
of a connection is always checked: it may have waited for long before the connection was accepted.

@param query - The request and the lag of the process.
@returns The decision.
*/
export const decideAdmission = ({lagMs, unreadMs, timeLimitMs, isFirstOnConnection, shedLagMs = usualShedLagMs}: AdmissionQuery): AdmissionDecision => {
	if (lagMs >= shedLagMs || unreadMs > timeLimitMs * (1 - minRemainingFraction)) {
		return 'refuse';
	}

	return isFirstOnConnection || Math.max(lagMs, unreadMs) >= checkDelayMs ? 'check' : 'take';
};

/** Bounds of the time after which a rejected client may retry. */
const retryAfterBoundsSeconds = {min: 0.2, max: 1.5} as const;

/**
Suggests when a rejected client retries, with jitter, so that clients that were
rejected together do not retry together.

@param remainingMs - Time until the client's deadline, in ms.
@param random - A random number in [0, 1).
@returns Seconds.
*/
export const suggestRetryAfter = (remainingMs: number, random: number): number => {
	const max = Math.min(retryAfterBoundsSeconds.max, Math.max(retryAfterBoundsSeconds.min, remainingMs / 4000));
	return Math.round((retryAfterBoundsSeconds.min + ((max - retryAfterBoundsSeconds.min) * random)) * 1000) / 1000;
};

/** Fraction of the time until there is room over which the return of clients is spread, and its limit in ms. */
const spreadFraction = 1 / 2;
const maxSpreadMs = 1500;

/**
Determines when a client retries that was rejected because there is no room for a known time.

Load pattern: all endpoints of a service want no requests until the same moment. Clients that
all return at that moment would overload them again.

@param roomAfterMs - Time after which there is room, in ms.
@param random - A random number in [0, 1).
@returns Seconds, no fewer than until then.
*/
export const spreadRetryAfter = (roomAfterMs: number, random: number): number =>
	Math.ceil(roomAfterMs + (Math.min(maxSpreadMs, roomAfterMs * spreadFraction) * random)) / 1000;
