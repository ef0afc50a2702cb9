import {createClient} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import {createAgentState, handleAgent} from '../attempt/index.js';
import type {AgentEffect, AgentEvent, Attempt} from '../attempt/index.js';
import type {Dispatch, RouterBatch} from '../gen/galena/v1/agent_pb.js';
import {PeerService} from '../gen/galena/v1/peer_pb.js';
import {createCredit} from '../flow-control/index.js';
import type {Credit} from '../flow-control/index.js';
import type {Log} from '../log/index.js';
import {
	runInBackground, sleep, startLoop, waitUntil,
} from '../loop/index.js';
import {startRpcServer} from '../server/index.js';
import type {SocketAddress} from '../server/index.js';
import {openEndpoint} from './endpoint.js';
import type {EndpointRequest, EndpointResult} from './endpoint.js';
import {createAgentRoutes, readAttemptSpec} from './rpc-service.js';
import type {PartialAgentBatch, SessionQueue} from './rpc-service.js';

/** Options of `startAgent`. */
export type AgentOptions = Readonly<{
	/** Address that routers connect to. */
	listen: SocketAddress;
	dataCentre: string;
	pool: string;
	/** The endpoint's HTTP address. */
	endpoint: string;
	/** `engine`: a model engine; `service`: any other HTTP service. */
	kind: 'engine' | 'service';
	/** Maximum number of concurrent attempts. */
	capacity: number;
	/** Lists the control addresses of the routers that the agent announces itself to. */
	listRouters: () => Promise<readonly string[]>;
	incarnation: string;
	log: Log;
}>;

/** A running agent. */
export type Agent = Readonly<{
	/** Address that routers connect to. */
	address: string;
	incarnation: string;
	/** Rejects new attempts, waits for running attempts to end, then closes the agent. */
	drain: () => Promise<void>;
	/** Stops immediately, without notifying the routers, as a crash would. */
	kill: () => Promise<void>;
}>;

type RunningAttempt = Readonly<{abort: AbortController; credit: Credit}>;
type OpenSession = Readonly<{session: number; queue: SessionQueue}>;
type PendingSession = Readonly<{queue: SessionQueue; resolve: (session: number | undefined) => void}>;

const loadIntervalMs = 500;
/** Number of load intervals after which an unchanged load report is sent again. */
const unchangedLoadIntervals = 10;
/** Interval between periodic announcements. An agent also announces itself on start and on shutdown. */
const announceIntervalMs = 60_000;
/** Minimum time between periodic announcements, for each router. Limits the announcement rate in large deployments. */
const announceIntervalMsPerRouter = 500;
const announceTimeoutMs = 1000;
/** Time to reject attempts that were dispatched before the routers learned of the shutdown. */
const refusalGraceMs = 500;
/** Time for the last message to be sent. */
const farewellGraceMs = 200;
/** Time for the routers to make the last bills durable. */
const settleTimeoutMs = 15_000;

const buildEndpointRequest = (dispatch: Dispatch, kind: AgentOptions['kind']): EndpointRequest => ({
	path: dispatch.path,
	method: dispatch.method,
	contentType: dispatch.contentType,
	body: dispatch.body,
	isChat: kind === 'engine',
	isStream: dispatch.stream,
	isAct: dispatch.act,
	outputCap: dispatch.outputCap,
	priority: dispatch.priority,
	cap: dispatch.cap,
	remainingMs: dispatch.remainingMs,
});

const buildAttemptEnd = (attempt: Attempt, result: EndpointResult | undefined): PartialAgentBatch => ({
	ends: [{
		attemptId: attempt.attempt,
		outcome: attempt.outcome ?? 'failed',
		chunkCount: result?.chunkCount ?? 0,
		tokens: attempt.tokens,
		status: result?.status ?? attempt.answer?.status ?? 0,
		contentType: result?.contentType ?? attempt.answer?.contentType ?? '',
		usageStated: result?.isUsageStated ?? false,
	}],
});

/**
Starts an agent. All requests to its endpoint go through the agent.

@param options - Addresses, capacity and identity of the agent.
@returns The running agent.
@throws If the listener cannot be opened, or if an engine does not list its models.
*/
export const startAgent = async (options: AgentOptions): Promise<Agent> => {
	const {incarnation, log} = options;
	const endpoint = openEndpoint(options.endpoint, options.capacity + 8);
	const models = options.kind === 'engine' ? await endpoint.listModels() : [];
	const running = new Map<string, RunningAttempt>();
	const dispatches = new Map<string, Dispatch>();
	const results = new Map<string, EndpointResult>();
	const sessions = new Map<string, OpenSession>();
	const pendingSessions = new Map<string, PendingSession[]>();
	const pendingCalls = new Map<number, (answer: unknown) => void>();
	let nextCallId = 1;
	let configRevision = 0;
	let loadIntervalCount = 0;
	let lastLoadJson = '';
	let nextAnnounceAtMs = 0;
	let resolveDrained: () => void = () => undefined;
	const drained = new Promise<void>(resolve => {
		resolveDrained = resolve;
	});

	const sendToRouter = (router: string, message: PartialAgentBatch) => {
		sessions.get(router)?.queue.push(message);
	};

	const buildLoadReport = (): PartialAgentBatch => {
		const state = loop.state();
		return {load: {running: state.running, waiting: 0, leaving: state.phase === 'leaving'}, configRevision};
	};

	const buildHello = (kept: readonly Attempt[]): PartialAgentBatch => ({
		hello: {
			agentIncarnation: incarnation,
			pool: options.pool,
			dataCentre: options.dataCentre,
			models: [...models],
			capacity: options.capacity,
			kept: kept.map(({attempt}) => attempt),
		},
	});

	const broadcast = (message: PartialAgentBatch) => {
		sessions.forEach(({queue}) => {
			queue.push(message);
		});
	};

	const runAttempt = async (attempt: Attempt) => {
		const dispatch = dispatches.get(attempt.attempt);
		dispatches.delete(attempt.attempt);
		if (dispatch === undefined) {
			return;
		}

		const abort = new AbortController();
		const credit = createCredit();
		running.set(attempt.attempt, {abort, credit});
		let sequence = 0;
		const push = (data: Uint8Array, isBody: boolean) => {
			sendToRouter(attempt.router, {
				chunks: [{
					attemptId: attempt.attempt, sequence, data: new Uint8Array(data), isBody,
				}],
			});
			sequence += 1;
		};

		const result = await endpoint.run(buildEndpointRequest(dispatch, options.kind), {
			pushEvent(data) {
				push(data, false);
			},
			pushBody(data) {
				push(data, true);
			},
			credit,
			signal: abort.signal,
		});
		running.delete(attempt.attempt);
		results.set(attempt.attempt, result);
		loop.post({
			kind: 'attempt-ended',
			attempt: attempt.attempt,
			outcome: result.outcome,
			tokens: result.tokens,
			...(result.body !== undefined && {answer: {status: result.status, contentType: result.contentType, body: result.body}}),
		});
	};

	const effectHandlers: Readonly<{[Kind in AgentEffect['kind']]: (effect: AgentEffect & {kind: Kind}) => void}> = {
		'accept-session'(effect) {
			const pendingSession = pendingSessions.get(effect.router)?.shift();
			sessions.get(effect.router)?.queue.close();
			if (pendingSession === undefined) {
				return;
			}

			sessions.set(effect.router, {session: effect.session, queue: pendingSession.queue});
			const attemptEnds = effect.kept.filter(attempt => attempt.state === 'ended').map(attempt => buildAttemptEnd(attempt, undefined));
			[buildHello(effect.kept), buildLoadReport(), ...attemptEnds].forEach(message => {
				pendingSession.queue.push(message);
			});
			pendingSession.resolve(effect.session);
		},
		'refuse-session'(effect) {
			pendingSessions.get(effect.router)?.shift()?.resolve(undefined);
		},
		start(effect) {
			log.event('attempt-started', {request: effect.attempt.request, organisation: effect.attempt.organisation, attempt: effect.attempt.attempt});
			runInBackground(async () => runAttempt(effect.attempt));
		},
		cancel(effect) {
			running.get(effect.attempt)?.abort.abort();
			running.get(effect.attempt)?.credit.close();
		},
		refuse(effect) {
			dispatches.delete(effect.attempt);
			sendToRouter(effect.router, {refusals: [{attemptId: effect.attempt, kind: effect.error}]});
		},
		'report-end'(effect) {
			const result = results.get(effect.attempt.attempt);
			results.delete(effect.attempt.attempt);
			log.event('attempt-ended', {
				request: effect.attempt.request, attempt: effect.attempt.attempt, outcome: effect.attempt.outcome, tokens: effect.attempt.tokens,
			});
			sendToRouter(effect.attempt.router, buildAttemptEnd(effect.attempt, result));
		},
		forgotten(effect) {
			sendToRouter(effect.router, {forgotten: [...effect.attempts]});
		},
		'answer-fence'(effect) {
			pendingCalls.get(effect.call)?.(effect.answer);
		},
		'answer-seal'(effect) {
			pendingCalls.get(effect.call)?.(effect.answer);
		},
		drained() {
			resolveDrained();
		},
	};

	const loop = startLoop<ReturnType<typeof createAgentState>, AgentEvent, AgentEffect>({
		initial: createAgentState(incarnation, options.capacity),
		handle: handleAgent,
		perform(effect) {
			const handler = effectHandlers[effect.kind] as (effect: AgentEffect) => void;
			handler(effect);
		},
		clock: () => performance.now(),
	});

	const receiveBatch = (router: string, session: number, batch: RouterBatch) => {
		configRevision = Math.max(configRevision, batch.configRevision);
		batch.dispatches.forEach(dispatch => {
			dispatches.set(dispatch.attemptId, dispatch);
			loop.post({
				kind: 'ordered', router, session, order: readAttemptSpec(dispatch),
			});
		});
		batch.cancels.forEach(attempt => {
			loop.post({kind: 'cancel-asked', router, attempt});
		});
		batch.credits.forEach(credit => {
			running.get(credit.attemptId)?.credit.add(credit.bytes);
		});
		if (batch.settled.length > 0) {
			loop.post({kind: 'settled', attempts: batch.settled});
		}
	};

	const postAndWait = async <Answer>(event: (call: number) => AgentEvent): Promise<Answer> => new Promise<Answer>(resolve => {
		const callId = nextCallId;
		nextCallId += 1;
		pendingCalls.set(callId, answer => {
			pendingCalls.delete(callId);
			resolve(answer as Answer);
		});
		loop.post(event(callId));
	});

	const openSession = async (router: string, queue: SessionQueue) => new Promise<number | undefined>(resolve => {
		pendingSessions.set(router, [...pendingSessions.get(router) ?? [], {queue, resolve}]);
		loop.post({kind: 'session-opened', router});
	});

	const closeSession = (router: string, session: number) => {
		if (sessions.get(router)?.session === session) {
			sessions.delete(router);
		}

		loop.post({kind: 'session-closed', router, session});
	};

	const server = await startRpcServer(options.listen, createAgentRoutes({
		post: loop.post, postAndWait, openSession, closeSession, receiveBatch, incarnation,
	}));
	const {address} = server;

	const announce = async () => {
		const routers = await options.listRouters();
		nextAnnounceAtMs = performance.now() + (routers.length * announceIntervalMsPerRouter);
		await Promise.allSettled(routers.map(async router => {
			const client = createClient(PeerService, createConnectTransport({httpVersion: '2', baseUrl: `http://${router}`, idleConnectionTimeoutMs: announceTimeoutMs}));
			await client.announce({
				agentIncarnation: incarnation, address, pool: options.pool, dataCentre: options.dataCentre, leaving: loop.state().phase === 'leaving',
			}, {timeoutMs: announceTimeoutMs});
		}));
	};

	const announceInBackground = () => {
		// A router that cannot be reached finds the agent in the service registry.
		runInBackground(announce);
	};

	const timers = [
		setInterval(() => {
			loadIntervalCount += 1;
			const load = buildLoadReport();
			const loadJson = JSON.stringify(load);
			if (loadJson !== lastLoadJson || loadIntervalCount % unchangedLoadIntervals === 0) {
				lastLoadJson = loadJson;
				broadcast(load);
			}
		}, loadIntervalMs),
		setInterval(() => {
			if (performance.now() >= nextAnnounceAtMs) {
				announceInBackground();
			}
		}, announceIntervalMs),
	];
	announceInBackground();
	log.event('agent-started', {
		agent: incarnation, address, pool: options.pool, endpoint: options.endpoint,
	});

	const kill = async () => {
		timers.forEach(timer => {
			clearInterval(timer);
		});
		running.forEach(({abort}) => {
			abort.abort();
		});
		server.close();
		loop.stop();
		await endpoint.close();
	};

	return {
		address,
		incarnation,
		kill,
		async drain() {
			loop.post({kind: 'drain-asked'});
			await Promise.resolve();
			broadcast(buildLoadReport());
			announceInBackground();
			await drained;
			// Waits for the routers to confirm that every bill is durable. An agent that stopped earlier would lose them.
			await waitUntil(() => loop.state().attempts.isEmpty(), settleTimeoutMs);
			// Rejects attempts that were in transit when the shutdown began.
			await sleep(refusalGraceMs);
			if (loop.state().attempts.isEmpty()) {
				broadcast({farewell: true});
				await sleep(farewellGraceMs);
			}

			log.event('agent-drained', {agent: incarnation, kept: loop.state().attempts.size});
			await kill();
		},
	};
};
