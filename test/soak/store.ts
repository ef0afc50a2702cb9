import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {performance} from 'node:perf_hooks';

type Row = Readonly<{table: string; part: string; key: string; ver: number; value?: string; removed?: boolean}>;
type Body = Readonly<{expectedRevision: readonly Row[]; writes: readonly Row[]; remove: readonly Row[]}>;

/** An in-memory, linearizable fake of the platform's store. */
export type FakeStore = Readonly<{
	server: Server;
	/** Writes a row as an operator or an endpoint would; `undefined` removes it. */
	put: (table: string, key: string, value: unknown) => void;
	/** Writes a row as any writer may. */
	putText: (table: string, key: string, text: string) => void;
	/** Returns the text of a row; undefined if there is none. */
	get: (table: string, key: string) => string | undefined;
	/** Returns the time of the store's clock, in ms. */
	getNow: () => number;
	/** While true, every request gets status 503. */
	setUnavailable: (isUnavailable: boolean) => void;
	/** While true, writes are applied, but the connection is closed without a response. */
	setDroppingResponses: (isDroppingResponses: boolean) => void;
	/** Goes back to a copy of the given age, in ms, with its versions. What was written by `put` since is written again. */
	restore: (ageMs: number) => void;
}>;

/** Longest time that a feed request waits for a change, in ms. */
const feedTimeoutMs = 300;

/** Limits of a page of rows. */
const maxPageRows = 500;
const maxPageBytes = 1_000_000;

/** Returns the first rows of a list that fit into a page, at least one. */
const cutPage = (rows: readonly Row[], limit: number): readonly Row[] => {
	let bytes = 0;
	const end = rows.findIndex((row, index) => {
		bytes += row.value?.length ?? 0;
		return index >= Math.min(limit, maxPageRows) || (index > 0 && bytes > maxPageBytes);
	});
	return end === -1 ? rows : rows.slice(0, end);
};

const readBody = async (incoming: IncomingMessage): Promise<string> => {
	const parts: Buffer[] = [];
	for await (const part of incoming as AsyncIterable<Buffer>) {
		parts.push(part);
	}

	return Buffer.concat(parts).toString('utf8');
};

const formatRowKey = ({table, part, key}: Pick<Row, 'table' | 'part' | 'key'>): string => `${table}/${part}/${key}`;

/** Options of the fake store. */
export type FakeStoreOptions = Readonly<{
	/** True if its feed contains all versions of a row, not the latest one alone. */
	feedsAllVersions?: boolean;
}>;

/**
Creates the fake store.

@param options - What its feed contains.
@returns The store; its server does not listen yet.
*/
export const createStore = ({feedsAllVersions = false}: FakeStoreOptions = {}): FakeStore => {
	const rows = new Map<string, Row>();
	let changes: ReadonlyArray<Readonly<{at: number; isPut: boolean; row: Row}>> = [];
	let version = 0;
	let era = 1;
	let isUnavailable = false;
	let isDroppingResponses = false;

	const setRow = (row: Row, isPut: boolean) => {
		rows.set(formatRowKey(row), row);
		changes = [...changes, {at: performance.now(), isPut, row}];
	};

	/** The rows of a part of a table, or those of a range of keys. */
	const listRows = (table: string, part: string, from = '', to?: string) => [...rows.values()]
		.filter(row => row.table === table && row.part === part && row.removed !== true && row.key >= from && (to === undefined || row.key < to))
		.toSorted((a, b) => a.key < b.key ? -1 : 1);
	const sendJson = (response: ServerResponse, status: number, body: Readonly<Record<string, unknown>>) => {
		const text = JSON.stringify({...body, ver: version, nowMs: Math.floor(performance.now())});
		response.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text), 'store-era': era}).end(text);
	};

	const putText = (table: string, key: string, text: string | undefined) => {
		version += 1;
		const row = {
			table, part: '', key, ver: version,
		};
		setRow(text === undefined ? {...row, removed: true} : {...row, value: Buffer.from(text).toString('base64')}, true);
	};

	const transact = (body: Body): boolean => {
		const isCurrent = body.expectedRevision.every(row => {
			const current = rows.get(formatRowKey(row));
			return (current?.removed === true ? 0 : current?.ver ?? 0) === row.ver;
		});
		if (isCurrent) {
			version += 1;
			body.writes.forEach(row => {
				setRow({...row, ver: version}, false);
			});
			body.remove.forEach(row => {
				setRow({...row, ver: version, removed: true}, false);
			});
		}

		return isCurrent;
	};

	const pollChanges = (response: ServerResponse, table: string, after: number, until: number) => {
		if (after > version) {
			response.writeHead(410, {'store-era': era}).end();
			return;
		}

		const candidates = feedsAllVersions ? changes.map(({row}) => row) : [...rows.values()];
		const changed = candidates.filter(row => row.table === table && row.ver > after).toSorted((a, b) => a.ver - b.ver);
		if (changed.length > 0 || performance.now() >= until) {
			sendJson(response, 200, {rows: changed});
		} else {
			setTimeout(pollChanges, 10, response, table, after, until);
		}
	};

	const handleRequest = async (incoming: IncomingMessage, response: ServerResponse) => {
		const url = new URL(incoming.url ?? '/', 'http://store');
		const table = url.searchParams.get('table') ?? '';
		const body = await readBody(incoming);
		if (isUnavailable) {
			response.writeHead(503).end();
		} else if (url.pathname === '/v1/rows-get') {
			const listed = listRows(table, url.searchParams.get('part') ?? '', url.searchParams.get('from') ?? undefined, url.searchParams.get('to') ?? undefined);
			const page = cutPage(listed, Number(url.searchParams.get('limit') ?? maxPageRows));
			sendJson(response, 200, {rows: page, morePages: page.length < listed.length});
		} else if (url.pathname === '/v1/rows-feed') {
			pollChanges(response, table, Number(url.searchParams.get('after')), performance.now() + feedTimeoutMs);
		} else {
			const change = JSON.parse(body) as Body;
			const isCommitted = transact(change);
			if (isDroppingResponses) {
				incoming.socket.destroy();
			} else if (isCommitted) {
				sendJson(response, 200, {});
			} else {
				sendJson(response, 412, {rows: change.expectedRevision.flatMap(row => rows.get(formatRowKey(row)) ?? [])});
			}
		}
	};

	return {
		server: createServer((incoming, response) => {
			// eslint-disable-next-line promise/prefer-await-to-then -- A client that disconnects is not a failure of the fake store.
			handleRequest(incoming, response).catch(() => {
				response.destroy();
			});
		}),
		put(table, key, value) {
			putText(table, key, value === undefined ? undefined : JSON.stringify(value));
		},
		putText,
		get(table, key) {
			const value = rows.get(formatRowKey({table, part: '', key}))?.value;
			return value === undefined ? undefined : Buffer.from(value, 'base64').toString('utf8');
		},
		getNow: () => Math.floor(performance.now()),
		restore(ageMs) {
			const takenAt = performance.now() - ageMs;
			const kept = changes.filter(({at}) => at <= takenAt);
			const putAgain = changes.filter(({at, isPut}) => at > takenAt && isPut);
			rows.clear();
			kept.forEach(({row}) => {
				rows.set(formatRowKey(row), row);
			});
			changes = kept;
			version = kept.at(-1)?.row.ver ?? 0;
			era += 1;
			putAgain.forEach(({row}) => {
				version += 1;
				setRow({...row, ver: version}, true);
			});
		},
		setUnavailable(value) {
			isUnavailable = value;
		},
		setDroppingResponses(value) {
			isDroppingResponses = value;
		},
	};
};
