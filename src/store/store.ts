/**
What the fleet asks of the platform's store: rows with versions from one
counter, changed by transactions that each name the versions they were decided on.
*/

/** Where a row lives. */
export type RowKey = Readonly<{table: string; key: string}>;

/** A row as read; `value` is undefined for one that is gone. */
export type StoredRow = RowKey & Readonly<{version: number; value: string | undefined}>;

/** One part of a transaction. `version` is the one that the row must have, 0 for no row; no value removes it. */
export type StoreWrite = RowKey & Readonly<{version: number; value: string | undefined}>;

/** What came back. Times are of the store's steady clock, in ms. */
export type StoreReply =
	| Readonly<{kind: 'done'; rows: readonly StoredRow[]; version: number; now: number}>
	/** A row had another version: nothing was done. The rows are those that the transaction named. */
	| Readonly<{kind: 'conflict'; rows: readonly StoredRow[]; now: number}>
	/** The history that was asked for is no longer kept. */
	| Readonly<{kind: 'forgotten'}>
	/** Nothing was done. */
	| Readonly<{kind: 'refused'; reason: string}>
	/** Nothing is known: the call may have been done, or may be done later. */
	| Readonly<{kind: 'lost'; reason: string}>;
