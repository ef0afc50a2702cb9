import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import {createRandom} from '../random/index.js';
import type {GrantPolicy} from '../budget/index.js';
import {listRevisions} from '../config/index.js';
import type {Revision} from '../config/index.js';
import {
	createFault, describeFault, fail, succeed,
} from '../errors/index.js';
import type {ErrorKind, Fault, Result} from '../errors/index.js';
import type {Log} from '../log/index.js';
import {runInBackground, startLoop} from '../loop/index.js';
import type {Loop} from '../loop/index.js';
import type {Change} from '../operation/index.js';
import {
	listen, readBody, sendJson, startControlServer,
} from '../server/index.js';
import type {Endpoint} from '../server/index.js';
import type {Json, Table} from '../table/index.js';
import {
	askFence, askSeal, callTimeout, closeRouter,
} from './calls.js';
import {
	buildBody, canResume, createHttpSink, endStream, sendAnswer, sendFault,
} from './caller.js';
import type {Caller, Sink} from './caller.js';
import {createDeliveries} from './delivery.js';
import {checkCall} from './front.js';
import {handleRouter} from './handle.js';
import type {HostList} from './hosts.js';
import type {RouterEffect, RouterEvent} from './messages.js';
import {serveOperator} from './operator.js';
import {createPeerClients, createPeerRoutes, forwardTo} from './peers.js';
import {createSessions} from './sessions.js';
import {createRouterState} from './state.js';
import type {RouterState} from './state.js';

/** What a router needs to know at its start. */
export type RouterOptions = Readonly<{
	/** Where callers and operators reach it. */
	listen: Endpoint;
	/** Where peers and agents reach it. */
	control: Endpoint;
	dataCentre: string;
	table: Table;
	hosts: HostList;
	policy: GrantPolicy;
	/** SHA-256 of each operator's key, by name. */
	operators: Readonly<Record<string, string>>;
	/** Bytes of a caller's body at the most. */
	maxBody: number;
	/** Bytes of a caller's headers at the most. */
	maxHeaders: number;
	seed: number;
	log: Log;
	/** Sees every event and the effects that followed, for a trace. */
	record?: (entry: Readonly<{now: number; event: RouterEvent; effects: readonly RouterEffect[]}>, router: string) => void;
}>;

/** A running router. */
export type Router = Readonly<{
	/** Where callers and operators reach it. */
	address: string;
	/** Where peers and agents reach it. */
	control: string;
	getState: () => RouterState;
	/** Finishes what runs, settles and returns everything, then closes. */
	drain: () => Promise<void>;
	/** Ends at once, as a crash does. */
	kill: () => Promise<void>;
}>;

const tickInterval = 250; // Milliseconds
const beatInterval = 1000; // Milliseconds
const beatFanout = 3;
const hostInterval = 1000; // Milliseconds, while no agent is known
/** Milliseconds between two reads of the list once agents are known, who announce themselves anyway. */
const listInterval = 5000;
/** Milliseconds that each host adds to the interval, since the list comes whole. */
const intervalPerHost = 100;
/** Milliseconds after which an address that left the host list is given up. */
const forgetAfter = 60_000;

/** An operator's change whose outcome is awaited. */
type PendingChange = Readonly<{outcome: Promise<Result<Json>>; settle: (result: Result<Json>) => void}>;

const createPending = (): PendingChange => {
	let settle: (result: Result<Json>) => void = () => undefined;
	const outcome = new Promise<Result<Json>>(resolve => {
		settle = resolve;
	});
	return {
		outcome, settle(result) {
			settle(result);
		},
	};
};

const copyHeaders = (request: IncomingMessage): Readonly<Record<string, string>> =>
	Object.fromEntries(['authorization', 'galena-class', 'idempotency-key', 'content-type']
		.flatMap((name): Array<[string, string]> => {
			const value = request.headers[name];
			return typeof value === 'string' ? [[name, value]] : [];
		}));

/**
Starts a router: sockets, timers and store replies become events of one loop, and
the decisions' effects are performed here.

@param options - What it needs to know.
@returns The running router.
*/
export const startRouter = async (options: RouterOptions): Promise<Router> => {
	const {log, table} = options;
	const random = createRandom(options.seed);
	const callers = new Map<string, Caller>();
	const changes = new Map<string, PendingChange>();
	const forwards = new Map<string, AbortController>();
	const seenOnList = new Map<string, number>();
	const peerClients = createPeerClients();
	let isStopping = false;
	let isClosed = false;
	let settleClosed: () => void = () => undefined;
	const closed = new Promise<void>(resolve => {
		settleClosed = resolve;
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
				deliveries.receiveChunk(chunk);
			});
			batch.refusals.forEach(refusal => {
				post({kind: 'attempt-refused', attempt: refusal.attemptId, error: refusal.kind as ErrorKind});
			});
			batch.ends.forEach(end => {
				deliveries.receiveEnd(agent, end);
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
			const broken = [...callers.values()]
				.filter(caller => caller.agent === agent && caller.attempt !== undefined)
				.map(caller => ({attempt: caller.attempt ?? '', delivered: caller.delivered, canResume: canResume(caller)}));
			post({kind: 'session-closed', agent, broken});
		},
		onRefused() {
			post({kind: 'session-refused'});
		},
		draw: random.draw,
	});

	const deliveries = createDeliveries({post, send: sessions.send});

	// Effects

	const callStore = async (effect: RouterEffect & {kind: 'store'}) => {
		const reply = await table.call(effect.call);
		post({
			kind: 'store-replied', tag: effect.tag, reply, random: random.draw(),
		});
	};

	const dispatch = ({attempt, request}: RouterEffect & {kind: 'dispatch'}) => {
		const caller = callers.get(request.id);
		if (caller === undefined) {
			// The caller left between the decision and now: the attempt ends before it began.
			post({kind: 'attempt-refused', attempt: attempt.id, error: 'not-ready'});
			return;
		}

		caller.attempt = attempt.id;
		caller.agent = attempt.agent;
		caller.delivery = {next: 0, owed: 0};
		caller.whole = [];
		caller.resumes = request.resumes;
		deliveries.start(attempt.id, caller);
		sessions.sendOn(attempt.agent, attempt.session, {
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
				path: caller.checked.endpointPath,
				method: caller.method,
				contentType: caller.contentType,
				body: new Uint8Array(buildBody(caller)),
				priority: request.priority,
				outputCap: Math.max(1, request.outputCap - (request.resumes ? caller.delivered : 0)),
				remainingMs: Math.max(1, Math.round(request.giveUp - (performance.now() - request.arrivedAt))),
			}],
		});
	};

	const forward = async ({request, peers}: RouterEffect & {kind: 'forward'}) => {
		const caller = callers.get(request.id);
		if (caller === undefined) {
			return;
		}

		const abort = new AbortController();
		forwards.set(request.id, abort);
		let outcome: 'answered' | 'not-run' | 'unknown' = 'not-run';
		for (const address of peers) {
			const remaining = request.giveUp - (performance.now() - request.arrivedAt);
			const tried = await forwardTo(peerClients.get(address), caller, remaining, abort.signal);
			outcome = tried === 'not-run' ? outcome : tried;
			if (tried === 'answered' || caller.hasHead || abort.signal.aborted) {
				break;
			}
		}

		forwards.delete(request.id);
		log.event('request-forwarded', {request: request.billId, organisation: request.organisation, outcome});
		if (outcome === 'answered') {
			caller.isEnded = true;
			caller.sink.end();
			callers.delete(request.id);
		}

		post({kind: 'forward-ended', request: request.id, outcome});
	};

	const calls = {post, getClient: sessions.getClient};

	const withCaller = (request: string, act: (caller: Caller) => void) => {
		const caller = callers.get(request);
		if (caller !== undefined && !caller.isEnded) {
			act(caller);
			caller.isEnded = true;
			callers.delete(request);
			log.time('request.elapsed', performance.now() - caller.arrivedAt, [`class:${caller.checked.order.workClass}`]);
		}
	};

	const performers: Readonly<{[Kind in RouterEffect['kind']]: (effect: RouterEffect & {kind: Kind}) => void}> = {
		store(effect) {
			runInBackground(async () => callStore(effect));
		},
		dispatch,
		cancel(effect) {
			sessions.send(effect.agent, {cancels: [effect.attempt]});
		},
		settle(effect) {
			sessions.send(effect.agent, {settled: [...effect.attempts]});
		},
		reply(effect) {
			withCaller(effect.request, caller => {
				sendAnswer(caller, effect.answer);
			});
		},
		'end-stream'(effect) {
			withCaller(effect.request, caller => {
				endStream(caller);
			});
		},
		'reply-fault'(effect) {
			withCaller(effect.request, caller => {
				forwards.get(effect.request)?.abort();
				sendFault(caller.sink, effect.fault, caller.hasHead, caller.checked.order.billId);
			});
		},
		forward(effect) {
			runInBackground(async () => forward(effect));
		},
		'ask-seal'(effect) {
			runInBackground(async () => askSeal(effect, calls));
		},
		'ask-fence'(effect) {
			runInBackground(async () => askFence(effect, calls));
		},
		'close-router'(effect) {
			runInBackground(async () => closeRouter(effect, calls));
		},
		'config-in-force'(effect) {
			log.event('config-in-force', {revision: effect.revision});
			sessions.broadcast({configRevision: effect.revision});
		},
		'operation-ended'(effect) {
			changes.get(effect.operation)?.settle(effect.fault === undefined ? succeed(effect.result) : fail(effect.fault));
			changes.delete(effect.operation);
		},
		closed() {
			if (isStopping) {
				settleClosed();
			} else {
				restart();
			}
		},
		log(effect) {
			log.event(effect.event, effect.fields);
		},
	};

	const startCore = () => startLoop<RouterState, RouterEvent, RouterEffect>({
		initial: createRouterState({incarnation: `r-${randomUUID()}`, address: control, dataCentre: options.dataCentre}, options.policy),
		handle(state, event, now) {
			const step = handleRouter(state, event, now);
			options.record?.({now, event, effects: step.effects}, state.incarnation);
			return step;
		},
		perform(effect) {
			const perform = performers[effect.kind] as (effect: RouterEffect) => void;
			perform(effect);
		},
		clock: () => performance.now(),
	});

	/** A fenced router that has nothing left goes on as a new incarnation. */
	const restart = () => {
		const {config, incarnation} = loop.state();
		loop.stop();
		loop = startCore();
		log.warn('router-restarted', {was: incarnation, router: loop.state().incarnation});
		const snapshot: Revision = {
			revision: config.revision, isSnapshot: true, changes: config.entries.entrySeq().toArray().map(([name, entry]) => ({name, value: entry.value})),
		};
		post({
			kind: 'peer-heard', router: incarnation, address: control, revision: config.revision, revisions: [snapshot],
		});
		sessions.reset();
	};

	// Callers

	const admit = (caller: Omit<Caller, 'checked'>, call: Parameters<typeof checkCall>[1]) => {
		const checked = checkCall(getState().config, call);
		if (checked.err) {
			log.event('request-refused', {kind: checked.val.kind, detail: checked.val.detail});
			sendFault(caller.sink, checked.val, false);
			return;
		}

		callers.set(call.id, {...caller, checked: checked.val});
		post({kind: 'request-arrived', order: checked.val.order});
	};

	const leave = (id: string) => {
		forwards.get(id)?.abort();
		if (callers.delete(id)) {
			post({kind: 'caller-left', request: id});
		}
	};

	const createCaller = (sink: Sink, body: Buffer, fields: Pick<Caller, 'method' | 'path' | 'contentType' | 'headers'>): Omit<Caller, 'checked'> => ({
		...fields,
		sink,
		body,
		arrivedAt: performance.now(),
		attempt: undefined,
		agent: undefined,
		delivery: {next: 0, owed: 0},
		whole: [],
		delivered: 0,
		text: '',
		isPlain: true,
		hasHead: false,
		isEnded: false,
		isBlocked: false,
		streamId: undefined,
		resumes: false,
	});

	const serveCaller = async (request: IncomingMessage, response: ServerResponse, url: URL) => {
		const id = `q-${randomUUID()}`;
		const sink = createHttpSink(response);
		const body = await readBody(request, options.maxBody);
		if (body.err) {
			response.setHeader('connection', 'close');
			sendFault(sink, body.val, false);
			return;
		}

		response.on('close', () => {
			leave(id);
		});
		const method = request.method ?? '';
		const path = `${url.pathname}${url.search}`;
		const headers = copyHeaders(request);
		admit(createCaller(sink, body.val, {
			method, path, contentType: headers['content-type'] ?? '', headers,
		}), {
			id, method, path: url.pathname.startsWith('/v1/services/') ? path : url.pathname, headers: request.headers, body: body.val, isForwarded: false,
		});
	};

	// Operators

	const drainAgent = async (agent: string): Promise<boolean> => {
		const address = getState().members.get(agent)?.address;
		if (address === undefined) {
			return false;
		}

		try {
			await sessions.getClient(address).drain({}, {timeoutMs: callTimeout});
			return true;
		} catch {
			return false;
		}
	};

	const operatorPorts = {
		getState,
		operators: options.operators,
		async change(change: Change) {
			// The same change sent twice at once is one change with one outcome.
			const known = changes.get(change.id);
			if (known !== undefined) {
				return known.outcome;
			}

			const pending = createPending();
			changes.set(change.id, pending);
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
		const described = fault === undefined ? undefined : describeFault(fault);
		sendJson(response, described?.status ?? 200, described?.problem ?? {status: 'ready'});
	};

	const sendLiveness = (response: ServerResponse) => {
		sendJson(response, 200, {status: 'alive'});
	};

	const serveHealth: ReadonlyMap<string, (response: ServerResponse) => void> = new Map([['/healthz', sendLiveness], ['/readyz', sendReadiness]]);

	const serve = async (request: IncomingMessage, response: ServerResponse) => {
		const url = new URL(request.url ?? '/', 'http://localhost');
		const health = serveHealth.get(url.pathname);
		if (health !== undefined) {
			health(response);
			return;
		}

		await (url.pathname.startsWith('/operator/') ? serveOperator(request, response, url, operatorPorts) : serveCaller(request, response, url));
	};

	const server = createServer({maxHeaderSize: options.maxHeaders}, (request, response) => {
		runInBackground(async () => serve(request, response), error => {
			log.warn('request-error', {error: String(error)});
			if (!response.headersSent && !response.destroyed) {
				sendFault(createHttpSink(response), createFault('internal', 'the router failed on this request'), false);
			}
		});
	});
	server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
		const fault = error.code === 'HPE_HEADER_OVERFLOW'
			? createFault('headers-too-large', `headers: exceed ${options.maxHeaders} bytes`)
			: createFault('bad-request', 'request: is not HTTP');
		const {status, headers, problem} = describeFault(fault);
		const body = JSON.stringify(problem);
		const lines = Object.entries({...headers, 'content-length': String(Buffer.byteLength(body)), connection: 'close'}).map(([name, value]) => `${name}: ${value}`);
		if (socket.writable) {
			socket.end(`HTTP/1.1 ${status} ${problem.title}\r\n${lines.join('\r\n')}\r\n\r\n${body}`);
		}
	});

	// Peers and hosts

	const peerServer = await startControlServer(options.control, createPeerRoutes({
		getIncarnation: () => getState().incarnation,
		getRevision: () => getState().config.revision,
		listMissing: revision => listRevisions(getState().config, revision),
		onBeat(router, address, revision) {
			post({
				kind: 'peer-heard', router, address, revision, revisions: [],
			});
		},
		onAnnounce(address, agent, isLeaving) {
			seenOnList.set(address, performance.now());
			sessions.add(address);
			if (isLeaving) {
				post({kind: 'agent-leaving', agent});
			}
		},
		onForward(request, sink) {
			const id = `f-${randomUUID()}`;
			const body = Buffer.from(request.body);
			const {headers, method, path} = request;
			admit(createCaller(sink, body, {
				method, path, contentType: headers['content-type'] ?? '', headers,
			}), {
				id, method, path, headers, body, isForwarded: true,
			});
			return () => {
				leave(id);
			};
		},
	}));
	const control = peerServer.address;
	loop = startCore();
	const http = await listen(server, options.listen);
	let peerAddresses: readonly string[] = [];
	let nextHosts = 0;

	const beat = async (address: string) => {
		const state = getState();
		const reply = await peerClients.get(address).beat({
			routerIncarnation: state.incarnation, address: control, configRevision: state.config.revision,
		}, {timeoutMs: callTimeout});
		post({
			kind: 'peer-heard', router: reply.routerIncarnation, address, revision: reply.configRevision, revisions: reply.revisions.map(text => JSON.parse(text) as Revision),
		});
	};

	const beatPeers = () => {
		const start = random.pick(Math.max(1, peerAddresses.length));
		const chosen = [...peerAddresses.slice(start), ...peerAddresses.slice(0, start)].slice(0, beatFanout);
		chosen.forEach(address => {
			// A peer that does not answer grows silent in the state.
			runInBackground(async () => beat(address));
		});
	};

	const followHosts = async () => {
		const now = performance.now();
		if (now < nextHosts) {
			return;
		}

		const [routers, agents] = await Promise.all([options.hosts.list('galena-router'), options.hosts.list('galena-agent')]);
		nextHosts = agents.length === 0 ? now : now + Math.max(listInterval, intervalPerHost * (routers.length + agents.length)) - (hostInterval / 2);
		peerAddresses = routers.map(host => host.address).filter(address => address !== control);
		peerClients.keep(peerAddresses);
		agents.forEach(host => {
			seenOnList.set(host.address, now);
			sessions.add(host.address);
		});
		const leaving = new Set(agents.filter(host => host.isLeaving).map(host => host.address));
		getState().members.filter(member => leaving.has(member.address) && !member.isLeaving).forEach(member => {
			post({kind: 'agent-leaving', agent: member.agent});
		});
		sessions.addresses().filter(address => now - (seenOnList.get(address) ?? now) > forgetAfter).forEach(address => {
			sessions.remove(address);
			getState().members.filter(member => member.address === address && member.link === 'closed').forEach(member => {
				post({kind: 'agent-gone', agent: member.agent});
			});
		});
	};

	const followQuietly = () => {
		// Without the list the known addresses go on.
		runInBackground(followHosts);
	};

	const timers = [
		setInterval(() => {
			post({kind: 'tick'});
		}, tickInterval),
		setInterval(beatPeers, beatInterval),
		setInterval(followQuietly, hostInterval),
	];
	post({kind: 'tick'});
	followQuietly();
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
			log.event('router-closed', {router: loop.state().incarnation});
			await kill();
		},
	};
};
