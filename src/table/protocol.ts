import type {
	Condition, Json, Key, Row, StoreCall, Write,
} from './rows.js';

/**
The part of the published DynamoDB JSON protocol (API version 2012-08-10) that
the fleet speaks: TransactGetItems, TransactWriteItems and Query.

Every row is an item with `pk` (table), `sk` (id), `v` (version), `st` (state)
and `d` (the body as JSON text), all in one physical table.
*/

/** The service name and API version that `X-Amz-Target` starts with. */
export const targetPrefix = 'DynamoDB_20120810.';

type Attribute = Readonly<{S?: string; N?: string}>;

/** An item on the wire. */
export type Item = Readonly<Record<string, Attribute>>;

type Expression = Readonly<{
	ConditionExpression?: string;
	ExpressionAttributeValues?: Item;
}>;

/** One entry of TransactWriteItems. */
export type TransactItem = Readonly<{
	Put?: Expression & Readonly<{TableName: string; Item: Item}>;
	Delete?: Expression & Readonly<{TableName: string; Key: Item}>;
	ConditionCheck?: Expression & Readonly<{TableName: string; Key: Item}>;
}>;

/** A request on the wire: its operation and its JSON body. */
export type WireCall = Readonly<{operation: string; body: unknown}>;

const conditionText: Readonly<Record<Exclude<Condition['kind'], 'any'>, string>> = {
	absent: 'attribute_not_exists(pk)',
	version: 'v = :v',
	state: 'st = :st',
};

const encodeCondition = (condition: Condition): Expression => ({
	...(condition.kind !== 'any' && {ConditionExpression: conditionText[condition.kind]}),
	...(condition.kind === 'version' && {ExpressionAttributeValues: {':v': {N: String(condition.version)}}}),
	...(condition.kind === 'state' && {ExpressionAttributeValues: {':st': {S: condition.state}}}),
});

const encodeKey = ({table, id}: Key): Item => ({pk: {S: table}, sk: {S: id}});

/**
Writes a row as an item.

@param row - The row.
@returns The item.
*/
export const encodeRow = (row: Row): Item => ({
	...encodeKey(row),
	v: {N: String(row.version)},
	d: {S: JSON.stringify(row.body)},
	...(row.state !== undefined && {st: {S: row.state}}),
});

/**
Reads an item as a row.

@param item - The item.
@returns The row.
*/
export const decodeRow = (item: Item): Row => ({
	table: item.pk?.S ?? '',
	id: item.sk?.S ?? '',
	version: Number(item.v?.N ?? '0'),
	body: JSON.parse(item.d?.S ?? 'null') as Json,
	...(item.st?.S !== undefined && {state: item.st.S}),
});

const computeVersion = (condition: Condition): number => condition.kind === 'version' ? condition.version + 1 : 1;

const encodeWrite: Readonly<Record<Write['op'], (write: Write, tableName: string) => TransactItem>> = {
	put: (write, tableName) => ({
		Put: {
			TableName: tableName,
			Item: encodeRow({
				table: write.table,
				id: write.id,
				version: computeVersion(write.condition),
				body: write.body ?? null,
				...(write.state !== undefined && {state: write.state}),
			}),
			...encodeCondition(write.condition),
		},
	}),
	delete: (write, tableName) => ({Delete: {TableName: tableName, Key: encodeKey(write), ...encodeCondition(write.condition)}}),
	check: (write, tableName) => ({ConditionCheck: {TableName: tableName, Key: encodeKey(write), ...encodeCondition(write.condition)}}),
};

const decodeCondition = (expression: Expression): Condition => {
	const values = expression.ExpressionAttributeValues;
	const conditions: Readonly<Record<string, () => Condition>> = {
		[conditionText.absent]: () => ({kind: 'absent'}),
		[conditionText.version]: () => ({kind: 'version', version: Number(values?.[':v']?.N)}),
		[conditionText.state]: () => ({kind: 'state', state: values?.[':st']?.S ?? ''}),
	};
	if (expression.ConditionExpression === undefined) {
		return {kind: 'any'};
	}

	const decode = conditions[expression.ConditionExpression];
	if (decode === undefined) {
		throw new Error(`ConditionExpression "${expression.ConditionExpression}" is not supported`);
	}

	return decode();
};

/**
Reads one entry of TransactWriteItems.

@param item - The entry.
@returns The write it stands for.
*/
export const decodeWrite = (item: TransactItem): Write => {
	if (item.Put !== undefined) {
		const row = decodeRow(item.Put.Item);
		return {
			table: row.table, id: row.id, op: 'put', condition: decodeCondition(item.Put), body: row.body, ...(row.state !== undefined && {state: row.state}),
		};
	}

	const other = item.Delete ?? item.ConditionCheck;
	if (other === undefined) {
		throw new Error('TransactItems entry has none of Put, Delete, ConditionCheck');
	}

	const {table, id} = decodeRow(other.Key);
	return {
		table, id, op: item.Delete === undefined ? 'check' : 'delete', condition: decodeCondition(other),
	};
};

/**
Writes a call in the wire protocol.

@param call - The call.
@param tableName - The physical table.
@returns The operation and its body.
*/
export const encodeCall = (call: StoreCall, tableName: string): WireCall => {
	if (call.kind === 'read') {
		return {
			operation: 'TransactGetItems',
			body: {TransactItems: call.keys.map(key => ({Get: {TableName: tableName, Key: encodeKey(key)}}))},
		};
	}

	if (call.kind === 'write') {
		return {
			operation: 'TransactWriteItems',
			body: {TransactItems: call.writes.map(write => encodeWrite[write.op](write, tableName))},
		};
	}

	return {
		operation: 'Query',
		body: {
			TableName: tableName,
			ConsistentRead: true,
			KeyConditionExpression: 'pk = :pk AND begins_with(sk, :sk)',
			ExpressionAttributeValues: {':pk': {S: call.table}, ':sk': {S: call.prefix}},
			Limit: call.limit,
			...(call.after !== undefined && {ExclusiveStartKey: encodeKey({table: call.table, id: call.after})}),
		},
	};
};

type WireBody = Readonly<{
	TransactItems?: ReadonlyArray<TransactItem & Readonly<{Get?: Readonly<{Key: Item}>}>>;
	ExpressionAttributeValues?: Item;
	Limit?: number;
	ExclusiveStartKey?: Item;
}>;

/**
Reads a call from the wire protocol.

@param operation - The operation after the target prefix.
@param body - The JSON body.
@returns The call.
*/
export const decodeCall = (operation: string, body: WireBody): StoreCall => {
	const items = body.TransactItems ?? [];
	const operations: Readonly<Record<string, () => StoreCall>> = {
		TransactGetItems: () => ({
			kind: 'read',
			keys: items.map(item => {
				const {table, id} = decodeRow(item.Get?.Key ?? {});
				return {table, id};
			}),
		}),
		TransactWriteItems: () => ({kind: 'write', writes: items.map(item => decodeWrite(item))}),
		Query: () => ({
			kind: 'query',
			table: body.ExpressionAttributeValues?.[':pk']?.S ?? '',
			prefix: body.ExpressionAttributeValues?.[':sk']?.S ?? '',
			limit: body.Limit ?? 100,
			...(body.ExclusiveStartKey !== undefined && {after: decodeRow(body.ExclusiveStartKey).id}),
		}),
	};
	const decode = operations[operation];
	if (decode === undefined) {
		throw new Error(`operation "${operation}" is not supported`);
	}

	return decode();
};
