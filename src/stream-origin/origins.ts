import {Buffer} from 'node:buffer';
import {OrderedMap} from 'immutable';
import {z} from 'zod';
import type {RowKey, StoreWrite} from '../store/index.js';
import {retentionMs} from './versions.js';

/** The service and the software version that began a stream. */
export type StreamOrigin = Readonly<{service: string; softwareVersion: string}>;

/** A recorded origin, and when it was recorded, in ms. */
type RecordedOrigin = StreamOrigin & Readonly<{recordedAt: number}>;

/**
Origins of the streams that this router has begun, by the key of their request.

They are saved in the store, since a client may resume its stream at any router, also after its
first router has ended.
*/
export type StreamOrigins = Readonly<{
	/** The latest one last. */
	recorded: OrderedMap<string, RecordedOrigin>;
	/** Keys whose origins are not saved yet. */
	unsaved: readonly string[];
	/** Keys whose rows are no longer needed. */
	expired: readonly string[];
	/** Keys of the save in progress. */
	saving: Readonly<{saved: readonly string[]; removed: readonly string[]}> | undefined;
	/** When the next save may begin, in ms. */
	nextSaveAt: number;
}>;

/** Shortest interval between saves. If this process is killed, the origins of streams that began within the interval are lost. */
const minSaveIntervalMs = 50;

/** Saves of all routers together, per second: less than the store applies to one part. */
const maxSavesPerSecond = 140;

/** Delay after a failed save. */
const retryDelayMs = 300;

/** Limits of the store: entries of a transaction, and bytes of a key. */
const maxRowsPerSave = 100;
const maxKeyBytes = 200;

const originSchema = z.object({service: z.string(), softwareVersion: z.string()});

/**
Creates the origins of a process that has begun no streams.

@returns The origins.
*/
export const createStreamOrigins = (): StreamOrigins => ({
	recorded: OrderedMap(), unsaved: [], expired: [], saving: undefined, nextSaveAt: 0,
});

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

	return {...origins, recorded: origins.recorded.set(key, {...origin, recordedAt: now}), unsaved: [...origins.unsaved, key]};
};

/**
Finds the origin of a stream that this router began.

@param origins - The origins.
@param key - Key of the request that began the stream.
@returns The origin; undefined if this router does not know it.
*/
export const findOrigin = (origins: StreamOrigins, key: string): StreamOrigin | undefined => origins.recorded.get(key);

/** Forgets origins that are too old to be asked for; their rows are removed with a later save. */
const expireOrigins = (origins: StreamOrigins, now: number): StreamOrigins => {
	const old = origins.recorded.takeWhile(origin => now - origin.recordedAt >= retentionMs).keySeq().toArray();
	return old.length === 0
		? origins
		: {
			...origins,
			recorded: origins.recorded.skip(old.length),
			unsaved: origins.unsaved.filter(key => !old.includes(key)),
			expired: [...origins.expired, ...old],
		};
};

const encodeWrite = (origins: StreamOrigins, key: string): StoreWrite => {
	const {service = '', softwareVersion = ''} = origins.recorded.get(key) ?? {};
	return {...locateOrigin(key), version: undefined, value: JSON.stringify({service, softwareVersion})};
};

/**
Locates the row of an origin. Origins have a part of their own, so that their saves delay no other transaction.

@param key - Key of the request that began the stream.
@returns The key of the row.
*/
export const locateOrigin = (key: string): RowKey => ({table: 'streams', part: 'streams', key});

/**
Begins a save if one is due.

@param origins - The origins.
@param now - The current time in ms.
@returns The origins, and the writes of the save; none if there is nothing to save, or if a save is in progress.
*/
export const planSave = (origins: StreamOrigins, now: number): Readonly<{origins: StreamOrigins; writes: readonly StoreWrite[]}> => {
	if (origins.saving !== undefined || now < origins.nextSaveAt) {
		return {origins, writes: []};
	}

	const current = expireOrigins(origins, now);
	const saved = current.unsaved.slice(0, maxRowsPerSave);
	// Rows are removed only along with others, or once there are enough of them.
	const removed = saved.length > 0 || current.expired.length >= maxRowsPerSave ? current.expired.slice(0, maxRowsPerSave - saved.length) : [];
	return saved.length + removed.length === 0
		? {origins: current, writes: []}
		: {
			origins: {
				...current, unsaved: current.unsaved.slice(saved.length), expired: current.expired.slice(removed.length), saving: {saved, removed},
			},
			writes: [
				...saved.map(key => encodeWrite(current, key)),
				...removed.map(key => ({...locateOrigin(key), version: undefined, value: undefined})),
			],
		};
};

/**
Ends the save in progress.

@param origins - The origins.
@param isDone - False if the save failed or its outcome is unknown; it is repeated then.
@param routerCount - Number of routers that save origins.
@param now - The current time in ms.
@returns The origins.
*/
export const completeSave = (origins: StreamOrigins, isDone: boolean, routerCount: number, now: number): StreamOrigins => {
	const {saved, removed} = origins.saving ?? {saved: [], removed: []};
	return isDone
		? {...origins, saving: undefined, nextSaveAt: now + Math.max(minSaveIntervalMs, routerCount * 1000 / maxSavesPerSecond)}
		: {
			...origins,
			saving: undefined,
			nextSaveAt: now + retryDelayMs,
			unsaved: [...saved.filter(key => origins.recorded.has(key)), ...origins.unsaved],
			expired: [...removed, ...origins.expired],
		};
};

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
