/**
Bounds of the time for which requests have waited in the kernel before they were read. Times in ms of a monotonic clock.

A request waits there while the event loop does not poll its sockets, and before that, if it
opens a connection, while the connection is in the accept queue, from which Node.js takes one per
iteration of the event loop. The queue was empty at an iteration that found no connection in it.
While it never is, connections that the process opens to its own address show its age: it is first in, first out.
*/
export type ReadDelay = Readonly<{
	/** Time for which the sockets that are read in this iteration may have been ready. */
	stallMs: number;
	/** The earliest time at which the next connection in the accept queue may have been opened; undefined if the queue was empty when it was last polled. */
	queuedSince: number | undefined;
	/** Number of iterations in which the accept queue was polled. */
	polls: number;
	/** True if a connection was accepted in this iteration. */
	hasAccepted: boolean;
	/** When the latest probe of the accept queue was sent. */
	probedAt: number;
}>;

/** What is known of an accepted connection. */
export type Acceptance = Readonly<{
	/** The earliest time at which it may have been opened. */
	openedAt: number;
	/** Value of `polls` when it was accepted. */
	polls: number;
}>;

/** Interval of probes while the accept queue is not empty, and the error of what they show. */
const probeIntervalMs = 100;

/** Age of the accept queue from which its connections are reset: most of their clients have given up by then, and the others can try another router. */
const maxQueueAgeMs = 1500;

/**
Creates the bounds of a process that has accepted no connection.

@returns The bounds.
*/
export const createReadDelay = (): ReadDelay => ({
	stallMs: 0, queuedSince: undefined, polls: 0, hasAccepted: false, probedAt: Number.NEGATIVE_INFINITY,
});

/**
Records how late a timer fired: the sockets were not polled meanwhile, and are polled next.

@param delay - The bounds.
@param lagMs - Time from when the timer was due.
@returns The bounds.
*/
export const recordLag = (delay: ReadDelay, lagMs: number): ReadDelay => ({...delay, stallMs: Math.max(0, lagMs)});

/**
Records that the sockets that were ready have been read.

@param delay - The bounds.
@returns The bounds.
*/
export const recordPoll = (delay: ReadDelay): ReadDelay => ({...delay, stallMs: 0});

/**
Records an accepted connection.

@param delay - The bounds.
@param now - The current time.
@returns The bounds, and what is known of the connection.
*/
export const recordAcceptance = (delay: ReadDelay, now: number): Readonly<{delay: ReadDelay; acceptance: Acceptance}> => {
	const openedAt = delay.queuedSince ?? now - delay.stallMs;
	return {delay: {...delay, queuedSince: openedAt, hasAccepted: true}, acceptance: {openedAt, polls: delay.polls}};
};

/**
Records that the accept queue has been polled once more.

@param delay - The bounds.
@returns The bounds; the queue was empty if no connection was accepted.
*/
export const recordQueuePoll = (delay: ReadDelay): ReadDelay => ({
	...delay, polls: delay.polls + 1, hasAccepted: false, queuedSince: delay.hasAccepted ? delay.queuedSince : undefined,
});

/**
Records that a probe has come through the accept queue.

@param delay - The bounds.
@param sentAt - When the probe was sent; what is accepted from now on was opened later.
@returns The bounds.
*/
export const recordProbe = (delay: ReadDelay, sentAt: number): ReadDelay => ({
	...delay, queuedSince: Math.max(sentAt, delay.queuedSince ?? sentAt),
});

/** What is to be done about the accept queue. */
export type QueueAction =
	| 'none'
	/** Open a connection to the process's own address. */
	| 'probe'
	/** Reset all connections in the queue. */
	| 'reset';

/**
Decides what is to be done about the accept queue.

Load pattern: many clients connect at once while iterations of the event loop are long. The last ones
would be accepted seconds later, when their requests can no longer be answered in time.

@param delay - The bounds.
@param now - The current time.
@returns The action.
*/
export const decideQueueAction = ({queuedSince, probedAt}: ReadDelay, now: number): QueueAction => {
	if (queuedSince === undefined || now - queuedSince < probeIntervalMs) {
		return 'none';
	}

	if (now - queuedSince >= maxQueueAgeMs) {
		return 'reset';
	}

	return now - probedAt >= probeIntervalMs ? 'probe' : 'none';
};

/**
Records that a probe was sent.

@param delay - The bounds.
@param now - The current time.
@returns The bounds.
*/
export const recordProbeSent = (delay: ReadDelay, now: number): ReadDelay => ({...delay, probedAt: now});

/**
Bounds how long a request that is read now has waited in the kernel.

@param delay - The bounds.
@param acceptance - What is known of its connection; undefined for a further request of a connection.
@param now - The current time.
@returns The longest time that it may have waited, in ms.
*/
export const boundWait = ({stallMs, polls}: ReadDelay, acceptance: Acceptance | undefined, now: number): number =>
	// A first request that was there when its connection was polled for the first time may have been sent with it; a later one was not.
	acceptance !== undefined && polls - acceptance.polls <= 1 ? Math.max(stallMs, now - acceptance.openedAt) : stallMs;
