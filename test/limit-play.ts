import {Map} from 'immutable';
import {succeed} from '../src/errors/index.js';
import {checkFinalHead} from '../src/http-head/index.js';
import {parsePeerMessage} from '../src/edge/peer-message.js';
import type {ResponseHead} from '../src/in-flight/index.js';
import type {PeerRouter} from '../src/quota/index.js';
import {createRandom} from '../src/random/index.js';
import type {RegistryEntry} from '../src/registry/index.js';
import {createRouteTable} from '../src/routing-config/index.js';
import type {Route, RoutingConfig} from '../src/routing-config/index.js';
import {handleEdge} from '../src/edge/handle.js';
import type {EdgeEffect, EdgeEvent} from '../src/edge/messages.js';
import {createEdge} from '../src/edge/state.js';
import type {EdgeState} from '../src/edge/state.js';

export const route: Route = {
	name: 'r', host: 'h', prefix: '/', kind: 'safe', timeout: 3000, targetMs: 300, priority: 1, services: [{name: 's', weight: 1}],
	maxAttempts: 2, isAnonymous: true, isResumable: false, eventGapTargetMs: undefined,
};

/** Connections that an endpoint accepts of all routers together. */
export const maxConnections = 100;

const createConfig = ({coldPerSecond}: Load): RoutingConfig => ({
	version: 1,
	routes: createRouteTable([route]),
	services: Map([['s', {
		name: 's', maxConnections, engine: undefined, coldStart: coldPerSecond === undefined ? undefined : {durationMs: 10_000, requestsPerSecond: coldPerSecond},
	}]]),
	organisations: Map(),
	budgets: Map(),
	needsAuthentication: false,
	limits: {
		maxHeaderBytes: 16_384, maxBodyBytes: 1000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
	},
});

export const endpointIds = Array.from({length: 8}, (_, index) => `e${index}`);

const entries: readonly RegistryEntry[] = endpointIds.map((id, index) => ({
	id, service: 's', address: `10.0.0.${index}:80`, dataCentre: 'z', softwareVersion: 'v1', slots: 1000, isLeaving: false, slowStartMs: 0, startedAt: 1, rowVersion: 0,
}));

/** What a fleet is subjected to. Times in ms. */
export type Load = Readonly<{
	routers: number;
	requestsPerSecond: number;
	/** Fraction of the requests that arrive at the first router; the others share the rest. */
	firstRouterFraction?: number;
	/** Returns the limit that an endpoint states at a time; undefined if it states none. */
	getLimit?: (endpoint: string, at: number) => number | undefined;
	/** Number of endpoints, if not all of them exist. */
	endpoints?: number;
	/** Requests that an endpoint runs at once; it turns more away, and asks for a rest. */
	capacity?: number;
	restMs?: number;
	/** Requests that arrive together, and when. */
	burst?: Readonly<{count: number; at: number}>;
	/** Time between moments at which the entries of all endpoints are away for an instant. */
	entriesAwayEveryMs?: number;
	/** Time between the send of a request and its response. */
	serviceMs?: number;
	/** Returns the fraction of the requests that an endpoint fails with status 500. */
	getFailedFraction?: (endpoint: string) => number;
	/** Time from which the store shows no router as live, although all are. */
	storeSilentAt?: number;
	/** Requests per second that a cold endpoint takes. */
	coldPerSecond?: number;
	/** The time from which the entries of all endpoints state that they are cold, and for how long. */
	coldEntries?: Readonly<{at: number; durationMs: number}>;
	/** Returns for how long an endpoint states in its responses that it stays cold. */
	getColdMs?: (endpoint: string, at: number) => number | undefined;
	/** Fraction of the load messages between routers that are lost. */
	lostMessages?: number;
}>;

/** A request that reached an endpoint; `restMs` is the time for which that one wants no further request, if it turned it away. */
export type Arrival = Readonly<{endpoint: string; router: number; at: number; restMs: number | undefined}>;
export type Outcome = Readonly<{kind: 'delivered' | 'refused'; at: number; after: number; retryAfter: number | undefined}>;

const defaultServiceMs = 120;
const rejectionMs = 10;
const tickMs = 20;
const messageDelayMs = 2;

/**
Plays a load on routers that hear of each other, under virtual time.

@param load - The load.
@param seed - The seed.
@param endMs - When the play ends, in ms.
@returns What reached the endpoints, and what the clients got.
*/
export const playLoad = (load: Load, seed: number, endMs: number): Readonly<{arrivals: readonly Arrival[]; outcomes: readonly Outcome[]}> => {
	const random = createRandom(seed);
	const names = Array.from({length: load.routers}, (_, index) => `router-${index}`);
	const arrivals: Arrival[] = [];
	const outcomes: Outcome[] = [];
	const arrivedAt: Record<number, number> = {};
	const due: Array<ReadonlyArray<Readonly<{router: number; event: EdgeEvent}>> | undefined> = [];
	const listed = entries.slice(0, load.endpoints ?? entries.length);
	const running: Record<string, number> = Object.fromEntries(listed.map(({id}) => [id, 0]));
	const ending: Array<readonly string[] | undefined> = [];
	let states: readonly EdgeState[] = names.map(name => {
		const state = createEdge({
			dataCentre: 'z', router: name, incarnation: name, peerAddress: `${name}:1`, retryBudgetBounds: {ratio: 0.2, slack: 54}, drainMs: 2000,
		});
		const peers = Map<string, PeerRouter>(names.filter(each => each !== name).map(each => [each, {
			peerAddress: `${each}:1`, dataCentre: '', isLive: true, era: undefined, holds: Map(),
		}]));
		return {...state, quota: {...state.quota, peers, readAtMs: 0}, liveRouters: names.toSorted()};
	});

	const schedule = (at: number, router: number, event: EdgeEvent): void => {
		due[at] = [...due[at] ?? [], {router, event}];
	};

	const respond = (router: number, {call, attempt, endpoint}: EdgeEffect & {kind: 'send'}, now: number): void => {
		const rateLimit = load.getLimit?.(endpoint.id, now);
		const isRejected = running[endpoint.id]! >= (load.capacity ?? Number.POSITIVE_INFINITY);
		const isFailed = random.draw() < (load.getFailedFraction?.(endpoint.id) ?? 0);
		const respondAt = now + (isRejected ? rejectionMs : (load.serviceMs ?? defaultServiceMs));
		const restMs = isRejected ? load.restMs : undefined;
		const head: ResponseHead = {
			status: isRejected ? 503 : (isFailed ? 500 : 200), key: undefined, hasNotRun: isRejected, isOtherIncarnation: false, isSigned: true,
			load: undefined,
			rateLimit: succeed(rateLimit), coldMs: succeed(load.getColdMs?.(endpoint.id, now)), isLeaving: false, pushbackMs: succeed(restMs),
			isStream: false, forwarded: checkFinalHead(200, []),
		};
		arrivals.push({
			endpoint: endpoint.id, router, at: now, restMs,
		});
		if (!isRejected) {
			running[endpoint.id]! += 1;
			ending[respondAt] = [...ending[respondAt] ?? [], endpoint.id];
		}

		schedule(respondAt, router, {
			kind: 'response-began', endpoint, head, isDoubted: false,
		});
		schedule(respondAt, router, {
			kind: 'endpoint-answered', call, attempt, random: random.draw(), head,
		});
	};

	const tellPeers = ({addresses, message}: EdgeEffect & {kind: 'tell-peers'}, now: number): void => {
		const event: EdgeEvent = parsePeerMessage(message, 0.5).unwrap();
		addresses.filter(() => random.draw() >= (load.lostMessages ?? 0)).forEach(address => {
			schedule(now + messageDelayMs, names.indexOf(address.split(':')[0]!), event);
		});
	};

	const end = (kind: Outcome['kind'], call: number, now: number, retryAfter?: number): void => {
		outcomes.push({
			kind, at: now, after: now - arrivedAt[call]!, retryAfter,
		});
	};

	const effectHandlers: Readonly<{[Kind in EdgeEffect['kind']]?: (effect: EdgeEffect & {kind: Kind}, router: number, now: number) => void}> = {
		send(effect, router, now) {
			respond(router, effect, now);
		},
		'tell-peers'(effect, _router, now) {
			tellPeers(effect, now);
		},
		deliver(effect, _router, now) {
			end('delivered', effect.call, now);
		},
		refuse(effect, _router, now) {
			end('refused', effect.call, now, effect.fault.retryAfter);
		},
	};

	const post = (router: number, event: EdgeEvent, now: number): void => {
		const step = handleEdge(states[router]!, event, now);
		states = states.with(router, step.state);
		step.effects.forEach(effect => {
			(effectHandlers[effect.kind] as ((effect: EdgeEffect, router: number, now: number) => void) | undefined)?.(effect, router, now);
		});
	};

	const sendRequest = (call: number, now: number): void => {
		const router = load.routers === 1 || random.draw() < (load.firstRouterFraction ?? 1 / load.routers) ? 0 : 1 + random.pick(load.routers - 1);
		arrivedAt[call] = now;
		post(router, {
			kind: 'call-arrived', call, bodyDigest: `b${call}`, receivedAt: now, unreadMs: 0, random: random.draw(), head: {
				key: `c${call}`, method: 'GET', url: '/x', host: 'h', apiKey: undefined, clientTimeoutMs: 3000, modelRequest: undefined,
				resumeAfter: undefined, resumedKey: undefined, forwardedHeaders: [],
			},
		}, now);
	};

	names.forEach((_, router) => {
		post(router, {kind: 'catalog-read', config: createConfig(load)}, 0);
		post(router, {kind: 'endpoints-listed', entries: listed, version: 0}, 0);
	});
	let calls = 0;
	Array.from({length: endMs}, (_, now) => now).forEach(now => {
		if (now === load.storeSilentAt) {
			states = states.map(state => ({...state, quota: {...state.quota, peers: state.quota.peers.map(peer => ({...peer, isLive: false}))}}));
		}

		if (now === load.coldEntries?.at) {
			names.forEach((_, router) => {
				post(router, {kind: 'endpoints-listed', entries: listed.map(entry => ({...entry, slowStartMs: load.coldEntries!.durationMs, rowVersion: now})), version: now}, now);
			});
		}

		ending[now]?.forEach(id => {
			running[id]! -= 1;
		});
		if (load.entriesAwayEveryMs !== undefined && now % load.entriesAwayEveryMs === load.entriesAwayEveryMs - 1) {
			names.forEach((_, router) => {
				post(router, {kind: 'endpoints-listed', entries: [], version: now}, now);
				post(router, {kind: 'endpoints-listed', entries: listed.map(entry => ({...entry, rowVersion: now + 1})), version: now + 1}, now);
			});
		}

		due[now]?.forEach(({router, event}) => {
			post(router, event, now);
		});
		const isDue = random.draw() < load.requestsPerSecond / 1000;
		const count = (isDue ? 1 : 0) + (now === load.burst?.at ? load.burst.count : 0);
		Array.from({length: count}, (_, index) => calls + index + 1).forEach(call => {
			sendRequest(call, now);
		});
		calls += count;

		names.forEach((_, router) => {
			if (now % tickMs === router % tickMs) {
				post(router, {kind: 'tick', random: random.draw()}, now);
			}
		});
	});
	return {arrivals, outcomes};
};
