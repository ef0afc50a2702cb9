/** The first and the longest delay of an exponential back-off, in ms. */
export type Backoff = Readonly<{first: number; longest: number}>;

/** Number of failures after which the delay no longer doubles, whatever its upper bound. */
const maxDoublings = 10;

/**
Computes the delay after a failure: exponential back-off with jitter.

@param backoff - The first and the longest delay, in ms.
@param failures - The number of failures before this one.
@param random - A uniform random number in [0, 1).
@returns The delay in ms, from half of the bounded exponential delay up to all of it.
*/
export const computeBackoff = ({first, longest}: Backoff, failures: number, random: number): number =>
	Math.min(longest, first * (2 ** Math.min(failures, maxDoublings))) * (0.5 + (random / 2));
