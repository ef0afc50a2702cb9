import {Map} from 'immutable';

/** The largest value of the last one to two windows in which values were recorded. */
type RecentMaximum = Readonly<{current: number; previous: number; windowStartedAt: number}>;

/** Slowest streams of a service: times from the send to the first event and from one event to the next in ms, and the longest prompt among them in tokens. */
type StreamTimes = Readonly<{firstEventMs: RecentMaximum; perEventMs: RecentMaximum; promptTokens: RecentMaximum}>;

/** Times of the slowest recent requests: of whole responses by route, from their arrival to their end in ms, and of streams by service. */
export type ServiceTimes = Readonly<{responses: Map<string, RecentMaximum>; streams: Map<string, StreamTimes>}>;

/** The stated size of a stream: its prompt in tokens, and the most events that it can have. */
export type StreamSize = Readonly<{promptTokens: number; maxEvents: number}>;

/** A stream that has ended: times in ms. */
export type EndedStream = Readonly<{promptTokens: number; firstEventMs: number; remainingEventsMs: number; events: number}>;

const windowMs = 30_000;

/** Factor by which endpoints may be slower than the slowest recent request: those of a router that stops go to the others. */
const slowdownFactor = 2;

/** The times of a process that has served nothing. */
export const noServiceTimes: ServiceTimes = {responses: Map(), streams: Map()};

const recordMaximum = (known: RecentMaximum | undefined, value: number, now: number): RecentMaximum => {
	if (known === undefined) {
		return {current: value, previous: value, windowStartedAt: now};
	}

	return now - known.windowStartedAt < windowMs
		? {...known, current: Math.max(known.current, value)}
		: {current: value, previous: known.current, windowStartedAt: now};
};

const getMaximum = ({current, previous}: RecentMaximum): number => Math.max(current, previous);

/**
Records how long a whole response took.

@param times - The times.
@param route - Name of its route.
@param elapsedMs - Time from its arrival to its end in ms; infinite if it was streamed, so that nothing bounds it.
@param now - The current time in ms.
@returns The times.
*/
export const recordResponseTime = (times: ServiceTimes, route: string, elapsedMs: number, now: number): ServiceTimes =>
	({...times, responses: times.responses.set(route, recordMaximum(times.responses.get(route), elapsedMs, now))});

/**
Records how fast a stream was.

@param times - The times.
@param service - Name of its service.
@param stream - The stream.
@param now - The current time in ms.
@returns The times.
*/
export const recordStreamTime = (times: ServiceTimes, service: string, stream: EndedStream, now: number): ServiceTimes => {
	const known = times.streams.get(service);
	return {
		...times,
		streams: times.streams.set(service, {
			firstEventMs: recordMaximum(known?.firstEventMs, stream.firstEventMs, now),
			perEventMs: recordMaximum(known?.perEventMs, stream.remainingEventsMs / Math.max(1, stream.events - 1), now),
			promptTokens: recordMaximum(known?.promptTokens, stream.promptTokens, now),
		}),
	};
};

/**
Bounds the time of a request whose response comes as a whole.

@param times - The times.
@param route - Name of its route.
@returns A time in ms, twice that of the slowest recent request; infinite if none is known.
*/
export const boundResponseTime = ({responses}: ServiceTimes, route: string): number => {
	const slowest = responses.get(route);
	return slowest === undefined ? Number.POSITIVE_INFINITY : getMaximum(slowest) * slowdownFactor;
};

/**
Bounds the time of a stream by the size that its request states, whatever the usual size on its route.

@param times - The times.
@param service - Name of its service.
@param size - The stated size.
@returns A time from the send to the last event in ms, twice that of a stream of this size at the slowest recent speed; infinite if no stream of the service is known.
*/
export const boundStreamTime = ({streams}: ServiceTimes, service: string, {promptTokens, maxEvents}: StreamSize): number => {
	const slowest = streams.get(service);
	if (slowest === undefined) {
		return Number.POSITIVE_INFINITY;
	}

	// The time of a prompt grows with its length at the most.
	const promptFactor = Math.max(1, promptTokens / Math.max(1, getMaximum(slowest.promptTokens)));
	return ((getMaximum(slowest.firstEventMs) * promptFactor) + (getMaximum(slowest.perEventMs) * maxEvents)) * slowdownFactor;
};

/**
Forgets the routes and services that are not configured any more.

@param times - The times.
@param routes - Names of the configured routes.
@param services - The configured services, by name.
@returns The times of these.
*/
export const retainServiceTimes = ({responses, streams}: ServiceTimes, routes: ReadonlySet<string>, services: Readonly<{has: (name: string) => boolean}>): ServiceTimes => ({
	responses: responses.filter((_, route) => routes.has(route)), streams: streams.filter((_, service) => services.has(service)),
});
