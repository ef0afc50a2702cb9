import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {performance} from 'node:perf_hooks';

/** Time that the store takes for a transaction, in ms. */
const transactionMs = 5;

/** Interval at which a waiting feed looks for changes, in ms. */
const feedPollMs = 5;

/** Most entries of a transaction. */
const maxEntries = 100;

/** Most rows of a page. */
const maxPageRows = 500;

const formatKey = ({table, part = '', key}) => JSON.stringify([table, part, key]);

const encodeValue = value => Buffer.from(JSON.stringify(value)).toString('base64');

const readBody = async incoming => {
	const parts = [];
	for await (const part of incoming) {
		parts.push(part);
	}

	return Buffer.concat(parts).toString('utf8');
};

const sleep = async ms => new Promise(resolve => {
	setTimeout(resolve, ms);
});

/**
Starts a stand-in of the platform's metadata store: rows with versions from one counter, transactions under conditions, reads and
feeds. It can be away, and can come back from an older copy of itself.

@returns The store.
*/
export const startStore = async () => {
	let rows = new Map();
	let changes = [];
	let version = 0;
	let era = 1;
	let isAway = false;
	const sockets = new Set();

	const setRow = (row, isPlatform) => {
		rows.set(formatKey(row), row);
		changes.push({at: performance.now(), isPlatform, row});
	};

	const getVersion = key => {
		const row = rows.get(formatKey(key));
		return row === undefined || row.removed === true ? 0 : row.ver;
	};

	const send = (response, status, body) => {
		if (isAway) {
			response.destroy();
			return;
		}

		const text = JSON.stringify({...body, ver: version, nowMs: Math.floor(performance.now())});
		response.writeHead(status, {'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text), 'Store-Era': String(era)}).end(text);
	};

	const listRows = parameters => {
		const [table, part, from, to] = ['table', 'part', 'from', 'to'].map(name => parameters.get(name));
		return [...rows.values()]
			.filter(row => row.table === table && row.part === (part ?? '') && row.removed !== true && (from === null || row.key >= from) && (to === null || row.key < to))
			.toSorted((a, b) => Buffer.compare(Buffer.from(a.key), Buffer.from(b.key)));
	};

	const followChanges = async (response, parameters) => {
		const table = parameters.get('table');
		const after = Number(parameters.get('after'));
		const until = performance.now() + Number(parameters.get('waitMs') ?? 0);
		const eraAtStart = era;
		for (;;) {
			if (isAway || eraAtStart !== era || response.destroyed) {
				response.destroy();
				return;
			}

			if (after > version) {
				response.writeHead(410, {'Store-Era': String(era), 'Content-Length': '0'}).end();
				return;
			}

			const changed = changes.map(({row}) => row).filter(row => row.table === table && row.ver > after);
			if (changed.length > 0 || performance.now() >= until) {
				send(response, 200, {rows: changed});
				return;
			}

			await sleep(feedPollMs);
		}
	};

	const transact = async (response, {expectedRevision = [], writes = [], remove = []}) => {
		await sleep(transactionMs);
		if (isAway) {
			response.destroy();
			return;
		}

		if (Math.max(expectedRevision.length, writes.length + remove.length) > maxEntries) {
			send(response, 400, {});
			return;
		}

		if ([...writes, ...remove].some(({table}) => table === 'op' || table === 'servers')) {
			send(response, 403, {});
			return;
		}

		if (expectedRevision.some(row => getVersion(row) !== row.ver)) {
			send(response, 412, {rows: expectedRevision.flatMap(row => getVersion(row) === 0 ? [] : rows.get(formatKey(row)))});
			return;
		}

		version += 1;
		writes.forEach(({table, part = '', key, value}) => {
			setRow({
				table, part, key, value, ver: version,
			}, false);
		});
		remove.forEach(({table, part = '', key}) => {
			setRow({
				table, part, key, ver: version, removed: true,
			}, false);
		});
		send(response, 200, {});
	};

	const handlers = {
		'GET /v1/rows-get'(response, parameters) {
			const listed = listRows(parameters);
			const limit = Math.min(maxPageRows, Number(parameters.get('limit') ?? maxPageRows));
			send(response, 200, {rows: listed.slice(0, limit), morePages: listed.length > limit});
		},
		'GET /v1/rows-feed': followChanges,
		'POST /v1/rows-tx': async (response, _parameters, body) => transact(response, JSON.parse(body)),
	};

	const server = createServer(async (incoming, response) => {
		response.on('error', () => undefined);
		try {
			const url = new URL(incoming.url, 'http://store');
			const body = await readBody(incoming);
			const handle = handlers[`${incoming.method} ${url.pathname}`];
			if (isAway || handle === undefined) {
				response.destroy();
			} else {
				await handle(response, url.searchParams, body);
			}
		} catch {
			response.destroy();
		}
	});
	server.keepAliveTimeout = 60_000;
	server.on('connection', socket => {
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.on('close', () => {
			sockets.delete(socket);
		});
		if (isAway) {
			socket.destroy();
		}
	});
	await new Promise(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});

	return {
		address: `127.0.0.1:${server.address().port}`,
		isAway: () => isAway,
		/** Writes a row as the operator or a replica does; does nothing while the store is away. */
		put(table, key, value) {
			if (isAway) {
				return;
			}

			version += 1;
			setRow(value === undefined
				? {
					table, part: '', key, ver: version, removed: true,
				}
				: {
					table, part: '', key, ver: version, value: encodeValue(value),
				}, true);
		},
		/** Returns the decoded value of a row; undefined if there is none. */
		get(table, key) {
			const value = rows.get(formatKey({table, key}))?.value;
			return value === undefined ? undefined : JSON.parse(Buffer.from(value, 'base64').toString('utf8'));
		},
		/** Goes away: connections are closed, and new ones as well. */
		leave() {
			isAway = true;
			sockets.forEach(socket => {
				socket.destroy();
			});
		},
		/** Comes back as it was. */
		comeBack() {
			isAway = false;
		},
		/** Comes back as it was at a time of `performance.now()`, in a new era. What was acknowledged since is lost. */
		comeBackAsOf(time) {
			changes = changes.filter(({at}) => at <= time);
			rows = new Map(changes.map(({row}) => [formatKey(row), row]));
			version = changes.at(-1)?.row.ver ?? 0;
			era += 1;
			isAway = false;
		},
		close() {
			server.close();
			server.closeAllConnections();
		},
	};
};
