import {Buffer} from 'node:buffer';
import {Agent, request} from 'node:http';
import type {Endpoint} from '../server/address.js';
import type {
	RowKey, StoredRow, StoreReply, StoreWrite,
} from '../store/index.js';

/** The one client of the platform's store. */
export type StoreClient = Readonly<{
	/** Applies all writes or none, each under the version that it names. */
	transact: (writes: readonly StoreWrite[]) => Promise<StoreReply>;
	/** Reads the rows of a table, all as of one moment. */
	read: (table: string) => Promise<StoreReply>;
	/** Waits for rows of a table that changed after a version. */
	follow: (table: string, after: number) => Promise<StoreReply>;
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

@param address - The store's address.
@returns The client.
*/
export const openStore = (address: Endpoint): StoreClient => {
	const agent = new Agent({keepAlive: true, maxFreeSockets: 4});

	const send = async (method: string, path: string, timeout: number, body?: string): Promise<StoreReply> => new Promise(resolve => {
		const outgoing = request({
			agent, host: address.host, port: address.port, method, path,
			headers: body === undefined ? {} : {'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(body)},
		});
		const lose = (reason: string) => {
			clearTimeout(timer);
			outgoing.destroy();
			resolve({kind: 'lost', reason});
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
					resolve(decodeReply({status, body: status === 200 || status === 412 ? JSON.parse(text) as WireReply : {}}));
				} catch {
					resolve({kind: 'lost', reason: `status ${status} with a body that is not JSON`});
				}
			});
		});
		outgoing.end(body);
	});

	const readFrom = async (table: string, from: string | undefined): Promise<StoreReply> => {
		const start = from === undefined ? '' : `&from=${encodeURIComponent(from)}`;
		return send('GET', `/v1/rows-get?table=${encodeURIComponent(table)}&part=&limit=${pageLimit}${start}`, callTimeout);
	};

	const readAll = async (table: string, before: readonly StoredRow[], version: number): Promise<StoreReply> => {
		const last = before.at(-1);
		// The smallest key above the last one read.
		const page = await readFrom(table, last === undefined ? undefined : `${last.key}\0`);
		if (page.kind !== 'done') {
			return page;
		}

		const rows = [...before, ...page.rows];
		// A feed from the first page's version repeats what changed between the pages.
		const first = before.length === 0 ? page.version : version;
		return page.rows.length === pageLimit ? readAll(table, rows, first) : {...page, rows, version: first};
	};

	return {
		async transact(writes) {
			const put = writes.filter(write => write.value !== undefined);
			return send('POST', '/v1/rows-tx', callTimeout, JSON.stringify({
				expectedRevision: writes.map(write => ({...encodeKey(write), ver: write.version})),
				writes: put.map(write => ({...encodeKey(write), value: Buffer.from(write.value!, 'utf8').toString('base64')})),
				remove: writes.filter(write => write.value === undefined).map(write => encodeKey(write)),
			}));
		},
		read: async table => readAll(table, [], 0),
		follow: async (table, after) => send('GET', `/v1/rows-feed?table=${encodeURIComponent(table)}&after=${after}&waitMs=${followWait}`, followWait + followSlack),
		close() {
			agent.destroy();
		},
	};
};
