import {describe, expect, test} from 'vitest';
import {createInFlightRequest} from '../in-flight/index.js';
import type {InFlightRequest} from '../in-flight/index.js';
import {createRandom} from '../random/index.js';
import {decideDispatch, orderQueue} from '../queue/index.js';
import {
	computeDispatchBound, emptyDemand, findFirstArrival, isSurging, recordOffered, recordRejected, recordSent,
} from './index.js';
import type {Candidate, Demand} from './index.js';

/** A kind of request: an urgent one with a short prompt, and a less urgent one with a long prompt and a long target. */
const kinds = [
	{
		priority: 0, targetMs: 800, timeLimitMs: 4000, tokens: 2400,
	},
	{
		priority: 2, targetMs: 2000, timeLimitMs: 5000, tokens: 9000,
	},
] as const;

type Arrival = Readonly<{at: number; kind: 0 | 1; organisation: string}>;

const createRequest = (id: number, {at, kind, organisation}: Arrival): InFlightRequest => {
	const {priority, targetMs, timeLimitMs} = kinds[kind];
	return createInFlightRequest({
		id,
		head: {
			key: String(id), method: 'POST', url: '/', host: 'h', apiKey: undefined, clientTimeoutMs: timeLimitMs, modelRequest: undefined,
			resumeAfter: undefined, resumedKey: undefined, forwardedHeaders: [],
		},
		fingerprint: `f${id}`,
		route: {
			name: `r${kind}`, host: 'h', prefix: '/', kind: 'stream', timeout: timeLimitMs, targetMs, priority, services: [{name: 's', weight: 1}],
			maxAttempts: 1, isAnonymous: false, isResumable: false, eventGapTargetMs: 800,
		},
		service: 's', organisation, budget: undefined, priority, maxCostTokens: 0, arrivedAt: at, unreadMs: 0, phaseAt: at, expiresAt: at + timeLimitMs,
	});
};

const tokensPerMs = 36;
const idleFirstOutputMs = 85;
const endpointCount = 4;

/** Number of arrived and of on-time requests. */
type Tally = Readonly<{arrived: number; onTime: number}>;

/** Replays arrivals at endpoints that process one prompt after the other; returns tallies by a key of the arrivals. */
const replay = (arrivals: readonly Arrival[], isPrioritized: boolean, getKey: (arrival: Arrival) => string): Readonly<Record<string, Tally>> => {
	const busyUntil = Array.from({length: endpointCount}, () => 0);
	const tallies: Record<string, Tally> = {};
	const add = (arrival: Arrival, added: Tally) => {
		const known = tallies[getKey(arrival)] ?? {arrived: 0, onTime: 0};
		tallies[getKey(arrival)] = {arrived: known.arrived + added.arrived, onTime: known.onTime + added.onTime};
	};

	let demand: Demand = emptyDemand;
	let waiting: readonly InFlightRequest[] = [];
	const tryPlace = (request: InFlightRequest, now: number): boolean => {
		const arrival = arrivals[request.id]!;
		const candidate: Candidate = {
			service: 's', priority: request.priority, organisation: request.organisation, targetMs: request.route.targetMs,
		};
		const workMs = kinds[arrival.kind].tokens / tokensPerMs;
		const best = busyUntil.indexOf(Math.min(...busyUntil));
		const predictedIdleMs = idleFirstOutputMs + workMs;
		const predicted = Math.max(0, busyUntil[best]! - now) + predictedIdleMs;
		const dispatch = decideDispatch({
			request, predicted, predictedIdleMs, waiting: waiting.length, endpointCount, now,
			dispatchBoundMs: isPrioritized ? computeDispatchBound(demand, candidate, now) : undefined,
		});
		if (dispatch !== 'send') {
			return dispatch === 'refuse';
		}

		busyUntil[best] = Math.max(now, busyUntil[best]!) + workMs;
		demand = recordSent(demand, candidate, now);
		add(arrival, {arrived: 0, onTime: now + predicted - request.arrivedAt <= request.route.targetMs ? 1 : 0});
		return true;
	};

	let next = 0;
	Array.from({length: Math.ceil(arrivals.at(-1)!.at) + 1}, (_, now) => now).forEach(now => {
		while (next < arrivals.length && arrivals[next]!.at <= now) {
			const request = createRequest(next, arrivals[next]!);
			demand = recordOffered(demand, {
				service: 's', priority: request.priority, organisation: request.organisation, targetMs: request.route.targetMs,
			}, now);
			add(arrivals[next]!, {arrived: 1, onTime: 0});
			waiting = tryPlace(request, now) ? waiting : [...waiting, {...request, phase: 'queued'}];
			next += 1;
		}

		if (now % 20 === 0) {
			waiting = orderQueue(waiting).filter(request => !tryPlace(request, now));
		}
	});
	return tallies;
};

/** Creates Poisson arrivals of one kind and organisation, with a rate per second that depends on the time in s. */
const createArrivals = (seed: number, kind: Arrival['kind'], organisation: string, getRate: (second: number) => number): readonly Arrival[] => {
	const random = createRandom(seed);
	return Array.from({length: 20_000}, (_, at) => at).filter(at => random.draw() < getRate(at / 1000) / 1000).map(at => ({at, kind, organisation}));
};

const mergeArrivals = (...lists: ReadonlyArray<readonly Arrival[]>): readonly Arrival[] => lists.flat().toSorted((a, b) => a.at - b.at);

const computeFraction = ({arrived, onTime}: Tally): number => onTime / arrived;

// Guards against urgent requests that are late because endpoints are filled with less urgent ones that may wait longer.
describe.each([11, 12, 13])('a burst of less urgent requests, seed %d', seed => {
	// Endpoints process about 16 long prompts a second.
	const arrivals = mergeArrivals(createArrivals(seed, 0, 'o', () => 25), createArrivals(seed + 100, 1, 'o', second => second > 4 && second < 15 ? 20 : 5));

	test('delays urgent ones without admission control', () => {
		expect(computeFraction(replay(arrivals, false, ({kind}) => String(kind))['0']!)).toBeLessThan(0.8);
	});

	test('does not delay urgent ones, and starves no class', () => {
		const tallies = replay(arrivals, true, ({kind}) => String(kind));
		const all = computeFraction({arrived: tallies['0']!.arrived + tallies['1']!.arrived, onTime: tallies['0']!.onTime + tallies['1']!.onTime});
		expect(computeFraction(tallies['0']!)).toBeGreaterThan(0.9);
		expect(computeFraction(tallies['0']!)).toBeGreaterThanOrEqual(computeFraction(tallies['1']!));
		expect(computeFraction(tallies['1']!)).toBeGreaterThan(all / 4);
	});
});

// Guards against requests that are held back although there is room for all.
test('below the rate of the endpoints all requests are on time', () => {
	const arrivals = mergeArrivals(createArrivals(21, 0, 'o', () => 15), createArrivals(22, 1, 'o', () => 5));
	const tallies = replay(arrivals, true, ({kind}) => String(kind));
	expect(computeFraction(tallies['0']!)).toBeGreaterThan(0.99);
	expect(computeFraction(tallies['1']!)).toBeGreaterThan(0.97);
});

// Guards against one organisation that takes the capacity of the others by sending more.
test('an organisation at seven times its usual rate does not take the room of another one', () => {
	const arrivals = mergeArrivals(
		createArrivals(31, 0, 'usual', () => 20),
		createArrivals(32, 0, 'surging', second => second > 8 && second < 15 ? 105 : 15),
	);
	const before = replay(arrivals, false, ({organisation}) => organisation);
	const after = replay(arrivals, true, ({organisation}) => organisation);
	expect(computeFraction(after.usual!)).toBeGreaterThan(0.9);
	expect(computeFraction(after.usual!)).toBeGreaterThan(computeFraction(before.usual!));
	expect(computeFraction(after.surging!)).toBeGreaterThan(0.25 * computeFraction(after.usual!));
});

describe('a surge', () => {
	const record = (rates: ReadonlyArray<Readonly<{untilMs: number; intervalMs: number}>>) => rates.reduce((state, {untilMs, intervalMs}) => {
		const count = Math.floor((untilMs - state.now) / intervalMs);
		const demand = Array.from({length: count}, (_, index) => state.now + (index * intervalMs)).reduce((current, now) => recordOffered(current, {
			service: 's', priority: 0, organisation: 'o', targetMs: 800,
		}, now), state.demand);
		return {demand, now: untilMs};
	}, {demand: emptyDemand, now: 0});

	test('is noticed at several times the usual rate, and not at a steady one', () => {
		const steady = record([{untilMs: 20_000, intervalMs: 100}]);
		expect(isSurging(steady.demand, 'o', steady.now)).toBe(false);
		const surging = record([{untilMs: 18_000, intervalMs: 100}, {untilMs: 20_000, intervalMs: 20}]);
		expect(isSurging(surging.demand, 'o', surging.now)).toBe(true);
	});

	test('is not concluded from the first seconds of a process', () => {
		const started = record([{untilMs: 3000, intervalMs: 100}, {untilMs: 5000, intervalMs: 10}]);
		expect(isSurging(started.demand, 'o', started.now)).toBe(false);
	});
});

// Guards against clients that are rejected again while new ones are served.
test('a request that comes back after a rejection goes before new ones of its class', () => {
	const demand = recordRejected(emptyDemand, 'f', 100, 150);
	const firstArrivedAt = findFirstArrival(demand, 'f', 1000)!;
	const create = (id: number) => createRequest(id, {at: 1000, kind: 0, organisation: 'o'});
	const urgent = create(1);
	const returning = {...create(3), firstArrivedAt};
	const late = {...create(2), priority: 2};
	expect(orderQueue([late, urgent, returning]).map(({id}) => id)).toEqual([3, 1, 2]);
	expect(findFirstArrival(demand, 'f', 10_000)).toBeUndefined();
});
