import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {performance} from 'node:perf_hooks';

type Row = Readonly<{table: string; part: string; key: string; ver: number; value?: string; removed?: boolean}>;
type Body = Readonly<{expectedRevision: readonly Row[]; writes: readonly Row[]; remove: readonly Row[]}>;

/** A stand-in of the platform's store: linearizable, in memory. */
export type StoreStandIn = Readonly<{
	server: Server;
	/** Writes a row as the operator or an endpoint does; no value removes it. */
	put: (table: string, key: string, value: unknown) => void;
	/** Answers every call with status 503 while true. */
	setRefusing: (isRefusing: boolean) => void;
	/** Applies writes without an answer while true. */
	setSilent: (isSilent: boolean) => void;
}>;

/** Milliseconds that a feed waits for a change at the most. */
const longestWait = 300;

const readBody = async (incoming: IncomingMessage): Promise<string> => {
	const parts: Buffer[] = [];
	for await (const part of incoming as AsyncIterable<Buffer>) {
		parts.push(part);
	}

	return Buffer.concat(parts).toString('utf8');
};

const nameRow = ({table, part, key}: Pick<Row, 'table' | 'part' | 'key'>): string => `${table}/${part}/${key}`;

/**
Creates the stand-in.

@returns The store, which does not listen yet.
*/
export const createStore = (): StoreStandIn => {
	const rows = new Map<string, Row>();
	let version = 0;
	let isRefusing = false;
	let isSilent = false;

	const list = (table: string) => [...rows.values()].filter(row => row.table === table && row.removed !== true);
	const sendJson = (response: ServerResponse, status: number, body: Readonly<Record<string, unknown>>) => {
		response.writeHead(status, {'content-type': 'application/json'}).end(JSON.stringify({...body, ver: version, nowMs: Math.floor(performance.now())}));
	};

	const transact = (body: Body): boolean => {
		const isCurrent = body.expectedRevision.every(row => {
			const known = rows.get(nameRow(row));
			return (known?.removed === true ? 0 : known?.ver ?? 0) === row.ver;
		});
		if (isCurrent) {
			version += 1;
			body.writes.forEach(row => {
				rows.set(nameRow(row), {...row, ver: version});
			});
			body.remove.forEach(row => {
				rows.set(nameRow(row), {...row, ver: version, removed: true});
			});
		}

		return isCurrent;
	};

	const follow = (response: ServerResponse, table: string, after: number, until: number) => {
		const changed = [...rows.values()].filter(row => row.table === table && row.ver > after).toSorted((a, b) => a.ver - b.ver);
		if (changed.length > 0 || performance.now() >= until) {
			sendJson(response, 200, {rows: changed});
		} else {
			setTimeout(follow, 10, response, table, after, until);
		}
	};

	const answer = async (incoming: IncomingMessage, response: ServerResponse) => {
		const url = new URL(incoming.url ?? '/', 'http://store');
		const table = url.searchParams.get('table') ?? '';
		const body = await readBody(incoming);
		if (isRefusing) {
			response.writeHead(503).end();
		} else if (url.pathname === '/v1/rows-get') {
			sendJson(response, 200, {rows: list(table), morePages: false});
		} else if (url.pathname === '/v1/rows-feed') {
			follow(response, table, Number(url.searchParams.get('after')), performance.now() + longestWait);
		} else {
			const change = JSON.parse(body) as Body;
			const isDone = transact(change);
			if (isSilent) {
				incoming.socket.destroy();
			} else if (isDone) {
				sendJson(response, 200, {});
			} else {
				sendJson(response, 412, {rows: change.expectedRevision.flatMap(row => rows.get(nameRow(row)) ?? [])});
			}
		}
	};

	return {
		server: createServer((incoming, response) => {
			// eslint-disable-next-line promise/prefer-await-to-then -- A caller that went away is no failure of the stand-in.
			answer(incoming, response).catch(() => {
				response.destroy();
			});
		}),
		put(table, key, value) {
			version += 1;
			const row = {
				table, part: '', key, ver: version,
			};
			rows.set(nameRow(row), value === undefined ? {...row, removed: true} : {...row, value: Buffer.from(JSON.stringify(value)).toString('base64')});
		},
		setRefusing(value) {
			isRefusing = value;
		},
		setSilent(value) {
			isSilent = value;
		},
	};
};
