import type {
	WriteCondition, JsonValue, TableKey, Row, StoreCall, TableWrite,
} from './rows.js';

/**
The part of the published DynamoDB JSON protocol (API version 2012-08-10) that the
fleet uses: TransactGetItems, TransactWriteItems and Query.

All rows are stored in one physical table. A row is an item with the attributes `pk`
(table), `sk` (id), `v` (version), `st` (state) and `d` (the body as JSON text).
*/

/** The service name and API version with which the `X-Amz-Target` header starts. */
export const targetPrefix = 'DynamoDB_20120810.';

type Attribute = Readonly<{S?: string; N?: string}>;

/** An item in the wire format: attributes by name. */
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

/** A request in the wire format: its operation and JSON body. */
export type WireCall = Readonly<{operation: string; body: unknown}>;

const conditionExpressions: Readonly<Record<Exclude<WriteCondition['kind'], 'any'>, string>> = {
	absent: 'attribute_not_exists(pk)',
	version: 'v = :v',
	state: 'st = :st',
};

const encodeCondition = (condition: WriteCondition): Expression => ({
	...(condition.kind !== 'any' && {ConditionExpression: conditionExpressions[condition.kind]}),
	...(condition.kind === 'version' && {ExpressionAttributeValues: {':v': {N: String(condition.version)}}}),
	...(condition.kind === 'state' && {ExpressionAttributeValues: {':st': {S: condition.state}}}),
});

const encodeKey = ({table, id}: TableKey): Item => ({pk: {S: table}, sk: {S: id}});

/**
Encodes a row as an item.

@param row - The row.
@returns The item in the wire format.
*/
export const encodeRow = (row: Row): Item => ({
	...encodeKey(row),
	v: {N: String(row.version)},
	d: {S: JSON.stringify(row.body)},
	...(row.state !== undefined && {st: {S: row.state}}),
});

/**
Decodes an item into a row.

@param item - The item in the wire format; attributes that are absent get default values.
@returns The row.
@throws SyntaxError if the body is not valid JSON.
*/
export const decodeRow = (item: Item): Row => ({
	table: item.pk?.S ?? '',
	id: item.sk?.S ?? '',
	version: Number(item.v?.N ?? '0'),
	body: JSON.parse(item.d?.S ?? 'null') as JsonValue,
	...(item.st?.S !== undefined && {state: item.st.S}),
});

const computeNextVersion = (condition: WriteCondition): number => condition.kind === 'version' ? condition.version + 1 : 1;

const encodeWrite: Readonly<Record<TableWrite['op'], (write: TableWrite, tableName: string) => TransactItem>> = {
	put: (write, tableName) => ({
		Put: {
			TableName: tableName,
			Item: encodeRow({
				table: write.table,
				id: write.id,
				version: computeNextVersion(write.condition),
				body: write.body ?? null,
				...(write.state !== undefined && {state: write.state}),
			}),
			...encodeCondition(write.condition),
		},
	}),
	delete: (write, tableName) => ({Delete: {TableName: tableName, Key: encodeKey(write), ...encodeCondition(write.condition)}}),
	check: (write, tableName) => ({ConditionCheck: {TableName: tableName, Key: encodeKey(write), ...encodeCondition(write.condition)}}),
};

const decodeCondition = (expression: Expression): WriteCondition => {
	const values = expression.ExpressionAttributeValues;
	const conditions: Readonly<Record<string, () => WriteCondition>> = {
		[conditionExpressions.absent]: () => ({kind: 'absent'}),
		[conditionExpressions.version]: () => ({kind: 'version', version: Number(values?.[':v']?.N)}),
		[conditionExpressions.state]: () => ({kind: 'state', state: values?.[':st']?.S ?? ''}),
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
Decodes one entry of TransactWriteItems.

@param item - The entry.
@returns The write.
@throws Error if the entry has no supported operation, or an unsupported condition expression.
*/
export const decodeWrite = (item: TransactItem): TableWrite => {
	if (item.Put !== undefined) {
		const row = decodeRow(item.Put.Item);
		return {
			table: row.table, id: row.id, op: 'put', condition: decodeCondition(item.Put), body: row.body, ...(row.state !== undefined && {state: row.state}),
		};
	}

	const keyedItem = item.Delete ?? item.ConditionCheck;
	if (keyedItem === undefined) {
		throw new Error('TransactItems entry has none of Put, Delete, ConditionCheck');
	}

	const {table, id} = decodeRow(keyedItem.Key);
	return {
		table, id, op: item.Delete === undefined ? 'check' : 'delete', condition: decodeCondition(keyedItem),
	};
};

/**
Encodes a call in the wire format.

@param call - The call.
@param tableName - The name of the physical table.
@returns The operation and its JSON body.
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
Decodes a call from the wire format.

@param operation - The `X-Amz-Target` header without `targetPrefix`.
@param body - The JSON body.
@returns The call.
@throws Error if the operation, an entry or a condition expression is not supported.
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
