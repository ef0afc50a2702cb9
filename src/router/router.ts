import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import {createRandom} from '../random/index.js';
import type {GrantPolicy} from '../budget/index.js';
import {listRevisions} from '../config/index.js';
import type {Revision} from '../config/index.js';
import {
	createFault, createErrorResponse, errorResponses, fail, succeed,
} from '../errors/index.js';
import type {ErrorKind, Fault, Result} from '../errors/index.js';
import {openMemoryGuard} from '../edge/memory-guard.js';
import {readRequestBody, rejectUnread} from '../edge/request-body.js';
import type {Log} from '../log/index.js';
import {runInBackground, startLoop, waitUntil} from '../loop/index.js';
import type {Loop} from '../loop/index.js';
import {workSliceMs} from '../loop/turns.js';
import type {MachineLimits} from '../memory-account/index.js';
import type {OperatorChange} from '../operation/index.js';
import {
	listen, sendJson, startRpcServer, trackResponses,
} from '../server/index.js';
import {watchDisconnect} from '../server/disconnects.js';
import type {SocketAddress} from '../server/index.js';
import type {JsonValue, TableClient} from '../table/index.js';
import {
	requestFence, requestSeal, agentCallTimeoutMs, closeRouter,
} from './agent-calls.js';
import {
	buildAttemptBody, canResume, createHttpSink, endStream, sendAnswer, sendFault,
} from './pending-request.js';
import type {PendingRequest, ResponseSink} from './pending-request.js';
import {createResponseForwarder} from './response-forwarder.js';
import {checkRequest} from './validate-request.js';
import {handleRouter} from './handle.js';
import type {ServiceRegistry} from './service-registry.js';
import type {RouterEffect, RouterEvent} from './messages.js';
import {serveOperator} from './operator.js';
import {createPeerClients, createPeerRoutes, forwardToPeer} from './peers.js';
import {createSessions} from './sessions.js';
import {createRouterState} from './state.js';
import type {RouterState} from './state.js';

/** Time that a draining router waits for slow clients, after all requests have ended, in ms. */
const responseTimeoutMs = 5000;

/** Time within which a client must have sent a body, in ms. */
const bodyTimeoutMs = 30_000;

/** Options of a router. */
export type RouterOptions = Readonly<{
	/** Listen address for clients and operators. */
	listen: SocketAddress;
	/** Listen address for peers and agents. */
	control: SocketAddress;
	dataCentre: string;
	table: TableClient;
	/** The service registry that lists routers and agents. */
	serviceRegistry: ServiceRegistry;
	policy: GrantPolicy;
	/** SHA-256 of each operator's API key, by operator name. */
	operators: Readonly<Record<string, string>>;
	/** Maximum size of a client request's body. */
	maxBodyBytes: number;
	/** Maximum size of a client request's headers. */
	maxHeaderBytes: number;
	/** Limits of the machine, which bound what is held for all clients. */
	machine: MachineLimits;
	seed: number;
	log: Log;
	/** Records each event with its effects, for a trace. */
	record?: (entry: Readonly<{now: number; event: RouterEvent; effects: readonly RouterEffect[]}>, router: string) => void;
}>;

/** A running router. */
export type Router = Readonly<{
	/** Address for clients and operators. */
	address: string;
	/** Address for peers and agents. */
	control: string;
	getState: () => RouterState;
	/** Shuts down gracefully: finishes all requests, settles their bills, returns unused tokens and closes the router's row. */
	drain: () => Promise<void>;
	/** Stops immediately, as in a crash. */
	kill: () => Promise<void>;
}>;

const tickIntervalMs = 250;
const heartbeatIntervalMs = 1000;
/** Number of peers that a heartbeat is sent to at a time. */
const heartbeatFanout = 3;
/** Interval between reads of the service registry while it lists no agents. */
const registryPollIntervalMs = 1000;
/** Minimum interval between reads of the service registry once it lists agents. It can be long, because agents announce themselves too. */
const minRegistryReadIntervalMs = 5000;
/** Time that each listed process adds to the interval, since each read returns the whole list. */
const registryReadIntervalPerEntryMs = 100;
/** Time after which an address that is no longer in the service registry is dropped. */
const addressRetentionMs = 60_000;

/** An operator's change that has not been completed. */
type PendingChange = Readonly<{outcome: Promise<Result<JsonValue>>; settle: (result: Result<JsonValue>) => void}>;

const createPendingChange = (): PendingChange => {
	let settle: (result: Result<JsonValue>) => void = () => undefined;
	const outcome = new Promise<Result<JsonValue>>(resolve => {
		settle = resolve;
	});
	return {
		outcome, settle(result) {
			settle(result);
		},
	};
};

/** Copies the headers that a peer needs to serve a forwarded request. */
const copyForwardedHeaders = (request: IncomingMessage): Readonly<Record<string, string>> =>
	Object.fromEntries(['authorization', 'galena-class', 'idempotency-key', 'content-type']
		.flatMap((name): Array<[string, string]> => {
			const value = request.headers[name];
			return typeof value === 'string' ? [[name, value]] : [];
		}));

/**
Starts a router. Requests, timers and store replies are posted as events to one
event loop; the effects that its handler returns are performed here.

@param options - The options.
@returns The running router.
*/
export const startRouter = async (options: RouterOptions): Promise<Router> => {
	const {log, table} = options;
	const randomSource = createRandom(options.seed);
	const pendingRequests = new Map<string, PendingRequest>();
	const pendingChanges = new Map<string, PendingChange>();
	const forwardAborts = new Map<string, AbortController>();
	/** When an agent's address was last listed by the service registry or announced, in ms. */
	const lastListedAt = new Map<string, number>();
	const peerClients = createPeerClients();
	let isStopping = false;
	let isClosed = false;
	let resolveClosed: () => void = () => undefined;
	const closed = new Promise<void>(resolve => {
		resolveClosed = resolve;
	});

	let loop: Loop<RouterState, RouterEvent>;
	const post = (event: RouterEvent) => {
		if (!isClosed) {
			loop.post(event);
		}
	};

	const getState = () => loop.state();

	// Agents

	const sessions = createSessions({
		getIncarnation: () => getState().incarnation,
		getRevision: () => getState().config.revision,
		onOpen(address, hello, session) {
			log.event('session-opened', {agent: hello.agentIncarnation, address, pool: hello.pool});
			post({
				kind: 'session-opened',
				introduction: {
					agent: hello.agentIncarnation, address, pool: hello.pool, dataCentre: hello.dataCentre, models: hello.models, capacity: hello.capacity, session,
				},
				kept: hello.kept,
			});
		},
		onBatch(agent, batch) {
			batch.chunks.forEach(chunk => {
				responseForwarder.receiveChunk(chunk);
			});
			batch.refusals.forEach(refusal => {
				post({kind: 'attempt-refused', attempt: refusal.attemptId, error: Object.hasOwn(errorResponses, refusal.kind) ? refusal.kind as ErrorKind : 'not-ready'});
			});
			batch.ends.forEach(end => {
				responseForwarder.receiveEnd(agent, end);
			});
			if (batch.forgotten.length > 0) {
				post({kind: 'attempts-forgotten', attempts: batch.forgotten});
			}

			if (batch.farewell) {
				post({kind: 'agent-left', agent});
			}

			if (batch.load !== undefined) {
				post({
					kind: 'load-reported', agent, running: batch.load.running, waiting: batch.load.waiting, isLeaving: batch.load.leaving, revision: batch.configRevision,
				});
			}
		},
		onClose(agent) {
			log.event('session-closed', {agent});
			const broken = [...pendingRequests.values()]
				.filter(pending => pending.agent === agent && pending.attempt !== undefined)
				.map(pending => ({attempt: pending.attempt ?? '', delivered: pending.delivered, canResume: canResume(pending)}));
			post({kind: 'session-closed', agent, broken});
		},
		onRefused() {
			post({kind: 'session-refused'});
		},
		drawRandom: randomSource.draw,
	});

	const responseForwarder = createResponseForwarder({post, send: sessions.send});

	// Effects

	const sendStoreCall = async (effect: RouterEffect & {kind: 'store'}) => {
		const reply = await table.call(effect.call);
		post({
			kind: 'store-replied', tag: effect.tag, reply, random: randomSource.draw(),
		});
	};

	const dispatchAttempt = ({attempt, request}: RouterEffect & {kind: 'dispatch'}) => {
		const pending = pendingRequests.get(request.id);
		if (pending === undefined) {
			// The client disconnected after the routing decision, so the attempt was never sent.
			post({kind: 'attempt-refused', attempt: attempt.id, error: 'not-ready'});
			return;
		}

		pending.attempt = attempt.id;
		pending.agent = attempt.agent;
		pending.delivery = {nextSequence: 0, uncreditedBytes: 0};
		pending.bufferedParts = [];
		pending.isResumed = request.resumes;
		responseForwarder.registerAttempt(attempt.id, pending);
		sessions.sendOnSession(attempt.agent, attempt.session, {
			dispatches: [{
				attemptId: attempt.id,
				requestId: request.billId,
				agentIncarnation: attempt.agent,
				organisation: request.organisation,
				budget: request.budget,
				cap: attempt.cap,
				act: attempt.isAct,
				claimKey: attempt.isAct ? request.key ?? '' : '',
				keyed: request.keyed,
				stream: request.isStream,
				path: pending.checked.endpointPath,
				method: pending.method,
				contentType: pending.contentType,
				body: new Uint8Array(buildAttemptBody(pending)),
				priority: request.priority,
				outputCap: Math.max(1, request.outputCap - (request.resumes ? pending.delivered : 0)),
				remainingMs: Math.max(1, Math.round(request.giveUp - (performance.now() - request.arrivedAt))),
			}],
		});
	};

	const forwardRequest = async ({request, peers}: RouterEffect & {kind: 'forward'}) => {
		const pending = pendingRequests.get(request.id);
		if (pending === undefined) {
			return;
		}

		const abortController = new AbortController();
		forwardAborts.set(request.id, abortController);
		let outcome: 'answered' | 'not-run' | 'unknown' = 'not-run';
		for (const address of peers) {
			const remainingMs = request.giveUp - (performance.now() - request.arrivedAt);
			const peerOutcome = await forwardToPeer(peerClients.get(address), pending, remainingMs, abortController.signal);
			outcome = peerOutcome === 'not-run' ? outcome : peerOutcome;
			if (peerOutcome === 'answered' || pending.hasSentHead || abortController.signal.aborted) {
				break;
			}
		}

		forwardAborts.delete(request.id);
		log.event('request-forwarded', {request: request.billId, organisation: request.organisation, outcome});
		if (outcome === 'answered') {
			pending.isEnded = true;
			pending.sink.end();
			pendingRequests.delete(request.id);
		}

		post({kind: 'forward-ended', request: request.id, outcome});
	};

	const agentCallPorts = {post, getClient: sessions.getClient};

	const respond = (request: string, sendResponse: (pending: PendingRequest) => void) => {
		const pending = pendingRequests.get(request);
		if (pending !== undefined && !pending.isEnded) {
			sendResponse(pending);
			pending.isEnded = true;
			pendingRequests.delete(request);
			log.time('request.elapsed', performance.now() - pending.arrivedAt, [`class:${pending.checked.spec.workClass}`]);
		}
	};

	const effectHandlers: Readonly<{[Kind in RouterEffect['kind']]: (effect: RouterEffect & {kind: Kind}) => void}> = {
		store(effect) {
			runInBackground(async () => sendStoreCall(effect));
		},
		dispatch: dispatchAttempt,
		cancel(effect) {
			sessions.send(effect.agent, {cancels: [effect.attempt]});
		},
		settle(effect) {
			sessions.send(effect.agent, {settled: [...effect.attempts]});
		},
		reply(effect) {
			respond(effect.request, pending => {
				sendAnswer(pending, effect.answer);
			});
		},
		'end-stream'(effect) {
			respond(effect.request, pending => {
				endStream(pending);
			});
		},
		'reply-fault'(effect) {
			respond(effect.request, pending => {
				forwardAborts.get(effect.request)?.abort();
				sendFault(pending.sink, effect.fault, pending.hasSentHead, pending.checked.spec.billId);
			});
		},
		forward(effect) {
			runInBackground(async () => forwardRequest(effect));
		},
		'ask-seal'(effect) {
			runInBackground(async () => requestSeal(effect, agentCallPorts));
		},
		'ask-fence'(effect) {
			runInBackground(async () => requestFence(effect, agentCallPorts));
		},
		'close-router'(effect) {
			runInBackground(async () => closeRouter(effect, agentCallPorts));
		},
		'config-in-force'(effect) {
			log.event('config-in-force', {revision: effect.revision});
			sessions.broadcast({configRevision: effect.revision});
		},
		'operation-ended'(effect) {
			pendingChanges.get(effect.operation)?.settle(effect.fault === undefined ? succeed(effect.result) : fail(effect.fault));
			pendingChanges.delete(effect.operation);
		},
		closed() {
			if (isStopping) {
				resolveClosed();
			} else {
				restart();
			}
		},
		log(effect) {
			log.event(effect.event, effect.fields);
		},
	};

	const startEventLoop = () => startLoop<RouterState, RouterEvent, RouterEffect>({
		initial: createRouterState({incarnation: `r-${randomUUID()}`, address: control, dataCentre: options.dataCentre}, options.policy),
		handle(state, event, now) {
			const step = handleRouter(state, event, now);
			options.record?.({now, event, effects: step.effects}, state.incarnation);
			return step;
		},
		perform(effect) {
			const perform = effectHandlers[effect.kind] as (effect: RouterEffect) => void;
			perform(effect);
		},
		clock: () => performance.now(),
		isUrgent: ({kind}) => kind === 'caller-left',
		slice: workSliceMs,
		isObsolete: event => event.kind === 'request-arrived' && !pendingRequests.has(event.order.id),
	});

	/** Restarts a fenced router under a new incarnation, once it has no open requests. */
	const restart = () => {
		const {config, incarnation} = loop.state();
		loop.stop();
		loop = startEventLoop();
		log.warn('router-restarted', {was: incarnation, router: loop.state().incarnation});
		const snapshot: Revision = {
			revision: config.revision, isSnapshot: true, changes: config.entries.entrySeq().toArray().map(([name, entry]) => ({name, value: entry.value})),
		};
		post({
			kind: 'peer-heard', router: incarnation, address: control, revision: config.revision, revisions: [snapshot],
		});
		sessions.reset();
	};

	// Client requests

	const admitRequest = (pending: Omit<PendingRequest, 'checked'>, request: Parameters<typeof checkRequest>[1]) => {
		const checkedRequest = checkRequest(getState().config, request);
		if (checkedRequest.err) {
			log.event('request-refused', {kind: checkedRequest.val.kind, detail: checkedRequest.val.detail});
			sendFault(pending.sink, checkedRequest.val, false);
			return;
		}

		pendingRequests.set(request.id, {...pending, checked: checkedRequest.val});
		post({kind: 'request-arrived', order: checkedRequest.val.spec});
	};

	const handleDisconnect = (id: string) => {
		forwardAborts.get(id)?.abort();
		if (pendingRequests.delete(id)) {
			post({kind: 'caller-left', request: id});
		}
	};

	const createPendingRequest = (sink: ResponseSink, body: Buffer, fields: Pick<PendingRequest, 'method' | 'path' | 'contentType' | 'headers'>): Omit<PendingRequest, 'checked'> => ({
		...fields,
		sink,
		body,
		arrivedAt: performance.now(),
		attempt: undefined,
		agent: undefined,
		delivery: {nextSequence: 0, uncreditedBytes: 0},
		bufferedParts: [],
		delivered: 0,
		deliveredText: '',
		isTextOnly: true,
		hasSentHead: false,
		isEnded: false,
		isAwaitingDrain: false,
		streamId: undefined,
		isResumed: false,
	});

	const guard = openMemoryGuard({
		machine: options.machine,
		clock: () => performance.now(),
		onGivenUp(kind, bytes, ageMs) {
			log.event('held-given-up', {
				kind, bytes, age: Math.round(ageMs), held: guard.count().bytes, connections: guard.count().connections,
			});
		},
	});

	const serveClient = (request: IncomingMessage, response: ServerResponse, url: URL): void => {
		const id = `q-${randomUUID()}`;
		const sink = createHttpSink(response);
		const refuseUnread = (fault: Fault) => {
			rejectUnread(request, response, fault);
		};

		const expectedBytes = Number(request.headers['content-length'] ?? 0);
		if (expectedBytes > options.maxBodyBytes) {
			refuseUnread(createFault('too-large', `body: exceeds ${options.maxBodyBytes} bytes`));
			return;
		}

		const memoryFault = createFault('overloaded', 'the router has no memory left for the request');
		const holding = guard.admit(expectedBytes, kind => {
			if (kind === 'reading') {
				rejectBody(memoryFault);
			} else {
				response.destroy();
			}
		});
		if (holding === undefined) {
			refuseUnread(memoryFault);
			return;
		}

		response.on('close', holding.release);
		const method = request.method ?? '';
		const path = `${url.pathname}${url.search}`;
		const headers = copyForwardedHeaders(request);
		const rejectBody = readRequestBody(request, {maxBytes: options.maxBodyBytes, timeoutMs: bodyTimeoutMs, expectedBytes}, body => {
			holding.set('running', body.length);
			watchDisconnect(response, () => {
				handleDisconnect(id);
			});
			admitRequest(createPendingRequest(sink, body, {
				method, path, contentType: headers['content-type'] ?? '', headers,
			}), {
				id, method, path: url.pathname.startsWith('/v1/services/') ? path : url.pathname, headers: request.headers, body, isForwarded: false,
			});
		}, fault => {
			holding.release();
			refuseUnread(fault);
		}, {
			addRead: guard.addRead,
			onFlood: guard.spreadReads,
			hold(bytes) {
				holding.set('reading', Math.max(bytes, expectedBytes));
			},
		});
	};

	// Operator API

	const drainAgent = async (agent: string): Promise<boolean> => {
		const address = getState().agents.get(agent)?.address;
		if (address === undefined) {
			return false;
		}

		try {
			await sessions.getClient(address).drain({}, {timeoutMs: agentCallTimeoutMs});
			return true;
		} catch {
			return false;
		}
	};

	const operatorPorts = {
		getState,
		operators: options.operators,
		async applyChange(change: OperatorChange) {
			// A duplicate of a change in progress gets the outcome of the first.
			const duplicate = pendingChanges.get(change.id);
			if (duplicate !== undefined) {
				return duplicate.outcome;
			}

			const pending = createPendingChange();
			pendingChanges.set(change.id, pending);
			post({kind: 'change-asked', change});
			return pending.outcome;
		},
		read: table.call,
		drainAgent,
		createId: () => `c-${randomUUID()}`,
	};

	const describeReadiness = (): Fault | undefined => {
		const state = getState();
		const isReady = state.phase === 'serving' && state.config.revision > 0 && (state.reach.row === 'active' || !state.peers.isEmpty());
		return isReady ? undefined : createFault('not-ready', `phase=${state.phase} row=${state.reach.row} revision=${state.config.revision}`);
	};

	const sendReadiness = (response: ServerResponse) => {
		const fault = describeReadiness();
		const described = fault === undefined ? undefined : createErrorResponse(fault);
		sendJson(response, described?.status ?? 200, described?.problem ?? {status: 'ready'});
	};

	const sendLiveness = (response: ServerResponse) => {
		sendJson(response, 200, {status: 'alive'});
	};

	const healthHandlers: ReadonlyMap<string, (response: ServerResponse) => void> = new Map([['/healthz', sendLiveness], ['/readyz', sendReadiness]]);

	const serve = async (request: IncomingMessage, response: ServerResponse) => {
		const url = new URL(request.url ?? '/', 'http://localhost');
		const healthHandler = healthHandlers.get(url.pathname);
		if (healthHandler !== undefined) {
			healthHandler(response);
			return;
		}

		if (url.pathname.startsWith('/operator/')) {
			await serveOperator(request, response, url, operatorPorts);
		} else {
			serveClient(request, response, url);
		}
	};

	const server = createServer({maxHeaderSize: options.maxHeaderBytes}, (request, response) => {
		runInBackground(async () => serve(request, response), error => {
			log.warn('request-error', {error: String(error)});
			if (!response.headersSent && !response.destroyed) {
				sendFault(createHttpSink(response), createFault('internal', 'the router failed on this request'), false);
			}
		});
	});
	server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
		const fault = error.code === 'HPE_HEADER_OVERFLOW'
			? createFault('headers-too-large', `headers: exceed ${options.maxHeaderBytes} bytes`)
			: createFault('bad-request', 'request: is not HTTP');
		const {status, headers, problem} = createErrorResponse(fault);
		const body = JSON.stringify(problem);
		const lines = Object.entries({...headers, 'content-length': String(Buffer.byteLength(body)), connection: 'close'}).map(([name, value]) => `${name}: ${value}`);
		if (socket.writable) {
			socket.end(`HTTP/1.1 ${status} ${problem.title}\r\n${lines.join('\r\n')}\r\n\r\n${body}`);
		}
	});

	// Peers and the service registry

	const peerServer = await startRpcServer(options.control, createPeerRoutes({
		getIncarnation: () => getState().incarnation,
		getRevision: () => getState().config.revision,
		listMissingRevisions: revision => listRevisions(getState().config, revision),
		onHeartbeat(router, address, revision) {
			post({
				kind: 'peer-heard', router, address, revision, revisions: [],
			});
		},
		onAnnounce(address, agent, isLeaving) {
			lastListedAt.set(address, performance.now());
			sessions.add(address);
			if (isLeaving) {
				post({kind: 'agent-leaving', agent});
			}
		},
		onForward(request, sink) {
			const id = `f-${randomUUID()}`;
			const body = Buffer.from(request.body);
			const {headers, method, path} = request;
			admitRequest(createPendingRequest(sink, body, {
				method, path, contentType: headers['content-type'] ?? '', headers,
			}), {
				id, method, path, headers, body, isForwarded: true,
			});
			return () => {
				handleDisconnect(id);
			};
		},
	}));
	const control = peerServer.address;
	loop = startEventLoop();
	guard.watch(server);
	const responses = trackResponses(server);
	const http = await listen(server, options.listen);
	let peerAddresses: readonly string[] = [];
	let nextRegistryReadAt = 0;

	const sendHeartbeat = async (address: string) => {
		const state = getState();
		const reply = await peerClients.get(address).beat({
			routerIncarnation: state.incarnation, address: control, configRevision: state.config.revision,
		}, {timeoutMs: agentCallTimeoutMs});
		post({
			kind: 'peer-heard', router: reply.routerIncarnation, address, revision: reply.configRevision, revisions: reply.revisions.map(text => JSON.parse(text) as Revision),
		});
	};

	const sendHeartbeats = () => {
		const start = randomSource.pick(Math.max(1, peerAddresses.length));
		const selectedPeers = [...peerAddresses.slice(start), ...peerAddresses.slice(0, start)].slice(0, heartbeatFanout);
		selectedPeers.forEach(address => {
			// Errors are ignored: the router's state detects peers that are silent for too long.
			runInBackground(async () => sendHeartbeat(address));
		});
	};

	const refreshAddresses = async () => {
		const now = performance.now();
		if (now < nextRegistryReadAt) {
			return;
		}

		const [routers, agents] = await Promise.all([options.serviceRegistry.list('galena-router'), options.serviceRegistry.list('galena-agent')]);
		nextRegistryReadAt = agents.length === 0 ? now : now + Math.max(minRegistryReadIntervalMs, registryReadIntervalPerEntryMs * (routers.length + agents.length)) - (registryPollIntervalMs / 2);
		peerAddresses = routers.map(router => router.address).filter(address => address !== control);
		peerClients.retainOnly(peerAddresses);
		agents.forEach(agent => {
			lastListedAt.set(agent.address, now);
			sessions.add(agent.address);
		});
		const leavingAddresses = new Set(agents.filter(agent => agent.isLeaving).map(host => host.address));
		getState().agents.filter(view => leavingAddresses.has(view.address) && !view.isLeaving).forEach(agent => {
			post({kind: 'agent-leaving', agent: agent.agent});
		});
		sessions.listAddresses().filter(address => now - (lastListedAt.get(address) ?? now) > addressRetentionMs).forEach(address => {
			sessions.remove(address);
			getState().agents.filter(view => view.address === address && view.link === 'closed').forEach(agent => {
				post({kind: 'agent-gone', agent: agent.agent});
			});
		});
	};

	const startRefresh = () => {
		// If the registry can't be read, the known addresses are kept.
		runInBackground(refreshAddresses);
	};

	const timers = [
		setInterval(() => {
			post({kind: 'tick'});
		}, tickIntervalMs),
		setInterval(sendHeartbeats, heartbeatIntervalMs),
		setInterval(startRefresh, registryPollIntervalMs),
	];
	post({kind: 'tick'});
	startRefresh();
	log.event('router-started', {
		router: loop.state().incarnation, address: http.address, control, dataCentre: options.dataCentre,
	});

	const kill = async () => {
		isClosed = true;
		timers.forEach(timer => {
			clearInterval(timer);
		});
		sessions.close();
		peerServer.close();
		loop.stop();
		guard.close();
		await http.close();
	};

	return {
		address: http.address,
		control,
		getState,
		kill,
		async drain() {
			isStopping = true;
			server.close();
			post({kind: 'drain-asked'});
			post({kind: 'tick'});
			await closed;
			await waitUntil(() => responses.count() === 0, responseTimeoutMs);
			log.event('router-closed', {router: loop.state().incarnation, responses: responses.count()});
			await kill();
		},
	};
};
