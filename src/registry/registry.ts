import {Map, OrderedMap} from 'immutable';
import {blendWorkFactor} from '../endpoint-performance/index.js';
import type {LoadReport} from '../endpoint-performance/index.js';
import type {ColdStart} from '../cold-start/index.js';
import type {Pushback} from '../pushback/index.js';
import {hashText} from '../random/index.js';
import {unlimited} from '../rate-limit/index.js';
import type {RateLimit} from '../rate-limit/index.js';

/** An endpoint's entry in the platform's registry. */
export type RegistryEntry = Readonly<{
	id: string;
	service: string;
	/** IP number and port. */
	address: string;
	dataCentre: string;
	/** Endpoints of a service may have several versions, which are not ordered. */
	softwareVersion: string;
	/** Requests that it runs at once. */
	slots: number;
	isLeaving: boolean;
	/** Time for which it stays slow after its start. */
	slowStartMs: number;
	/** Start time in ms, 0 if the entry does not name it; the same id with another value is another incarnation. */
	startedAt: number;
	/** Version of the entry's row in the store. */
	rowVersion: number;
}>;

/** An endpoint, and this router's statistics of its current incarnation. */
export type Endpoint = RegistryEntry & Readonly<{
	/** Hash of the id, for rendezvous hashing. */
	idHash: number;
	/** When it was first listed, in ms. */
	listedAt: number;
	/** Until when it is used although its entry is missing, in ms; undefined while it is listed. */
	missingUntil: number | undefined;
	/** This router's requests in flight there. */
	open: number;
	/** Prompt tokens of this router's requests that have no output yet. */
	pending: number;
	/** The load that it last stated; undefined if it has stated none. */
	load: LoadReport | undefined;
	/** Its rate limit, and this router's share. */
	rateLimit: RateLimit;
	/** Its cold time, and this router's share of what it takes then; undefined if it has not been cold lately. */
	cold?: ColdStart | undefined;
	/** The rest that it last asked this router for, if any. */
	pushback: Pushback | undefined;
	/** Requests sent since that report. */
	sentSinceReport: number;
	/** When it was last sent each prompt part, by this router or a peer that told so, in ms. */
	promptPartsSentAt: Map<string, number>;
	/** Time of the last response, in ms. */
	lastResponseAt: number;
	/** Failures since the last success. */
	failures: number;
	/** Moving average of failed attempts, 0 to 1. */
	failureFraction: number;
	/** Until when it gets no new requests unless there is no other endpoint, in ms. */
	ejectedUntil: number;
	/** Moving average of the ratio of actual to predicted time to first output; 1 is as predicted. */
	slowness: number;
	/** Time of the last update of `slowness`, in ms. */
	slownessUpdatedAt: number;
}>;

/** What is known of an endpoint without its statistics. Changes only with the registry. */
export type Member = Pick<Endpoint, 'id' | 'idHash' | 'service' | 'dataCentre' | 'softwareVersion'>;

/** An endpoint whose entry went away. */
type RemovedEndpoint = Endpoint & Readonly<{
	/** Version of the store up to which entries do not count: they were written before it went, or are those of an older copy. */
	goneVersion: number;
}>;

/** Fields that tell the incarnations of endpoints apart. */
export type Incarnation = Pick<RegistryEntry, 'id' | 'startedAt' | 'address' | 'service'>;

/**
The endpoints that may receive new requests.

Invariant: an endpoint whose entry is draining or has been removed, or that has stated
that it is leaving, is not among them.
*/
export type Registry = Readonly<{
	endpoints: Map<string, Endpoint>;
	/** The same endpoints without their statistics: this map stays the same one while no endpoint comes, goes or moves. */
	members: Map<string, Member>;
	/** Incarnations that have stated in a response or in their entries that they are leaving, the latest ones last. Entries that are read later may still say otherwise. */
	leaving: OrderedMap<string, Incarnation & Readonly<{
		/** When it stated this in a response to this router, in ms; undefined if its entry or a peer said so. */
		statedAt: number | undefined;
	}>>;
	/** Endpoints whose entries went away, by incarnation, the latest ones last. An entry may come back, and an older copy of the store may still have it. */
	removed: OrderedMap<string, RemovedEndpoint>;
	/** Version of the store up to which entries have been read. */
	version: number;
	/** Version of the latest older copy from which the store came back; 0 if it never did. */
	restoredVersion: number;
	/** True while the registry cannot be read. */
	isUnavailable: boolean;
	/** True from the return of the store from an older copy until its entries have been read. */
	isRestored: boolean;
	/** The time from the end of the latest outage, in ms, until which entries may be missing only because of it. */
	recovery: Readonly<{from: number; until: number}>;
}>;

/** Time after a registry outage within which live endpoints restore their entries, in ms. */
const recoveryWindowMs = 2000;

/** Time that a request may take from the choice of its endpoint until it arrives there, in ms. */
const sendMs = 600;

/** The registry of a process that has read no entries. */
export const emptyRegistry: Registry = {
	endpoints: Map(), members: Map(), leaving: OrderedMap(), removed: OrderedMap(), version: 0, restoredVersion: 0, isUnavailable: false, isRestored: false, recovery: {from: 0, until: 0},
};

const createEndpoint = (entry: RegistryEntry): Omit<Endpoint, 'listedAt' | 'missingUntil'> => ({
	...entry,
	idHash: hashText(entry.id),
	open: 0,
	pending: 0,
	load: undefined,
	rateLimit: unlimited,
	pushback: undefined,
	sentSinceReport: 0,
	promptPartsSentAt: Map(),
	lastResponseAt: 0,
	failures: 0,
	failureFraction: 0,
	ejectedUntil: 0,
	slowness: 1,
	slownessUpdatedAt: 0,
});

/** Time constant of the decay of `slowness` to 1 at an endpoint without requests: about the time in which an engine processes its queued prompts. */
const slownessDecayMs = 1000;

/**
Computes the current slowness of an endpoint, which decays to 1 over time.

Load pattern: endpoints were overloaded for a while. A router that measured them as slow sends
them nothing, and without the decay would never notice that they have recovered.

@param endpoint - The endpoint.
@param now - The current time in ms.
@returns The factor by which the first output takes longer than predicted; the older the measurement, the closer to 1.
*/
export const decaySlowness = (endpoint: Endpoint, now: number): number =>
	1 + ((endpoint.slowness - 1) * Math.exp(Math.min(0, endpoint.slownessUpdatedAt - now) / slownessDecayMs));

/**
Computes the factor by which the work of an endpoint takes longer than predicted, by what was
measured there and by what it states.

@param endpoint - The endpoint.
@param now - The current time in ms.
@returns The factor; 1 is as predicted.
*/
export const computeWorkFactor = (endpoint: Endpoint, now: number): number => blendWorkFactor(endpoint.load, decaySlowness(endpoint, now), now);

/**
Gets the incarnation of an endpoint.

@param endpoint - The endpoint, or its entry.
@returns Its incarnation.
*/
export const getIncarnation = ({id, startedAt, address, service}: Incarnation): Incarnation => ({
	id, startedAt, address, service,
});

/**
Formats an incarnation as a key.

@param incarnation - The incarnation.
@returns The key.
*/
export const formatIncarnation = ({id, startedAt, address, service}: Incarnation): string => JSON.stringify([id, startedAt, address, service]);

const isSameIncarnation = (a: Incarnation, b: Incarnation): boolean =>
	a.id === b.id && a.startedAt === b.startedAt && a.address === b.address && a.service === b.service;

/** Checks whether an entry is that of an incarnation which has stated that it is leaving. */
const hasStatedLeaving = (registry: Registry, entry: RegistryEntry): boolean => registry.leaving.has(formatIncarnation(entry));

/** Adds a member; returns the same map if nothing has changed. */
const addMember = (members: Registry['members'], {
	id, idHash, service, dataCentre, softwareVersion,
}: Member): Registry['members'] => {
	const known = members.get(id);
	return known?.service === service && known.dataCentre === dataCentre && known.softwareVersion === softwareVersion
		? members
		: members.set(id, {
			id, idHash, service, dataCentre, softwareVersion,
		});
};

/** Adds an entry, with what is known of its incarnation. */
const addEntry = (registry: Registry, entry: RegistryEntry, now: number): Registry => {
	const known = findKnown(registry, entry);
	const replaced = registry.endpoints.get(entry.id);
	const kept = replaced === undefined || replaced === known ? registry : removeEndpoints(registry, [replaced]);
	const endpoint: Endpoint = {
		...known ?? createEndpoint(entry), ...entry, listedAt: findIncarnation(registry, entry)?.listedAt ?? now, missingUntil: undefined,
	};
	return {
		...kept, removed: kept.removed.delete(formatIncarnation(entry)), endpoints: kept.endpoints.set(entry.id, endpoint), members: addMember(kept.members, endpoint),
	};
};

/** Tells whether a newer endpoint serves the address of an older one. */
const isSuperseded = (older: RegistryEntry, newer: RegistryEntry): boolean =>
	older.address === newer.address && older.id !== newer.id && older.startedAt < newer.startedAt;

/** Limits of incarnations that are remembered as leaving or removed: more than go within the time in which an entry may still say otherwise. */
const maxRememberedLeaving = 4096;
const maxRememberedRemoved = 4096;

/** Limit of prompt parts remembered per endpoint; above it the older half is evicted. */
const maxPromptParts = 2000;

/**
Records that an endpoint was sent prompt parts, which it then has in its cache.

@param endpoint - The endpoint.
@param parts - Ids of the parts.
@param now - The current time in ms.
@returns The endpoint.
*/
export const recordPromptParts = (endpoint: Endpoint, parts: readonly string[], now: number): Endpoint => {
	const known = parts.reduce((sentAt, part) => sentAt.set(part, now), endpoint.promptPartsSentAt);
	return {...endpoint, promptPartsSentAt: known.size <= maxPromptParts ? known : known.sortBy(at => -at).take(maxPromptParts / 2)};
};

/** Forgets which prompt parts an endpoint may have cached: they take most of its memory, and are a matter of speed alone. */
const forgetPromptParts = (endpoint: Endpoint): Endpoint => ({...endpoint, promptPartsSentAt: Map()});

/** Removes endpoints, and keeps what is known of them. */
const removeEndpoints = (registry: Registry, endpoints: readonly Endpoint[]): Registry => endpoints.length === 0
	? registry
	: {
		...registry,
		removed: registry.removed.merge(endpoints.map(endpoint => [formatIncarnation(endpoint), {...forgetPromptParts(endpoint), goneVersion: registry.version}] as const))
			.takeLast(maxRememberedRemoved),
		endpoints: registry.endpoints.deleteAll(endpoints.map(({id}) => id)),
		members: registry.members.deleteAll(endpoints.map(({id}) => id)),
	};

/** Removes the endpoint that is listed under an id, if any. */
const removeListed = (registry: Registry, id: string): Registry => removeEndpoints(registry, [registry.endpoints.get(id)].flatMap(endpoint => endpoint ?? []));

/**
Handles a missing entry. One that was listed before an outage may have expired in it: the endpoint is kept until it must
have written its entry again. Otherwise it is removed.
*/
const markMissing = (registry: Registry, id: string, now: number): Registry => {
	const endpoint = registry.endpoints.get(id);
	if (endpoint === undefined || endpoint.missingUntil !== undefined) {
		return registry;
	}

	const {from, until} = registry.recovery;
	return now < until && endpoint.listedAt <= from
		? {...registry, endpoints: registry.endpoints.set(id, {...endpoint, missingUntil: until})}
		: removeEndpoints(registry, [endpoint]);
};

/**
Tells whether an endpoint may get requests as far as its entry is concerned.

@param endpoint - A listed endpoint.
@param now - The current time in ms.
@returns False once its entry has been missing for too long.
*/
export const isUsable = ({missingUntil}: Endpoint, now: number): boolean => missingUntil === undefined || now < missingUntil;

/**
Finds the endpoint of an incarnation.

@param registry - The registry.
@param incarnation - The incarnation.
@returns The endpoint; undefined if the incarnation is not listed, although another one may be listed under its id.
*/
export const findIncarnation = (registry: Registry, incarnation: Incarnation): Endpoint | undefined => {
	const endpoint = registry.endpoints.get(incarnation.id);
	return endpoint !== undefined && isSameIncarnation(endpoint, incarnation) ? endpoint : undefined;
};

/**
Finds what is known of an incarnation, whether it is listed or not.

@param registry - The registry.
@param incarnation - The incarnation.
@returns The endpoint; undefined if it was never listed, or too long ago.
*/
export const findKnown = (registry: Registry, incarnation: Incarnation): Endpoint | undefined =>
	findIncarnation(registry, incarnation) ?? registry.removed.get(formatIncarnation(incarnation));

/**
Removes an incarnation that has stated that it is leaving. No entry brings it back.

@param registry - The registry.
@param incarnation - The incarnation, which need not be listed.
@param statedAt - When it stated this in a response to this router, in ms; undefined if its entry or a peer said so.
@returns The registry.
*/
export const removeLeaving = (registry: Registry, incarnation: Incarnation, statedAt?: number): Registry => {
	const key = formatIncarnation(incarnation);
	const known = registry.leaving.get(key);
	if (known !== undefined && statedAt === undefined) {
		return registry;
	}

	return {
		...registry,
		leaving: registry.leaving.delete(key).set(key, {...getIncarnation(incarnation), statedAt}).takeLast(maxRememberedLeaving),
		...(findIncarnation(registry, incarnation) !== undefined && {endpoints: registry.endpoints.delete(incarnation.id), members: registry.members.delete(incarnation.id)}),
	};
};

/** Time for which peers are told that an incarnation is leaving, in ms: longer than one serves after its first such statement. */
const leavingNewsMs = 30_000;

/** Limit of the incarnations that peers are told about. */
const maxLeavingNews = 16;

/**
Lists the incarnations that have lately stated to this router that they are leaving. Peers
need this: an endpoint's entry may say so much later, and a process that has just started
has had no response yet.

@param registry - The registry.
@param now - The current time in ms.
@returns The incarnations, the latest ones last.
*/
export const listLeaving = (registry: Registry, now: number): readonly Incarnation[] => registry.leaving.valueSeq().toArray()
	.filter(({statedAt}) => statedAt !== undefined && now - statedAt <= leavingNewsMs)
	.slice(-maxLeavingNews);

/**
Explains why an incarnation is not listed.

@param registry - The registry.
@param incarnation - The incarnation.
@returns What is known of it: that it is leaving, that its entry went away, or neither, if another incarnation took its place.
*/
export const explainAbsence = (registry: Registry, incarnation: Incarnation): 'leaving' | 'removed' | 'superseded' => {
	const key = formatIncarnation(incarnation);
	return registry.leaving.has(key) ? 'leaving' : (registry.removed.has(key) ? 'removed' : 'superseded');
};

/** Finds the latest incarnation of an id that is known, be it listed, leaving or removed. */
const findLatest = ({endpoints, leaving, removed}: Registry, id: string): Incarnation | undefined => {
	const listed: Incarnation | undefined = endpoints.get(id);
	return [listed, ...leaving.values(), ...removed.values()].filter(known => known?.id === id)
		.reduce((latest, known) => latest === undefined || known!.startedAt > latest.startedAt ? known : latest, undefined);
};

/** Tells whether an entry is that of a former incarnation, as it may be in an older copy of the store. */
const isOutdated = (registry: Registry, entry: RegistryEntry, now: number): boolean =>
	(now < registry.recovery.until || entry.rowVersion <= registry.restoredVersion) && (findLatest(registry, entry.id)?.startedAt ?? 0) > entry.startedAt;

/** Completes an entry without a start time, which is no evidence of a new incarnation. Returns undefined if it fits no known one. */
const completeEntry = (registry: Registry, entry: RegistryEntry): RegistryEntry | undefined => {
	const known = entry.startedAt === 0 ? findLatest(registry, entry.id) : undefined;
	if (known === undefined) {
		return entry;
	}

	const completed = {...entry, startedAt: known.startedAt};
	return isSameIncarnation(completed, known) || known.startedAt === 0 ? completed : undefined;
};

/** Tells whether an entry was written before its endpoint went, as it is in an older copy of the store, however often that is read. */
const isGone = ({removed}: Registry, entry: RegistryEntry): boolean => {
	const endpoint = removed.get(formatIncarnation(entry));
	return endpoint !== undefined && entry.rowVersion <= endpoint.goneVersion;
};

/** Applies an entry as far as it is evidence, be it read alone or with all others. */
const applyEntry = (registry: Registry, id: string, read: RegistryEntry | undefined, now: number): Registry => {
	const entry = read && completeEntry(registry, read);
	if (entry === undefined || isGone(registry, entry)) {
		return markMissing(registry, id, now);
	}

	if (isOutdated(registry, entry, now)) {
		return markMissing(entry.isLeaving ? removeLeaving(registry, entry) : registry, id, now);
	}

	if (entry.isLeaving) {
		return removeListed(removeLeaving(registry, entry), id);
	}

	if (hasStatedLeaving(registry, entry) || registry.endpoints.some(endpoint => isSuperseded(entry, endpoint))) {
		return removeListed(registry, id);
	}

	// Entries of dead endpoints remain for some heartbeats; a newer endpoint at the same address replaces them.
	const superseded = registry.endpoints.valueSeq().filter(endpoint => isSuperseded(endpoint, entry)).toArray();
	return addEntry(removeEndpoints(registry, superseded), entry, now);
};

/**
Applies a changed entry. An incarnation whose entry said that it is leaving does not come back, even if the store
does with an older entry.

@param registry - The registry.
@param id - The endpoint's id.
@param entry - The entry; undefined if it was removed or cannot be decoded.
@param version - Version of the store with the change.
@param now - The current time in ms.
@returns The registry.
*/
export const updateEntry = (registry: Registry, id: string, entry: RegistryEntry | undefined, version: number, now: number): Registry =>
	applyEntry({...registry, version: Math.max(registry.version, version)}, id, entry, now);

/** Begins to count the versions of a store that has come back from an older copy: all that it has now may have been written before. */
const resetVersion = (registry: Registry, version: number): Registry => ({
	...registry, isRestored: false, version, restoredVersion: version, removed: registry.removed.map(endpoint => ({...endpoint, goneVersion: version})),
});

/**
Applies a complete list of entries; endpoints that are not in it are missing.

@param registry - The registry.
@param entries - The entries that could be decoded.
@param version - Version of the store at which they were read.
@param now - The current time in ms.
@returns The registry.
*/
export const replaceEntries = (registry: Registry, entries: readonly RegistryEntry[], version: number, now: number): Registry => {
	const read = registry.isRestored ? resetVersion(registry, version) : {...registry, version: Math.max(registry.version, version)};
	const listed = new Set(entries.map(entry => entry.id));
	const missing = read.endpoints.keySeq().toArray().filter(id => !listed.has(id));
	const kept = missing.reduce((updated, id) => markMissing(updated, id, now), read);
	return entries.reduce((updated, entry) => applyEntry(updated, entry.id, entry, now), kept);
};

/**
Marks the registry as unavailable.

@param registry - The registry.
@returns The registry, which keeps endpoints whose entries go missing.
*/
export const markUnavailable = (registry: Registry): Registry => ({...registry, isUnavailable: true});

/** Returns how long entries may be missing after an outage that ends now. A request that is sent at the last moment still has to arrive before the endpoint has left. */
const createRecovery = (drainMs: number, now: number): Registry['recovery'] => ({from: now, until: now + Math.min(recoveryWindowMs, Math.max(0, drainMs - sendMs))});

/**
Marks the registry as available again.

@param registry - The registry.
@param drainMs - Time for which an endpoint that leaves goes on serving, in ms.
@param now - The current time in ms.
@returns The registry, which keeps endpoints with missing entries until live endpoints must have restored theirs.
*/
export const markAvailable = (registry: Registry, drainMs: number, now: number): Registry =>
	registry.isUnavailable ? {...registry, isUnavailable: false, recovery: createRecovery(drainMs, now)} : registry;

/**
Marks the registry as come back from an older copy, in which entries may be missing.

@param registry - The registry.
@param drainMs - Time for which an endpoint that leaves goes on serving, in ms.
@param now - The current time in ms.
@returns The registry, which keeps endpoints with missing entries until live endpoints must have restored theirs.
*/
export const markRestored = (registry: Registry, drainMs: number, now: number): Registry => ({...registry, isRestored: true, recovery: createRecovery(drainMs, now)});

/**
Removes endpoints whose entries have been missing for too long. An outage that has begun since gives them no further time.

@param registry - The registry.
@param now - The current time in ms.
@returns The registry.
*/
export const removeMissing = (registry: Registry, now: number): Registry =>
	removeEndpoints(registry, registry.endpoints.valueSeq().toArray().filter(endpoint => !isUsable(endpoint, now)));

/**
Updates what is known of an incarnation, whether it is listed or not.

@param registry - The registry.
@param incarnation - The incarnation.
@param update - Returns the updated endpoint.
@returns The registry.
*/
export const updateEndpoint = (registry: Registry, incarnation: Incarnation, update: (endpoint: Endpoint) => Endpoint): Registry => {
	const listed = findIncarnation(registry, incarnation);
	if (listed !== undefined) {
		return {...registry, endpoints: registry.endpoints.set(incarnation.id, update(listed))};
	}

	const key = formatIncarnation(incarnation);
	const removed = registry.removed.get(key);
	return removed === undefined ? registry : {...registry, removed: registry.removed.set(key, {...update(removed), goneVersion: removed.goneVersion})};
};

/**
Updates what is known of all endpoints, listed or not.

@param registry - The registry.
@param update - Returns the updated endpoint.
@returns The registry.
*/
export const updateEndpoints = (registry: Registry, update: (endpoint: Endpoint) => Endpoint): Registry => ({
	...registry, endpoints: registry.endpoints.map(endpoint => update(endpoint)), removed: registry.removed.map(endpoint => ({...update(endpoint), goneVersion: endpoint.goneVersion})),
});
