/** Longest time without bytes of a reply that has begun, in ms. */
const stallTimeoutMs = 1000;

/** Rate that a reply must keep up on average, in bytes per ms, and the time that it may be behind it. A slower one would hold up a feed for longer than another path takes. */
const minBytesPerMs = 32;
const marginMs = 1000;

/**
Computes how long to wait for further bytes of a reply that has begun. A limit of the whole transfer cannot tell
a path that is dead from one that is slow for the size of the reply.

@param receivedBytes - Size of what has been received.
@param elapsedMs - Time since the head of the reply, in ms.
@returns The time, in ms; 0 if the reply is too slow.
*/
export const computeTransferWait = (receivedBytes: number, elapsedMs: number): number =>
	Math.max(0, Math.min(stallTimeoutMs, marginMs + (receivedBytes / minBytesPerMs) - elapsedMs));
