import {Buffer} from 'node:buffer';
import {request} from 'node:http';
import {createByteBuffer} from '../byte-buffer/index.js';
import {createAllowance, findPieceExcess, takePiece} from '../byte-buffer/pieces.js';
import {createFault, fail, succeed} from '../errors/index.js';
import type {Result} from '../errors/index.js';
import {startTimeout} from '../loop/timeout.js';
import {parseAddress} from '../server/address.js';
import type {SocketAddress} from '../server/address.js';
import {createAgent, limitResponses} from '../server/http-client.js';
import {computeTransferWait, getEra} from '../store/index.js';
import type {
	ReplyTransfer, RowKey, StoredRow, StoreReply, StoreWrite,
} from '../store/index.js';

/** Options of a request to the store. */
export type StoreRequestOptions = Readonly<{
	/** Called when a reply begins that carries an outcome. */
	onBegin?: () => void;
	/** Gives up the reply. */
	signal?: AbortSignal;
}>;

/** Operations of the platform's store. */
export type StoreOperations = Readonly<{
	/** Applies all writes atomically, provided that each row has the version that its write states. */
	transact: (writes: readonly StoreWrite[], options?: StoreRequestOptions) => Promise<StoreReply>;
	/** Reads all rows of a table. Rows that change while several pages are read are repeated by `follow` from the returned version. */
	read: (table: string, options?: StoreRequestOptions) => Promise<StoreReply>;
	/** Reads one row; the reply has no rows if it does not exist. */
	readRow: (key: RowKey, options?: StoreRequestOptions) => Promise<StoreReply>;
	/** Waits for rows of a table that changed after the given version (long polling). A reply may contain several versions of a row; one that is larger than `maxBytes` is `oversized`. */
	follow: (table: string, after: number, maxBytes?: number) => Promise<StoreReply>;
}>;

/** Client of the platform's store. */
export type StoreClient = Readonly<{
	/** Returns the operations through the given address, which is the store's own or that of a relay. */
	forAddress: (address: string) => StoreOperations;
	close: () => void;
}>;

/** Time until a reply must begin. Above the response time of a store that is 50 times slower than usual. */
export const requestTimeoutMs = 1000;

/** Time that the store may delay its reply to `follow`. Short, so that a dead connection is noticed before a new configuration has to be in force. */
export const followWaitMs = 500;

/** Time beyond `followWaitMs` until which the reply to a `follow` request must begin. */
const followMarginMs = 500;

/** Maximum number of rows in a page. */
const maxPageRows = 500;

/** Bytes that are read from a connection at a time. */
const readBytes = 65_536;

/** Maximum size of a reply, in bytes. */
const maxReplyBytes = 16 * 1024 * 1024;

type WireRow = Readonly<{
	table: string; part: string; key: string;
	/** Base64. */
	value?: string;
	/** Taken from a single counter for the whole store. */
	ver: number;
	/** True in a change feed for a removed row. */
	removed?: boolean;
}>;

type WireReply = Readonly<{
	rows?: readonly WireRow[];
	morePages?: boolean;
	/** The latest version in the store. */
	ver?: number;
	/** Time of the store's monotonic clock. */
	nowMs?: number;
}>;

/** Throws if a row has no key. */
const decodeRow = ({table, key, ver, value, removed}: WireRow): StoredRow => {
	if (typeof key !== 'string') {
		throw new TypeError('a row has no key');
	}

	return {
		table, key, version: ver, value: removed === true || value === undefined ? undefined : Buffer.from(value, 'base64').toString('utf8'),
	};
};

const encodeKey = ({table, part = '', key}: RowKey) => ({table, part, key});

type HttpReply = Readonly<{status: number; body: WireReply; era: Result<number | undefined>; transfer: ReplyTransfer}>;

/** An HTTP request to the store. */
type StoreRequest = Readonly<{
	method: string;
	path: string;
	/** Time within which the reply must begin, in ms; after that, it must keep coming. */
	timeoutMs: number;
	body?: string;
	/** Size above which a reply is `oversized`. */
	maxBytes?: number;
	options?: StoreRequestOptions | undefined;
}>;

type DoneReply = StoreReply & {kind: 'done'};

/** A decoded reply, and whether a read has further pages. */
type DecodedReply = Readonly<{reply: StoreReply; hasMore: boolean}>;

/** Reply decoders by HTTP status. With any other status, it is unknown whether the request was applied. */
const replyDecoders: Readonly<Record<number, (reply: HttpReply) => StoreReply>> = {
	200: ({body, era, transfer}) => ({
		kind: 'done', rows: (body.rows ?? []).map(row => decodeRow(row)), version: body.ver ?? 0, now: body.nowMs ?? 0, era, transfer,
	}),
	410: () => ({kind: 'forgotten'}),
	412: ({body, era}) => ({
		kind: 'conflict', rows: (body.rows ?? []).map(row => decodeRow(row)), now: body.nowMs ?? 0, era,
	}),
	429: () => ({kind: 'refused', reason: 'status 429'}),
	503: () => ({kind: 'refused', reason: 'status 503'}),
};

/** Statuses of replies that say only that nothing was done. */
const refusingStatuses: ReadonlySet<number> = new Set([429, 503]);

const decodeReply = (reply: HttpReply): StoreReply =>
	replyDecoders[reply.status]?.(reply) ?? {kind: 'lost', reason: `status ${reply.status}`};

const decodeEra = (value: string | undefined): Result<number | undefined> => {
	if (value === undefined) {
		return succeed(undefined);
	}

	return /^\d{1,15}$/v.test(value) ? succeed(Number(value)) : fail(createFault('bad-request', `Store-Era: ${JSON.stringify(value)} is not a whole number`));
};

/** Adds up how two pages came. */
const sumTransfers = (a: ReplyTransfer | undefined, b: ReplyTransfer | undefined): ReplyTransfer | undefined => a === undefined || b === undefined
	? a ?? b
	: {bytes: a.bytes + b.bytes, waitMs: a.waitMs + b.waitMs, receiveMs: a.receiveMs + b.receiveMs};

/**
Opens a client of the platform's store.

@param onAbandon - Called with the number of bytes that were received of a reply, if it is given up before it is complete.
@returns The client.
*/
export const openStoreClient = (onAbandon: (bytes: number) => void = () => undefined): StoreClient => {
	const agent = createAgent({keepAlive: true, maxFreeSockets: 4}, readBytes);

	const send = async ({host, port}: SocketAddress, storeRequest: StoreRequest): Promise<DecodedReply> => new Promise(resolve => {
		const {
			method, path, timeoutMs, body, options, maxBytes = maxReplyBytes,
		} = storeRequest;
		const outgoing = request({
			agent, host, port, method, path,
			headers: body === undefined ? {} : {'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(body)},
		});
		const sentAt = performance.now();
		const buffer = createByteBuffer();
		let isResolved = false;
		const abandon = (reply: StoreReply) => {
			if (isResolved) {
				return;
			}

			isResolved = true;
			cancelTimeout();
			outgoing.destroy();
			onAbandon(buffer.countBytes());
			resolve({reply, hasMore: false});
		};

		const resolveLost = (reason: string) => {
			abandon({kind: 'lost', reason});
		};

		const rejectOversized = (bytes: number) => {
			abandon(storeRequest.maxBytes === undefined ? {kind: 'lost', reason: `reply is larger than ${maxBytes} bytes`} : {kind: 'oversized', bytes});
		};

		/** Names the bytes that had come, which tell a slow transfer from a path that does not answer. */
		const resolveIncomplete = (reason: string) => {
			resolveLost(buffer.countBytes() === 0 ? reason : `${reason}, after ${buffer.countBytes()} bytes`);
		};

		let cancelTimeout = startTimeout(() => {
			resolveIncomplete(`no answer within ${timeoutMs} ms`);
		}, timeoutMs);
		const awaitFurtherBytes = (elapsedMs: number) => {
			cancelTimeout();
			cancelTimeout = startTimeout(() => {
				resolveIncomplete(`reply stalled after ${Math.round(performance.now() - sentAt)} ms`);
			}, computeTransferWait(buffer.countBytes(), elapsedMs));
		};

		const resolveAborted = () => {
			resolveLost('no longer needed');
		};

		options?.signal?.addEventListener('abort', resolveAborted);
		outgoing.on('error', error => {
			resolveIncomplete(error.message);
		});
		outgoing.on('close', () => {
			options?.signal?.removeEventListener('abort', resolveAborted);
			resolveIncomplete('connection closed before a reply');
		});
		limitResponses(outgoing, resolveLost);
		outgoing.on('response', incoming => {
			const beganAt = performance.now();
			let allowance = createAllowance(beganAt);
			if (replyDecoders[incoming.statusCode ?? 0] !== undefined && !refusingStatuses.has(incoming.statusCode ?? 0)) {
				options?.onBegin?.();
			}

			awaitFurtherBytes(0);
			const announcedBytes = Number(incoming.headers['content-length'] ?? 0);
			if (announcedBytes > maxBytes) {
				rejectOversized(announcedBytes);
				return;
			}

			incoming.on('data', (chunk: Buffer) => {
				const now = performance.now();
				buffer.add(chunk);
				awaitFurtherBytes(now - beganAt);
				allowance = takePiece(allowance, chunk.length, now);
				const excess = findPieceExcess(allowance);
				if (buffer.countBytes() > maxBytes) {
					rejectOversized(buffer.countBytes());
				} else if (excess !== undefined) {
					resolveLost(excess);
				}
			});
			incoming.on('error', error => {
				resolveIncomplete(error.message);
			});
			incoming.on('end', () => {
				if (isResolved) {
					return;
				}

				cancelTimeout();
				const endedAt = performance.now();
				const transfer = {bytes: buffer.countBytes(), waitMs: beganAt - sentAt, receiveMs: endedAt - beganAt};
				const status = incoming.statusCode ?? 0;
				try {
					const text = buffer.getBytes().toString('utf8');
					const wire = status === 200 || status === 412 ? JSON.parse(text) as WireReply : {};
					const era = decodeEra(incoming.headers['store-era'] as string | undefined);
					const reply = decodeReply({
						status, body: wire, era, transfer,
					});
					isResolved = true;
					resolve({reply, hasMore: wire.morePages === true});
				} catch {
					resolveLost(`status ${status} with a body that is not JSON`);
				}
			});
		});
		outgoing.end(body);
	});

	const readPage = async (endpoint: SocketAddress, table: string, startKey: string | undefined, options: StoreRequestOptions | undefined): Promise<DecodedReply> => {
		// Unlike `encodeURIComponent`, this takes any text.
		const parameters = new URLSearchParams({
			table, part: '', limit: String(maxPageRows), ...(startKey !== undefined && {from: startKey}),
		});
		return send(endpoint, {
			method: 'GET', path: `/v1/rows-get?${parameters.toString()}`, timeoutMs: requestTimeoutMs, options,
		});
	};

	const readAll = async (endpoint: SocketAddress, table: string, options: StoreRequestOptions | undefined, previousRows: readonly StoredRow[] = [], first?: DoneReply): Promise<StoreReply> => {
		const last = previousRows.at(-1);
		// The smallest key above the last one that was read.
		const {reply, hasMore} = await readPage(endpoint, table, last === undefined ? undefined : `${last.key}\0`, options);
		if (reply.kind !== 'done') {
			return reply;
		}

		const firstReply = first ?? reply;
		if (getEra(firstReply) !== getEra(reply)) {
			return {kind: 'lost', reason: 'the store came back from an older copy between two pages'};
		}

		const transfer = first === undefined ? reply.transfer : sumTransfers(first.transfer, reply.transfer);
		const rows = [...previousRows, ...reply.rows];
		// A change feed that starts at the first page's version includes the changes made between the pages.
		return hasMore && reply.rows.length > 0
			? readAll(endpoint, table, options, rows, {...firstReply, transfer})
			: {
				...reply, rows, version: firstReply.version, transfer,
			};
	};

	const createOperations = (endpoint: SocketAddress): StoreOperations => ({
		async transact(writes, options) {
			const updates = writes.filter(write => write.value !== undefined);
			const body = JSON.stringify({
				expectedRevision: writes.filter(write => write.version !== undefined).map(write => ({...encodeKey(write), ver: write.version})),
				writes: updates.map(write => ({...encodeKey(write), value: Buffer.from(write.value!, 'utf8').toString('base64')})),
				remove: writes.filter(write => write.value === undefined).map(write => encodeKey(write)),
			});
			const {reply} = await send(endpoint, {
				method: 'POST', path: '/v1/rows-tx', timeoutMs: requestTimeoutMs, body, options,
			});
			return reply;
		},
		read: async (table, options) => readAll(endpoint, table, options),
		async readRow(rowKey, options) {
			const {table, part, key} = encodeKey(rowKey);
			const parameters = new URLSearchParams({
				table, part, from: key, to: `${key}\0`, limit: '1',
			});
			const {reply} = await send(endpoint, {
				method: 'GET', path: `/v1/rows-get?${parameters.toString()}`, timeoutMs: requestTimeoutMs, options,
			});
			return reply;
		},
		async follow(table, after, maxBytes = maxReplyBytes) {
			const {reply} = await send(endpoint, {
				method: 'GET', path: `/v1/rows-feed?table=${encodeURIComponent(table)}&after=${after}&waitMs=${followWaitMs}`, timeoutMs: followWaitMs + followMarginMs, maxBytes,
			});
			return reply;
		},
	});

	return {
		forAddress: address => createOperations(parseAddress(address)),
		close() {
			agent.destroy();
		},
	};
};
