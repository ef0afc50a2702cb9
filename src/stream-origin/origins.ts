import {Buffer} from 'node:buffer';
import {OrderedMap, Set} from 'immutable';
import {z} from 'zod';
import type {RowKey, StoreWrite} from '../store/index.js';
import type {KeyedOrigin} from './told.js';
import {retentionMs} from './versions.js';

/** The service and the software version that began a stream. */
export type StreamOrigin = Readonly<{service: string; softwareVersion: string}>;

/** A recorded origin, and when it was recorded, in ms. */
type RecordedOrigin = StreamOrigin & Readonly<{recordedAt: number}>;

/**
Parts of the table of origins. Each has saves of its own, so that those of new streams and those after a restoration
don't delay each other, nor any other transaction.
*/
export const originParts = ['streams', 'restored-streams'] as const;

/** A part of the table of origins. */
export type OriginPart = typeof originParts[number];

/** Saves of origins in one part of the table. */
type Saves = Readonly<{
	/** Keys whose origins are not saved yet, in the order in which they will be. */
	unsaved: readonly string[];
	/** Keys of the save in progress. */
	saving: Readonly<{saved: readonly string[]; removed: readonly string[]}> | undefined;
	/** Keys whose rows are there, or may be. */
	written: Set<string>;
	/** Keys whose rows are no longer needed. */
	expired: readonly string[];
	/** When the next save may begin, in ms. */
	nextSaveAt: number;
}>;

/**
Origins of the streams that this router has begun, by the key of their request, and of those that a peer has told it of.

They are saved in the store, since a client may resume its stream at any router, also after its
first router has ended. A peer is told of them, so that it saves them again if the store loses them as this router ends.
*/
export type StreamOrigins = Readonly<{
	/** The latest one last. */
	recorded: OrderedMap<string, RecordedOrigin>;
	/** Keys of which no peer has been told. */
	untold: readonly string[];
	saves: Readonly<Record<OriginPart, Saves>>;
}>;

/** Shortest interval between saves. If this process is killed, the origins of streams that began within the interval are lost. */
const minSaveIntervalMs = 50;

/** Saves of all routers together to one part, per second: less than the store applies to it. */
export const maxOriginSavesPerSecond = 140;

/** Delay after a failed save. */
const retryDelayMs = 300;

/** Limits of the store: entries of a transaction, and bytes of a key. */
const maxRowsPerSave = 100;
const maxKeyBytes = 200;

const originSchema = z.object({service: z.string(), softwareVersion: z.string()});

const noSaves: Saves = {
	unsaved: [], saving: undefined, written: Set(), expired: [], nextSaveAt: 0,
};

/**
Creates the origins of a process that has begun no streams.

@returns The origins.
*/
export const createStreamOrigins = (): StreamOrigins => ({recorded: OrderedMap(), untold: [], saves: {streams: noSaves, 'restored-streams': noSaves}});

const updateSaves = (origins: StreamOrigins, part: OriginPart, update: (saves: Saves) => Saves): StreamOrigins =>
	({...origins, saves: {...origins.saves, [part]: update(origins.saves[part])}});

/**
Records where a stream has begun. An origin never changes, so it does no harm to save it twice or late.

@param origins - The origins.
@param key - Key of the request; one that is too long for the store is not recorded.
@param origin - The service and version of its endpoint.
@param now - The current time in ms.
@returns The origins, with the new one not yet saved.
*/
export const recordOrigin = (origins: StreamOrigins, key: string, origin: StreamOrigin, now: number): StreamOrigins => {
	if (Buffer.byteLength(key) > maxKeyBytes || origins.recorded.has(key)) {
		return origins;
	}

	const recorded = origins.recorded.set(key, {...origin, recordedAt: now});
	return updateSaves({...origins, recorded, untold: [...origins.untold, key]}, 'streams', saves => ({...saves, unsaved: [...saves.unsaved, key]}));
};

/**
Records an origin of which a peer has told, which saves it itself.

@param origins - The origins.
@param told - The origin.
@param now - The current time in ms.
@returns The origins.
*/
export const recordToldOrigin = (origins: StreamOrigins, {key, origin}: KeyedOrigin, now: number): StreamOrigins =>
	Buffer.byteLength(key) > maxKeyBytes || origins.recorded.has(key) ? origins : {...origins, recorded: origins.recorded.set(key, {...origin, recordedAt: now})};

/** Origins in a message, which has to fit into a datagram. */
const maxOriginsPerMessage = 30;

/**
Takes the origins of which a peer is told next.

@param origins - The origins.
@returns The origins, and those for the message; none if there is nothing to tell.
*/
export const takeUntoldOrigins = (origins: StreamOrigins): Readonly<{origins: StreamOrigins; told: readonly KeyedOrigin[]}> => {
	const keys = origins.untold.slice(0, maxOriginsPerMessage);
	return keys.length === 0
		? {origins, told: []}
		: {
			origins: {...origins, untold: origins.untold.slice(keys.length)},
			told: keys.flatMap(key => {
				const origin = findOrigin(origins, key);
				return origin === undefined ? [] : [{key, origin}];
			}),
		};
};

/**
Finds the origin of a stream that this router, or a peer that told it, began.

@param origins - The origins.
@param key - Key of the request that began the stream.
@returns The origin; undefined if this router does not know it.
*/
export const findOrigin = (origins: StreamOrigins, key: string): StreamOrigin | undefined => origins.recorded.get(key);

/** Forgets origins that are too old to be asked for; their rows are removed with a later save. */
const expireOrigins = (origins: StreamOrigins, now: number): StreamOrigins => {
	const old = new globalThis.Set(origins.recorded.takeWhile(origin => now - origin.recordedAt >= retentionMs).keys());
	return old.size === 0
		? origins
		: originParts.reduce((current, part) => updateSaves(current, part, saves => ({
			...saves,
			unsaved: saves.unsaved.filter(key => !old.has(key)),
			written: saves.written.subtract(old),
			expired: [...saves.expired, ...[...old].filter(key => saves.written.has(key))],
		})), {...origins, recorded: origins.recorded.deleteAll(old)});
};

/**
Locates the row of an origin.

@param key - Key of the request that began the stream.
@param part - Part of the table.
@returns The key of the row.
*/
export const locateOrigin = (key: string, part: OriginPart): RowKey & Pick<StoreWrite, 'table'> => ({table: 'streams', part, key});

const encodeWrite = (origins: StreamOrigins, key: string, part: OriginPart): StoreWrite => {
	const {service = '', softwareVersion = ''} = origins.recorded.get(key) ?? {};
	return {...locateOrigin(key, part), version: undefined, value: JSON.stringify({service, softwareVersion})};
};

/**
Begins a save in a part of the table if one is due there.

@param origins - The origins.
@param part - The part.
@param now - The current time in ms.
@returns The origins, and the writes of the save; none if there is nothing to save, or if a save is in progress.
*/
export const planSave = (origins: StreamOrigins, part: OriginPart, now: number): Readonly<{origins: StreamOrigins; writes: readonly StoreWrite[]}> => {
	const {saving, nextSaveAt} = origins.saves[part];
	if (saving !== undefined || now < nextSaveAt) {
		return {origins, writes: []};
	}

	const current = expireOrigins(origins, now);
	const {unsaved, expired} = current.saves[part];
	const saved = unsaved.slice(0, maxRowsPerSave);
	// Rows are removed only along with others, or once there are enough of them.
	const removed = saved.length > 0 || expired.length >= maxRowsPerSave ? expired.slice(0, maxRowsPerSave - saved.length) : [];
	return saved.length + removed.length === 0
		? {origins: current, writes: []}
		: {
			origins: updateSaves(current, part, saves => ({
				...saves, unsaved: unsaved.slice(saved.length), expired: expired.slice(removed.length), saving: {saved, removed}, written: saves.written.union(saved),
			})),
			writes: [
				...saved.map(key => encodeWrite(current, key, part)),
				...removed.map(key => ({...locateOrigin(key, part), version: undefined, value: undefined})),
			],
		};
};

/**
Ends the save in progress in a part of the table.

@param origins - The origins.
@param part - The part.
@param isDone - False if the save failed or its outcome is unknown; it is repeated then.
@param routerCount - Number of routers that save origins.
@param now - The current time in ms.
@returns The origins.
*/
export const completeSave = (origins: StreamOrigins, part: OriginPart, isDone: boolean, routerCount: number, now: number): StreamOrigins => updateSaves(origins, part, saves => {
	const {saved, removed} = saves.saving ?? {saved: [], removed: []};
	return isDone
		? {...saves, saving: undefined, nextSaveAt: now + Math.max(minSaveIntervalMs, routerCount * 1000 / maxOriginSavesPerSecond)}
		: {
			...saves,
			saving: undefined,
			nextSaveAt: now + retryDelayMs,
			unsaved: [...saved.filter(key => origins.recorded.has(key)), ...saves.unsaved],
			expired: [...removed, ...saves.expired],
		};
});

/**
Saves all origins again, after the store has come back from an older copy. The latest ones, which the copy lacks, are saved first.

@param origins - The origins.
@returns The origins.
*/
export const resetSavedOrigins = (origins: StreamOrigins): StreamOrigins => {
	const unsaved = new globalThis.Set(origins.saves.streams.unsaved);
	return updateSaves(origins, 'restored-streams', saves => ({...saves, unsaved: origins.recorded.keySeq().filter(key => !unsaved.has(key)).reverse().toArray()}));
};

/**
Tells whether all origins are saved.

@param origins - The origins.
@returns False if some are not, or may not be.
*/
export const hasSavedOrigins = ({saves}: StreamOrigins): boolean => originParts.every(part => saves[part].unsaved.length === 0 && saves[part].saving === undefined);

/**
Decodes a saved origin.

@param text - Value of the row; undefined if there is none.
@returns The origin; undefined if there is none or it cannot be read.
*/
export const decodeOrigin = (text: string | undefined): StreamOrigin | undefined => {
	if (text === undefined) {
		return undefined;
	}

	try {
		return originSchema.safeParse(JSON.parse(text)).data;
	} catch {
		// The stream then counts as unknown, as the caller logs.
		return undefined;
	}
};
