/**
How a router leaves an endpoint alone that asked for a rest, and how it comes back.

Load pattern: an endpoint turns a burst away, and the requests that wait for its return are
sent at one moment, by all routers. It would turn them away again. So requests return as the
segments of a congested connection do: one at first, and more with each response.
*/
export type Pushback = Readonly<{
	/** When the rest ends for this router, in ms. */
	until: number;
	/** This router's requests sent since then whose responses have not begun. */
	open: number;
	/** Limit of these. */
	window: number;
	/** The window grows by one with each response up to this size, and by half with each window of responses above it. */
	threshold: number;
}>;

/** Time after a rest from which requests are not limited any more, in ms: the endpoint's state is another one by then. */
const returnMs = 10_000;

/** Growth of the window with each whole window of responses, above the threshold. */
const aboveThreshold = 0.5;

/** Fraction of a rest over which routers spread their return, and its limit in ms. */
const spreadFraction = 1 / 4;
const maxSpreadMs = 1500;

/**
Computes how long after the end of a rest a router returns, so that routers that were asked together do not return together.

@param durationMs - Duration of the rest, in ms.
@param endpointHash - Hash of the endpoint's id, which determines the router that returns first.
@param router - Id of this router.
@param routers - Ids of all live routers.
@returns The delay in ms; 0 for one router.
*/
export const computeReturnDelay = (durationMs: number, endpointHash: number, router: string, routers: readonly string[]): number => {
	const count = Math.max(1, routers.length);
	const position = (Math.max(0, routers.indexOf(router)) + endpointHash) % count;
	return Math.min(maxSpreadMs, durationMs * spreadFraction) * position / count;
};

/**
Applies an endpoint's request for a rest. A shorter one does not end an earlier one.

@param pushback - The earlier one, if any.
@param until - When the rest ends, in ms.
@param running - This router's requests that the endpoint still runs: it could take about that many.
@returns The pushback, with requests returning one by one.
*/
export const extendPushback = (pushback: Pushback | undefined, until: number, running: number): Pushback => ({
	until: Math.max(pushback?.until ?? until, until), open: 0, window: 1, threshold: Math.max(1, Math.floor(running / 2)),
});

/**
Tells whether an endpoint wants no request now.

@param pushback - What it asked for, if anything.
@param now - The current time in ms.
@returns True until the end of the rest.
*/
export const isAtRest = (pushback: Pushback | undefined, now: number): boolean => pushback !== undefined && now < pushback.until;

/**
Tells whether a further request may be sent as far as the return after a rest is concerned.

@param pushback - What the endpoint asked for, if anything.
@param now - The current time in ms.
@returns False while as many are open there as the window allows.
*/
export const hasRoom = (pushback: Pushback | undefined, now: number): boolean =>
	pushback === undefined || now >= pushback.until + returnMs || pushback.open + 1 <= pushback.window;

/**
Records a request that is sent.

@param pushback - What the endpoint asked for, if anything.
@returns The new pushback.
*/
export const recordPushbackSend = (pushback: Pushback | undefined): Pushback | undefined => pushback && {...pushback, open: pushback.open + 1};

/**
Records the end of a request, or the beginning of its response. One that was sent before the rest does not count.

@param pushback - What the endpoint asked for, if anything.
@param sentAt - When the request was sent, in ms.
@returns The new pushback.
*/
export const recordPushbackClose = (pushback: Pushback | undefined, sentAt: number): Pushback | undefined =>
	pushback && sentAt >= pushback.until ? {...pushback, open: Math.max(0, pushback.open - 1)} : pushback;

/**
Records that the endpoint has responded otherwise than by turning a request away. One that was sent before the rest does not count.

@param pushback - What the endpoint asked for, if anything.
@param sentAt - When the request was sent, in ms.
@returns The new pushback.
*/
export const recordPushbackSuccess = (pushback: Pushback | undefined, sentAt: number): Pushback | undefined =>
	pushback && sentAt >= pushback.until ? {...pushback, window: pushback.window + (pushback.window < pushback.threshold ? 1 : aboveThreshold / pushback.window)} : pushback;
