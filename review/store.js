import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {performance} from 'node:perf_hooks';

/** Time that the store takes for an answer, in ms, and limits of a page. */
const answerMs = 4;
const maxPageRows = 500;

/** Interval at which a waiting feed looks for changes, in ms. */
const feedPollMs = 10;

const formatKey = ({table, part = '', key}) => JSON.stringify([table, part, key]);

const readBody = async incoming => {
	const chunks = [];
	for await (const chunk of incoming) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString('utf8');
};

/**
Starts a stand-in of the platform's store. It is linearizable, keeps its whole history, and names its era in every answer.

@returns Its address, and functions for the operator, the replicas and the disruptions.
*/
export const startStore = async () => {
	let rows = new Map();
	/** All changes, oldest first, with their times. */
	let changes = [];
	let version = 0;
	let era = 1;
	let isDown = false;
	/** Version from which on the store has changes of the present era. */
	let firstVersion = 0;

	const applyRows = (written, isSystem) => {
		version += 1;
		written.forEach(row => {
			const stored = {
				table: row.table, part: row.part ?? '', key: row.key, value: row.value, ver: version, ...(row.value === undefined && {removed: true}),
			};
			rows.set(formatKey(stored), stored);
			changes.push({at: performance.now(), isSystem, row: stored});
		});
	};

	const findLive = row => {
		const stored = rows.get(formatKey(row));
		return stored?.removed === true ? undefined : stored;
	};

	/** Answers as of now, after the time that an answer takes. */
	const answer = (response, status, body) => {
		const text = JSON.stringify({...body, ver: version, nowMs: Math.floor(performance.now())});
		const headers = {'Content-Type': 'application/json', 'Store-Era': String(era)};
		setTimeout(() => {
			response.writeHead(status, headers);
			response.end(text);
		}, answerMs);
	};

	const listRows = parameters => [...rows.values()]
		.filter(row => row.removed !== true && row.table === parameters.get('table') && row.part === (parameters.get('part') ?? ''))
		.filter(row => row.key >= (parameters.get('from') ?? '') && (!parameters.has('to') || row.key < parameters.get('to')))
		.toSorted((a, b) => Buffer.compare(Buffer.from(a.key), Buffer.from(b.key)));

	const answerFeed = (response, parameters, until) => {
		const after = Number(parameters.get('after'));
		if (isDown) {
			answer(response, 503, {});
			return;
		}

		if (after > version || after < firstVersion) {
			answer(response, 410, {});
			return;
		}

		const changed = [...rows.values()].filter(row => row.table === parameters.get('table') && row.ver > after).toSorted((a, b) => a.ver - b.ver);
		if (changed.length > 0 || performance.now() >= until) {
			answer(response, 200, {rows: changed});
		} else {
			setTimeout(answerFeed, feedPollMs, response, parameters, until);
		}
	};

	const handlers = {
		'/v1/rows-get'(response, parameters) {
			const listed = listRows(parameters);
			const page = listed.slice(0, Math.min(maxPageRows, Number(parameters.get('limit') ?? maxPageRows)));
			answer(response, 200, {rows: page, morePages: page.length < listed.length});
		},
		'/v1/rows-feed'(response, parameters) {
			answerFeed(response, parameters, performance.now() + Number(parameters.get('waitMs') ?? 0));
		},
		'/v1/rows-tx'(response, parameters, body) {
			const {expectedRevision = [], writes = [], remove = []} = JSON.parse(body);
			if (expectedRevision.some(row => (findLive(row)?.ver ?? 0) !== row.ver)) {
				answer(response, 412, {rows: expectedRevision.flatMap(row => findLive(row) ?? [])});
				return;
			}

			applyRows([...writes, ...remove.map(row => ({...row, value: undefined}))], true);
			answer(response, 200, {});
		},
	};

	const server = createServer(async (incoming, response) => {
		const {pathname, searchParams} = new URL(incoming.url, 'http://store');
		try {
			const body = await readBody(incoming);
			if (isDown || handlers[pathname] === undefined) {
				answer(response, isDown ? 503 : 404, {});
			} else {
				handlers[pathname](response, searchParams, body);
			}
		} catch {
			// The caller has closed its connection: nothing was done.
			response.destroy();
		}
	});
	await new Promise(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const encode = value => Buffer.from(JSON.stringify(value)).toString('base64');

	return {
		address: `127.0.0.1:${server.address().port}`,
		/** Writes a row as the operator or a replica does. */
		put(table, key, value) {
			applyRows([{table, key, value: value === undefined ? undefined : encode(value)}], false);
		},
		/** Reads the value of a row. */
		get(table, key) {
			const row = findLive({table, key});
			return row === undefined ? undefined : JSON.parse(Buffer.from(row.value, 'base64').toString('utf8'));
		},
		/** Answers every call with 503, or serves again. */
		setDown(value) {
			isDown = value;
		},
		/** Comes back from a copy of the given age. What the operator and the replicas wrote since is written again. */
		restore(ageMs) {
			const takenAt = performance.now() - ageMs;
			const lost = changes.filter(({at}) => at > takenAt);
			changes = changes.filter(({at}) => at <= takenAt);
			rows = new Map(changes.map(({row}) => [formatKey(row), row]));
			version = changes.at(-1)?.row.ver ?? 0;
			firstVersion = 0;
			era += 1;
			lost.filter(({isSystem}) => !isSystem).forEach(({row}) => {
				applyRows([row], false);
			});
		},
		close() {
			server.closeAllConnections();
			server.close();
		},
	};
};
