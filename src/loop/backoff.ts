/** How waits grow with failures. Milliseconds. */
export type Backoff = Readonly<{first: number; longest: number}>;

/** Failures beyond which a wait grows no more, whatever its bounds. */
const maxDoublings = 10;

/**
Computes the wait after a failure: doubled with each one, and spread.

@param backoff - The bounds.
@param failures - Failures before this one.
@param random - In [0, 1).
@returns Milliseconds, from half of the bounded wait to all of it.
*/
export const computeBackoff = ({first, longest}: Backoff, failures: number, random: number): number =>
	Math.min(longest, first * (2 ** Math.min(failures, maxDoublings))) * (0.5 + (random / 2));
