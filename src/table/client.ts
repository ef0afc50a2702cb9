import {Pool} from 'undici';
import {decodeRow, encodeCall, targetPrefix} from './protocol.js';
import type {Item} from './protocol.js';
import type {Row, StoreCall, StoreReply} from './rows.js';

/** A client of the platform's table service. */
export type TableClient = Readonly<{
	/** Executes a call; never rejects, since failures resolve to `lost`. */
	call: (call: StoreCall) => Promise<StoreReply>;
	close: () => Promise<void>;
}>;

type TableOptions = Readonly<{
	/** Base URL of the service, for example `http://127.0.0.1:7400`. */
	address: string;
	/** The physical table that holds all rows. */
	tableName: string;
	/** Time after which a reply counts as lost, in milliseconds. */
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

/** Maximum size of a reply, in bytes. */
const maxReplyBytes = 16 * 1024 * 1024;

const decodeFailure = (reply: WireReply): StoreReply => {
	const failed = (reply.CancellationReasons ?? []).flatMap((reason, index) => reason.Code === 'ConditionalCheckFailed' ? [index] : []);
	return failed.length > 0 ? {kind: 'conflict', failed} : {kind: 'lost'};
};

const decodeRows = (reply: WireReply): ReadonlyArray<Row | undefined> => {
	const readRows = reply.Responses?.map(({Item: item}) => item === undefined ? undefined : decodeRow(item));
	return readRows ?? reply.Items?.map(item => decodeRow(item)) ?? [];
};

/**
Opens a client of the table service. Transport failures, timeouts and throttled calls
are reported as `lost`; the calling code must read the rows again to learn whether a
write was applied.

@param options - The address, the physical table and the timeout in milliseconds.
@returns The client.
*/
export const createTableClient = (options: TableOptions): TableClient => {
	const pool = new Pool(options.address, {connections: maxConnections, connectTimeout: options.timeout, maxResponseSize: maxReplyBytes});

	const sendCall = async (call: StoreCall): Promise<StoreReply> => {
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

		return call.kind === 'write' ? {kind: 'applied'} : readRemainingPages(call, reply);
	};

	/** Fetches the remaining pages of a query for which the service returned fewer rows than the limit. */
	const readRemainingPages = async (call: StoreCall, reply: WireReply): Promise<StoreReply> => {
		const rows = decodeRows(reply);
		if (call.kind !== 'query' || reply.LastEvaluatedKey === undefined || rows.length >= call.limit) {
			return {kind: 'rows', rows};
		}

		const remainder = await sendCall({...call, after: decodeRow(reply.LastEvaluatedKey).id, limit: call.limit - rows.length});
		return remainder.kind === 'rows' ? {kind: 'rows', rows: [...rows, ...remainder.rows]} : remainder;
	};

	return {
		async call(call) {
			try {
				return await sendCall(call);
			} catch {
				return {kind: 'lost'};
			}
		},
		async close() {
			await pool.destroy();
		},
	};
};
