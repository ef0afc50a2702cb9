import type {Buffer} from 'node:buffer';
import {randomBytes} from 'node:crypto';
import {createSocket} from 'node:dgram';
import {createServer} from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {fromEvent, periodic} from 'most';
import type {ColdBounds} from '../cold-start/index.js';
import type {RetryBudgetBounds} from '../retry-budget/index.js';
import {createFault} from '../errors/index.js';
import type {Fault, Result} from '../errors/index.js';
import {digestBody} from '../in-flight/index.js';
import type {RequestHead} from '../in-flight/index.js';
import type {BoundedLog} from '../log/bounded.js';
import type {Fields} from '../log/index.js';
import {runForever, runInBackground} from '../loop/background.js';
import {startLoop} from '../loop/loop.js';
import {sleep} from '../loop/sleep.js';
import {createSliceQueue, workSliceMs} from '../loop/turns.js';
import {
	decodeRequest, decodeRoutingConfig, decodeEntry, hasContention, openStoreClient, splitOperatorRows, tables,
} from '../platform/index.js';
import type {OperatorRows, StoreOperations} from '../platform/index.js';
import {parseAddress} from '../server/address.js';
import {listen} from '../server/http.js';
import {trackResponses} from '../server/open-responses.js';
import {findOrganisation, findRoute} from '../routing-config/index.js';
import {decideAdmission, suggestRetryAfter} from '../queue/index.js';
import type {AdmissionDecision} from '../queue/index.js';
import {verdictTable} from '../poison/index.js';
import {
	createReadinessLimits, getShedLag, refusesConnections, sampleIntervalMs, shouldMoveClient,
} from '../readiness/index.js';
import {getEra} from '../store/index.js';
import type {ReplyTransfer, StoreReply, StoredRow} from '../store/index.js';
import {
	decodeOrigin, getRestorationAge, hasSavedOrigins, locateOrigin, versionTable,
} from '../stream-origin/index.js';
import type {SavedVersionReading} from '../stream-origin/index.js';
import {createWorkMeter} from '../work-time/index.js';
import {measureProcessWork} from './work.js';
import {watchAcceptQueue} from './accept-queue.js';
import {listGauges} from './gauges.js';
import {openHttpProxy, sendErrorResponse} from './http-proxy.js';
import {followTable} from './table-feed.js';
import type {FeedEvent} from './table-feed.js';
import {handleEdge} from './handle.js';
import {urgentEvents} from './messages.js';
import type {EdgeEffect, EdgeEvent} from './messages.js';
import {openMemoryGuard} from './memory-guard.js';
import type {RequestHolding} from './memory-guard.js';
import {openMetrics} from './metrics.js';
import {parsePeerMessage} from './peer-message.js';
import {readRequestBody, rejectUnread} from './request-body.js';
import {listRegions} from './settings.js';
import type {EdgeSettings} from './settings.js';
import {createEdge, hasReleasedTokens, isReady as isStateReady} from './state.js';
import {openFailoverStore} from './store-failover.js';

/** Interval at which timeouts and other due work are checked, in ms. */
const tickIntervalMs = 20;

/** Maximum size of request headers that the parser reads. The configured limit may be lower. */
const maxHeaderBytes = 65_536;

/** Maximum size of a request body until a configuration has been read. */
const defaultMaxBodyBytes = 4_194_304;

/** Time limit for the body of a request until a configuration has been read, in ms. */
const defaultBodyTimeoutMs = 10_000;

/** Time after the stop signal during which new connections are still accepted, in ms. The load balancer needs two health checks, a second apart, to notice. */
const listenGraceMs = 3000;

/** Time before the forced kill at which the process stops waiting for requests and exits, in ms. */
const exitMarginMs = 500;

/** Time for writing the last responses before the process exits, in ms. */
const lastResponsesMs = 250;

/** Maximum time that a stopping process waits for the store to take back its budget reservations, in ms. */
const budgetReleaseTimeoutMs = 1000;

/** Delay before rows that a process needs once are read again after a failure, in ms. */
const readRetryMs = 300;

/** Interval at which the work on requests is counted and logged, in ms. */
const workIntervalMs = 5000;

/** Interval at which a stopping process checks for remaining requests and reservations, in ms. */
const drainPollIntervalMs = 50;

/** Effects that end a request. */
const endingEffects: ReadonlySet<EdgeEffect['kind']> = new Set(['deliver', 'refuse', 'cut']);

/** A running edge process. */
export type Edge = Readonly<{
	/** Address at which clients connect. */
	address: string;
	/** Tells whether the process says that it is ready. */
	isReady: () => boolean;
	/** Shuts the process down gracefully, within its grace period. */
	stop: () => Promise<void>;
	/** Ends all work at once, as the end of the process does: connections are closed, and nothing is sent or handled any more. */
	close: () => void;
	reload: (settings: Result<EdgeSettings>) => void;
}>;

const decodeHead = ({method = 'GET', url = '/', headers, rawHeaders}: IncomingMessage): Result<RequestHead> => decodeRequest({
	method, url, headers, rawHeaders,
});

/** What is known of how a head was read. Times in ms. */
type HeadReading = Readonly<{
	isFirstRequest: boolean;
	receivedAt: number;
	/** Longest time for which it may have waited before. */
	unreadMs: number;
}>;

/** Returns the size that a head announces for its body; 0 if it announces none. */
const getAnnouncedBytes = ({headers}: IncomingMessage): number => Number(headers['content-length'] ?? 0);

const getRetryBounds = ({bounds}: EdgeSettings): RetryBudgetBounds => ({ratio: bounds['repeat-ratio'], slack: bounds['repeat-slack']});

const getColdBounds = ({bounds}: EdgeSettings): ColdBounds => ({over: bounds['cold-over'], slack: bounds['cold-slack']});

/** What an edge process works with. */
type EdgeOptions = Readonly<{
	/** Operations of the store; by default, those of the store in the settings. */
	store?: StoreOperations;
	/**
	Work that is done before the process says that it is ready, and that ends when the signal is aborted: when a client's request
	arrives all the same, or when the process stops.
	*/
	prepare?: (signal: AbortSignal) => Promise<Fields>;
}>;

/**
Starts the edge process.

@param settings - Settings of the process.
@param unmeasuredLog - Log of the process.
@param options - What the process works with.
@returns Functions that stop or close the process and reload its settings.
*/
export const startEdge = async (settings: EdgeSettings, unmeasuredLog: BoundedLog, options: EdgeOptions = {}): Promise<Edge> => {
	const incarnation = randomBytes(6).toString('hex');
	const closing = new AbortController();
	const clock = () => performance.now();
	const random = () => Math.random();
	const metrics = openMetrics();
	const meter = createWorkMeter(clock);
	const log: BoundedLog = {
		...unmeasuredLog,
		write(level, event, fields) {
			meter.measure('log', undefined, () => {
				unmeasuredLog.write(level, event, fields);
			});
		},
	};
	const client = openStoreClient(bytes => {
		metrics.apply({
			kind: 'count', metric: 'abandonedBytes', labels: {}, amount: bytes,
		});
	});
	const store = options.store ?? openFailoverStore({
		client,
		directAddress: settings.store.address,
		relayAddresses: settings.store.relays,
		clock,
		onChange(from, to, reason) {
			log.write('failure', 'store-way-changed', {from, to, reason});
		},
	});
	const cpuShare = settings.limits['cpu-share'];
	const readinessLimits = createReadinessLimits(cpuShare);
	const shedLagMs = getShedLag(readinessLimits);
	/** When the last responses must have been sent, in ms of the loop's clock; undefined unless the process is stopping. */
	let answerBy: number | undefined;
	let {grace: graceMs} = settings.bounds;
	let requestCount = 0;
	let lagMs = 0;
	let lastTickAt = clock();

	/** Returns how long an event that is posted now waits, in ms. */
	const getDelay = (): number => Math.max(lagMs, loop.delay());

	/** The latest response of each connection, and whether it tells the client that the connection is closed after it. */
	const connections = new WeakMap<object, Readonly<{latest: ServerResponse; isClosing: boolean}>>();

	/** Requests that were read since the latest sample of the load, and those of them that were shed. */
	let admissions = {requests: 0, shed: 0};

	/** Decides as a response is written whether it is the last one of its connection: during a shutdown, and if its client is to move, unless a further request has been read. */
	const isLastResponse = (response: ServerResponse, isShed = false): boolean => {
		const {socket} = response.req;
		const isLast = (answerBy !== undefined || shouldMoveClient(loop.state().readiness, isShed, clock(), random())) && connections.get(socket)?.latest === response;
		if (isLast) {
			connections.set(socket, {latest: response, isClosing: true});
		}

		return isLast;
	};

	const guard = openMemoryGuard({
		machine: {memoryMb: settings.limits.memory, descriptors: settings.limits.descriptors},
		clock,
		onGivenUp(kind, bytes, ageMs) {
			metrics.apply({kind: 'count', metric: 'givenUp', labels: {kind}});
			log.write('failure', 'held-given-up', {
				kind, bytes, age: Math.round(ageMs), held: guard.count().bytes, connections: guard.count().connections,
			});
		},
	});

	/** What the requests hold whose bodies are complete. */
	const holdings = new Map<number, RequestHolding>();

	const proxy = openHttpProxy({
		post(event) {
			loop.post(event);
		},
		isLastResponse,
		random,
		clock,
		hold: (requestId, kind, bytes) => holdings.get(requestId)?.set(kind, bytes) ?? true,
		addRead: guard.addRead,
		onStall(key) {
			metrics.apply({kind: 'count', metric: 'givenUp', labels: {kind: 'stalled'}});
			log.write('failure', 'client-stalled', {call: key});
		},
		getReadDelay: () => Math.max(0, lagMs) + loop.delay(),
		measure(requestId, run) {
			meter.measure('stream', requestId, run);
		},
	});

	const requestStore = async (effect: EdgeEffect & {kind: 'store'}) => {
		const {call} = effect;
		const reply = call.kind === 'read' ? await store.read(call.table) : await store.transact(call.writes);
		loop.post({kind: 'store-replied', reply, random: random()});
	};

	/** Reads the saved verdicts; resolves to false if they cannot be read. */
	const readVerdicts = async (): Promise<boolean> => {
		const reply = await store.read(verdictTable);
		if (reply.kind === 'done') {
			loop.post({kind: 'verdicts-read', rows: reply.rows, storeTime: reply.now});
			return true;
		}

		log.write('failure', 'verdicts-unread', {reason: 'reason' in reply ? reply.reason : reply.kind});
		return false;
	};

	const getVersionReading = (reply: StoreReply & {kind: 'done'}): SavedVersionReading => ({rows: reply.rows, era: getEra(reply), storeTime: reply.now});

	/** Reads the software versions that were in use lately; resolves to false if they cannot be read. */
	const readVersions = async (): Promise<boolean> => {
		const reply = await store.read(versionTable);
		if (reply.kind === 'done') {
			loop.post({kind: 'versions-read', ...getVersionReading(reply)});
			return true;
		}

		log.write('failure', 'versions-unread', {reason: 'reason' in reply ? reply.reason : reply.kind});
		return false;
	};

	/** Reads where a stream began; only after a restoration can that stand in another part. */
	const readOrigin = async (key: string): Promise<StoreReply> => {
		const reply = await store.readRow(locateOrigin(key, 'streams'));
		return reply.kind === 'done' && reply.rows.length === 0 ? store.readRow(locateOrigin(key, 'restored-streams')) : reply;
	};

	/** Reads which software versions are in use. Entries of endpoints that are leaving count as well: streams have begun there. */
	const readVersionsInUse = async (): Promise<void> => {
		const [entries, versions] = await Promise.all([store.read(tables.endpoints), store.read(versionTable)]);
		loop.post({
			kind: 'versions-in-use-read',
			reading: entries.kind === 'done' && versions.kind === 'done'
				? {
					listed: entries.rows.flatMap(row => decodeRegistryEntry(row) ?? []),
					saved: versions.rows.flatMap(({value}) => decodeOrigin(value) ?? []),
					restorationAgeMs: getRestorationAge(getVersionReading(versions)),
				}
				: undefined,
			random: random(),
		});
	};

	const effectHandlers: Readonly<{[Kind in EdgeEffect['kind']]: (effect: EdgeEffect & {kind: Kind}) => void}> = {
		send(effect) {
			meter.measure('send', effect.call, () => {
				proxy.send(effect);
			});
		},
		abort(effect) {
			proxy.abort(effect.call);
		},
		withdraw(effect) {
			proxy.cancel(effect.call);
		},
		forget(effect) {
			proxy.closeIdleConnections(effect.address);
		},
		deliver(effect) {
			meter.measure('stream', effect.call, () => {
				proxy.deliver(effect.call);
			});
		},
		relay(effect) {
			proxy.streamResponse(effect.call);
		},
		refuse(effect) {
			proxy.reject(effect.call, effect.fault);
		},
		cut(effect) {
			proxy.closeClient(effect.call);
		},
		'tell-peers'(effect) {
			effect.addresses.forEach(address => {
				const {host, port} = parseAddress(address);
				peerSocket.send(effect.message, port, host);
			});
		},
		store(effect) {
			runInBackground(async () => requestStore(effect));
		},
		'read-origin'(effect) {
			runInBackground(async () => {
				await sleep(effect.delayMs);
				const reply = await readOrigin(effect.key);
				loop.post({
					kind: 'origin-read', call: effect.call, reply, random: random(),
				});
			});
		},
		'save-origins'(effect) {
			runInBackground(async () => {
				const reply = await store.transact(effect.writes);
				loop.post({kind: 'origins-saved', part: effect.part, isDone: reply.kind === 'done'});
			});
		},
		'save-versions'(effect) {
			runInBackground(async () => {
				const reply = await store.transact(effect.writes);
				loop.post({kind: 'versions-saved', isDone: reply.kind === 'done'});
			});
		},
		'read-versions-in-use'() {
			runInBackground(readVersionsInUse);
		},
		'read-verdicts'() {
			runInBackground(readVerdicts);
		},
		'save-verdicts'(effect) {
			runInBackground(async () => {
				const reply = await store.transact(effect.writes);
				loop.post({kind: 'verdicts-saved', isDone: reply.kind === 'done'});
			});
		},
		'save-crashes'(effect) {
			runInBackground(async () => {
				const reply = await store.transact(effect.writes);
				if (reply.kind !== 'done') {
					log.write('failure', 'crashes-unsaved', {reason: 'reason' in reply ? reply.reason : reply.kind});
				}
			});
		},
		log(effect) {
			log.write(effect.level, effect.event, effect.fields);
		},
		count(effect) {
			metrics.apply(effect);
			if (effect.call !== undefined) {
				meter.end(effect.call, effect.labels.outcome ?? '');
			}
		},
		observe: metrics.apply,
	};

	/** A failure of an effect that concerns one request ends that request, and any other one the process. */
	const handleFailure = (effect: EdgeEffect, error: unknown): void => {
		if (!('call' in effect) || typeof effect.call !== 'number') {
			throw error;
		}

		log.write('failure', 'effect-failed', {call: effect.call, effect: effect.kind, reason: error instanceof Error ? error.message : String(error)});
		proxy.fail(effect.call, endingEffects.has(effect.kind));
	};

	const loop = startLoop<ReturnType<typeof createEdge>, EdgeEvent, EdgeEffect>({
		initial: createEdge({
			dataCentre: settings.host['data-centre'],
			router: `${settings.host.name}/${settings.host.address}`,
			incarnation,
			peerAddress: `${settings.listen.peers.host}:${settings.listen.peers.port}`,
			retryBudgetBounds: getRetryBounds(settings),
			drainMs: settings.bounds.drain,
			prioritizesUrgent: hasContention(settings.host.contracts),
			coldBounds: getColdBounds(settings),
			regions: listRegions(settings),
			readinessLimits,
			remoteCostMs: settings.bounds['remote-cost'],
			configMs: settings.bounds['config-ms'],
		}),
		handle: (state, event, now) => meter.measure('decision', 'call' in event ? event.call : undefined, () => handleEdge(state, event, now)),
		perform(effect) {
			(effectHandlers[effect.kind] as (effect: EdgeEffect) => void)(effect);
		},
		onFailure: handleFailure,
		clock,
		isUrgent: ({kind}) => urgentEvents.has(kind),
		isObsolete(event) {
			const isObsolete = event.kind === 'call-arrived' && proxy.forgetLeft(event.call);
			if (isObsolete) {
				meter.end(event.call, 'caller-left');
			}

			return isObsolete;
		},
		slice: workSliceMs,
	});

	const applyConfiguration = ({configuration: row, superseded}: OperatorRows, transfer: ReplyTransfer | undefined) => {
		if (row === undefined) {
			return;
		}

		const startedAt = clock();
		const config = decodeRoutingConfig(row.value);
		const decodedAt = clock();
		const decodeMs = decodedAt - startedAt;
		metrics.apply({
			kind: 'observe', metric: 'configDecode', labels: {}, milliseconds: decodeMs,
		});
		if (config.err) {
			log.write('failure', 'configuration-unreadable', {version: row.version, reason: config.val.detail});
			return;
		}

		const {limits} = config.val;
		server.keepAliveTimeout = limits.idleTimeoutMs;
		server.headersTimeout = limits.headerTimeoutMs;
		loop.post({
			kind: 'catalog-read', config: config.val, retrieval: {
				transfer, superseded, decodeMs, decodedAt,
			},
		});
	};

	const decodeRegistryEntry = (row: StoredRow) => {
		if (row.value === undefined) {
			return undefined;
		}

		const entry = decodeEntry(row.key, row.value, row.version);
		if (entry.err) {
			log.write('failure', 'entry-unreadable', {endpoint: row.key, version: row.version, reason: entry.val.detail});
			return undefined;
		}

		return entry.val;
	};

	const recordTransfer = (table: string, {transfer}: FeedEvent & {kind: 'all' | 'changes'}) => {
		if (transfer !== undefined) {
			metrics.apply({
				kind: 'count', metric: 'feedBytes', labels: {table}, amount: transfer.bytes,
			});
			metrics.apply({
				kind: 'observe', metric: 'feedReceive', labels: {table}, milliseconds: transfer.receiveMs,
			});
		}
	};

	const feedLoggers: Readonly<{[Kind in FeedEvent['kind']]: (table: string, event: FeedEvent & {kind: Kind}) => void}> = {
		all: recordTransfer,
		changes: recordTransfer,
		lost(table, {reason}) {
			log.write('failure', 'feed-lost', {table, reason});
		},
		outgrown(table, {bytes}) {
			log.write('routine', 'feed-outgrown', {table, bytes});
		},
		'history-lost'(table) {
			log.write('failure', 'feed-history-lost', {table});
		},
		regained(table) {
			log.write('routine', 'feed-regained', {table});
		},
		restored(table, {from, to}) {
			log.write('failure', 'feed-restored', {table, from, to});
		},
		'era-unreadable'(table, {reason}) {
			log.write('failure', 'era-unreadable', {table, reason});
		},
	};

	const logFeed = (table: string, event: FeedEvent) => {
		(feedLoggers[event.kind] as (table: string, event: FeedEvent) => void)(table, event);
	};

	/** Tells that what was received was current when the reply began. */
	const postCurrent = (receivedAt: number, transfer: ReplyTransfer | undefined) => {
		loop.post({kind: 'catalog-current', at: receivedAt - (transfer?.receiveMs ?? 0)});
	};

	const configurationHandlers: Readonly<{[Kind in FeedEvent['kind']]: (event: FeedEvent & {kind: Kind}) => void}> = {
		all(event) {
			const receivedAt = clock();
			const rows = splitOperatorRows(event.rows);
			// Before the configuration, so that a process is never ready without them.
			loop.post({kind: 'evacuations-read', evacuations: rows.evacuations});
			applyConfiguration(rows, event.transfer);
			postCurrent(receivedAt, event.transfer);
		},
		changes(event) {
			const receivedAt = clock();
			const rows = splitOperatorRows(event.rows);
			if (rows.evacuations.length > 0) {
				loop.post({kind: 'evacuations-changed', evacuations: rows.evacuations});
			}

			applyConfiguration(rows, event.transfer);
			postCurrent(receivedAt, event.transfer);
		},
		lost() {
			loop.post({kind: 'catalog-lost'});
		},
		outgrown: () => undefined,
		'history-lost': () => undefined,
		regained: () => undefined,
		restored: () => undefined,
		'era-unreadable': () => undefined,
	};
	const registryHandlers: Readonly<{[Kind in FeedEvent['kind']]: (event: FeedEvent & {kind: Kind}) => void}> = {
		all(event) {
			loop.post({kind: 'endpoints-listed', entries: event.rows.flatMap(row => decodeRegistryEntry(row) ?? []), version: event.version});
		},
		changes(event) {
			event.rows.forEach(row => {
				loop.post({
					kind: 'endpoint-changed', id: row.key, listing: decodeRegistryEntry(row), version: row.version,
				});
			});
		},
		lost() {
			loop.post({kind: 'registry-lost'});
		},
		outgrown: () => undefined,
		'history-lost': () => undefined,
		regained() {
			loop.post({kind: 'registry-regained'});
		},
		restored({to}) {
			loop.post({kind: 'registry-restored', era: to});
		},
		'era-unreadable': () => undefined,
	};

	/** Requests whose clients send the body only when they are asked for it. */
	const awaitingContinue = new WeakSet<IncomingMessage>();

	/** Rejects the requests whose bodies are not complete. */
	const unreadBodies = new Set<(fault: Fault) => void>();

	/** Requests whose heads have been read. Many that come at once keep the sockets from being polled for as short a time as possible. */
	const intake = createSliceQueue();

	const receiveHead = (incoming: IncomingMessage, response: ServerResponse) => {
		if (!isPrepared) {
			preparing.abort();
		}

		const isFirstRequest = !connections.has(incoming.socket);
		if (connections.get(incoming.socket)?.isClosing === true) {
			// The client has been told that this connection takes no further request.
			return;
		}

		connections.set(incoming.socket, {latest: response, isClosing: false});
		response.on('error', () => undefined);
		const receivedAt = clock();
		const unreadMs = acceptQueue.boundWait(incoming);
		intake(() => {
			if (incoming.socket.writable) {
				meter.measure('head', undefined, () => {
					receiveRequest(incoming, response, {isFirstRequest, receivedAt, unreadMs});
				});
			} else {
				log.write('failure', 'call-left-unread', {call: decodeHead(incoming).map(({key}) => key).unwrapOr(undefined), lag: Math.round(lagMs), unread: Math.round(unreadMs)});
			}
		});
	};

	const receiveRequest = (incoming: IncomingMessage, response: ServerResponse, {isFirstRequest, receivedAt, unreadMs}: HeadReading) => {
		const head = decodeHead(incoming);
		if (head.err) {
			incoming.resume();
			log.write('failure', 'call-malformed', {reason: head.val.detail});
			sendErrorResponse(response, head.val, isLastResponse(response));
			return;
		}

		metrics.apply({
			kind: 'observe', metric: 'unread', labels: {connection: isFirstRequest ? 'new' : 'kept'}, milliseconds: unreadMs,
		});
		const intakeMs = clock() - receivedAt;
		const {config} = loop.state();
		const hostHeader = incoming.headers.host ?? '';
		const route = config === undefined ? undefined : findRoute(config, head.val.host, head.val.url);
		const timeLimitMs = Math.min(
			head.val.clientTimeoutMs ?? Number.POSITIVE_INFINITY,
			route?.timeout ?? config?.limits.idleTimeoutMs ?? defaultBodyTimeoutMs,
		);
		const expectedBytes = getAnnouncedBytes(incoming);
		const limits = {
			expectedBytes,
			maxBytes: config?.limits.maxBodyBytes ?? defaultMaxBodyBytes,
			timeoutMs: Math.max(0, Math.min(timeLimitMs - unreadMs, (answerBy ?? Number.POSITIVE_INFINITY) - receivedAt)),
		};
		const rejectRequest = (fault: Fault) => {
			log.write('failure', 'call-malformed', {call: head.val.key, reason: fault.detail});
			rejectUnread(incoming, response, fault);
		};

		if (expectedBytes > limits.maxBytes) {
			incoming.resume();
			rejectRequest(createFault('too-large', `body: larger than the limit of ${limits.maxBytes} bytes`));
			return;
		}

		const createMemoryFault = () => createFault('overloaded', 'the router has no memory left for the request', suggestRetryAfter(timeLimitMs, random()));
		const holding = guard.admit(expectedBytes, kind => {
			if (kind === 'reading') {
				rejectBody(createMemoryFault());
			} else {
				response.destroy();
			}
		});
		if (holding === undefined) {
			incoming.resume();
			rejectRequest(createMemoryFault());
			return;
		}

		response.on('close', holding.release);
		if (awaitingContinue.has(incoming)) {
			response.writeContinue();
		}

		const acceptRequest = (body: Buffer) => {
			requestCount += 1;
			const requestId = requestCount;
			meter.begin(requestId);
			holdings.set(requestId, holding);
			response.on('close', () => {
				holdings.delete(requestId);
			});
			proxy.accept(requestCount, head.val, hostHeader, body, response);
			loop.post({
				kind: 'call-arrived', call: requestCount, head: head.val, bodyDigest: digestBody(body), receivedAt, unreadMs, random: random(), bodyBytes: body.length,
			});
		};

		const intakeHandlers: Readonly<Record<AdmissionDecision, (body: Buffer) => void>> = {
			take: acceptRequest,
			check(body) {
				// If the client closed the connection with its request, the close is read within two turns of the event loop.
				setImmediate(() => {
					setImmediate(() => {
						if (incoming.socket.writable) {
							acceptRequest(body);
						} else {
							log.write('failure', 'call-left-unread', {call: head.val.key, lag: Math.round(lagMs), unread: Math.round(unreadMs)});
						}
					});
				});
			},
			refuse() {
				const retryAfter = suggestRetryAfter(timeLimitMs - unreadMs, random());
				// The client's next request then goes to another router.
				const isLast = isLastResponse(response, true);
				log.write('failure', 'call-ended', {
					call: head.val.key,
					route: route?.name,
					organisation: config === undefined ? undefined : findOrganisation(config, head.val.apiKey)?.name,
					connection: isFirstRequest ? 'new' : 'kept',
					closes: isLast,
					outcome: 'overloaded',
					status: 503,
					reason: `it was read ${Math.round(unreadMs)} ms late, and events are handled ${Math.round(getDelay())} ms late`,
					retryAfter,
				});
				sendErrorResponse(response, createFault('overloaded', 'the router is overloaded', retryAfter), isLast);
				meter.endUnnumbered('shed');
			},
		};
		const rejectBody = readRequestBody(incoming, limits, body => {
			unreadBodies.delete(rejectBody);
			holding.set('running', body.length);
			const decision = decideAdmission({
				lagMs: Math.max(getDelay(), intakeMs), unreadMs, timeLimitMs, isFirstOnConnection: isFirstRequest, shedLagMs,
			});
			admissions = {requests: admissions.requests + 1, shed: admissions.shed + (decision === 'refuse' ? 1 : 0)};
			meter.measure('head', undefined, () => {
				intakeHandlers[decision](body);
			});
		}, fault => {
			unreadBodies.delete(rejectBody);
			holding.release();
			rejectRequest(fault);
		}, {
			addRead: guard.addRead,
			onFlood: guard.spreadReads,
			hold(bytes) {
				holding.set('reading', Math.max(bytes, expectedBytes));
			},
		});
		unreadBodies.add(rejectBody);
		response.on('close', () => {
			unreadBodies.delete(rejectBody);
		});
	};

	const server = createServer({
		maxHeaderSize: maxHeaderBytes, requestTimeout: 0, connectionsCheckingInterval: 1000, noDelay: true,
	}, receiveHead);
	// Without a listener, Node.js asks for each body itself.
	server.on('checkContinue', (incoming: IncomingMessage, response: ServerResponse) => {
		awaitingContinue.add(incoming);
		server.emit('request', incoming, response);
	});
	guard.watch(server);
	const responses = trackResponses(server);
	const acceptQueue = watchAcceptQueue({
		server,
		address: settings.listen.callers,
		clock,
		onReset(ageMs) {
			log.write('failure', 'accept-queue-reset', {age: Math.round(ageMs), lag: Math.round(lagMs)});
		},
		onListenFailure(error) {
			log.write('failure', 'listen-failed', {reason: error.message});
		},
	});
	/** Aborted once the process need not prepare any longer. */
	const preparing = new AbortController();
	let isPrepared = options.prepare === undefined;
	const prepare = async () => {
		const fields = await options.prepare?.(preparing.signal);
		isPrepared = true;
		if (fields !== undefined) {
			log.write('routine', 'prepared', fields);
		}
	};

	const isReady = () => (isPrepared || preparing.signal.aborted) && isStateReady(loop.state());
	const readyServer = createServer((incoming, response) => {
		incoming.resume();
		response.writeHead(isReady() ? 200 : 503, {'content-length': 0}).end();
	});
	const metricsServer = createServer((incoming, response) => {
		incoming.resume();
		runInBackground(async () => {
			response.end(await metrics.format(listGauges(loop.state(), clock())));
		});
	});

	const peerSocket = createSocket({
		type: 'udp4',
		// Peers' addresses are IP numbers, which need no look-up for each message.
		lookup(host, _options, callback) {
			callback(null, host, 4);
		},
	});
	peerSocket.on('error', error => {
		log.write('failure', 'peer-socket-failed', {reason: error.message});
	});
	peerSocket.on('message', bytes => {
		const decoded = parsePeerMessage(bytes.toString('utf8'), random());
		if (decoded.err) {
			log.write('failure', 'peer-message-unreadable', {reason: decoded.val.detail});
			return;
		}

		loop.post(decoded.val);
	});
	peerSocket.bind(settings.listen.peers.port, settings.listen.peers.host);

	const [{address}] = await Promise.all([listen(server, settings.listen.callers), listen(readyServer, settings.listen.ready), listen(metricsServer, settings.listen.metrics)]);
	acceptQueue.start();
	const {user, system} = process.cpuUsage();
	log.write('routine', 'started', {
		incarnation, dataCentre: settings.host['data-centre'], uptime: Math.round(process.uptime() * 1000), processorTime: Math.round((user + system) / 1000),
	});

	runInBackground(prepare, error => {
		isPrepared = true;
		log.write('failure', 'prepare-failed', {reason: error instanceof Error ? error.message : String(error)});
	});
	runForever(async () => followTable(store, tables.configuration, event => {
		logFeed(tables.configuration, event);
		(configurationHandlers[event.kind] as (event: FeedEvent) => void)(event);
	}, closing.signal));
	runForever(async () => followTable(store, tables.endpoints, event => {
		logFeed(tables.endpoints, event);
		(registryHandlers[event.kind] as (event: FeedEvent) => void)(event);
	}, closing.signal));
	const retryRead = async (read: () => Promise<boolean>): Promise<void> => {
		if (await read() || closing.signal.aborted) {
			return;
		}

		await sleep(readRetryMs);
		return retryRead(read);
	};

	runInBackground(async () => retryRead(readVerdicts));
	runInBackground(async () => retryRead(readVersions));
	const repeat = (intervalMs: number, work: () => void): void => {
		runForever(async () => periodic(intervalMs).until(fromEvent('abort', closing.signal)).observe(work));
	};

	repeat(tickIntervalMs, () => {
		lagMs = clock() - lastTickAt - tickIntervalMs;
		lastTickAt = clock();
		if (lagMs < -tickIntervalMs / 2) {
			// The timer makes up for those that it missed, and the first of them does all that is due.
			return;
		}

		acceptQueue.recordLag(lagMs);
		metrics.apply({
			kind: 'observe', metric: 'lag', labels: {}, milliseconds: Math.max(0, lagMs),
		});
		const postTick = () => {
			loop.post({kind: 'tick', random: random()});
		};

		if (lagMs > tickIntervalMs) {
			// The process stood still: what has come meanwhile is read first.
			setImmediate(postTick);
		} else {
			postTick();
		}
	});
	repeat(1000, () => {
		log.tick(clock());
		metrics.setHeld(guard.count());
		proxy.limitConnections(guard.maxOutgoingConnections);
	});
	const measureWork = measureProcessWork(meter);
	repeat(workIntervalMs, () => {
		const work = measureWork();
		work.effects.forEach(effect => {
			metrics.apply(effect);
		});
		if (work.requests > 0) {
			log.write('routine', 'work-measured', work.fields);
		}
	});
	if (readinessLimits !== undefined) {
		let used = process.cpuUsage();
		repeat(sampleIntervalMs, () => {
			const {user, system} = process.cpuUsage(used);
			used = process.cpuUsage();
			loop.post({
				kind: 'load-measured', lagMs: getDelay(), usedMs: (user + system) / 1000, ...admissions,
			});
			admissions = {requests: 0, shed: 0};
			const {readiness} = loop.state();
			metrics.setOverloaded(readiness.isOverloaded);
			(refusesConnections(readiness, readinessLimits) ? acceptQueue.pause : acceptQueue.resume)();
		});
	}

	const awaitDrained = async (deadline: number): Promise<void> => {
		if (clock() >= deadline || (loop.state().requests.isEmpty() && responses.count() === 0)) {
			return;
		}

		server.closeIdleConnections();
		await sleep(drainPollIntervalMs);
		return awaitDrained(deadline);
	};

	/** Waits until the store has what other routers need of this one: its tokens, and the origins of its streams. */
	const awaitHandover = async (deadline: number): Promise<void> => {
		if (clock() >= deadline || (hasReleasedTokens(loop.state()) && hasSavedOrigins(loop.state().origins))) {
			return;
		}

		await sleep(drainPollIntervalMs);
		return awaitHandover(deadline);
	};

	const close = (): void => {
		if (closing.signal.aborted) {
			return;
		}

		closing.abort();
		preparing.abort();
		loop.stop();
		acceptQueue.close();
		[server, readyServer, metricsServer].forEach(each => {
			each.closeAllConnections();
			each.close();
		});
		client.close();
		guard.close();
		peerSocket.close();
		proxy.close();
	};

	return {
		address,
		isReady,
		close,
		reload(changed) {
			if (changed.err) {
				log.write('failure', 'settings-unreadable', {reason: changed.val.detail});
				return;
			}

			const next = changed.val;
			const isRestartNeeded = JSON.stringify([settings.host, settings.listen, settings.store, settings.limits]) !== JSON.stringify([next.host, next.listen, next.store, next.limits]);
			graceMs = next.bounds.grace;
			loop.post({
				kind: 'bounds-changed',
				retryBudgetBounds: getRetryBounds(next),
				drainMs: next.bounds.drain,
				coldBounds: getColdBounds(next),
				regions: listRegions(next),
				remoteCostMs: next.bounds['remote-cost'],
				configMs: next.bounds['config-ms'],
			});
			// Changed addresses take effect at the next start.
			log.write('routine', 'settings-reloaded', {grace: graceMs, repeatSlack: next.bounds['repeat-slack'], needsRestart: isRestartNeeded});
		},
		async stop() {
			const deadline = clock() + graceMs - exitMarginMs;
			answerBy = deadline - lastResponsesMs;
			preparing.abort();
			log.write('routine', 'stopping', {incarnation, calls: loop.state().requests.size});
			loop.post({kind: 'stop-wanted', answerBy});
			const timer = setTimeout(() => {
				[...unreadBodies].forEach(rejectBody => {
					rejectBody(createFault('body-late', 'body: not complete before the router ends'));
				});
			}, answerBy - clock());
			await sleep(listenGraceMs);
			acceptQueue.close();
			server.close();
			await awaitDrained(deadline);
			loop.post({kind: 'leave-wanted', random: random()});
			await awaitHandover(Math.min(deadline, clock() + budgetReleaseTimeoutMs));
			// Connections that were still open may have brought further requests.
			await awaitDrained(deadline);
			clearTimeout(timer);
			log.write('routine', 'stopped', {incarnation, calls: loop.state().requests.size, responses: responses.count()});
			close();
		},
	};
};
