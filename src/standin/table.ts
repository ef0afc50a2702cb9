import process from 'node:process';
import {Map} from 'immutable';
import {createRandom} from '../random/index.js';
import {sleep} from '../loop/index.js';
import {
	createHttpServer, listen, readBody, sendJson,
} from '../server/index.js';
import type {SocketAddress, ListeningServer} from '../server/index.js';
import {
	applyCall, decodeCall, encodeRow, targetPrefix,
} from '../table/index.js';
import type {Row, Rows, StoreReply} from '../table/index.js';
import {createFaultInjector} from './faults.js';
import type {FaultInjector} from './faults.js';

/** Faults that the stand-in table service can inject. */
export type TableFaults = Readonly<{
	/** While true, the connection of each call is closed before the call takes effect. */
	isDown: boolean;
	/** Delay added to each call, in milliseconds. */
	delay: number;
	/** Fraction of the writes, 0 to 1, that take effect but whose connection is closed without a reply. */
	loseReplies: number;
}>;

type TableOptions = Readonly<{
	at: SocketAddress;
	/** Write transactions per second; calls above this rate are throttled. */
	writesPerSecond: number;
	/** Read calls per second; calls above this rate are throttled. */
	readsPerSecond: number;
	/** Seed of the random numbers that select the lost replies. */
	seed: number;
}>;

/** A running stand-in for the platform's table service. */
export type TableStandin = ListeningServer & Readonly<{
	rows: () => Rows;
	faults: FaultInjector<TableFaults>;
	counts: () => Readonly<{reads: number; writes: number; throttled: number}>;
}>;

const maxBodyBytes = 4_000_000;
const windowMs = 1000;

const encodeReply = (reply: StoreReply, writeCount: number): Readonly<{status: number; body: unknown}> => {
	const replies: Readonly<Record<StoreReply['kind'], () => Readonly<{status: number; body: unknown}>>> = {
		applied: () => ({status: 200, body: {}}),
		rows: () => ({status: 200, body: reply.kind === 'rows' ? encodeRows(reply.rows) : {}}),
		conflict: () => ({
			status: 400,
			body: {
				__type: 'com.amazonaws.dynamodb.v20120810#TransactionCanceledException',
				CancellationReasons: Array.from({length: writeCount}, (_, index) =>
					({Code: reply.kind === 'conflict' && reply.failed.includes(index) ? 'ConditionalCheckFailed' : 'None'})),
			},
		}),
		lost: () => ({status: 500, body: {__type: 'InternalServerError'}}),
	};
	return replies[reply.kind]();
};

const encodeRows = (rows: ReadonlyArray<Row | undefined>) => {
	const items = rows.map(row => row === undefined ? {} : {Item: encodeRow(row)});
	return {Responses: items, Items: rows.flatMap(row => row === undefined ? [] : [encodeRow(row)])};
};

/** Creates a fixed-window rate limiter that admits `limit` calls in each second. */
const createLimiter = (limit: number) => {
	let windowIndex = 0;
	let count = 0;
	return (now: number): boolean => {
		const currentIndex = Math.floor(now / windowMs);
		count = currentIndex === windowIndex ? count + 1 : 1;
		windowIndex = currentIndex;
		return count <= limit;
	};
};

/**
Starts a stand-in for the transactional table service. It implements the part of the
published DynamoDB protocol that the fleet uses.

@param options - The listening address, the rate limits and the seed of the fault injection.
@returns The running stand-in.
*/
export const startTable = async (options: TableOptions): Promise<TableStandin> => {
	const faults = createFaultInjector<TableFaults>({isDown: false, delay: 0, loseReplies: 0});
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

		const body = await readBody(request, maxBodyBytes);
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

		const reply = encodeReply(applied.reply, isWrite ? call.writes.length : 0);
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
