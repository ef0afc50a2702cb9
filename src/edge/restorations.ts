import type {WrittenTable} from '../store/index.js';
import {maxOriginSavesPerSecond} from '../stream-origin/index.js';
import {resetVerdictRows} from './poison.js';
import {resetOrigins, resetVersions} from './resume.js';
import type {EdgeState} from './state.js';

/**
How the rows of a table come back after the store has returned from an older copy, which lacks what was written since.
docs/design/store-restore.md has the reasons.
*/
type Restoration = Readonly<{
	/** Routers that write a row again: the one that wrote it, also the peer that it has told of it, also the first two live ones, or all. */
	writers: 'writer' | 'writer-and-peer' | 'writer-and-first-live' | 'all';
	/** Transactions per second of all routers together at the most, at any load; undefined if one of each router is enough. */
	maxTransactionsPerSecond: number | undefined;
	/** What a lost row means if its writers have ended before they could write it again. */
	ifWritersEnded: 'tokens-spent' | 'stream-not-resumable' | 'known-to-peers' | 'read-from-registry';
	/** Begins to write the rows again. */
	restore: (state: EdgeState, era: number | undefined, now: number) => EdgeState;
}>;

/** The quota learns of the new era from its own replies: it must know of it before its next transaction. */
const restoreWithNextTransaction = (state: EdgeState): EdgeState => state;

/** The restoration of each table that routers write. */
export const restorations: Readonly<Record<WrittenTable, Restoration>> = {
	holds: {
		writers: 'writer', maxTransactionsPerSecond: undefined, ifWritersEnded: 'tokens-spent', restore: restoreWithNextTransaction,
	},
	budgets: {
		writers: 'writer', maxTransactionsPerSecond: undefined, ifWritersEnded: 'tokens-spent', restore: restoreWithNextTransaction,
	},
	streams: {
		writers: 'writer-and-peer', maxTransactionsPerSecond: maxOriginSavesPerSecond, ifWritersEnded: 'stream-not-resumable', restore: resetOrigins,
	},
	versions: {
		writers: 'all', maxTransactionsPerSecond: undefined, ifWritersEnded: 'read-from-registry', restore: resetVersions,
	},
	verdicts: {
		writers: 'writer-and-first-live', maxTransactionsPerSecond: undefined, ifWritersEnded: 'known-to-peers', restore: resetVerdictRows,
	},
};

/**
Begins to write all rows of this router again, after the store has come back from an older copy.

@param state - The edge state.
@param era - The era that has begun; undefined if it is not known.
@param now - The current time in ms.
@returns The new state.
*/
export const restoreRows = (state: EdgeState, era: number | undefined, now: number): EdgeState =>
	Object.values(restorations).reduce((current, {restore}) => restore(current, era, now), state);
