import {Pool} from 'undici';
import {decodeRow, encodeCall, targetPrefix} from './protocol.js';
import type {Item} from './protocol.js';
import type {Row, StoreCall, StoreReply} from './rows.js';

/** Performs calls against the platform's table service. */
export type Table = Readonly<{
	call: (call: StoreCall) => Promise<StoreReply>;
	close: () => Promise<void>;
}>;

type TableOptions = Readonly<{
	/** For example `http://127.0.0.1:7400`. */
	address: string;
	tableName: string;
	/** Milliseconds after which a reply counts as lost. */
	timeout: number;
}>;

type WireReply = Readonly<{
	Responses?: ReadonlyArray<Readonly<{Item?: Item}>>;
	Items?: readonly Item[];
	LastEvaluatedKey?: Item;
	CancellationReasons?: ReadonlyArray<Readonly<{Code?: string}>>;
	__type?: string;
}>;

const maxConnections = 8;

const decodeFailure = (reply: WireReply): StoreReply => {
	const failed = (reply.CancellationReasons ?? []).flatMap((reason, index) => reason.Code === 'ConditionalCheckFailed' ? [index] : []);
	return failed.length > 0 ? {kind: 'conflict', failed} : {kind: 'lost'};
};

const decodeRows = (reply: WireReply): ReadonlyArray<Row | undefined> => {
	const fromGet = reply.Responses?.map(({Item: item}) => item === undefined ? undefined : decodeRow(item));
	return fromGet ?? reply.Items?.map(item => decodeRow(item)) ?? [];
};

/**
Opens a client of the table service. Any failure of the transport, a throttled
call included, is reported as `lost`; the caller reads back.

@param options - Where the service is, and how long to wait for it.
@returns The client.
*/
export const openTable = (options: TableOptions): Table => {
	const pool = new Pool(options.address, {connections: maxConnections, connectTimeout: options.timeout});

	const send = async (call: StoreCall): Promise<StoreReply> => {
		const {operation, body} = encodeCall(call, options.tableName);
		const response = await pool.request({
			method: 'POST',
			path: '/',
			headers: {'content-type': 'application/x-amz-json-1.0', 'x-amz-target': `${targetPrefix}${operation}`},
			body: JSON.stringify(body),
			headersTimeout: options.timeout,
			bodyTimeout: options.timeout,
			signal: AbortSignal.timeout(options.timeout),
		});
		const reply = await response.body.json() as WireReply;
		if (response.statusCode !== 200) {
			return decodeFailure(reply);
		}

		return call.kind === 'write' ? {kind: 'applied'} : readPages(call, reply);
	};

	/** Goes on with a query that the service has cut short of its limit. */
	const readPages = async (call: StoreCall, reply: WireReply): Promise<StoreReply> => {
		const rows = decodeRows(reply);
		if (call.kind !== 'query' || reply.LastEvaluatedKey === undefined || rows.length >= call.limit) {
			return {kind: 'rows', rows};
		}

		const rest = await send({...call, after: decodeRow(reply.LastEvaluatedKey).id, limit: call.limit - rows.length});
		return rest.kind === 'rows' ? {kind: 'rows', rows: [...rows, ...rest.rows]} : rest;
	};

	return {
		async call(call) {
			try {
				return await send(call);
			} catch {
				return {kind: 'lost'};
			}
		},
		async close() {
			await pool.destroy();
		},
	};
};
