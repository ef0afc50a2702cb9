import {Buffer} from 'node:buffer';
import {Agent, request} from 'node:http';
import {parseAddress} from '../server/address.js';
import type {Endpoint} from '../server/address.js';
import type {
	RowKey, StoredRow, StoreReply, StoreWrite,
} from '../store/index.js';

/** Calls to the platform's store. */
export type StoreCalls = Readonly<{
	/** Applies all writes or none, each under the version that it names. */
	transact: (writes: readonly StoreWrite[]) => Promise<StoreReply>;
	/** Reads the rows of a table, all as of one moment. */
	read: (table: string) => Promise<StoreReply>;
	/** Waits for rows of a table that changed after a version. */
	follow: (table: string, after: number) => Promise<StoreReply>;
}>;

/** The one client of the platform's store. */
export type StoreClient = Readonly<{
	/** Calls by an address: the store's own, or that of a relay before it. */
	at: (address: string) => StoreCalls;
	close: () => void;
}>;

/** Milliseconds until a call without an answer counts as lost: above the answer time of a store that is 50 times slower than usual. */
export const callTimeout = 1000;

/** Milliseconds that the store may hold a call of `follow`; short, so that a silent connection is noticed within the time in which configuration must be in force. */
export const followWait = 500;

/** Milliseconds beyond the wait until a call of `follow` counts as lost. */
const followSlack = 500;

/** Rows that the store returns in one answer at the most. */
const pageLimit = 500;

type WireRow = Readonly<{
	table: string; part: string; key: string;
	/** Base64. */
	value?: string;
	/** Drawn from one counter for the whole store. */
	ver: number;
	/** True in a feed for a row that is gone. */
	removed?: boolean;
}>;

type WireReply = Readonly<{
	rows?: readonly WireRow[];
	morePages?: boolean;
	/** The newest version in the store. */
	ver?: number;
	/** The store's steady clock. */
	nowMs?: number;
}>;

const decodeRow = (row: WireRow): StoredRow => ({
	table: row.table,
	key: row.key,
	version: row.ver,
	value: row.removed === true || row.value === undefined ? undefined : Buffer.from(row.value, 'base64').toString('utf8'),
});

const encodeKey = (key: RowKey) => ({table: key.table, part: '', key: key.key});

type Answer = Readonly<{status: number; body: WireReply}>;

/** A call of the store's protocol. `timeout` in ms. */
type Call = Readonly<{method: string; path: string; timeout: number; body?: string}>;

/** What came back, and whether a read has further pages. */
type Answered = Readonly<{reply: StoreReply; hasMore: boolean}>;

/** From the store's status codes to what they say of the call. */
const replies: Readonly<Record<number, (body: WireReply) => StoreReply>> = {
	200: body => ({
		kind: 'done', rows: (body.rows ?? []).map(row => decodeRow(row)), version: body.ver ?? 0, now: body.nowMs ?? 0,
	}),
	410: () => ({kind: 'forgotten'}),
	412: body => ({kind: 'conflict', rows: (body.rows ?? []).map(row => decodeRow(row)), now: body.nowMs ?? 0}),
	429: () => ({kind: 'refused', reason: 'status 429'}),
	503: () => ({kind: 'refused', reason: 'status 503'}),
};

const decodeReply = ({status, body}: Answer): StoreReply =>
	replies[status]?.(body) ?? {kind: 'lost', reason: `status ${status}`};

/**
Opens the client.

@returns The client.
*/
export const openStore = (): StoreClient => {
	const agent = new Agent({keepAlive: true, maxFreeSockets: 4});

	const send = async ({host, port}: Endpoint, call: Call): Promise<Answered> => new Promise(resolve => {
		const {method, path, timeout, body} = call;
		const outgoing = request({
			agent, host, port, method, path,
			headers: body === undefined ? {} : {'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(body)},
		});
		const lose = (reason: string) => {
			clearTimeout(timer);
			outgoing.destroy();
			resolve({reply: {kind: 'lost', reason}, hasMore: false});
		};

		const timer = setTimeout(lose, timeout, `no answer within ${timeout} ms`);
		outgoing.on('error', error => {
			lose(error.message);
		});
		outgoing.on('response', incoming => {
			const chunks: Buffer[] = [];
			incoming.on('data', (chunk: Buffer) => {
				chunks.push(chunk);
			});
			incoming.on('error', error => {
				lose(error.message);
			});
			incoming.on('end', () => {
				clearTimeout(timer);
				const status = incoming.statusCode ?? 0;
				try {
					const text = Buffer.concat(chunks).toString('utf8');
					const wire = status === 200 || status === 412 ? JSON.parse(text) as WireReply : {};
					resolve({reply: decodeReply({status, body: wire}), hasMore: wire.morePages === true});
				} catch {
					resolve({reply: {kind: 'lost', reason: `status ${status} with a body that is not JSON`}, hasMore: false});
				}
			});
		});
		outgoing.end(body);
	});

	const readPage = async (at: Endpoint, table: string, from: string | undefined): Promise<Answered> => {
		const start = from === undefined ? '' : `&from=${encodeURIComponent(from)}`;
		return send(at, {method: 'GET', path: `/v1/rows-get?table=${encodeURIComponent(table)}&part=&limit=${pageLimit}${start}`, timeout: callTimeout});
	};

	const readAll = async (at: Endpoint, table: string, before: readonly StoredRow[], version: number): Promise<StoreReply> => {
		const last = before.at(-1);
		// The smallest key above the last one read.
		const {reply, hasMore} = await readPage(at, table, last === undefined ? undefined : `${last.key}\0`);
		if (reply.kind !== 'done') {
			return reply;
		}

		const rows = [...before, ...reply.rows];
		// A feed from the first page's version repeats what changed between the pages.
		const first = before.length === 0 ? reply.version : version;
		return hasMore && reply.rows.length > 0 ? readAll(at, table, rows, first) : {...reply, rows, version: first};
	};

	const openCalls = (at: Endpoint): StoreCalls => ({
		async transact(writes) {
			const put = writes.filter(write => write.value !== undefined);
			const body = JSON.stringify({
				expectedRevision: writes.map(write => ({...encodeKey(write), ver: write.version})),
				writes: put.map(write => ({...encodeKey(write), value: Buffer.from(write.value!, 'utf8').toString('base64')})),
				remove: writes.filter(write => write.value === undefined).map(write => encodeKey(write)),
			});
			const {reply} = await send(at, {
				method: 'POST', path: '/v1/rows-tx', timeout: callTimeout, body,
			});
			return reply;
		},
		read: async table => readAll(at, table, [], 0),
		async follow(table, after) {
			const {reply} = await send(at, {
				method: 'GET', path: `/v1/rows-feed?table=${encodeURIComponent(table)}&after=${after}&waitMs=${followWait}`, timeout: followWait + followSlack,
			});
			return reply;
		},
	});

	return {
		at: address => openCalls(parseAddress(address)),
		close() {
			agent.destroy();
		},
	};
};
