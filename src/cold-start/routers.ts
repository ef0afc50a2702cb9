import {type Map} from 'immutable';

/** When each router last showed that it exists, in ms. */
export type RouterSightings = Map<string, number>;

/** What is known of the routers at a time. */
export type RouterQuery = Readonly<{
	/** Routers that are live by their rows in the store, or were heard lately, including this one. */
	live: readonly string[];
	/** All routers that have a row, live or not. */
	withRow: readonly string[];
	/** When the rows were last read, in ms; negative infinity if they have not been read yet. */
	rowsReadAt: number;
	/** When this process started, in ms. */
	startedAt: number;
	now: number;
}>;

/** Time for which a router counts although neither its row nor its messages say that it lives, in ms: longer than an outage of the store and the time after which a row counts as old. */
const sightingTtlMs = 30_000;

/** Time after the start for which the other routers count as not known, in ms. Routers that start together have written and read their rows by then. */
const settlingMs = 2000;

/**
Records which routers show that they exist. One whose row is seen for the first time counts as seen now, since all routers may have just restarted.

@param sightings - When each router was last seen.
@param query - What is known of the routers.
@returns The updated times.
*/
export const recordSightings = (sightings: RouterSightings, {live, withRow, now}: RouterQuery): RouterSightings => {
	const listed = withRow.reduce((updated, router) => updated.has(router) ? updated : updated.set(router, now), sightings);
	return live.reduce((updated, router) => updated.set(router, now), listed);
};

/**
Lists the routers that may exist.

Failure that this addresses: routers are cut off from the store, or from each other, and go on sending
to the same endpoints. A router is forgotten only once the store has been read long after it was last seen:
a router that does not reach the store keeps dividing by all that it knew.

@param sightings - When each router was last seen.
@param query - What is known of the routers.
@returns Their ids in ascending order; undefined while the others are not known.
*/
export const listPossibleRouters = (sightings: RouterSightings, {rowsReadAt, startedAt, now}: RouterQuery): readonly string[] | undefined =>
	rowsReadAt === Number.NEGATIVE_INFINITY || now - startedAt < settlingMs
		? undefined
		: sightings.filter(seenAt => rowsReadAt - seenAt <= sightingTtlMs).keySeq().toArray().toSorted();
