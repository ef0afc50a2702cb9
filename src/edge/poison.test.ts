import {Map} from 'immutable';
import {describe, expect, test} from 'vitest';
import {succeed} from '../errors/index.js';
import {parseLoads} from '../gossip/index.js';
import type {ModelRequest, ResponseHead} from '../in-flight/index.js';
import type {PeerRouter} from '../quota/index.js';
import {createRandom} from '../random/index.js';
import type {RegistryEntry} from '../registry/index.js';
import type {Route, RoutingConfig} from '../routing-config/index.js';
import type {StoredRow} from '../store/index.js';
import {handleEdge} from './handle.js';
import type {EdgeEffect, EdgeEvent} from './messages.js';
import {createEdge} from './state.js';
import type {EdgeState} from './state.js';

const route: Route = {
	name: 'r', host: 'h', prefix: '/', kind: 'stream', timeout: 5000, targetMs: 500, priority: 1, services: [{name: 's', weight: 1}],
	maxAttempts: 2, isAnonymous: true, isResumable: true, eventGapTargetMs: 200,
};

const config: RoutingConfig = {
	version: 1,
	routes: Map([['h', [route]]]),
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

/** What a fleet is subjected to. Times in ms. */
type Load = Readonly<{
	routers: number;
	soundPerSecond: number;
	poisonPerSecond: number;
	/** Prompt part on which endpoints crash; the last part of a request does not count. */
	poison: string;
	/** Another such part, which half of these requests have instead. */
	otherPoison?: string;
	/** Position of the part; 1, between the two others, if not given. */
	position?: number;
	poisonFrom: number;
	poisonUntil: number;
	/** Time from which the part is sound. */
	mendedAt?: number;
	/** Mean time between crashes for other reasons. */
	otherCrashEveryMs?: number;
	/** Endpoints that crash at the same moment, and when. */
	massCrash?: Readonly<{count: number; at: number}>;
	/** Time at which one router starts anew, and at which all of them do. */
	restartAt?: number;
	restartAllAt?: number;
	lostMessages?: number;
	/** Time from which one router neither hears nor reaches the others for 3 s. */
	cutAt?: number;
}>;

type Send = Readonly<{isPoison: boolean; poison: string | undefined; at: number; call: number; attempt: number}>;
type Played = Readonly<{
	sends: readonly Send[];
	/** The crashes, by the part that caused them. */
	crashes: ReadonlyArray<Readonly<{at: number; poison: string}>>;
	/** Sound requests, by whether their first attempt gave output. */
	sound: ReadonlyArray<Readonly<{at: number; hasBegunAtOnce: boolean}>>;
	refusals: ReadonlyArray<Readonly<{at: number; isPoison: boolean; retryAfter: number | undefined}>>;
	/** Parts that a router condemned or whose verdict it lifted by itself, and when. */
	changes: ReadonlyArray<Readonly<{at: number; event: string; part: string}>>;
	maxMessageBytes: number;
	states: readonly EdgeState[];
}>;

const endpointCount = 12;
const firstOutputMs = 120;
const crashDelays = [0, 60] as const;
const answerMs = 400;
const downMs = 3000;
const tickMs = 20;
const messageDelayMs = 2;
const cutMs = 3000;

/** What the store's clock shows at the start. */
const storeTimeOffset = 5_000_000;

/** Parts that sound requests share with each other and with those that crash endpoints. */
const sharedParts = ['a0', 'a1', 'a2', 'b0', 'b1', 'b2', 'b3', 'b4', 'b5'];

const createModelRequest = (parts: readonly string[]): ModelRequest => ({
	model: 'm', promptTokens: parts.length * 300, maxOutputTokens: 24, parts: parts.map(id => ({id, tokens: 300})),
});

/** Plays a load on routers that hear of each other, under virtual time; returns what reached the endpoints, and what the clients got. */
const playLoad = (load: Load, seed: number, endMs: number): Played => {
	const random = createRandom(seed);
	const names = Array.from({length: load.routers}, (_, index) => `router-${index}`);
	const start = (name: string): EdgeState => {
		const state = createEdge({
			dataCentre: 'z', router: name, incarnation: name, peerAddress: `${name}:1`, retryBudgetBounds: {ratio: 0.2, slack: 54},
		});
		const peers = Map<string, PeerRouter>(names.filter(each => each !== name).map(each => [each, {
			peerAddress: `${each}:1`, isLive: true, era: undefined, holds: Map(),
		}]));
		return {
			...state, quota: {
				...state.quota, peers, hasTakenOver: true, sync: {step: 'reading', table: 'holds'}, storeClock: {timeMs: now + storeTimeOffset, receivedAtMs: now},
			}, liveRouters: names.toSorted(),
		};
	};

	const sends: Send[] = [];
	const crashes: Array<Played['crashes'][number]> = [];
	const changes: Array<Played['changes'][number]> = [];
	const refusals: Array<Played['refusals'][number]> = [];
	const requests = new globalThis.Map<number, {at: number; isPoison: boolean; parts: readonly string[]; hasBegunAtOnce: boolean}>();
	const rows = new globalThis.Map<string, StoredRow>();
	const due: Array<Array<() => void> | undefined> = [];
	let maxMessageBytes = 0;
	let now = 0;
	let states: readonly EdgeState[] = [];
	let endpoints: ReadonlyArray<Readonly<{entry: RegistryEntry; crashedAt: number | undefined}>> = Array.from({length: endpointCount}, (_, index) => ({
		entry: {
			id: `e${index}`, service: 's', address: `10.0.0.${index}:80`, dataCentre: 'z', softwareVersion: 'v1', slots: 64, isLeaving: false, slowStartMs: 0, startedAt: 1,
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
			postAll({kind: 'endpoint-changed', id: entry.id, listing: undefined});
		});
		schedule(downMs, () => {
			const renewed = {...entry, id: `${entry.id}+`, startedAt: now};
			endpoints = endpoints.with(index, {entry: renewed, crashedAt: undefined});
			postAll({kind: 'endpoint-changed', id: renewed.id, listing: renewed});
		});
	};

	const findPoison = (parts: readonly string[]): string | undefined => parts.find(part => part === load.poison || part === load.otherPoison);

	const isPoisoned = (parts: readonly string[]): boolean => now < (load.mendedAt ?? Number.POSITIVE_INFINITY)
		&& parts.slice(0, -1).some(part => part === load.poison || part === load.otherPoison);

	const respond = (router: number, {call, attempt, endpoint}: EdgeEffect & {kind: 'send'}): void => {
		const request = requests.get(call)!;
		sends.push({
			isPoison: request.isPoison, poison: findPoison(request.parts), at: now, call, attempt,
		});
		const index = endpoints.findIndex(each => each.entry.id === endpoint.id && each.crashedAt === undefined);
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
		const head: ResponseHead = {
			status: 200, key: undefined, hasNotRun: false, isOtherIncarnation: false, isSigned: true,
			load: undefined, rateLimit: succeed(undefined), isLeaving: false, pushbackMs: succeed(undefined), isStream: true, forwardedHeaders: [],
		};
		const perform = (delay: number, run: () => void) => {
			schedule(delay, () => {
				if (open.has(key)) {
					run();
				}
			});
		};

		perform(5, () => {
			post(router, {kind: 'response-began', endpoint, head});
			post(router, {
				kind: 'endpoint-answered', call, attempt, head, random: random.draw(),
			});
		});
		const crashDelay = crashDelays[random.pick(crashDelays.length)]!;
		perform(firstOutputMs + crashDelay, () => {
			if (isPoisoned(request.parts)) {
				crashes.push({at: now, poison: findPoison(request.parts)!});
				crash(index);
			}
		});
		perform(firstOutputMs, () => {
			progress.events = 1;
			request.hasBegunAtOnce ||= attempt === 1;
			post(router, {kind: 'stream-began', call, attempt});
		});
		perform(answerMs, () => {
			open.delete(key);
			post(router, {
				kind: 'stream-ended', call, attempt, events: 6, framing: 'chunked',
			});
		});
	};

	const effectHandlers: Readonly<{[Kind in EdgeEffect['kind']]?: (effect: EdgeEffect & {kind: Kind}, router: number) => void}> = {
		send(effect, router) {
			respond(router, effect);
		},
		'tell-peers'({addresses, message}, router) {
			maxMessageBytes = Math.max(maxMessageBytes, message.length);
			const isCut = load.cutAt !== undefined && now >= load.cutAt && now < load.cutAt + cutMs;
			addresses.filter(address => random.draw() >= (load.lostMessages ?? 0) && !(isCut && (router === 0 || address === `${names[0]}:1`))).forEach(address => {
				schedule(messageDelayMs, () => {
					post(names.indexOf(address.split(':')[0]!), {kind: 'peer-heard', ...parseLoads(message).unwrap()});
				});
			});
		},
		log({event, fields}) {
			if (event.startsWith('part-')) {
				changes.push({at: now, event, part: String(fields.part)});
			}
		},
		'save-verdicts'({writes}, router) {
			schedule(messageDelayMs, () => {
				writes.forEach(({table, key, value}) => {
					rows.set(key, {
						table, key, version: 1, value,
					});
				});
				[...rows.values()].filter(({value}) => value === undefined).forEach(({key}) => rows.delete(key));
				post(router, {kind: 'verdicts-saved', isDone: true});
			});
		},
		refuse({call, fault}) {
			refusals.push({at: now, isPoison: requests.get(call)!.isPoison, retryAfter: fault.retryAfter});
		},
	};

	const sendRequest = (call: number, isPoison: boolean): void => {
		const own = `own-${call}`;
		const shared = [sharedParts[random.pick(3)]!, sharedParts[3 + random.pick(6)]!];
		const poison = load.otherPoison !== undefined && random.draw() < 0.5 ? load.otherPoison : load.poison;
		const parts = isPoison ? [...shared.toSpliced(load.position ?? 1, 0, poison), own] : [...shared, own];
		requests.set(call, {
			at: now, isPoison, parts, hasBegunAtOnce: false,
		});
		post(random.pick(load.routers), {
			kind: 'call-arrived', call, bodyDigest: `b${call}`, receivedAt: now, random: random.draw(), head: {
				key: `c${call}`, method: 'GET', url: '/x', host: 'h', apiKey: undefined, clientTimeoutMs: 3000, modelRequest: createModelRequest(parts),
				resumeAfter: undefined, resumedKey: undefined, forwardedHeaders: [],
			},
		});
	};

	const restartRouter = (router: number): void => {
		[...open].filter(([, each]) => each.router === router).forEach(([key]) => open.delete(key));
		states = states.with(router, start(names[router]!));
		startRouter(router);
	};

	const startRouter = (router: number): void => {
		post(router, {kind: 'catalog-read', config});
		post(router, {kind: 'verdicts-read', rows: [...rows.values()], storeTime: now + storeTimeOffset});
		post(router, {kind: 'endpoints-listed', entries: endpoints.filter(({crashedAt}) => crashedAt === undefined).map(({entry}) => entry)});
	};

	states = names.map(name => start(name));
	names.forEach((_, router) => {
		startRouter(router);
	});
	let calls = 0;
	Array.from({length: endMs}, (_, at) => at).forEach(at => {
		now = at;
		due[now]?.forEach(run => {
			run();
		});
		due[now] = undefined;
		if (random.draw() < load.soundPerSecond / 1000) {
			calls += 1;
			sendRequest(calls, false);
		}

		if (now >= load.poisonFrom && now < load.poisonUntil && random.draw() < load.poisonPerSecond / 1000) {
			calls += 1;
			sendRequest(calls, true);
		}

		if (random.draw() < 1 / (load.otherCrashEveryMs ?? Number.POSITIVE_INFINITY)) {
			crash(random.pick(endpointCount));
		}

		if (now === load.massCrash?.at) {
			Array.from({length: load.massCrash.count}, (_, index) => index).forEach(index => {
				crash(index);
			});
		}

		if (now === load.restartAt) {
			restartRouter(0);
		}

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
		sends, crashes, changes, refusals, maxMessageBytes, states, sound: [...requests.values()].filter(({isPoison}) => !isPoison),
	};
};

const poisonFrom = 4000;
const poisonLoad: Load = {
	routers: 4, soundPerSecond: 60, poisonPerSecond: 4, poison: 'x', poisonFrom, poisonUntil: 24_000,
};

/** Time after the fifth crash from which hardly any request with the part may reach an endpoint; the other part of the rule counts from twice that. */
const contactMs = 3000;
const maxLateSends = 3;

const computeBegunFraction = ({sound}: Played, from: number, until: number): number => {
	const within = sound.filter(({at}) => at >= from && at < until);
	return within.filter(({hasBegunAtOnce}) => hasBegunAtOnce).length / within.length;
};

describe('requests with a prompt part on which endpoints crash', () => {
	test.each<[string, Partial<Load>]>([
		['at four routers', {}],
		['at twelve routers', {routers: 12}],
		['that come seldom', {poisonPerSecond: 1.5, poisonUntil: 34_000}],
		['that come very seldom', {poisonPerSecond: 0.3, poisonUntil: 64_000}],
		['that come every ten seconds', {poisonPerSecond: 0.1, poisonUntil: 84_000}],
		['among other crashes', {otherCrashEveryMs: 4000}],
		['and a router starts anew', {restartAt: 12_000}],
		['and all routers start anew', {restartAllAt: 12_000}],
		['that have it in the first place', {position: 0}],
		['that have it in the last place that counts', {position: 2}],
		['that have one of two such parts', {otherPoison: 'y'}],
		['that have one of two such parts, among other crashes', {otherPoison: 'y', position: 0, otherCrashEveryMs: 4000}],
		['and one router is cut off from the others', {cutAt: poisonFrom}],
		['and messages between routers are lost', {lostMessages: 0.2}],
	])('are soon kept from all endpoints, and sound requests keep theirs: %s', (_, fields) => {
		[1, 2, 3, 4].forEach(seed => {
			const load = {...poisonLoad, ...fields};
			const played = playLoad(load, seed, load.poisonUntil - 100);
			const findFifth = (poison: string) => played.crashes.filter(crash => crash.poison === poison)[4]?.at ?? Number.POSITIVE_INFINITY;
			const poisons = [load.poison, ...(load.otherPoison === undefined ? [] : [load.otherPoison])];
			const fifth = Math.max(...poisons.map(poison => findFifth(poison)));
			poisons.forEach(poison => {
				const late = played.sends.filter(send => send.poison === poison && send.at >= findFifth(poison) + contactMs);
				expect(late.length, `seed ${seed}, ${poison}`).toBeLessThanOrEqual(maxLateSends);
			});
			const from = Math.min(fifth, played.crashes.at(-1)?.at ?? 0) + (2 * contactMs);
			expect(computeBegunFraction(played, from, load.poisonUntil), `seed ${seed}`).toBeGreaterThanOrEqual(computeBegunFraction(played, 0, poisonFrom) / 2);
			expect(played.changes.filter(({part}) => sharedParts.includes(part)), `seed ${seed}`).toEqual([]);
		});
	});

	test('are rejected at once as not run, with a time to come back', () => {
		const {refusals, crashes} = playLoad(poisonLoad, 1, 20_000);
		const late = refusals.filter(({at, isPoison}) => isPoison && at >= crashes[4]!.at + contactMs);
		expect(late.length).toBeGreaterThan(20);
		expect(late.every(({retryAfter}) => retryAfter !== undefined && retryAfter > 0)).toBe(true);
	});
});

describe('the parts that requests share with those on which endpoints crash', () => {
	test.each<[string, Partial<Load>]>([
		['at four routers', {}],
		['among other crashes', {otherCrashEveryMs: 3000}],
		['with few requests', {soundPerSecond: 25, poisonPerSecond: 2}],
	])('are not condemned: %s', (_, fields) => {
		[1, 2, 3, 4, 5, 6].forEach(seed => {
			const {changes} = playLoad({...poisonLoad, ...fields}, seed, 20_000);
			expect([...new Set(changes.map(({part}) => part))], `seed ${seed}`).toEqual(['x']);
		});
	});
});

describe('crashes that no part explains condemn nothing', () => {
	const soundLoad: Load = {...poisonLoad, poisonPerSecond: 0};

	test.each<[string, Load]>([
		['single ones', {...soundLoad, otherCrashEveryMs: 2000}],
		['one after the other', {...soundLoad, otherCrashEveryMs: 400}],
		['half of the endpoints at once', {...soundLoad, massCrash: {count: 6, at: 6000}}],
		['all endpoints at once', {...soundLoad, massCrash: {count: 12, at: 6000}}],
		['with many requests', {...soundLoad, soundPerSecond: 300, otherCrashEveryMs: 700}],
	])('%s', (_, load) => {
		[1, 2, 3, 4, 5, 6].forEach(seed => {
			expect(playLoad(load, seed, 16_000).changes, `seed ${seed}`).toEqual([]);
		});
	});
});

describe('a verdict', () => {
	test('ends once the part is sound', () => {
		const mendedAt = 15_000;
		const {sends, states} = playLoad({...poisonLoad, mendedAt, poisonUntil: 60_000}, 1, 60_000);
		expect(sends.filter(({isPoison, at}) => isPoison && at >= 50_000).length).toBeGreaterThan(20);
		expect(states.every(({poison}) => poison.verdicts.isEmpty())).toBe(true);
	});

	test('ends without requests that could test it', () => {
		const {states} = playLoad({...poisonLoad, poisonUntil: 12_000}, 1, 140_000);
		expect(states.every(({poison}) => poison.verdicts.isEmpty() && poison.crashes.isEmpty())).toBe(true);
	});

	test('is tested by few requests of all routers while endpoints still crash', () => {
		const {sends, crashes} = playLoad({...poisonLoad, poisonUntil: 100_000}, 1, 100_000);
		expect(sends.filter(({isPoison, at}) => isPoison && at >= crashes[4]!.at + contactMs).length).toBeLessThanOrEqual(maxLateSends);
	});
});

test('what routers keep and tell each other of crashes is bounded', () => {
	const {states, maxMessageBytes} = playLoad({
		...poisonLoad, poisonPerSecond: 0, soundPerSecond: 300, otherCrashEveryMs: 100,
	}, 1, 12_000);
	expect(maxMessageBytes).toBeLessThan(8192);
	states.forEach(({poison}) => {
		expect(poison.crashes.size).toBeLessThanOrEqual(64);
		expect(poison.unproven.length).toBeLessThanOrEqual(1024);
	});
});
