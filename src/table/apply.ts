import type {Map} from 'immutable';
import {formatKey} from './rows.js';
import type {
	WriteCondition, Row, StoreCall, StoreReply, TableWrite,
} from './rows.js';

/** All rows of a table service, keyed by `formatKey`. */
export type Rows = Map<string, Row>;

const conditionChecks: Readonly<Record<WriteCondition['kind'], (row: Row | undefined, condition: WriteCondition) => boolean>> = {
	any: () => true,
	absent: row => row === undefined,
	version: (row, condition) => condition.kind === 'version' && row?.version === condition.version,
	state: (row, condition) => condition.kind === 'state' && row?.state === condition.state,
};

const writeRow = (rows: Rows, write: TableWrite): Rows => {
	const rowName = formatKey(write);
	const version = (rows.get(rowName)?.version ?? 0) + 1;
	const row: Row = {
		table: write.table,
		id: write.id,
		version,
		body: write.body ?? null,
		...(write.state !== undefined && {state: write.state}),
	};
	return rows.set(rowName, row);
};

const applyWrite: Readonly<Record<TableWrite['op'], (rows: Rows, write: TableWrite) => Rows>> = {
	put: writeRow,
	delete: (rows, write) => rows.delete(formatKey(write)),
	check: rows => rows,
};

const selectRows = (rows: Rows, table: string, prefix: string, after: string | undefined, limit: number): readonly Row[] =>
	[...rows.values()]
		.filter(row => row.table === table && row.id.startsWith(prefix) && (after === undefined || row.id > after))
		.toSorted((a, b) => (a.id < b.id ? -1 : 1))
		.slice(0, limit);

/**
Applies one call as a transactional table service does: either all of its writes
take effect, or none.

@param rows - The rows before the call.
@param call - The call.
@returns The rows after the call, and the reply.
*/
export const applyCall = (rows: Rows, call: StoreCall): Readonly<{rows: Rows; reply: StoreReply}> => {
	if (call.kind === 'read') {
		return {rows, reply: {kind: 'rows', rows: call.keys.map(key => rows.get(formatKey(key)))}};
	}

	if (call.kind === 'query') {
		return {rows, reply: {kind: 'rows', rows: selectRows(rows, call.table, call.prefix, call.after, call.limit)}};
	}

	const failed = call.writes.flatMap((write, index) =>
		conditionChecks[write.condition.kind](rows.get(formatKey(write)), write.condition) ? [] : [index]);
	if (failed.length > 0) {
		return {rows, reply: {kind: 'conflict', failed}};
	}

	const next = call.writes.reduce((current, write) => applyWrite[write.op](current, write), rows);
	return {rows: next, reply: {kind: 'applied'}};
};
