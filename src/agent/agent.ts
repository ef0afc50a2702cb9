import {createClient} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import {createAgentState, handleAgent} from '../attempt/index.js';
import type {AgentEffect, AgentEvent, Attempt} from '../attempt/index.js';
import type {Dispatch, RouterBatch} from '../gen/galena/v1/agent_pb.js';
import {PeerService} from '../gen/galena/v1/peer_pb.js';
import {createCredit} from '../link/index.js';
import type {Credit} from '../link/index.js';
import type {Log} from '../log/index.js';
import {runInBackground, sleep, startLoop} from '../loop/index.js';
import {startControlServer} from '../server/index.js';
import type {Endpoint} from '../server/index.js';
import {openEndpoint} from './endpoint.js';
import type {Work, WorkEnd} from './endpoint.js';
import {createAgentRoutes, readOrder} from './service.js';
import type {AgentPart, SessionOutbox} from './service.js';

/** What an agent needs to know at its start. */
export type AgentOptions = Readonly<{
	listen: Endpoint;
	dataCentre: string;
	pool: string;
	/** The endpoint's HTTP address. */
	endpoint: string;
	/** `engine`: a model engine; `service`: a plain service. */
	kind: 'engine' | 'service';
	/** Attempts that may run at once. */
	capacity: number;
	/** Lists the control addresses of the routers to announce to. */
	listRouters: () => Promise<readonly string[]>;
	incarnation: string;
	log: Log;
}>;

/** A running agent. */
export type Agent = Readonly<{
	/** Where routers reach it. */
	address: string;
	incarnation: string;
	/** Takes no new work, lets running work end, then closes. */
	drain: () => Promise<void>;
	/** Ends at once, as a crash does. */
	kill: () => Promise<void>;
}>;

type Running = Readonly<{abort: AbortController; credit: Credit}>;
type OpenSession = Readonly<{session: number; outbox: SessionOutbox}>;
type PendingSession = Readonly<{outbox: SessionOutbox; resolve: (session: number | undefined) => void}>;

const loadInterval = 500; // Milliseconds
/** A load that stays the same is told again in one interval out of so many. */
const quietIntervals = 10;
const announceInterval = 60_000; // Milliseconds; an agent also announces its start and its leaving
/** Milliseconds that each router adds to the interval, so that a large fleet is not flooded. */
const announcePerRouter = 500;
const announceTimeout = 1000; // Milliseconds
const refusalGrace = 500; // Milliseconds
const farewellGrace = 200; // Milliseconds for the last message to leave
const drainGrace = 15_000; // Milliseconds for the routers to make the last bills durable

const describeWork = (dispatch: Dispatch, kind: AgentOptions['kind']): Work => ({
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
	remaining: dispatch.remainingMs,
});

const describeEnd = (attempt: Attempt, end: WorkEnd | undefined): AgentPart => ({
	ends: [{
		attemptId: attempt.attempt,
		outcome: attempt.outcome ?? 'failed',
		chunkCount: end?.parts ?? 0,
		tokens: attempt.tokens,
		status: end?.status ?? attempt.answer?.status ?? 0,
		contentType: end?.contentType ?? attempt.answer?.contentType ?? '',
		usageStated: end?.isUsageStated ?? false,
	}],
});

/**
Starts an agent: the only door to its endpoint.

@param options - What it needs to know.
@returns The running agent.
*/
export const startAgent = async (options: AgentOptions): Promise<Agent> => {
	const {incarnation, log} = options;
	const endpoint = openEndpoint(options.endpoint, options.capacity + 8);
	const models = options.kind === 'engine' ? await endpoint.listModels() : [];
	const running = new Map<string, Running>();
	const dispatches = new Map<string, Dispatch>();
	const ends = new Map<string, WorkEnd>();
	const sessions = new Map<string, OpenSession>();
	const pending = new Map<string, PendingSession[]>();
	const calls = new Map<number, (answer: unknown) => void>();
	let nextCall = 1;
	let revision = 0;
	let intervals = 0;
	let lastLoad = '';
	let nextAnnounce = 0;
	let settleDrain: () => void = () => undefined;
	const drained = new Promise<void>(resolve => {
		settleDrain = resolve;
	});

	const sendTo = (router: string, part: AgentPart) => {
		sessions.get(router)?.outbox.push(part);
	};

	const describeLoad = (): AgentPart => {
		const state = loop.state();
		return {load: {running: state.running, waiting: 0, leaving: state.phase === 'leaving'}, configRevision: revision};
	};

	const describeHello = (kept: readonly Attempt[]): AgentPart => ({
		hello: {
			agentIncarnation: incarnation,
			pool: options.pool,
			dataCentre: options.dataCentre,
			models: [...models],
			capacity: options.capacity,
			kept: kept.map(({attempt}) => attempt),
		},
	});

	const tellAll = (part: AgentPart) => {
		sessions.forEach(({outbox}) => {
			outbox.push(part);
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
		const end = await endpoint.run(describeWork(dispatch, options.kind), {
			push(data) {
				sendTo(attempt.router, {chunks: [{attemptId: attempt.attempt, sequence, data: new Uint8Array(data)}]});
				sequence += 1;
			},
			credit,
			signal: abort.signal,
		});
		running.delete(attempt.attempt);
		ends.set(attempt.attempt, end);
		loop.post({
			kind: 'attempt-ended',
			attempt: attempt.attempt,
			outcome: end.outcome,
			tokens: end.tokens,
			...(end.body !== undefined && {answer: {status: end.status, contentType: end.contentType, body: end.body}}),
		});
	};

	const performers: Readonly<{[Kind in AgentEffect['kind']]: (effect: AgentEffect & {kind: Kind}) => void}> = {
		'accept-session'(effect) {
			const waiting = pending.get(effect.router)?.shift();
			sessions.get(effect.router)?.outbox.close();
			if (waiting === undefined) {
				return;
			}

			sessions.set(effect.router, {session: effect.session, outbox: waiting.outbox});
			const ends = effect.kept.filter(attempt => attempt.state === 'ended').map(attempt => describeEnd(attempt, undefined));
			[describeHello(effect.kept), describeLoad(), ...ends].forEach(part => {
				waiting.outbox.push(part);
			});
			waiting.resolve(effect.session);
		},
		'refuse-session'(effect) {
			pending.get(effect.router)?.shift()?.resolve(undefined);
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
			sendTo(effect.router, {refusals: [{attemptId: effect.attempt, kind: effect.error}]});
		},
		'report-end'(effect) {
			const end = ends.get(effect.attempt.attempt);
			ends.delete(effect.attempt.attempt);
			log.event('attempt-ended', {
				request: effect.attempt.request, attempt: effect.attempt.attempt, outcome: effect.attempt.outcome, tokens: effect.attempt.tokens,
			});
			sendTo(effect.attempt.router, describeEnd(effect.attempt, end));
		},
		forgotten(effect) {
			sendTo(effect.router, {forgotten: [...effect.attempts]});
		},
		'answer-fence'(effect) {
			calls.get(effect.call)?.(effect.answer);
		},
		'answer-seal'(effect) {
			calls.get(effect.call)?.(effect.answer);
		},
		drained() {
			settleDrain();
		},
	};

	const loop = startLoop<ReturnType<typeof createAgentState>, AgentEvent, AgentEffect>({
		initial: createAgentState(incarnation, options.capacity),
		handle: handleAgent,
		perform(effect) {
			const perform = performers[effect.kind] as (effect: AgentEffect) => void;
			perform(effect);
		},
		clock: () => performance.now(),
	});

	const receive = (router: string, session: number, batch: RouterBatch) => {
		revision = Math.max(revision, batch.configRevision);
		batch.dispatches.forEach(dispatch => {
			dispatches.set(dispatch.attemptId, dispatch);
			loop.post({
				kind: 'ordered', router, session, order: readOrder(dispatch),
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

	const ask = async <Answer>(event: (call: number) => AgentEvent): Promise<Answer> => new Promise<Answer>(resolve => {
		const call = nextCall;
		nextCall += 1;
		calls.set(call, answer => {
			calls.delete(call);
			resolve(answer as Answer);
		});
		loop.post(event(call));
	});

	const openSession = async (router: string, outbox: SessionOutbox) => new Promise<number | undefined>(resolve => {
		pending.set(router, [...pending.get(router) ?? [], {outbox, resolve}]);
		loop.post({kind: 'session-opened', router});
	});

	const closeSession = (router: string, session: number) => {
		if (sessions.get(router)?.session === session) {
			sessions.delete(router);
		}

		loop.post({kind: 'session-closed', router, session});
	};

	const server = await startControlServer(options.listen, createAgentRoutes({
		post: loop.post, ask, openSession, closeSession, receive, incarnation,
	}));
	const {address} = server;

	const announce = async () => {
		const routers = await options.listRouters();
		nextAnnounce = performance.now() + (routers.length * announcePerRouter);
		await Promise.allSettled(routers.map(async router => {
			const client = createClient(PeerService, createConnectTransport({httpVersion: '2', baseUrl: `http://${router}`, idleConnectionTimeoutMs: announceTimeout}));
			await client.announce({
				agentIncarnation: incarnation, address, pool: options.pool, dataCentre: options.dataCentre, leaving: loop.state().phase === 'leaving',
			}, {timeoutMs: announceTimeout});
		}));
	};

	const announceQuietly = () => {
		// A router that cannot be reached finds the agent on the host list.
		runInBackground(announce);
	};

	const timers = [
		setInterval(() => {
			intervals += 1;
			const load = describeLoad();
			const text = JSON.stringify(load);
			if (text !== lastLoad || intervals % quietIntervals === 0) {
				lastLoad = text;
				tellAll(load);
			}
		}, loadInterval),
		setInterval(() => {
			if (performance.now() >= nextAnnounce) {
				announceQuietly();
			}
		}, announceInterval),
	];
	announceQuietly();
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
			tellAll(describeLoad());
			announceQuietly();
			await drained;
			// The routers say when every bill is durable; an agent that left before would strand it.
			await waitUntil(() => loop.state().attempts.isEmpty(), drainGrace);
			// Orders that were under way when the agent began to leave still get their refusal.
			await sleep(refusalGrace);
			if (loop.state().attempts.isEmpty()) {
				tellAll({farewell: true});
				await sleep(farewellGrace);
			}

			log.event('agent-drained', {agent: incarnation, kept: loop.state().attempts.size});
			await kill();
		},
	};
};

const pollInterval = 50; // Milliseconds

const waitUntil = async (holds: () => boolean, limit: number): Promise<void> => {
	if (holds() || limit <= 0) {
		return;
	}

	await sleep(pollInterval);
	await waitUntil(holds, limit - pollInterval);
};
