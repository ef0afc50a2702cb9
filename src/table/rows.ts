/**
What the fleet asks of the platform's transactional table service.

A row has a version that grows by one with each write; every write names the
version it was decided on, so a transaction applies to what was read or not at all.
*/

/** A JSON value. */
export type Json = string | number | boolean | null | readonly Json[] | {readonly [key: string]: Json | undefined};

/** Where a row lives. */
export type Key = Readonly<{table: string; id: string}>;

/** A row as read. `state` is kept apart so that a transaction can require it. */
export type Row = Key & Readonly<{version: number; state?: string; body: Json}>;

/** What must hold of a row for the transaction to apply. */
export type Condition =
	| Readonly<{kind: 'any'}>
	| Readonly<{kind: 'absent'}>
	| Readonly<{kind: 'version'; version: number}>
	| Readonly<{kind: 'state'; state: string}>;

/** One part of a transaction. `check` writes nothing. */
export type Write = Key & Readonly<{
	op: 'put' | 'delete' | 'check';
	condition: Condition;
	state?: string;
	body?: Json;
}>;

/** A call to the table service. */
export type StoreCall =
	| Readonly<{kind: 'read'; keys: readonly Key[]}>
	| Readonly<{kind: 'query'; table: string; prefix: string; after?: string; limit: number}>
	| Readonly<{kind: 'write'; writes: readonly Write[]}>;

/**
What came back. `lost` means that nothing is known: a write may have taken
effect, or may still take effect later.
*/
export type StoreReply =
	| Readonly<{kind: 'rows'; rows: ReadonlyArray<Row | undefined>}>
	| Readonly<{kind: 'applied'}>
	| Readonly<{kind: 'conflict'; failed: readonly number[]}>
	| Readonly<{kind: 'lost'}>;

/** Rows that one transaction may touch at the most. */
export const maxWritesPerTransaction = 100;

/**
Builds the conditional write of a row that was read before.

@param key - Where the row lives.
@param version - The version that was read; 0 if there was no row.
@param body - The new body.
@param state - The new state, where the row has one.
@returns The write.
*/
export const putRow = (key: Key, version: number, body: Json, state?: string): Write => ({
	table: key.table,
	id: key.id,
	op: 'put',
	condition: version === 0 ? {kind: 'absent'} : {kind: 'version', version},
	body,
	...(state !== undefined && {state}),
});

/**
Builds the write of a row whose older value does not matter, since another row
of the same transaction guards it.

@param key - Where the row lives.
@param body - The new body.
@returns The write.
*/
export const replaceRow = (key: Key, body: Json): Write => ({
	table: key.table, id: key.id, op: 'put', condition: {kind: 'any'}, body,
});

/**
Builds the removal of a row that was read before.

@param key - Where the row lives.
@param version - The version that was read.
@returns The write.
*/
export const deleteRow = (key: Key, version: number): Write => ({
	table: key.table, id: key.id, op: 'delete', condition: {kind: 'version', version},
});

/**
Builds a requirement on a row's state.

@param key - Where the row lives.
@param state - The state it must have.
@returns A write that changes nothing.
*/
export const requireState = (key: Key, state: string): Write => ({
	table: key.table, id: key.id, op: 'check', condition: {kind: 'state', state},
});

/**
Names a row in one string.

@param key - Where the row lives.
@returns The name.
*/
export const formatKey = ({table, id}: Key): string => `${table}/${id}`;
