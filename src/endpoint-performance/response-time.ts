/**
Time from the send of a request to the output of its endpoint, in ms. The output may have waited in the kernel while the router was
busy, so that the endpoint took `minMs` at least and `maxMs` at the most.
*/
export type ResponseTime = Readonly<{minMs: number; maxMs: number}>;

/** Difference up to which a time is exact enough to learn from, in ms: less than the usual deviation of a request. */
const maxInexactMs = 25;

/**
Selects the time that an endpoint is taken to have needed.

Load pattern: a router has more work than processor time, and reads each response some hundred ms late. If it takes that for the time
of the endpoints, all of them look slow, and it holds requests back that they could serve at once.

@param time - The measured bounds.
@param usualMs - The time that is usual.
@returns The usual time if it lies within the bounds, or else the bound that is closer to it.
*/
export const selectTime = ({minMs, maxMs}: ResponseTime, usualMs: number): number => Math.min(maxMs, Math.max(minMs, usualMs));

/**
Tells whether a time can be learned from.

@param time - The measured bounds.
@returns False if they are far apart.
*/
export const isExact = ({minMs, maxMs}: ResponseTime): boolean => maxMs - minMs <= maxInexactMs;
