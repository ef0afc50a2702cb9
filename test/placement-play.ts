import {Map} from 'immutable';
import {succeed} from '../src/errors/index.js';
import {checkFinalHead} from '../src/http-head/index.js';
import {parsePeerMessage} from '../src/edge/peer-message.js';
import type {ModelRequest, ResponseHead} from '../src/in-flight/index.js';
import type {StatedLoad} from '../src/endpoint-performance/index.js';
import type {PeerRouter} from '../src/quota/index.js';
import {createRandom} from '../src/random/index.js';
import type {RegistryEntry} from '../src/registry/index.js';
import {createRouteTable} from '../src/routing-config/index.js';
import type {Route, RoutingConfig} from '../src/routing-config/index.js';
import {handleEdge} from '../src/edge/handle.js';
import type {EdgeEffect, EdgeEvent} from '../src/edge/messages.js';
import {createEdge} from '../src/edge/state.js';
import type {EdgeState} from '../src/edge/state.js';

/** An endpoint that works at the speed given by its factor; `getLoad` replaces the load that it would state. */
export type PlayedEndpoint = Readonly<{
	id: string;
	dataCentre: string;
	slots: number;
	getFactor?: (at: number) => number;
	/** False if its responses do not state the factor. */
	statesFactor?: boolean;
	getLoad?: (at: number) => StatedLoad;
}>;

/** A fleet and its requests. Times in ms. */
export type PlayedFleet = Readonly<{
	/** Data centre of each router. */
	routers: readonly string[];
	endpoints: readonly PlayedEndpoint[];
	/** Requests per second of the clients of a data centre at a time. */
	getRate: (dataCentre: string, at: number) => number;
	dataCentres: readonly string[];
	/** Model requests with this number of prompt tokens; otherwise plain ones. */
	promptTokens?: number;
	/** Prompt tokens that an endpoint processes per ms. */
	tokensPerMs?: number;
	/** Time of the output after the first event, or of a plain request. */
	serviceMs?: number;
	targetMs?: number;
	remoteDelayMs?: number;
	/** Delay of the messages between routers; infinite if none arrives. */
	messageDelayMs?: number;
	getState?: (state: EdgeState) => EdgeState;
}>;

/** One request at an endpoint, or a refusal if `endpoint` is undefined; `firstMs` is the time from the arrival to the first output. */
export type PlayedRequest = Readonly<{router: number; dataCentre: string; endpoint: string | undefined; at: number; firstMs: number}>;

const tickMs = 20;

const createPlayedConfig = ({promptTokens, targetMs}: PlayedFleet): RoutingConfig => {
	const route: Route = {
		name: 'r', host: 'h', prefix: '/', kind: promptTokens === undefined ? 'safe' : 'stream', timeout: 4000, targetMs: targetMs ?? 500, priority: 1, services: [{name: 's', weight: 1}],
		maxAttempts: 2, isAnonymous: true, isResumable: false, eventGapTargetMs: undefined,
	};
	return {
		version: 1,
		routes: createRouteTable([route]),
		services: Map([['s', {name: 's', maxConnections: 2000, engine: promptTokens === undefined ? undefined : {slots: 64, capacity: 551_016, tokensPerEvent: 4}}]]),
		organisations: Map(),
		budgets: Map(),
		needsAuthentication: false,
		limits: {
			maxHeaderBytes: 16_384, maxBodyBytes: 1000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
		},
	};
};

/**
Plays requests on routers and endpoints under virtual time. An endpoint of a model processes
prompts one after the other; any endpoint runs as many requests at once as it has slots.

@param fleet - The fleet.
@param seed - The seed.
@param endMs - When the play ends, in ms.
@returns The requests in the order in which they were sent or refused, and the final states of the routers.
*/
export const playFleet = (fleet: PlayedFleet, seed: number, endMs: number): Readonly<{requests: readonly PlayedRequest[]; states: readonly EdgeState[]; effects: readonly EdgeEffect[]}> => {
	const random = createRandom(seed);
	const names = fleet.routers.map((_, index) => `router-${index}`);
	const config = createPlayedConfig(fleet);
	const entries: readonly RegistryEntry[] = fleet.endpoints.map(({id, dataCentre, slots}, index) => ({
		id, service: 's', address: `10.0.0.${index}:80`, dataCentre, softwareVersion: 'v1', slots, isLeaving: false, slowStartMs: 0, startedAt: 1, rowVersion: 0,
	}));
	const requests: PlayedRequest[] = [];
	const counted: EdgeEffect[] = [];
	const arrivedAt: Record<number, number> = {};
	const due: Array<Array<(now: number) => void> | undefined> = [];
	const busy = Object.fromEntries(fleet.endpoints.map(({id}) => [id, {promptsUntil: 0, slotEnds: [] as readonly number[]}]));
	let states: readonly EdgeState[] = names.map((name, index) => {
		const state = createEdge({
			dataCentre: fleet.routers[index]!, router: name, incarnation: name, peerAddress: `${name}:1`, retryBudgetBounds: {ratio: 0.2, slack: 54}, drainMs: 2000,
		});
		const peers = Map<string, PeerRouter>(names.map((each, peer) => [each, {
			peerAddress: `${each}:1`, dataCentre: fleet.routers[peer]!, isLive: true, era: undefined, holds: Map(),
		}] as const)).delete(name);
		const started: EdgeState = {...state, quota: {...state.quota, peers}, liveRouters: names.toSorted()};
		return fleet.getState?.(started) ?? started;
	});

	const schedule = (at: number, act: (now: number) => void): void => {
		(due[Math.ceil(at)] ??= []).push(act);
	};

	const post = (router: number, event: EdgeEvent, now: number): void => {
		const step = handleEdge(states[router]!, event, now);
		states = states.with(router, step.state);
		step.effects.forEach(effect => {
			(effectHandlers[effect.kind] as ((effect: EdgeEffect, router: number, now: number) => void) | undefined)?.(effect, router, now);
		});
	};

	const respond = (router: number, {call, attempt, endpoint}: EdgeEffect & {kind: 'send'}, now: number): void => {
		const played = fleet.endpoints.find(({id}) => id === endpoint.id)!;
		const work = busy[endpoint.id]!;
		const factor = played.getFactor?.(now) ?? 1;
		const distanceMs = played.dataCentre === fleet.routers[router] ? 1 : (fleet.remoteDelayMs ?? 10);
		const running = work.slotEnds.filter(end => end > now);
		const ends = running.toSorted((a, b) => b - a);
		const slotAt = Math.max(now, ends[played.slots - 1] ?? 0);
		const newTokens = states[router]!.requests.get(call)!.pending;
		const promptMs = factor * newTokens / (fleet.tokensPerMs ?? 57);
		work.promptsUntil = Math.max(work.promptsUntil, slotAt) + promptMs;
		const serviceMs = factor * (fleet.serviceMs ?? 80);
		const firstAt = fleet.promptTokens === undefined ? slotAt + serviceMs : work.promptsUntil + (factor * (85 + running.length));
		const endAt = fleet.promptTokens === undefined ? firstAt : firstAt + serviceMs;
		work.slotEnds = [...running, endAt];
		const isStream = fleet.promptTokens !== undefined;
		const readLoad = (at: number): StatedLoad => {
			const open = work.slotEnds.filter(end => end > at).length;
			return played.getLoad?.(at) ?? {
				running: Math.min(open, played.slots), waiting: Math.max(0, open - played.slots), slots: played.slots, ...(played.statesFactor !== false && {workFactor: played.getFactor?.(at) ?? 1}),
			};
		};

		schedule(firstAt + distanceMs, at => {
			const head: ResponseHead = {
				status: 200, key: undefined, hasNotRun: false, isOtherIncarnation: false, isSigned: true,
				load: readLoad(firstAt), rateLimit: succeed(undefined), isLeaving: false, pushbackMs: succeed(undefined), isStream, forwarded: checkFinalHead(200, []),
			};
			requests.push({
				router, dataCentre: fleet.routers[router]!, endpoint: endpoint.id, at: now, firstMs: at - arrivedAt[call]!,
			});
			post(router, {
				kind: 'response-began', endpoint, head, isDoubted: false,
			}, at);
			post(router, {
				kind: 'endpoint-answered', call, attempt, random: random.draw(), head,
			}, at);
			if (isStream) {
				post(router, {kind: 'stream-began', call, attempt}, at);
			}
		});
		if (isStream) {
			schedule(endAt + distanceMs, at => {
				post(router, {
					kind: 'stream-ended', call, attempt, events: 10, framing: 'chunked',
				}, at);
			});
		}
	};

	const effectHandlers: Readonly<{[Kind in EdgeEffect['kind']]?: (effect: EdgeEffect & {kind: Kind}, router: number, now: number) => void}> = {
		send(effect, router, now) {
			respond(router, effect, now);
		},
		'tell-peers'({addresses, message}, _router, now) {
			if (Number.isFinite(fleet.messageDelayMs ?? 2)) {
				const event: EdgeEvent = parsePeerMessage(message, 0.5).unwrap();
				addresses.forEach(address => {
					schedule(now + (fleet.messageDelayMs ?? 2), at => {
						post(names.indexOf(address.split(':')[0]!), event, at);
					});
				});
			}
		},
		refuse({call}, router, now) {
			requests.push({
				router, dataCentre: fleet.routers[router]!, endpoint: undefined, at: now, firstMs: now - arrivedAt[call]!,
			});
		},
		count(effect) {
			counted.push(effect);
		},
	};

	const sendRequest = (call: number, dataCentre: string, now: number): void => {
		const candidates = names.flatMap((_, index) => fleet.routers[index] === dataCentre ? [index] : []);
		const router = candidates[random.pick(candidates.length)]!;
		arrivedAt[call] = now;
		const modelRequest: ModelRequest | undefined = fleet.promptTokens === undefined
			? undefined
			: {
				model: 'm', promptTokens: fleet.promptTokens, maxOutputTokens: 80, parts: [{id: `p${call}`, tokens: fleet.promptTokens}],
			};
		post(router, {
			kind: 'call-arrived', call, bodyDigest: `b${call}`, receivedAt: now, unreadMs: 0, random: random.draw(), head: {
				key: `c${call}`, method: 'GET', url: '/x', host: 'h', apiKey: undefined, clientTimeoutMs: 4000, modelRequest,
				resumeAfter: undefined, resumedKey: undefined, forwardedHeaders: [],
			},
		}, now);
	};

	names.forEach((_, router) => {
		post(router, {kind: 'catalog-read', config}, 0);
		post(router, {kind: 'endpoints-listed', entries, version: 0}, 0);
	});
	let calls = 0;
	Array.from({length: endMs}, (_, now) => now).forEach(now => {
		due[now]?.forEach(act => {
			act(now);
		});
		due[now] = undefined;
		fleet.dataCentres.filter(dataCentre => random.draw() < fleet.getRate(dataCentre, now) / 1000).forEach(dataCentre => {
			calls += 1;
			sendRequest(calls, dataCentre, now);
		});
		names.forEach((_, router) => {
			if (now % tickMs === router % tickMs) {
				post(router, {kind: 'tick', random: random.draw()}, now);
			}
		});
	});
	return {requests, states, effects: counted};
};
