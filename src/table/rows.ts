/**
The operations that the fleet needs from the platform's transactional table service.

Concurrency control is optimistic: a row's version increases by one with each write,
and a conditional write names the version that was read, so that a transaction takes
effect only if the rows have not changed since.
*/

/** A JSON value. */
export type JsonValue = string | number | boolean | null | readonly JsonValue[] | {readonly [key: string]: JsonValue | undefined};

/** The key of a row: its table, and its id within the table. */
export type TableKey = Readonly<{table: string; id: string}>;

/** A row. `state` is separate from the body, so that a transaction can have a condition on it. */
export type Row = TableKey & Readonly<{version: number; state?: string; body: JsonValue}>;

/** A condition on a row that must hold for the transaction to be applied. */
export type WriteCondition =
	| Readonly<{kind: 'any'}>
	| Readonly<{kind: 'absent'}>
	| Readonly<{kind: 'version'; version: number}>
	| Readonly<{kind: 'state'; state: string}>;

/** One item of a transaction. `check` only evaluates the condition and writes nothing. */
export type TableWrite = TableKey & Readonly<{
	op: 'put' | 'delete' | 'check';
	condition: WriteCondition;
	state?: string;
	body?: JsonValue;
}>;

/** A call to the table service. `limit` is the maximum number of rows, and `after` the id after which a query continues. */
export type StoreCall =
	| Readonly<{kind: 'read'; keys: readonly TableKey[]}>
	| Readonly<{kind: 'query'; table: string; prefix: string; after?: string; limit: number}>
	| Readonly<{kind: 'write'; writes: readonly TableWrite[]}>;

/**
The outcome of a call. `conflict` lists the indexes of the writes whose condition failed.
`lost` means that the outcome is unknown: a write may have been applied, or may still
be applied later.
*/
export type StoreReply =
	| Readonly<{kind: 'rows'; rows: ReadonlyArray<Row | undefined>}>
	| Readonly<{kind: 'applied'}>
	| Readonly<{kind: 'conflict'; failed: readonly number[]}>
	| Readonly<{kind: 'lost'}>;

/** Maximum number of items in a transaction, a limit of the DynamoDB API. */
export const maxWritesPerTransaction = 100;

/**
Builds a conditional write of a row that was read before.

@param key - The key of the row.
@param version - The version that was read; 0 if the row did not exist.
@param body - The new body.
@param state - The new state, for rows that have one.
@returns The write, which fails if the row has changed since it was read.
*/
export const putRow = (key: TableKey, version: number, body: JsonValue, state?: string): TableWrite => ({
	table: key.table,
	id: key.id,
	op: 'put',
	condition: version === 0 ? {kind: 'absent'} : {kind: 'version', version},
	body,
	...(state !== undefined && {state}),
});

/**
Builds an unconditional write of a row, for transactions in which a condition on
another row already protects this one.

@param key - The key of the row.
@param body - The new body.
@returns The write.
*/
export const replaceRow = (key: TableKey, body: JsonValue): TableWrite => ({
	table: key.table, id: key.id, op: 'put', condition: {kind: 'any'}, body,
});

/**
Builds a conditional deletion of a row that was read before.

@param key - The key of the row.
@param version - The version that was read.
@returns The write, which fails if the row has changed since it was read.
*/
export const deleteRow = (key: TableKey, version: number): TableWrite => ({
	table: key.table, id: key.id, op: 'delete', condition: {kind: 'version', version},
});

/**
Builds a condition on the state of a row.

@param key - The key of the row.
@param state - The required state.
@returns A `check`, which changes nothing.
*/
export const requireState = (key: TableKey, state: string): TableWrite => ({
	table: key.table, id: key.id, op: 'check', condition: {kind: 'state', state},
});

/**
Formats the key of a row as one string.

@param key - The key of the row.
@returns The string `table/id`.
*/
export const formatKey = ({table, id}: TableKey): string => `${table}/${id}`;
