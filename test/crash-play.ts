import {Map} from 'immutable';
import {succeed} from '../src/errors/index.js';
import {checkFinalHead} from '../src/http-head/index.js';
import {handleEdge} from '../src/edge/handle.js';
import type {EdgeEffect, EdgeEvent} from '../src/edge/messages.js';
import {createEdge} from '../src/edge/state.js';
import type {EdgeState} from '../src/edge/state.js';
import {parsePeerMessage} from '../src/edge/peer-message.js';
import type {ModelRequest, ResponseHead} from '../src/in-flight/index.js';
import type {PeerRouter} from '../src/quota/index.js';
import {createRandom} from '../src/random/index.js';
import type {RegistryEntry} from '../src/registry/index.js';
import {createRouteTable} from '../src/routing-config/index.js';
import type {Route, RoutingConfig} from '../src/routing-config/index.js';
import type {StoredRow} from '../src/store/index.js';

/** The kinds of requests: an idempotent read, an act, a stream, and a stream with a prompt. */
export type RequestKind = 'read' | 'act' | 'stream' | 'model';

const createRoute = (name: RequestKind, kind: Route['kind']): Route => ({
	name, host: 'h', prefix: `/${name}/`, kind, timeout: 5000, targetMs: 500, priority: 1, services: [{name: 's', weight: 1}],
	maxAttempts: 2, isAnonymous: true, isResumable: kind === 'stream', eventGapTargetMs: 200,
});

const routes: readonly Route[] = [createRoute('read', 'safe'), createRoute('act', 'unsafe'), createRoute('stream', 'stream'), createRoute('model', 'stream')];

const config: RoutingConfig = {
	version: 1,
	routes: createRouteTable(routes),
	services: Map([['s', {
		name: 's', maxConnections: 400, engine: {slots: 64, capacity: 500_000, tokensPerEvent: 4},
	}]]),
	organisations: Map(),
	budgets: Map(),
	needsAuthentication: false,
	limits: {
		maxHeaderBytes: 16_384, maxBodyBytes: 1000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
	},
};

/** A request that crashes the endpoints that run it, and comes again. Times in ms. */
export type Killer = Readonly<{
	kind: RequestKind;
	name: string;
	perSecond: number;
	from: number;
	until: number;
	/** Times from which it crashes endpoints, and from which it is sound again. */
	sickAt?: number;
	mendedAt?: number;
	/** Shared parts of its prompt. */
	parts?: readonly string[];
	/** Fraction of its clients that leave before it crashes its endpoint. */
	leavingFraction?: number;
}>;

/** What a fleet is subjected to. Times in ms. */
export type Load = Readonly<{
	routers: number;
	endpoints?: number;
	/** Sound requests: model requests, but for fractions that are reads of one path, and single requests of each kind. */
	soundPerSecond: number;
	popularFraction?: number;
	plainFraction?: number;
	/** Number of times that the client of a sound request repeats it after a failure. */
	clientRetries?: number;
	killers?: readonly Killer[];
	/** Requests with a prompt part on which endpoints crash; the last part of a request does not count. */
	poisonPerSecond?: number;
	poison?: string;
	/** Another such part, which half of these requests have instead. */
	otherPoison?: string;
	/** Position of the part; 1, between the two others, if not given. */
	position?: number;
	poisonFrom?: number;
	poisonUntil?: number;
	/** Time from which the part is sound. */
	mendedAt?: number;
	/** Time until which the part is sound, and a quarter of all sound requests have it. */
	poisonSoundUntil?: number;
	/** Mean time between crashes for other reasons. */
	otherCrashEveryMs?: number;
	/** Endpoints that crash at the same moment, and when. */
	massCrashes?: ReadonlyArray<Readonly<{count: number; at: number}>>;
	/** Time at which one router starts anew, at which all of them do, and at which they begin to do so one after the other. */
	restartAt?: number;
	restartAllAt?: number;
	rollAt?: number;
	lostMessages?: number;
	/** Time from which one router neither hears nor reaches the others, and for how long. */
	cutAt?: number;
	cutMs?: number;
	/** Time from which the store is away, and for how long. */
	storeAwayAt?: number;
	storeAwayMs?: number;
}>;

/** A request that a client sends, perhaps several times. */
type Request = {
	readonly at: number;
	readonly kind: RequestKind;
	readonly url: string;
	readonly bodyDigest: string | undefined;
	readonly parts: readonly string[];
	/** The part on which endpoints crash, if it has it. */
	readonly poison: string | undefined;
	readonly killer: Killer | undefined;
	readonly isSound: boolean;
	hasBegunAtOnce: boolean;
	isServed: boolean;
	retries: number;
};

export type Play = Readonly<{
	/** What reached an endpoint, and what was sent to one that had crashed. */
	sends: ReadonlyArray<Readonly<{poison: string | undefined; killer: string | undefined; at: number; hasReached: boolean}>>;
	/** The crashes, by the part or request that caused them. */
	crashes: ReadonlyArray<Readonly<{at: number; cause: string}>>;
	sound: ReadonlyArray<Readonly<{at: number; kind: RequestKind; isPopular: boolean; hasBegunAtOnce: boolean; isServed: boolean}>>;
	refusals: ReadonlyArray<Readonly<{at: number; isSound: boolean; isPoison: boolean; reason: string; retryAfter: number | undefined}>>;
	/** Verdicts that a router reached or lifted by itself, and when. */
	changes: ReadonlyArray<Readonly<{at: number; event: string; part: string; fingerprint: string}>>;
	maxMessageBytes: number;
	states: readonly EdgeState[];
}>;

const firstOutputMs = 120;
const answerMs = 400;
const plainAnswerMs = 80;
const crashDelays = [0, 60] as const;
const plainCrashDelays = [30, 90] as const;
const downMs = 3000;
const tickMs = 20;
const messageDelayMs = 2;
const clientRetryDelayMs = 60;
const leaveDelayMs = 20;
const rollIntervalMs = 2000;

/** What the store's clock shows at the start. */
const storeTimeOffset = 5_000_000;

/** Parts that sound requests share with each other and with those that crash endpoints. */
export const sharedParts: readonly string[] = ['a0', 'a1', 'a2', 'b0', 'b1', 'b2', 'b3', 'b4', 'b5'];

const popularUrl = '/read/popular';

const createModelRequest = (parts: readonly string[]): ModelRequest => ({
	model: 'm', promptTokens: parts.length * 300, maxOutputTokens: 24, parts: parts.map(id => ({id, tokens: 300})),
});

const createHead = (fields: Partial<ResponseHead>): ResponseHead => ({
	status: 200, key: undefined, hasNotRun: false, isOtherIncarnation: false, isSigned: true,
	load: undefined, rateLimit: succeed(undefined), isLeaving: false, pushbackMs: succeed(undefined), isStream: false, forwarded: checkFinalHead(200, []), ...fields,
});

/**
Plays a load on routers that hear of each other, under virtual time.

@param load - The load.
@param seed - Seed of the random draws.
@param endMs - End of the play, in ms.
@returns What reached the endpoints, and what the clients got.
*/
export const playLoad = (load: Load, seed: number, endMs: number): Play => {
	const random = createRandom(seed);
	const names = Array.from({length: load.routers}, (_, index) => `router-${index}`);
	const endpointCount = load.endpoints ?? 12;
	const isStoreAway = () => load.storeAwayAt !== undefined && now >= load.storeAwayAt && now < load.storeAwayAt + (load.storeAwayMs ?? 0);
	const start = (name: string): EdgeState => {
		const state = createEdge({
			dataCentre: 'z', router: name, incarnation: name, peerAddress: `${name}:1`, retryBudgetBounds: {ratio: 0.2, slack: 54}, drainMs: 2000,
		});
		const peers = Map<string, PeerRouter>(names.filter(each => each !== name).map(each => [each, {
			peerAddress: `${each}:1`, dataCentre: '', isLive: true, era: undefined, holds: Map(),
		}]));
		return {
			...state, quota: {
				...state.quota, peers, hasTakenOver: true, sync: {step: 'reading', table: 'holds'}, storeClock: {timeMs: now + storeTimeOffset, receivedAtMs: now},
			}, liveRouters: names.toSorted(),
		};
	};

	const sends: Array<Play['sends'][number]> = [];
	const crashes: Array<Play['crashes'][number]> = [];
	const changes: Array<Play['changes'][number]> = [];
	const refusals: Array<Play['refusals'][number]> = [];
	const requests: Request[] = [];
	const calls = new globalThis.Map<number, {request: Request; router: number; isFirst: boolean}>();
	const rows = new globalThis.Map<string, StoredRow>();
	const due: Array<Array<() => void> | undefined> = [];
	let callCount = 0;
	let maxMessageBytes = 0;
	let now = 0;
	let states: readonly EdgeState[] = [];
	let endpoints: ReadonlyArray<Readonly<{entry: RegistryEntry; crashedAt: number | undefined}>> = Array.from({length: endpointCount}, (_, index) => ({
		entry: {
			id: `e${index}`, service: 's', address: `10.0.0.${index}:80`, dataCentre: 'z', softwareVersion: 'v1', slots: 64, isLeaving: false, slowStartMs: 0, startedAt: 1, rowVersion: 0,
		}, crashedAt: undefined,
	}));
	/** Attempts in progress: endpoint, and events so far. */
	const open = new globalThis.Map<string, {router: number; call: number; attempt: number; endpoint: string; events: number}>();

	const schedule = (delay: number, run: () => void): void => {
		due[now + delay] = [...due[now + delay] ?? [], run];
	};

	const post = (router: number, event: EdgeEvent): void => {
		const step = handleEdge(states[router]!, event, now);
		states = states.with(router, step.state);
		step.effects.forEach(effect => {
			(effectHandlers[effect.kind] as ((effect: EdgeEffect, router: number) => void) | undefined)?.(effect, router);
		});
	};

	const postAll = (event: EdgeEvent): void => {
		names.forEach((_, router) => {
			post(router, event);
		});
	};

	const crash = (index: number): void => {
		const {entry, crashedAt} = endpoints[index]!;
		if (crashedAt !== undefined) {
			return;
		}

		endpoints = endpoints.with(index, {entry, crashedAt: now});
		[...open].filter(([, each]) => each.endpoint === entry.id).forEach(([key, {router, call, attempt, events}]) => {
			open.delete(key);
			schedule(1, () => {
				post(router, {
					kind: 'endpoint-failed', call, attempt, stage: events > 0 ? 'streaming' : 'sent', reason: 'socket hang up', events,
					lastEventId: events > 0 ? String(events) : undefined, random: random.draw(),
				});
			});
		});
		// The entry of a crashed endpoint goes after some heartbeats; the endpoint is back under another id.
		schedule(2000, () => {
			postAll({
				kind: 'endpoint-changed', id: entry.id, listing: undefined, version: now,
			});
		});
		schedule(downMs, () => {
			const renewed = {
				...entry, id: `${entry.id}+`, startedAt: now, rowVersion: now,
			};
			endpoints = endpoints.with(index, {entry: renewed, crashedAt: undefined});
			postAll({
				kind: 'endpoint-changed', id: renewed.id, listing: renewed, version: now,
			});
		});
	};

	/** Returns what in a request crashes its endpoint; undefined if it is sound. */
	const findCause = ({killer, poison}: Request): string | undefined => {
		if (killer !== undefined) {
			return now >= (killer.sickAt ?? 0) && now < (killer.mendedAt ?? Number.POSITIVE_INFINITY) ? killer.name : undefined;
		}

		return now >= (load.poisonSoundUntil ?? 0) && now < (load.mendedAt ?? Number.POSITIVE_INFINITY) ? poison : undefined;
	};

	const respond = (router: number, {call, attempt, endpoint}: EdgeEffect & {kind: 'send'}): void => {
		const {request, isFirst} = calls.get(call)!;
		const {kind, killer, poison} = request;
		const index = endpoints.findIndex(each => each.entry.id === endpoint.id && each.crashedAt === undefined);
		sends.push({
			poison, killer: killer?.name, at: now, hasReached: index !== -1,
		});
		if (index === -1) {
			schedule(2, () => {
				post(router, {
					kind: 'endpoint-failed', call, attempt, stage: 'unsent', reason: 'connect ECONNREFUSED', events: 0, lastEventId: undefined, random: random.draw(),
				});
			});
			return;
		}

		const key = `${call}/${attempt}`;
		const progress = {
			router, call, attempt, endpoint: endpoint.id, events: 0,
		};
		open.set(key, progress);
		const isStream = kind === 'stream' || kind === 'model';
		const perform = (delay: number, run: () => void) => {
			schedule(delay, () => {
				if (open.has(key)) {
					run();
				}
			});
		};

		const answer = (head: ResponseHead) => {
			post(router, {
				kind: 'response-began', endpoint, head, isDoubted: false,
			});
			post(router, {
				kind: 'endpoint-answered', call, attempt, head, random: random.draw(),
			});
		};

		const begin = () => {
			request.hasBegunAtOnce ||= isFirst && attempt === 1;
		};

		const crashDelay = isStream ? firstOutputMs + crashDelays[random.pick(crashDelays.length)]! : plainCrashDelays[random.pick(plainCrashDelays.length)]!;
		schedule(crashDelay, () => {
			const cause = findCause(request);
			if (cause !== undefined && endpoints[index]!.entry.id === endpoint.id && endpoints[index]!.crashedAt === undefined) {
				crashes.push({at: now, cause});
				crash(index);
			}
		});
		if (!isStream) {
			// The endpoint crashes before it answers.
			perform(findCause(request) === undefined ? plainAnswerMs : crashDelay + 1, () => {
				open.delete(key);
				begin();
				request.isServed = true;
				answer(createHead({}));
			});
			return;
		}

		perform(5, () => {
			answer(createHead({isStream: true}));
		});
		perform(firstOutputMs, () => {
			progress.events = 1;
			begin();
			post(router, {kind: 'stream-began', call, attempt});
		});
		perform(answerMs, () => {
			open.delete(key);
			request.isServed = true;
			post(router, {
				kind: 'stream-ended', call, attempt, events: 6, framing: 'chunked',
			});
		});
	};

	/** Lets the client of a sound request send it again, at any router. */
	const retryByClient = ({request}: {request: Request}): void => {
		if (request.isSound && request.retries < (load.clientRetries ?? 0)) {
			request.retries += 1;
			schedule(clientRetryDelayMs, () => {
				sendRequest(request, false);
			});
		}
	};

	const effectHandlers: Readonly<{[Kind in EdgeEffect['kind']]?: (effect: EdgeEffect & {kind: Kind}, router: number) => void}> = {
		send(effect, router) {
			respond(router, effect);
		},
		withdraw({call}, router) {
			const [key, attempt] = [...open].find(([, each]) => each.call === call) ?? [];
			if (key !== undefined && attempt !== undefined) {
				open.delete(key);
				post(router, {
					kind: 'call-withdrawn', call, attempt: attempt.attempt, hasNotRun: true,
				});
			}
		},
		abort({call}) {
			[...open].filter(([, each]) => each.call === call).forEach(([key]) => open.delete(key));
		},
		'tell-peers'({addresses, message}, router) {
			maxMessageBytes = Math.max(maxMessageBytes, message.length);
			const isCut = load.cutAt !== undefined && now >= load.cutAt && now < load.cutAt + (load.cutMs ?? 3000);
			addresses.filter(address => random.draw() >= (load.lostMessages ?? 0) && !(isCut && (router === 0 || address === `${names[0]}:1`))).forEach(address => {
				schedule(messageDelayMs, () => {
					post(names.indexOf(address.split(':')[0]!), parsePeerMessage(message, 0.5).unwrap());
				});
			});
		},
		log({event, fields}) {
			if (/^(?:part|request)-(?:condemned|cleared|expired)$/v.test(event)) {
				changes.push({
					at: now, event, part: String(fields.part ?? ''), fingerprint: String(fields.fingerprint ?? ''),
				});
			}
		},
		'save-verdicts'({writes}, router) {
			schedule(messageDelayMs, () => {
				const isDone = !isStoreAway();
				if (isDone) {
					writes.forEach(({table, key, value}) => {
						rows.set(key, {
							table, key, version: 1, value,
						});
					});
					[...rows.values()].filter(({value}) => value === undefined).forEach(({key}) => rows.delete(key));
				}

				post(router, {kind: 'verdicts-saved', isDone});
			});
		},
		'save-crashes'({writes}) {
			schedule(messageDelayMs, () => {
				if (!isStoreAway()) {
					writes.forEach(({table, key, value}) => {
						rows.set(key, {
							table, key, version: 1, value,
						});
					});
				}
			});
		},
		'read-verdicts'(_effect, router) {
			schedule(messageDelayMs, () => {
				if (!isStoreAway()) {
					post(router, {kind: 'verdicts-read', rows: [...rows.values()], storeTime: now + storeTimeOffset});
				}
			});
		},
		refuse({call, fault}) {
			const each = calls.get(call)!;
			refusals.push({
				at: now, isSound: each.request.isSound, isPoison: each.request.poison !== undefined,
				reason: fault.kind, retryAfter: fault.retryAfter,
			});
			retryByClient(each);
		},
		cut({call}) {
			retryByClient(calls.get(call)!);
		},
	};

	const sendRequest = (request: Request, isFirst: boolean): void => {
		callCount += 1;
		const call = callCount;
		const router = random.pick(load.routers);
		calls.set(call, {request, router, isFirst});
		post(router, {
			kind: 'call-arrived', call, receivedAt: now, unreadMs: 0, random: random.draw(), bodyDigest: request.bodyDigest, head: {
				key: `c${call}`, method: 'GET', url: request.url, host: 'h', apiKey: undefined, clientTimeoutMs: 3000,
				modelRequest: request.kind === 'model' ? createModelRequest(request.parts) : undefined,
				resumeAfter: undefined, resumedKey: undefined, forwardedHeaders: [],
			},
		});
		if (request.killer !== undefined && random.draw() < (request.killer.leavingFraction ?? 0)) {
			schedule(leaveDelayMs, () => {
				post(router, {kind: 'caller-left', call, events: 0});
			});
		}
	};

	const addRequest = (fields: Pick<Request, 'kind' | 'url' | 'bodyDigest' | 'parts' | 'poison' | 'killer'>): void => {
		const request: Request = {
			...fields, at: now, isSound: fields.killer === undefined && (fields.poison === undefined || now < (load.poisonSoundUntil ?? 0)),
			hasBegunAtOnce: false, isServed: false, retries: 0,
		};
		requests.push(request);
		sendRequest(request, true);
	};

	const addModelRequest = (poison: string | undefined): void => {
		const own = `own-${requests.length}`;
		const shared = [sharedParts[random.pick(3)]!, sharedParts[3 + random.pick(6)]!];
		addRequest({
			kind: 'model', url: '/model/x', bodyDigest: own, parts: [...(poison === undefined ? shared : shared.toSpliced(load.position ?? 1, 0, poison)), own], poison, killer: undefined,
		});
	};

	const addSound = (): void => {
		const draw = random.draw();
		const popular = load.popularFraction ?? 0;
		if (draw < popular) {
			addRequest({
				kind: 'read', url: popularUrl, bodyDigest: undefined, parts: [], poison: undefined, killer: undefined,
			});
		} else if (draw < popular + (load.plainFraction ?? 0)) {
			const kind = (['read', 'act', 'stream'] as const)[random.pick(3)]!;
			addRequest({
				kind, url: `/${kind}/${requests.length}`, bodyDigest: `b${requests.length}`, parts: [], poison: undefined, killer: undefined,
			});
		} else {
			addModelRequest(now < (load.poisonSoundUntil ?? 0) && random.draw() < 0.25 ? load.poison : undefined);
		}
	};

	const addKiller = (killer: Killer): void => {
		addRequest({
			kind: killer.kind, url: `/${killer.kind}/x`, bodyDigest: killer.name, parts: [...killer.parts ?? [], killer.name], poison: undefined, killer,
		});
	};

	const addPoison = (): void => {
		addModelRequest(load.otherPoison !== undefined && random.draw() < 0.5 ? load.otherPoison : load.poison);
	};

	const restartRouter = (router: number): void => {
		[...open].filter(([, each]) => each.router === router).forEach(([key]) => open.delete(key));
		states = states.with(router, start(names[router]!));
		startRouter(router);
	};

	const startRouter = (router: number): void => {
		post(router, {kind: 'catalog-read', config});
		if (!isStoreAway()) {
			post(router, {kind: 'verdicts-read', rows: [...rows.values()], storeTime: now + storeTimeOffset});
		}

		post(router, {kind: 'endpoints-listed', entries: endpoints.filter(({crashedAt}) => crashedAt === undefined).map(({entry}) => entry), version: now});
	};

	states = names.map(name => start(name));
	names.forEach((_, router) => {
		startRouter(router);
	});
	Array.from({length: endMs}, (_, at) => at).forEach(at => {
		now = at;
		due[now]?.forEach(run => {
			run();
		});
		due[now] = undefined;
		if (random.draw() < load.soundPerSecond / 1000) {
			addSound();
		}

		if (now >= (load.poisonFrom ?? 0) && now < (load.poisonUntil ?? 0) && random.draw() < (load.poisonPerSecond ?? 0) / 1000) {
			addPoison();
		}

		load.killers?.filter(({from, until, perSecond}) => now >= from && now < until && random.draw() < perSecond / 1000).forEach(killer => {
			addKiller(killer);
		});

		if (random.draw() < 1 / (load.otherCrashEveryMs ?? Number.POSITIVE_INFINITY)) {
			crash(random.pick(endpointCount));
		}

		load.massCrashes?.filter(each => each.at === now).forEach(({count}) => {
			Array.from({length: count}, (_, index) => index).forEach(index => {
				crash(index);
			});
		});

		if (now === load.restartAt) {
			restartRouter(0);
		}

		names.forEach((_, router) => {
			if (load.rollAt !== undefined && now === load.rollAt + (router * rollIntervalMs)) {
				restartRouter(router);
			}
		});

		if (now === load.restartAllAt) {
			names.forEach((_, router) => {
				restartRouter(router);
			});
		}

		names.forEach((_, router) => {
			if (now % tickMs === router % tickMs) {
				post(router, {kind: 'tick', random: random.draw()});
			}
		});
	});
	return {
		sends, crashes, changes, refusals, maxMessageBytes, states,
		sound: requests.filter(({isSound}) => isSound).map(({at, kind, url, hasBegunAtOnce, isServed}) => ({
			at, kind, isPopular: url === popularUrl, hasBegunAtOnce, isServed,
		})),
	};
};

/**
Computes the fraction of sound requests whose first attempt gave output.

@param play - The play.
@param from - Time of the first of these requests, in ms.
@param until - Time of the last one, in ms.
@returns The fraction.
*/
export const computeBegunFraction = ({sound}: Play, from: number, until: number): number => {
	const within = sound.filter(({at}) => at >= from && at < until);
	return within.filter(({hasBegunAtOnce}) => hasBegunAtOnce).length / within.length;
};
