import process from 'node:process';
import {Map} from 'immutable';
import {createRandom} from '../random/index.js';
import {sleep} from '../loop/index.js';
import {
	createHttpServer, listen, readBody, sendJson,
} from '../server/index.js';
import type {Endpoint, Listening} from '../server/index.js';
import {
	applyCall, decodeCall, encodeRow, targetPrefix,
} from '../table/index.js';
import type {Row, Rows, StoreReply} from '../table/index.js';
import {createSwitchboard} from './faults.js';
import type {Switchboard} from './faults.js';

/** Faults of the stand-in table service. */
export type TableFaults = Readonly<{
	/** True: no call is answered, and none takes effect. */
	isDown: boolean;
	/** Milliseconds added to each call. */
	delay: number;
	/** Part of the writes whose reply is lost after they took effect. */
	loseReplies: number;
}>;

type TableOptions = Readonly<{
	at: Endpoint;
	/** Transactions a second that write; more are throttled. */
	writesPerSecond: number;
	/** Calls a second that read; more are throttled. */
	readsPerSecond: number;
	seed: number;
}>;

/** A running stand-in of the platform's table service. */
export type TableStandin = Listening & Readonly<{
	rows: () => Rows;
	faults: Switchboard<TableFaults>;
	counts: () => Readonly<{reads: number; writes: number; throttled: number}>;
}>;

const maxBody = 4_000_000; // Bytes
const second = 1000; // Milliseconds

const describeReply = (reply: StoreReply, size: number): Readonly<{status: number; body: unknown}> => {
	const replies: Readonly<Record<StoreReply['kind'], () => Readonly<{status: number; body: unknown}>>> = {
		applied: () => ({status: 200, body: {}}),
		rows: () => ({status: 200, body: reply.kind === 'rows' ? describeRows(reply.rows) : {}}),
		conflict: () => ({
			status: 400,
			body: {
				__type: 'com.amazonaws.dynamodb.v20120810#TransactionCanceledException',
				CancellationReasons: Array.from({length: size}, (_, index) =>
					({Code: reply.kind === 'conflict' && reply.failed.includes(index) ? 'ConditionalCheckFailed' : 'None'})),
			},
		}),
		lost: () => ({status: 500, body: {__type: 'InternalServerError'}}),
	};
	return replies[reply.kind]();
};

const describeRows = (rows: ReadonlyArray<Row | undefined>) => {
	const items = rows.map(row => row === undefined ? {} : {Item: encodeRow(row)});
	return {Responses: items, Items: rows.flatMap(row => row === undefined ? [] : [encodeRow(row)])};
};

/** Counts calls in one-second windows and tells when the limit is passed. */
const createLimiter = (limit: number) => {
	let window = 0;
	let count = 0;
	return (now: number): boolean => {
		const current = Math.floor(now / second);
		count = current === window ? count + 1 : 1;
		window = current;
		return count <= limit;
	};
};

/**
Starts a stand-in of the transactional table service, which speaks the part of
the published protocol that the fleet uses.

@param options - Where it listens and what it can bear.
@returns The running stand-in.
*/
export const startTable = async (options: TableOptions): Promise<TableStandin> => {
	const faults = createSwitchboard<TableFaults>({isDown: false, delay: 0, loseReplies: 0});
	const random = createRandom(options.seed);
	const admitWrite = createLimiter(options.writesPerSecond);
	const admitRead = createLimiter(options.readsPerSecond);
	let rows: Rows = Map();
	let counts = {reads: 0, writes: 0, throttled: 0};

	const server = createHttpServer(async (request, response, url) => {
		if (await faults.serve(request, response, url)) {
			return;
		}

		if (url.pathname === '/_counts') {
			sendJson(response, 200, counts);
			return;
		}

		const body = await readBody(request, maxBody);
		const {isDown, delay, loseReplies} = faults.get();
		if (isDown) {
			request.socket.destroy();
			return;
		}

		await sleep(delay);
		const operation = String(request.headers['x-amz-target']).slice(targetPrefix.length);
		const call = decodeCall(operation, JSON.parse(body.unwrap().toString()) as Parameters<typeof decodeCall>[1]);
		const isWrite = call.kind === 'write';
		if (!(isWrite ? admitWrite : admitRead)(Date.now())) {
			counts = {...counts, throttled: counts.throttled + 1};
			response.writeHead(400, {'content-type': 'application/x-amz-json-1.0'});
			response.end(JSON.stringify({__type: 'ThrottlingException'}));
			return;
		}

		counts = isWrite ? {...counts, writes: counts.writes + 1} : {...counts, reads: counts.reads + 1};
		const applied = applyCall(rows, call);
		rows = applied.rows;
		if (isWrite && random.draw() < loseReplies) {
			request.socket.destroy();
			return;
		}

		const reply = describeReply(applied.reply, isWrite ? call.writes.length : 0);
		response.writeHead(reply.status, {'content-type': 'application/x-amz-json-1.0'});
		response.end(JSON.stringify(reply.body));
	}, error => {
		process.stderr.write(`stand-in table: ${String(error)}\n`);
	});
	const listening = await listen(server, options.at);
	return {
		...listening, rows: () => rows, faults, counts: () => counts,
	};
};
