import {sleep} from '../loop/sleep.js';
import type {StoreOperations} from '../platform/index.js';
import type {StoredRow} from '../store/index.js';

/** An event of a table's change feed. */
export type FeedEvent =
	/** All rows of the table. Changes made while several pages were read follow as `changes`. */
	| Readonly<{kind: 'all'; rows: readonly StoredRow[]}>
	/** Rows that changed since the last event. */
	| Readonly<{kind: 'changes'; rows: readonly StoredRow[]}>
	/** The first failed request after a successful one. */
	| Readonly<{kind: 'lost'; reason: string}>
	/** The first successful request after a failed one. */
	| Readonly<{kind: 'regained'}>;

/** Delay before a retry, in ms, so that a failing store is not overloaded by retries. */
const retryDelayMs = 150;

/**
Follows a table of the store until the process ends: reads all rows, then their
changes. When the store no longer has the change history, all rows are read again.

@param store - The store.
@param table - Name of the table.
@param onEvent - Called with each event, in order.
@returns A promise that never resolves.
*/
export const followTable = async (store: StoreOperations, table: string, onEvent: (event: FeedEvent) => void): Promise<never> => {
	let sinceVersion: number | undefined;
	let hasFailed = false;
	for (;;) {
		const isFullRead = sinceVersion === undefined;
		const reply = sinceVersion === undefined ? await store.read(table) : await store.follow(table, sinceVersion);
		if (reply.kind === 'done') {
			if (hasFailed) {
				onEvent({kind: 'regained'});
			}

			hasFailed = false;
			sinceVersion = Math.max(reply.version, sinceVersion ?? 0);
			onEvent({kind: isFullRead ? 'all' : 'changes', rows: reply.rows});
		} else {
			if (!hasFailed) {
				onEvent({kind: 'lost', reason: 'reason' in reply ? reply.reason : reply.kind});
			}

			hasFailed = true;
			sinceVersion = reply.kind === 'forgotten' ? undefined : sinceVersion;
			await sleep(retryDelayMs);
		}
	}
};
