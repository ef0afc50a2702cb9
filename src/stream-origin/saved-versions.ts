import {hash} from 'node:crypto';
import {Map, Set} from 'immutable';
import {z} from 'zod';
import type {Registry} from '../registry/index.js';
import type {RowKey, StoredRow, StoreWrite} from '../store/index.js';
import {decodeOrigin} from './origins.js';
import type {StreamOrigin} from './origins.js';
import {retentionMs} from './versions.js';
import type {RetiredVersions} from './versions.js';

/**
Software versions of services that are saved in the store, so that a process that starts knows which versions
may have begun a stream, also if all routers have just been killed.
*/
export type SavedVersions = Readonly<{
	/** True once the rows have been read. */
	isRead: boolean;
	/** From when all versions are known that may have begun a stream, in ms: those that a restoration has lost are out of use by then. */
	completeFrom: number;
	/** The row that tells later processes of the latest restoration, if it is not saved yet. */
	unsavedEra: StoreEra | undefined;
	/** Row keys of the versions in use that are known to be saved. */
	saved: Set<string>;
	/** Versions whose endpoints have left, and whose rows the store may have lost. */
	lost: readonly StreamOrigin[];
	/** Writes of the save in progress. */
	saving: readonly StoreWrite[];
	/** When the next save may begin, in ms. */
	nextSaveAt: number;
}>;

/** An era of the store, and when it began at the latest, in ms of the store's clock. */
export type StoreEra = Readonly<{era: number; at: number}>;

/** Table of the versions. */
export const versionTable = 'versions' satisfies StoreWrite['table'];

/** Delay after a failed save, in ms. */
const retryDelayMs = 300;

/** Time after which the row of a version without endpoints is removed, in ms: all routers then agree that no stream of it can be resumed. */
const removalDelayMs = 2 * retentionMs;

/** Limit of the store for the entries of a transaction. */
const maxRowsPerSave = 100;

/** Key of the row of the era. Those of versions are digests. */
const eraKey = 'era';

const eraSchema = z.object({era: z.number(), at: z.number()});

const decodeEra = (rows: ReadonlyArray<Pick<StoredRow, 'key' | 'value'>>): StoreEra | undefined => {
	try {
		return eraSchema.safeParse(JSON.parse(rows.find(({key}) => key === eraKey)?.value ?? '')).data;
	} catch {
		// The era then counts as having just begun.
		return undefined;
	}
};

const encodeEra = (era: StoreEra): StoreWrite => ({
	table: versionTable, key: eraKey, version: undefined, value: JSON.stringify(era),
});

/**
Determines how long ago the store came back from an older copy, which may lack versions that were saved.

@param reading - The rows of the table of the versions, and the era and time of the store.
@returns The time in ms; 0 if no process has recorded it, infinite for a store without eras.
*/
export const getRestorationAge = ({rows, era, storeTime}: SavedVersionReading): number => {
	if (era === undefined) {
		return Number.POSITIVE_INFINITY;
	}

	const saved = decodeEra(rows);
	return saved?.era === era ? Math.max(0, storeTime - saved.at) : 0;
};

/**
Creates the saved versions of a process that has read none.

@returns The saved versions.
*/
export const createSavedVersions = (): SavedVersions => ({
	isRead: false, completeFrom: 0, unsavedEra: undefined, saved: Set(), lost: [], saving: [], nextSaveAt: 0,
});

const formatVersion = ({service, softwareVersion}: StreamOrigin): string => JSON.stringify([service, softwareVersion]);

const locateVersion = (origin: StreamOrigin): RowKey & Pick<StoreWrite, 'table'> => ({
	table: versionTable, key: hash('sha256', formatVersion(origin), 'base64url'),
});

type PresentVersions = ReadonlyArray<StreamOrigin & ReturnType<typeof locateVersion>>;

/** Lists by the registry's members, which change seldom. Lists of earlier members are freed with them. */
const listsByMembers = new WeakMap<Registry['members'], PresentVersions>();

/** Lists each version once: many endpoints have the same, and a hash takes long. */
const listPresent = ({members}: Registry): PresentVersions => {
	const known = listsByMembers.get(members);
	if (known !== undefined) {
		return known;
	}

	const origins = new globalThis.Map<string, StreamOrigin>();
	members.forEach(({service, softwareVersion}) => {
		// The length keeps names apart, which are free text.
		origins.set(`${service.length}:${service}${softwareVersion}`, {service, softwareVersion});
	});
	const listed = [...origins.values()].map(origin => ({...origin, ...locateVersion(origin)}));
	listsByMembers.set(members, listed);
	return listed;
};

/** A reading of the table of the versions: its rows, and the era and time of the store, in ms of its clock. The era is undefined if the store names none. */
export type SavedVersionReading = Readonly<{rows: readonly StoredRow[]; era: number | undefined; storeTime: number}>;

/** Saved and retired versions after the rows were read, and the keys of rows that cannot be read. */
type ReadVersions = Readonly<{versions: SavedVersions; retired: RetiredVersions; unreadable: readonly string[]}>;

/**
Adds the versions that were read from the store. When their last endpoints left is not known: it may have been just now.

@param versions - The saved versions.
@param retired - The versions that left the registry.
@param reading - The rows, and the era and time of the store.
@param now - The current time in ms.
@returns Both, updated, and the keys of rows that cannot be read.
*/
export const recordSavedVersions = (versions: SavedVersions, retired: RetiredVersions, reading: SavedVersionReading, now: number): ReadVersions => {
	const {rows, era, storeTime} = reading;
	const decoded = rows.filter(({key}) => key !== eraKey).map(({key, value}) => ({key, origin: decodeOrigin(value)}));
	return {
		versions: {
			...versions,
			isRead: true,
			completeFrom: now + Math.max(0, retentionMs - getRestorationAge(reading)),
			unsavedEra: era === undefined || decodeEra(rows)?.era === era ? undefined : {era, at: storeTime},
			saved: versions.saved.union(decoded.flatMap(({key, origin}) => origin === undefined ? [] : [key])),
		},
		retired: decoded.reduce((known, {origin}) => origin === undefined ? known : known.setIn([origin.service, origin.softwareVersion], now), retired),
		unreadable: decoded.filter(({origin}) => origin === undefined).map(({key}) => key),
	};
};

/** Finds the retired versions whose rows are no longer needed. */
const listExpired = (registry: Registry, retired: RetiredVersions, now: number): readonly StreamOrigin[] => retired.entrySeq().toArray()
	.flatMap(([service, versions]) => versions.entrySeq().toArray()
		.filter(([, leftAt]) => now - leftAt >= removalDelayMs)
		.map(([softwareVersion]) => ({service, softwareVersion})))
	.filter(({service, softwareVersion}) => !registry.endpoints.some(endpoint => endpoint.service === service && endpoint.softwareVersion === softwareVersion));

/** What a save of versions depends on. */
type SaveQuery = Readonly<{
	registry: Registry;
	retired: RetiredVersions;
	/** True for the one router that removes rows. */
	removesRows: boolean;
	now: number;
}>;

/**
Begins a save of the versions that have come into use, and removes those long out of use.

@param versions - The saved versions.
@param query - The versions in use and retired.
@returns The saved versions, the retired ones without those whose rows are removed, and the writes; none if there is nothing to save, or a save is in progress.
*/
export const planVersionSave = (versions: SavedVersions, query: SaveQuery): Readonly<{versions: SavedVersions; retired: RetiredVersions; writes: readonly StoreWrite[]}> => {
	const {registry, retired, removesRows, now} = query;
	if (!versions.isRead || versions.saving.length > 0 || now < versions.nextSaveAt) {
		return {versions, retired, writes: []};
	}

	const listed = listPresent(registry);
	const expired = retired.isEmpty() ? [] : listExpired(registry, retired, now);
	// This is called at each tick, and there is seldom anything to save.
	if (expired.length === 0 && versions.lost.length === 0 && versions.unsavedEra === undefined && listed.length === versions.saved.size && listed.every(({key}) => versions.saved.has(key))) {
		return {versions, retired, writes: []};
	}

	const present = Map(listed.map(each => [each.key, each] as const));
	// A version that has left is saved again if it returns: its row may have been removed.
	const saved = versions.saved.intersect(present.keySeq());
	const lost = versions.lost
		.filter(({service, softwareVersion}) => retired.hasIn([service, softwareVersion]))
		.map(origin => ({...origin, ...locateVersion(origin)}))
		.filter(({key}) => !present.has(key));
	const unsaved = [...present.deleteAll(saved).values(), ...lost];
	const writes: readonly StoreWrite[] = [
		...(versions.unsavedEra === undefined ? [] : [encodeEra(versions.unsavedEra)]),
		...unsaved.map(({
			table, key, service, softwareVersion,
		}) => ({
			table, key, version: undefined, value: JSON.stringify({service, softwareVersion}),
		})),
		...(removesRows ? expired.map(origin => ({...locateVersion(origin), version: undefined, value: undefined})) : []),
	].slice(0, maxRowsPerSave);
	return {
		versions: {
			...versions, unsavedEra: undefined, saved, lost: [], saving: writes,
		},
		retired: expired.reduce((known, {service, softwareVersion}) => known.deleteIn([service, softwareVersion]), retired),
		writes,
	};
};

/**
Ends the save in progress. Of versions whose endpoints have left, a row that is saved is not needed again.

@param versions - The saved versions.
@param isDone - False if the save failed or its outcome is unknown; it is repeated then.
@param now - The current time in ms.
@returns The saved versions.
*/
export const completeVersionSave = (versions: SavedVersions, isDone: boolean, now: number): SavedVersions => isDone
	? {...versions, saved: versions.saved.union(versions.saving.filter(({value}) => value !== undefined).map(({key}) => key)), saving: []}
	: {
		...versions,
		unsavedEra: versions.unsavedEra ?? decodeEra(versions.saving.map(({key, value}) => ({key, value}))),
		lost: [...versions.lost, ...versions.saving.flatMap(({value}) => decodeOrigin(value) ?? [])],
		saving: [],
		nextSaveAt: now + retryDelayMs,
	};

/**
Forgets what is saved, after the store has come back from an older copy: all is saved again, including versions whose
endpoints have left, as streams may have begun there.

@param versions - The saved versions.
@param retired - The versions whose endpoints have left.
@param unsavedEra - The era that has begun; undefined if it is not known when.
@returns The saved versions.
*/
export const resetSavedVersions = (versions: SavedVersions, retired: RetiredVersions, unsavedEra: StoreEra | undefined): SavedVersions => ({
	...versions, unsavedEra, saved: Set(), lost: retired.entrySeq().toArray().flatMap(([service, leftAt]) => leftAt.keySeq().toArray().map(softwareVersion => ({service, softwareVersion}))),
});
