import type {Map} from 'immutable';

/** How long the requests of each route take from their arrival to the end of their responses, in ms: moving averages of the time, and of its deviation from that. */
export type ServiceTimes = Map<string, Readonly<{meanMs: number; deviationMs: number}>>;

/** Weights of the latest request, and the number of deviations in a bound, as in the estimate of retransmission timeouts (RFC 6298). */
const meanWeight = 1 / 8;
const deviationWeight = 1 / 4;
const deviations = 4;

/**
Records how long a request took.

@param times - The times.
@param route - Name of its route.
@param elapsedMs - The time in ms.
@returns The times.
*/
export const recordServiceTime = (times: ServiceTimes, route: string, elapsedMs: number): ServiceTimes => {
	const known = times.get(route);
	return times.set(route, known === undefined
		? {meanMs: elapsedMs, deviationMs: elapsedMs / 2}
		: {
			meanMs: known.meanMs + ((elapsedMs - known.meanMs) * meanWeight),
			deviationMs: known.deviationMs + ((Math.abs(elapsedMs - known.meanMs) - known.deviationMs) * deviationWeight),
		});
};

/**
Bounds how long a request will take.

@param times - The times.
@param route - Name of its route.
@returns A time in ms that few requests exceed; infinite if no request of the route has ended yet.
*/
export const boundServiceTime = (times: ServiceTimes, route: string): number => {
	const known = times.get(route);
	return known === undefined ? Number.POSITIVE_INFINITY : known.meanMs + (known.deviationMs * deviations);
};

/**
Forgets the routes that are not configured any more.

@param times - The times.
@param routes - Names of the configured routes.
@returns The times of these.
*/
export const retainServiceTimes = (times: ServiceTimes, routes: ReadonlySet<string>): ServiceTimes => times.filter((_, route) => routes.has(route));
