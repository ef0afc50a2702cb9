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

/** What becomes of a call for which an endpoint was found. */
export type Dispatch =
	| 'send'
	/** It will be late wherever it goes: it waits for an endpoint with little to do, so that those who can be on time are. */
	| 'wait'
	/** It will not be served before its time is over. */
	| 'refuse';

/** What is known of a call's chances. */
export type DispatchQuery = Readonly<{
	flight: Flight;
	/** Milliseconds to the first output at the best endpoint, as it is now. */
	predicted: number;
	/** The same, if that endpoint had nothing to do. */
	unhindered: number;
	/** Late calls of the service that wait here. */
	waiting: number;
	/** Endpoints of the service. */
	endpoints: number;
	now: number;
}>;

/** Milliseconds beyond an idle endpoint's time that a late call may add its reading to. */
const littleToDo = 60;

/** Late calls that wait here for each endpoint: more could not be served before their callers give up. */
const waitingPerEndpoint = 2;

/** The part of its time that a call keeps for being served, once it has waited. */
const servingPart = 0.4;

/**
Tells whether a call has waited for so long that it would not be served any more.

@param flight - The call.
@param now - The time in ms.
@returns True once too little of its time is left.
*/
export const isOverdue = (flight: Flight, now: number): boolean =>
	flight.expiresAt - now < (flight.expiresAt - flight.arrivedAt) * servingPart;

const isTimely = ({flight, predicted, now}: DispatchQuery): boolean => now + predicted <= flight.arrivedAt + flight.route.target;

/**
Decides whether a call goes to the best endpoint now.

Load pattern: endpoints are lost, and the rest cannot read prompts as fast as
they come. Sent in the order of their arrival, all calls are late. So calls that can
be on time go first, and a late one only where it delays none of them. Late calls that
would wait too long are turned away at once.

@param query - What is known of its chances.
@returns What becomes of it.
*/
export const decideDispatch = (query: DispatchQuery): Dispatch => {
	const {flight, predicted, unhindered, now} = query;
	const isBegun = flight.attempt > 0;
	if (isBegun || isTimely(query) || predicted <= unhindered + littleToDo) {
		return 'send';
	}

	const isNew = flight.phase !== 'queued';
	return (isNew && query.waiting >= waitingPerEndpoint * query.endpoints) || isOverdue(flight, now) ? 'refuse' : 'wait';
};

/** What becomes of a request that was read whole while the process is behind. */
export type Intake =
	| 'take'
	/** Its caller may have left already: that is looked at first. */
	| 'check'
	| 'refuse';

/** Milliseconds behind from which a caller may have left before its request was read: callers wait a second for that at the least. */
const checkedLag = 100;

/** Milliseconds behind from which new requests are turned away: they would take the time of those that were taken. */
const refusedLag = 400;

/**
Decides whether a request is taken in.

Load pattern: callers repeat at once and often, and the processor cannot keep up;
requests are read so late that their callers have gone. The first request of a
connection may have waited long before the connection was accepted, which nothing shows.

@param lag - Milliseconds that the process is behind its timers.
@param isFirst - True for the first request of a connection.
@returns What becomes of it.
*/
export const decideIntake = (lag: number, isFirst: boolean): Intake => {
	if (lag >= refusedLag) {
		return 'refuse';
	}

	return isFirst || lag >= checkedLag ? 'check' : 'take';
};

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
