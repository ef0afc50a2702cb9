import {Buffer} from 'node:buffer';
import {Map} from 'immutable';
import {z} from 'zod';
import {createValidationFault, fail, succeed} from '../errors/index.js';
import type {Result} from '../errors/index.js';
import type {StoredRow, StoreWrite} from '../store/index.js';
import type {PoisonNews} from './news.js';
import type {PoisonGuard} from './poison.js';

/** Table of the verdicts, by suspect, so that they outlast all processes. */
export const verdictTable = 'verdicts' satisfies StoreWrite['table'];

/** The rows of verdicts that this router has written or read. Times in ms. */
export type VerdictRows = Readonly<{
	/** When the verdict of each row was reached. */
	saved: Map<string, number>;
	/** The same once the save in progress is done. */
	saving: Map<string, number> | undefined;
	nextSaveAt: number;
	/** Verdicts of other routers whose rows the store may have lost; those routers may have ended. */
	lost: readonly string[];
}>;

/** Delay after a failed save. */
const retryDelayMs = 300;

/** Limits of the store: entries of a transaction, and bytes of a key. */
const maxRowsPerSave = 100;
const maxKeyBytes = 200;

/** Times of the store's monotonic clock, in ms. */
const verdictSchema = z.object({at: z.number(), until: z.number(), strikes: z.number().int().nonnegative()});

/**
Creates the rows of a process that has written and read none.

@returns The rows.
*/
export const createVerdictRows = (): VerdictRows => ({
	saved: Map(), saving: undefined, nextSaveAt: 0, lost: [],
});

/**
Begins a save if verdicts of this router are not saved yet, or if rows are no longer needed.

@param rows - The rows.
@param guard - The guard.
@param storeTimeOffset - What to add to a time to get that of the store's clock, in ms.
@param now - The current time in ms.
@returns The rows, and the writes of the save; none if there is nothing to save, or if a save is in progress.
*/
export const planVerdictSave = (rows: VerdictRows, guard: PoisonGuard, storeTimeOffset: number, now: number): Readonly<{rows: VerdictRows; writes: readonly StoreWrite[]}> => {
	if (rows.saving !== undefined || now < rows.nextSaveAt) {
		return {rows, writes: []};
	}

	const added = guard.verdicts.filter((verdict, suspect) =>
		(verdict.isOwn || rows.lost.includes(suspect)) && verdict.at !== rows.saved.get(suspect) && Buffer.byteLength(suspect) <= maxKeyBytes);
	const removed = rows.saved.filter((_, suspect) => !guard.verdicts.has(suspect));
	const writes: readonly StoreWrite[] = [
		...added.entrySeq().toArray().map(([key, {at, until, strikes}]): StoreWrite => ({
			table: verdictTable, key, version: undefined, value: JSON.stringify({at: Math.round(at + storeTimeOffset), until: Math.round(until + storeTimeOffset), strikes}),
		})),
		...removed.keySeq().toArray().map((key): StoreWrite => ({
			table: verdictTable, key, version: undefined, value: undefined,
		})),
	].slice(0, maxRowsPerSave);
	return writes.length === 0
		? {rows, writes}
		: {rows: {...rows, saving: rows.saved.deleteAll(removed.keys()).merge(added.map(({at}) => at))}, writes};
};

/**
Ends the save in progress.

@param rows - The rows.
@param isDone - False if the save failed or its outcome is unknown; it is repeated then.
@param now - The current time in ms.
@returns The rows.
*/
export const completeVerdictSave = (rows: VerdictRows, isDone: boolean, now: number): VerdictRows => isDone
	? {
		...rows, saved: rows.saving ?? rows.saved, lost: rows.saving === undefined ? rows.lost : rows.lost.filter(suspect => !rows.saving!.has(suspect)), saving: undefined,
	}
	: {...rows, saving: undefined, nextSaveAt: now + retryDelayMs};

/**
Forgets which verdicts are saved, after the store has come back from an older copy: they are saved again.

@param guard - The guard.
@param savesOthers - True for a router that also saves the verdicts that other routers have reached: these may have ended.
@returns The rows.
*/
export const resetSavedVerdicts = (guard: PoisonGuard, savesOthers: boolean): VerdictRows => ({
	...createVerdictRows(), lost: savesOthers ? guard.verdicts.filter(({isOwn}) => !isOwn).keySeq().toArray() : [],
});

const decodeVerdict = ({key, value = ''}: StoredRow): Result<z.output<typeof verdictSchema>> => {
	try {
		const parsed = verdictSchema.safeParse(JSON.parse(value));
		return parsed.success ? succeed(parsed.data) : fail(createValidationFault(parsed.error, `verdict ${key}`));
	} catch (error) {
		return fail({kind: 'bad-request', detail: `verdict ${key}: ${error instanceof Error ? error.message : 'is not valid JSON'}`});
	}
};

/**
Decodes the rows of verdicts.

@param rows - The rows.
@param storeTime - Time of the store's clock when they were read, in ms.
@returns The verdicts, and a fault that names the field for each row that cannot be read.
*/
export const decodeVerdicts = (rows: readonly StoredRow[], storeTime: number): Readonly<{verdicts: PoisonNews['verdicts']; faults: readonly string[]}> => {
	const decoded = rows.map(row => ({suspect: row.key, verdict: decodeVerdict(row)}));
	return {
		verdicts: decoded.flatMap(({suspect, verdict}) => verdict.ok
			? [{
				suspect, ageMs: Math.max(0, storeTime - verdict.val.at), remainingMs: verdict.val.until - storeTime, strikes: verdict.val.strikes,
			}]
			: []),
		faults: decoded.flatMap(({verdict}) => verdict.err ? [verdict.val.detail] : []),
	};
};
