import {sleep} from '../loop/sleep.js';
import type {StoreOperations} from '../platform/index.js';
import type {
	RowKey, StoredRow, StoreReply, StoreWrite,
} from '../store/index.js';

/** Time for which a feed waits for changes, in ms. No row that is followed ever changes. */
const feedWaitMs = 500;

const formatKey = ({table, part = '', key}: RowKey): string => JSON.stringify([table, part, key]);

/**
Creates a store in memory, with the transactions of the platform's one.

@param rows - Its first rows.
@returns The operations.
*/
export const createMemoryStore = (rows: readonly StoredRow[]): StoreOperations => {
	const stored = new Map(rows.map(row => [formatKey(row), row]));
	let version = 1;
	const reply = (selected: readonly StoredRow[]): StoreReply => ({
		kind: 'done', rows: selected, version, now: performance.now(),
	});
	const getVersion = (write: StoreWrite): number => stored.get(formatKey(write))?.version ?? 0;
	return {
		async transact(writes) {
			if (writes.some(write => write.version !== undefined && write.version !== getVersion(write))) {
				return {kind: 'conflict', rows: writes.flatMap(write => stored.get(formatKey(write)) ?? []), now: performance.now()};
			}

			version += 1;
			writes.forEach(write => {
				if (write.value === undefined) {
					stored.delete(formatKey(write));
				} else {
					stored.set(formatKey(write), {...write, version});
				}
			});
			return reply([]);
		},
		read: async table => reply([...stored.values()].filter(row => row.table === table)),
		async readRow(key) {
			const row = stored.get(formatKey(key));
			return reply(row === undefined ? [] : [row]);
		},
		async follow() {
			await sleep(feedWaitMs);
			return reply([]);
		},
	};
};
