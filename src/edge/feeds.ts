import {sleep} from '../loop/sleep.js';
import type {StoreCalls} from '../platform/index.js';
import type {StoredRow} from '../store/index.js';

/** What following a table brings. */
export type FeedEvent =
	/** All rows, as of one moment. */
	| Readonly<{kind: 'all'; rows: readonly StoredRow[]}>
	/** Rows that changed since. */
	| Readonly<{kind: 'changes'; rows: readonly StoredRow[]}>
	/** The first call that failed since one that did not. */
	| Readonly<{kind: 'lost'; reason: string}>
	/** The first call that succeeded since one that did not. */
	| Readonly<{kind: 'regained'}>;

/** Milliseconds after a call that failed, so that a store in trouble is not asked at full speed. */
const retryDelay = 150;

/**
Follows a table of the store until the process ends: first all rows, then what
changes. When the store no longer has the history, all rows are read again.

@param store - The store.
@param table - The table.
@param take - Told each event in order.
*/
export const followTable = async (store: StoreCalls, table: string, take: (event: FeedEvent) => void): Promise<never> => {
	let after: number | undefined;
	let isLost = false;
	for (;;) {
		const isWhole = after === undefined;
		const reply = after === undefined ? await store.read(table) : await store.follow(table, after);
		if (reply.kind === 'done') {
			if (isLost) {
				take({kind: 'regained'});
			}

			isLost = false;
			after = Math.max(reply.version, after ?? 0);
			take({kind: isWhole ? 'all' : 'changes', rows: reply.rows});
		} else {
			if (!isLost) {
				take({kind: 'lost', reason: 'reason' in reply ? reply.reason : reply.kind});
			}

			isLost = true;
			after = reply.kind === 'forgotten' ? undefined : after;
			await sleep(retryDelay);
		}
	}
};
