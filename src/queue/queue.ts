import type {Flight} from '../flight/index.js';

/**
Orders calls that wait: the more urgent first, then the one whose target passes
first, then the one that came first.

Load pattern: a burst fills every endpoint; what is urgent must not wait behind
what is not.

@param flights - Calls that wait.
@returns The same calls, the next one first.
*/
export const orderWaiting = (flights: readonly Flight[]): readonly Flight[] => flights.toSorted((a, b) =>
	(a.priority - b.priority)
	|| ((a.arrivedAt + a.route.target) - (b.arrivedAt + b.route.target))
	|| (a.id - b.id));

/** Seconds after which a caller that was turned away may come back, at the least and at the most. */
const returnBounds = {shortest: 0.2, longest: 1.5} as const;

/**
Suggests when a caller that was turned away comes back: spread, so that those who
were turned away together do not return together.

@param remaining - Milliseconds that the caller has left.
@param random - In [0, 1).
@returns Seconds.
*/
export const suggestReturn = (remaining: number, random: number): number => {
	const longest = Math.min(returnBounds.longest, Math.max(returnBounds.shortest, remaining / 4000));
	return Math.round((returnBounds.shortest + ((longest - returnBounds.shortest) * random)) * 1000) / 1000;
};
