import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import type {FakeStore} from './store.js';

/** What the endpoints recorded about one request. */
export type Execution = {
	/** How often it was started: counted at the first event of a stream, and on receipt of an unsafe request. */
	startCount: number;
	readonly organisation: string;
	readonly promptTokens: number;
	readonly isAct: boolean;
};

/** A fake endpoint that registers itself in the store. */
export type FakeEndpoint = Readonly<{
	/** Closes all connections, and registers a new incarnation at the same address. */
	crash: () => void;
	/** Registers as draining; requests are still served, but reported if they arrive after the grace period. */
	drain: () => void;
	/** States a rate limit in its responses from now on, and reports if more requests arrive than it allows; undefined ends the limit. */
	setRateLimit: (requestsPerSecond: number | undefined) => void;
	close: () => void;
}>;

/** Number of events in a complete stream. */
export const eventCount = 12;

/** Time after registering as draining during which new requests may still arrive, in ms. */
const drainGraceMs = 2000;

/** Window in which requests are counted against a rate limit, and time after the limit was first stated from which it must be kept, in ms. */
const rateLimitMs = {window: 4000, notice: 3000} as const;

/** Delays, in ms: until the response to an unsafe request, between events, and until the first event. */
const delaysMs = {act: 20, event: 25, first: 40} as const;

/**
Starts an endpoint on a free loopback port, and registers it as ready.

@param name - Prefix of its id; the incarnation follows.
@param softwareVersion - Version that it registers, and writes into each event.
@param store - The store in which it registers.
@param executions - The executions by request id, shared by all endpoints.
@param report - Called with each violation that the endpoint sees.
@returns The endpoint.
*/
export const startEndpoint = async (
	name: string,
	softwareVersion: string,
	store: FakeStore,
	executions: Map<string, Execution>,
	report: (violation: string) => void,
): Promise<FakeEndpoint> => {
	let incarnation = 0;
	let drainingSince = Number.POSITIVE_INFINITY;
	let rateLimit: Readonly<{requestsPerSecond: number; from: number}> | undefined;
	let arrivals: readonly number[] = [];
	const sockets = new Set<Socket>();
	const getId = () => `${name}-${incarnation}`;

	const register = (state: 'ready' | 'draining') => {
		store.put('servers', getId(), {
			service: 's',
			address: `127.0.0.1:${(server.address() as AddressInfo).port}`, zone: 'z', version: softwareVersion, slots: 64, state, coldRemainingMs: 0, sequence: 1, born: 1000 + incarnation,
		});
	};

	const recordExecution = (incoming: IncomingMessage, isAct: boolean) => {
		const id = String(incoming.headers['attempt-id']);
		const execution = executions.get(id) ?? {
			startCount: 0, organisation: String(incoming.headers.tenant), promptTokens: Number(String(incoming.headers['token-counts'] ?? '0').split(',')[0]), isAct,
		};
		execution.startCount += 1;
		executions.set(id, execution);
	};

	const createHeaders = (incoming: IncomingMessage) => ({
		'response-seal': 's', 'attempt-id': String(incoming.headers['attempt-id']), 'replica-load': '1,0,64', ...(rateLimit !== undefined && {'server-limit': String(rateLimit.requestsPerSecond)}),
	});

	const setRateLimit = (requestsPerSecond: number | undefined) => {
		rateLimit = requestsPerSecond === undefined ? undefined : {requestsPerSecond, from: Date.now()};
		arrivals = [];
	};

	const recordArrival = () => {
		if (rateLimit === undefined || Date.now() < rateLimit.from + rateLimitMs.notice) {
			return;
		}

		const now = Date.now();
		const allowed = (1.5 * rateLimit.requestsPerSecond * rateLimitMs.window / 1000) + 5;
		arrivals = [...arrivals.filter(at => at > now - rateLimitMs.window), now];
		if (arrivals.length > allowed) {
			report(`${getId()} received ${arrivals.length} requests in ${rateLimitMs.window} ms, of ${allowed} that its rate limit allows`);
		}
	};

	const serveAct = (incoming: IncomingMessage, response: ServerResponse) => {
		recordExecution(incoming, true);
		setTimeout(() => {
			response.writeHead(200, createHeaders(incoming)).end(String(incoming.headers['attempt-id']));
		}, delaysMs.act);
	};

	const serveStream = (incoming: IncomingMessage, response: ServerResponse) => {
		const id = String(incoming.headers['attempt-id']);
		const start = Number(incoming.headers['last-event-id'] ?? 0);
		const emit = (index: number) => {
			if (response.destroyed || incoming.socket.destroyed) {
				return;
			}

			if (index === start + 1) {
				recordExecution(incoming, false);
				response.writeHead(200, {...createHeaders(incoming), 'content-type': 'text/event-stream'});
			}

			// A stream that is resumed after its last event has nothing more.
			if (index <= eventCount) {
				response.write(`id: ${index}\ndata: ${id}:${index}\n: ${softwareVersion}\n\n`);
			}

			if (index >= eventCount) {
				response.end();
			} else {
				setTimeout(emit, delaysMs.event, index + 1);
			}
		};

		setTimeout(emit, delaysMs.first, start + 1);
	};

	const server: Server = createServer((incoming, response) => {
		response.on('error', () => undefined);
		incoming.resume();
		incoming.on('end', () => {
			if (incoming.headers['expect-instance'] !== getId()) {
				response.writeHead(421).end();
				return;
			}

			recordArrival();
			if (Date.now() > drainingSince + drainGraceMs) {
				report(`${getId()} received ${String(incoming.headers['attempt-id'])} ${Date.now() - drainingSince} ms after registering as draining`);
			}

			(incoming.url?.startsWith('/act/') === true ? serveAct : serveStream)(incoming, response);
		});
	});
	server.on('connection', socket => {
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.on('close', () => {
			sockets.delete(socket);
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	register('ready');

	const destroyConnections = () => {
		[...sockets].forEach(socket => {
			socket.destroy();
		});
	};

	return {
		crash() {
			destroyConnections();
			store.put('servers', getId(), undefined);
			incarnation += 1;
			setRateLimit(rateLimit?.requestsPerSecond);
			drainingSince = Number.POSITIVE_INFINITY;
			register('ready');
		},
		drain() {
			register('draining');
			drainingSince = Date.now();
		},
		setRateLimit,
		close() {
			server.close();
			destroyConnections();
		},
	};
};
