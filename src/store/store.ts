/**
Interface to the platform's store. Rows have versions from a single counter, and
a transaction states the version of each row on which it is based (optimistic
concurrency control).
*/

import type {Result} from '../errors/index.js';

/** Table and key of a row, and the part of the table that it belongs to. Transactions on one part are applied one after another. */
export type RowKey = Readonly<{table: string; key: string; part?: string}>;

/** A row as read. `value` is undefined for a removed row. */
export type StoredRow = RowKey & Readonly<{version: number; value: string | undefined}>;

/** The tables that routers write. For each of them, `src/edge/restorations.ts` says who writes its rows again after the store has come back from an older copy. */
export type WrittenTable = 'budgets' | 'holds' | 'streams' | 'verdicts' | 'versions';

/** One write of a transaction. `version` is the required version of the row, 0 if the row must not exist, undefined if any will do. Without a value, the row is removed. */
export type StoreWrite = RowKey & Readonly<{table: WrittenTable; version: number | undefined; value: string | undefined}>;

/** How a reply came. */
export type ReplyTransfer = Readonly<{
	/** Size of its body in bytes; of all bodies, if it was read in pages. */
	bytes: number;
	/** Time from the request to the head of the reply, in ms. */
	waitMs: number;
	/** Time from the head to the last byte, in ms. */
	receiveMs: number;
}>;

/** Reply of the store. Times are of the store's monotonic clock, in ms. */
export type StoreReply =
	/** `era` rises each time that the store comes back from an older copy; versions then go back and are used again. */
	| Readonly<{kind: 'done'; rows: readonly StoredRow[]; version: number; now: number; era?: Result<number | undefined>; transfer?: ReplyTransfer}>
	/** A row had another version, and nothing was applied. `rows` are the current rows named in the transaction. */
	| Readonly<{kind: 'conflict'; rows: readonly StoredRow[]; now: number; era?: Result<number | undefined>}>
	/** The requested change history is no longer available. */
	| Readonly<{kind: 'forgotten'}>
	/** The reply is larger than the request allows; it was not received. `bytes` is the size that is known of it. */
	| Readonly<{kind: 'oversized'; bytes: number}>
	/** The request was not applied. */
	| Readonly<{kind: 'refused'; reason: string}>
	/** The outcome is unknown: the request may have been applied, or may be applied later. */
	| Readonly<{kind: 'lost'; reason: string}>;

/**
Gets the era of the store in which a reply was given.

@param reply - The reply.
@returns The era; undefined if the reply names none, or one that cannot be read.
*/
export const getEra = (reply: StoreReply): number | undefined => 'era' in reply ? reply.era?.unwrapOr(undefined) : undefined;

/**
Takes a reply of an earlier era for lost.

@param reply - The reply.
@param era - The latest era that is known, if any.
@returns The reply, or the reason why it does not count.
*/
export const rejectOutdated = (reply: StoreReply, era: number | undefined): StoreReply => {
	const replyEra = getEra(reply);
	return replyEra !== undefined && era !== undefined && replyEra < era ? {kind: 'lost', reason: `era: ${replyEra} after ${era}`} : reply;
};
