import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import type {Random} from '../../src/random/index.js';
import {createRestWatch} from './rest.js';
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
	/** Returns the id of its present incarnation. */
	getId: () => string;
	/** Closes all connections, and registers a new incarnation at the same address. */
	crash: () => void;
	/** Registers as draining; requests are still served, but reported if they arrive after the grace period. */
	drain: () => void;
	/** States in its responses alone that it is leaving; requests are reported if they arrive from a router that was told earlier than the grace period. */
	leave: () => void;
	/** Writes its entry again as it is. */
	renew: () => void;
	/** States a rate limit in its responses from now on, and reports if more requests arrive than it allows; undefined ends the limit. */
	setRateLimit: (requestsPerSecond: number | undefined) => void;
	close: () => void;
}>;

/** Who sent a request to the endpoints, as the soak knows. */
export type Senders = Readonly<{
	/** Finds the router that a client sent a request to. */
	findRouter: (requestId: string) => number | undefined;
	/** Tells whether a router was killed, paused or stopped after a time, in ms since the epoch. */
	hasPaused: (router: number, since: number) => boolean;
}>;

/** What endpoints crash on: a prompt part, or a request that comes again. */
export type CrashCause = 'part' | 'request';

/** A prompt part on which endpoints crash. */
export const poisonPart = 'bad0';

/** Last segment of the path of a request on which endpoints crash. */
export const killerSegment = 'kill';

/** Time for which an endpoint is away after such a crash, in ms. */
const crashDownMs = 1200;

/** Streams without a length and without chunks: one in so many. */
const unframedOneIn = 6;

/** Number of events in a complete stream. */
export const eventCount = 12;

/** Time after registering as draining during which new requests may still arrive, in ms. */
const drainGraceMs = 2000;

/** Window in which requests are counted against a rate limit, and time after the limit was first stated from which it must be kept, in ms. */
const rateLimitMs = {window: 4000, notice: 3000} as const;

/** Delays, in ms: until the response to an unsafe request, between events, and until the first event. */
const delaysMs = {act: 20, event: 25, first: 40} as const;

/** Last segment of the path of acts that take long, and their time in ms. */
export const slowSegment = 'slow';
const slowActMs = 1900;

/** Answers that stop in their heads: one in so many. */
const brokenHeadOneIn = 40;

/** Refusals that are written once more, and resumed streams that get an error: one in so many. */
const copiedRefusalOneIn = 3;
const failedResumptionOneIn = 4;

const brokenHead = 'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nResponse-Seal: s\r\nContent-Length: 0\r\n\r\n';

type EndpointOptions = Readonly<{
	/** Prefix of its id; the incarnation follows. */
	name: string;
	/** Version that it registers, and writes into each event. */
	softwareVersion: string;
	/** The store in which it registers. */
	store: FakeStore;
	/** The executions by request id, shared by all endpoints. */
	executions: Map<string, Execution>;
	senders: Senders;
	/** Picks the requests that it turns away to have a rest; undefined for none. */
	restRandom: Random | undefined;
	/** Picks the requests whose answers stop in the middle of the head; undefined for none. */
	breakRandom: Random | undefined;
	/** Picks the refusals that it writes once more on their connections, and the resumed streams that it answers with an error; undefined for none. */
	faultRandom: Random | undefined;
	/** Called with each violation that the endpoint sees. */
	report: (violation: string) => void;
	/** Called with the id of each request that arrives on which endpoints crash, and again if this one crashes on it. */
	onCrashCause: (cause: CrashCause, requestId: string, isCrash: boolean) => void;
}>;

/**
Starts an endpoint on a free loopback port, and registers it as ready.

@param options - Its name, and what it shares with the other endpoints.
@returns The endpoint.
*/
export const startEndpoint = async ({name, softwareVersion, store, executions, senders, restRandom, breakRandom, faultRandom, report, onCrashCause}: EndpointOptions): Promise<FakeEndpoint> => {
	let incarnation = 0;
	let isDown = false;
	let isClosed = false;
	let isLeaving = false;
	/** When each router was first told that this incarnation is leaving, in ms since the epoch. */
	let toldAt: ReadonlyMap<number, number> = new Map();
	let drainingSince = Number.POSITIVE_INFINITY;
	let rateLimit: Readonly<{requestsPerSecond: number; from: number}> | undefined;
	let arrivals: readonly number[] = [];
	const sockets = new Set<Socket>();
	/** Sockets of unframed streams in progress. */
	const unframed = new Set<Socket>();
	const getId = () => `${name}-${incarnation}`;
	const rests = createRestWatch({
		...senders, random: restRandom, report(violation) {
			report(`${getId()} ${violation}`);
		},
	});

	const register = (state: 'ready' | 'draining') => {
		store.put('servers', getId(), {
			service: 's',
			address, zone: 'z', version: softwareVersion, slots: 64, state, coldRemainingMs: 0, sequence: 1, born: 1000 + incarnation,
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

	const tellLeaving = (incoming: IncomingMessage) => {
		const router = senders.findRouter(String(incoming.headers['attempt-id']));
		if (isLeaving && router !== undefined && !toldAt.has(router)) {
			toldAt = new Map([...toldAt, [router, Date.now()]]);
		}

		return isLeaving ? {'server-leaving': '1'} : {};
	};

	/** Reports a request of a router that was told too long ago that this incarnation is leaving. */
	const checkLeaving = (incoming: IncomingMessage) => {
		const id = String(incoming.headers['attempt-id']);
		const router = senders.findRouter(id);
		const since = router === undefined ? undefined : toldAt.get(router);
		if (since !== undefined && Date.now() > since + drainGraceMs && !senders.hasPaused(router!, since)) {
			report(`${getId()} received ${id} of router ${router} ${Date.now() - since} ms after it had told that router that it is leaving`);
		}
	};

	const createHeaders = (incoming: IncomingMessage) => ({
		...tellLeaving(incoming),
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

	const findCrashCause = (incoming: IncomingMessage): CrashCause | undefined => {
		const parts = String(incoming.headers['prompt-prefix'] ?? '').split(',').slice(0, -1).map(part => part.split(':')[0]);
		return parts.includes(poisonPart) ? 'part' : (incoming.url?.endsWith(`/${killerSegment}`) === true ? 'request' : undefined);
	};

	/** Crashes if the request is one on which endpoints crash; returns false otherwise. */
	const crashOn = (incoming: IncomingMessage): boolean => {
		const cause = findCrashCause(incoming);
		if (cause !== undefined) {
			onCrashCause(cause, String(incoming.headers['attempt-id']), true);
			crashAndRestart();
		}

		return cause !== undefined;
	};

	/** The last refusal of each connection, as it was written. */
	const refusals = new WeakMap<Socket, string>();

	/** Writes an earlier refusal of a connection once more, before the answer to its next request. */
	const copyRefusal = ({socket}: IncomingMessage) => {
		const text = refusals.get(socket);
		if (text !== undefined && faultRandom?.pick(copiedRefusalOneIn) === 0) {
			socket.write(text);
		}
	};

	const formatRefusal = (incoming: IncomingMessage, restMs: number): string => {
		const headers = Object.entries({
			...createHeaders(incoming), 'not-executed': '1', 'retry-after': String(restMs / 1000), 'content-length': '0',
		});
		return `HTTP/1.1 503 Service Unavailable\r\n${headers.map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n`;
	};

	/** Ends the answer in the middle of its head if it is picked; returns false otherwise. */
	const breakHead = (incoming: IncomingMessage): boolean => {
		const isBroken = breakRandom?.pick(brokenHeadOneIn) === 0;
		if (isBroken) {
			incoming.socket.end(brokenHead.slice(0, breakRandom?.pick(brokenHead.length)));
		}

		return isBroken;
	};

	const serveAct = (incoming: IncomingMessage, response: ServerResponse) => {
		recordExecution(incoming, true);
		setTimeout(() => {
			if (!crashOn(incoming) && !breakHead(incoming)) {
				response.writeHead(200, createHeaders(incoming)).end(String(incoming.headers['attempt-id']));
			}
		}, incoming.url?.endsWith(`/${slowSegment}`) === true ? slowActMs : delaysMs.act);
	};

	const serveStream = (incoming: IncomingMessage, response: ServerResponse) => {
		const id = String(incoming.headers['attempt-id']);
		const start = Number(incoming.headers['last-event-id'] ?? 0);
		if (Number(id.split('-').at(-1)) % unframedOneIn === 0) {
			response.shouldKeepAlive = false;
			response.useChunkedEncodingByDefault = false;
			unframed.add(incoming.socket);
			response.on('close', () => {
				unframed.delete(incoming.socket);
			});
		}

		const emit = (index: number) => {
			if (response.destroyed || incoming.socket.destroyed) {
				return;
			}

			if (crashOn(incoming)) {
				return;
			}

			if (index === start + 1 && breakHead(incoming)) {
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
			checkLeaving(incoming);
			if (Date.now() > drainingSince + drainGraceMs) {
				report(`${getId()} received ${String(incoming.headers['attempt-id'])} ${Date.now() - drainingSince} ms after registering as draining`);
			}

			const cause = findCrashCause(incoming);
			if (cause !== undefined) {
				onCrashCause(cause, String(incoming.headers['attempt-id']), false);
			}

			const rest = rests.receive(String(incoming.headers['attempt-id']));
			if (rest !== undefined) {
				// A response is not sent if the router has closed its connection before.
				response.once('finish', rest.begin);
				response.writeHead(503, {...createHeaders(incoming), 'not-executed': '1', 'retry-after': String(rest.durationMs / 1000)}).end();
				refusals.set(incoming.socket, formatRefusal(incoming, rest.durationMs));
				return;
			}

			copyRefusal(incoming);
			if (Number(incoming.headers['last-event-id'] ?? 0) > 0 && faultRandom?.pick(failedResumptionOneIn) === 0) {
				response.writeHead(500, createHeaders(incoming)).end('this endpoint has failed');
				return;
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
	const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
	register('ready');

	/** Closes all connections. An unframed stream that ended normally between two events would look complete, so those are reset. */
	const destroyConnections = () => {
		[...unframed].forEach(socket => {
			socket.resetAndDestroy();
		});
		[...sockets].forEach(socket => {
			socket.destroy();
		});
	};

	const startAnew = () => {
		incarnation += 1;
		isLeaving = false;
		toldAt = new Map();
		rests.clear();
		setRateLimit(rateLimit?.requestsPerSecond);
		drainingSince = Number.POSITIVE_INFINITY;
		register('ready');
	};

	/** Closes all connections, unframed streams in the middle of an event and without a reset, and starts anew after a while. */
	const crashAndRestart = () => {
		if (isDown || isClosed) {
			return;
		}

		isDown = true;
		const {port} = server.address() as AddressInfo;
		server.close();
		[...unframed].forEach(socket => {
			sockets.delete(socket);
			socket.end('id: ');
		});
		destroyConnections();
		store.put('servers', getId(), undefined);
		setTimeout(() => {
			if (isClosed) {
				return;
			}

			server.listen(port, '127.0.0.1', () => {
				isDown = false;
				startAnew();
			});
		}, crashDownMs);
	};

	return {
		getId,
		crash() {
			if (isDown) {
				return;
			}

			destroyConnections();
			store.put('servers', getId(), undefined);
			startAnew();
		},
		leave() {
			isLeaving = true;
		},
		renew() {
			if (!isDown) {
				register(drainingSince === Number.POSITIVE_INFINITY ? 'ready' : 'draining');
			}
		},
		drain() {
			if (isDown) {
				return;
			}

			isLeaving = true;
			register('draining');
			drainingSince = Date.now();
		},
		setRateLimit,
		close() {
			isClosed = true;
			server.close();
			destroyConnections();
		},
	};
};
