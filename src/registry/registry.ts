import {Map} from 'immutable';
import {hashText} from '../random/index.js';

/** What an endpoint says of itself in the platform's registry. */
export type Listing = Readonly<{
	id: string;
	service: string;
	/** IP number and port. */
	address: string;
	dataCentre: string;
	slots: number;
	isLeaving: boolean;
	/** Milliseconds for which it stays slow after its start. */
	coldFor: number;
	/** The same id with another value is another incarnation. */
	bornAt: number;
}>;

/** An endpoint, and what this router has learned of its present incarnation. */
export type Endpoint = Listing & Readonly<{
	/** Of its id. */
	hash: number;
	/** When its entry went missing while the registry may have been wrong, in ms; undefined while it is listed. */
	missingSince: number | undefined;
	/** Calls of this router that it works on. */
	open: number;
	/** Prompt tokens of this router's calls that have given no output yet. */
	pending: number;
	/** What it said of itself last, and when, in ms. */
	load: Readonly<{running: number; waiting: number; slots: number; at: number}> | undefined;
	/** Calls sent since then. */
	sentSince: number;
	/** Prompt parts that this router sent it, and when last, in ms. */
	parts: Map<string, number>;
	/** When it answered last, in ms. */
	heardAt: number;
	/** Failures since the last success. */
	failures: number;
	/** Share of recent calls that failed, 0 to 1, weighted towards the latest. */
	failureShare: number;
	/** No new calls until then unless there is nothing else, in ms. */
	ejectedUntil: number;
	/** How much longer than predicted its first output took lately; 1 as predicted. */
	slowness: number;
	/** When that was seen last, in ms. */
	slownessAt: number;
}>;

/**
Endpoints that may get new work.

Invariant: an endpoint whose entry says that it leaves, or has gone, is not among them.
*/
export type Registry = Readonly<{
	endpoints: Map<string, Endpoint>;
	/** True while the registry cannot be read. */
	isAway: boolean;
	/** Until then an entry may be missing only because the registry was away, in ms. */
	doubtUntil: number;
}>;

/** Milliseconds after the registry's return within which entries of living endpoints are back. */
export const returnTime = 2000;

/** The registry of a process that has read nothing. */
export const emptyRegistry: Registry = {endpoints: Map(), isAway: false, doubtUntil: 0};

const createEndpoint = (listing: Listing): Endpoint => ({
	...listing,
	hash: hashText(listing.id),
	missingSince: undefined,
	open: 0,
	pending: 0,
	load: undefined,
	sentSince: 0,
	parts: Map(),
	heardAt: 0,
	failures: 0,
	failureShare: 0,
	ejectedUntil: 0,
	slowness: 1,
	slownessAt: 0,
});

/** Time constant with which an endpoint that gets no calls is taken to be as fast as predicted again, in ms: about as long as an engine takes to read what it has. */
const slownessLifetime = 1000;

/**
Tells how much longer than predicted an endpoint's first output takes now.

Load pattern: endpoints were overloaded for a while. A router that found them slow sends them
nothing, and so would never see that they have become fast again.

@param endpoint - The endpoint.
@param now - The time in ms.
@returns A factor; nearer to 1 the longer ago it was seen.
*/
export const relaxSlowness = (endpoint: Endpoint, now: number): number =>
	1 + ((endpoint.slowness - 1) * Math.exp(Math.min(0, endpoint.slownessAt - now) / slownessLifetime));

const isSameIncarnation = (endpoint: Endpoint, listing: Listing): boolean =>
	endpoint.bornAt === listing.bornAt && endpoint.address === listing.address && endpoint.service === listing.service;

const mergeListing = (endpoint: Endpoint | undefined, listing: Listing): Endpoint =>
	endpoint !== undefined && isSameIncarnation(endpoint, listing) ? {...endpoint, ...listing, missingSince: undefined} : createEndpoint(listing);

/** Whether another endpoint runs at an endpoint's address now. */
const isSuperseded = (older: Listing, newer: Listing): boolean =>
	older.address === newer.address && older.id !== newer.id && older.bornAt < newer.bornAt;

/** An entry that went missing while the registry was away may come back; any other is gone. */
const missListing = (registry: Registry, id: string, now: number): Registry => {
	const endpoint = registry.endpoints.get(id);
	return endpoint !== undefined && (registry.isAway || now < registry.doubtUntil)
		? {...registry, endpoints: registry.endpoints.set(id, {...endpoint, missingSince: endpoint.missingSince ?? now})}
		: {...registry, endpoints: registry.endpoints.delete(id)};
};

/**
Takes in one changed entry.

@param registry - The registry.
@param id - The endpoint.
@param listing - What the entry says; undefined if it is gone or unreadable.
@param now - The time in ms.
@returns The registry.
*/
export const changeListing = (registry: Registry, id: string, listing: Listing | undefined, now: number): Registry => {
	if (listing === undefined) {
		return missListing(registry, id, now);
	}

	if (listing.isLeaving || registry.endpoints.some(endpoint => isSuperseded(listing, endpoint))) {
		return {...registry, endpoints: registry.endpoints.delete(id)};
	}

	// Entries of endpoints that died stay for some heartbeats: a later incarnation at the address has taken their place.
	const others = registry.endpoints.some(endpoint => isSuperseded(endpoint, listing))
		? registry.endpoints.filter(endpoint => !isSuperseded(endpoint, listing))
		: registry.endpoints;
	return {...registry, endpoints: others.set(id, mergeListing(others.get(id), listing))};
};

/**
Takes in all entries at once; whatever is not among them is missing.

@param registry - The registry.
@param listings - The entries that could be read.
@param now - The time in ms.
@returns The registry.
*/
export const replaceListings = (registry: Registry, listings: readonly Listing[], now: number): Registry => {
	const listed = new Set(listings.map(listing => listing.id));
	const missing = registry.endpoints.keySeq().toArray().filter(id => !listed.has(id));
	const kept = missing.reduce((current, id) => missListing(current, id, now), registry);
	return listings.reduce((current, listing) => changeListing(current, listing.id, listing, now), kept);
};

/**
Notes that the registry cannot be read.

@param registry - The registry.
@returns The registry, in doubt.
*/
export const loseRegistry = (registry: Registry): Registry => ({...registry, isAway: true});

/**
Notes that the registry can be read again.

@param registry - The registry.
@param now - The time in ms.
@returns The registry, in doubt until entries of living endpoints must be back.
*/
export const regainRegistry = (registry: Registry, now: number): Registry =>
	registry.isAway ? {...registry, isAway: false, doubtUntil: now + returnTime} : registry;

/**
Drops endpoints whose entries have not come back.

@param registry - The registry.
@param now - The time in ms.
@returns The registry.
*/
export const dropMissing = (registry: Registry, now: number): Registry =>
	registry.isAway || now < registry.doubtUntil || !registry.endpoints.some(endpoint => endpoint.missingSince !== undefined)
		? registry
		: {...registry, endpoints: registry.endpoints.filter(endpoint => endpoint.missingSince === undefined)};

/**
Changes what was learned of an endpoint, if it is still there.

@param registry - The registry.
@param id - The endpoint.
@param update - The change.
@returns The registry.
*/
export const updateEndpoint = (registry: Registry, id: string, update: (endpoint: Endpoint) => Endpoint): Registry => {
	const endpoint = registry.endpoints.get(id);
	return endpoint === undefined ? registry : {...registry, endpoints: registry.endpoints.set(id, update(endpoint))};
};
