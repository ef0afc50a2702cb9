import {describe, expect, test} from 'vitest';
import type {Route} from '../catalog/index.js';
import {createFlight} from '../flight/index.js';
import type {Flight} from '../flight/index.js';
import {createRandom} from '../random/index.js';
import {
	decideDispatch, decideIntake, orderWaiting, suggestReturn,
} from './index.js';
import type {DispatchQuery} from './index.js';

const route: Route = {
	name: 'r', host: 'h', prefix: '/', kind: 'stream', timeout: 5000, target: 500, priority: 1, services: [{name: 's', weight: 1}],
	maxAttempts: 2, isAnonymous: false, isResumable: true, pauseTarget: 200,
};

const arrive = (id: number, arrivedAt: number, tokens = 4000, target = 500): Flight => createFlight({
	id,
	head: {
		key: String(id), method: 'POST', url: '/', host: 'h', apiKey: undefined, patience: 5000, work: {
			model: 'm', promptTokens: tokens, maxOutput: 50, parts: [],
		}, resumeAfter: undefined, passedOn: [],
	},
	route: {...route, target},
	service: 's',
	organisation: 'o',
	budget: undefined,
	priority: 1,
	cost: 0,
	arrivedAt,
	expiresAt: arrivedAt + 5000,
});

/** Tokens that an endpoint of this model reads in a ms, one prompt after the other. */
const rate = 57;
const base = 85;
const endpoints = 5;

type Policy = (query: DispatchQuery) => 'send' | 'wait' | 'refuse';

type Result = Readonly<{asked: number; timely: number; late: number; refused: number; longestHold: number}>;

/** Plays twenty seconds of Poisson arrivals, at a multiple of what the endpoints can read. */
const play = (policy: Policy, load: number, seed: number): Result => {
	const random = createRandom(seed);
	const busyUntil = Array.from({length: endpoints}, () => 0);
	const meanTokens = 4000;
	const gap = meanTokens / (rate * endpoints * load);
	let waiting: readonly Flight[] = [];
	const result = {
		asked: 0, timely: 0, late: 0, refused: 0, longestHold: 0,
	};
	const place = (flight: Flight, now: number): boolean => {
		const tokens = flight.head.work?.promptTokens ?? 0;
		const best = busyUntil.indexOf(Math.min(...busyUntil));
		const unhindered = base + (tokens / rate);
		const predicted = Math.max(0, busyUntil[best]! - now) + unhindered;
		const dispatch = policy({
			flight, predicted, unhindered, waiting: waiting.length, endpoints, now,
		});
		if (dispatch === 'wait') {
			return false;
		}

		if (dispatch === 'refuse') {
			result.refused += 1;
			result.longestHold = Math.max(result.longestHold, now - flight.arrivedAt);
			return true;
		}

		busyUntil[best] = Math.max(now, busyUntil[best]!) + (tokens / rate);
		const first = now + predicted - flight.arrivedAt;
		result.timely += first <= flight.route.target ? 1 : 0;
		result.late += first > flight.route.target && first <= 5000 ? 1 : 0;
		return true;
	};

	let next = 0;
	Array.from({length: 20_000}, (_, now) => now).forEach(now => {
		if (now >= next) {
			next += -Math.log(1 - random.draw()) * gap;
			result.asked += 1;
			const flight = arrive(result.asked, now, 1000 + random.pick(6000));
			waiting = place(flight, now) ? waiting : [...waiting, {...flight, phase: 'queued'}];
		}

		if (now % 20 === 0) {
			waiting = orderWaiting(waiting).filter(flight => !place(flight, now));
		}
	});
	return result;
};

const sendAlways: Policy = () => 'send';

describe('endpoints that cannot read prompts as fast as they come', () => {
	test.each([[1.3, 1], [1.6, 2], [2, 3]])('at %d times their rate, most of what they can read is on time', (load, seed) => {
		const before = play(sendAlways, load, seed);
		const after = play(decideDispatch, load, seed);
		expect(before.timely / before.asked).toBeLessThan(0.3);
		expect(after.timely / after.asked).toBeGreaterThan(0.7 / load);
	});

	test('a call that is turned away hears so at once, or well before its time is over', () => {
		const {longestHold} = play(decideDispatch, 2, 4);
		expect(longestHold).toBeLessThanOrEqual(3020);
	});

	test('below their rate nobody is turned away', () => {
		expect(play(decideDispatch, 0.6, 5).refused).toBe(0);
	});
});

describe('waiting calls', () => {
	test('go by priority, then by target, then by arrival', () => {
		const flights = [arrive(1, 0, 1, 900), {...arrive(2, 10), priority: 0}, arrive(3, 20, 1, 300), arrive(4, 20, 1, 300)];
		expect(orderWaiting(flights).map(flight => flight.id)).toEqual([2, 3, 4, 1]);
	});
});

describe('the time after which a caller comes back', () => {
	test.each([[0, 0], [100, 0.9], [4000, 0.5], [60_000, 0.999]])('with %d ms left is bounded and spread', (remaining, random) => {
		const seconds = suggestReturn(remaining, random);
		expect(seconds).toBeGreaterThanOrEqual(0.2);
		expect(seconds).toBeLessThanOrEqual(1.5);
		expect(suggestReturn(8000, 0.1)).not.toBe(suggestReturn(8000, 0.9));
	});
});

describe('a process that is behind', () => {
	test.each([[0, 'take'], [99, 'take'], [150, 'check'], [399, 'check'], [400, 'refuse'], [5000, 'refuse']])('by %d ms: %s', (lag, intake) => {
		expect(decideIntake(lag, false)).toBe(intake);
	});

	test.each([[0, 'check'], [399, 'check'], [400, 'refuse']] as const)('the first request of a connection, %i ms behind: %s', (lag, intake) => {
		expect(decideIntake(lag, true)).toBe(intake);
	});

	/** A second of work is worth 500 calls; callers that hear nothing within a second leave, and ask again twice at once. */
	const playFlood = (decide: typeof decideIntake) => Array.from({length: 400}).reduce<Readonly<{backlog: number; inVain: number}>>(({backlog, inVain}) => {
		const lag = backlog * 2;
		const arrivals = lag > 1000 ? 15 : 6;
		const isRefused = decide(lag, false) === 'refuse';
		// A refusal takes a quarter of the work of a call.
		const work = isRefused ? arrivals / 4 : arrivals;
		return {backlog: Math.max(0, backlog + work - 5), inVain: inVain + (lag > 1000 && !isRefused ? arrivals : 0)};
	}, {backlog: 400, inVain: 0});

	test('catches up, where one that takes all in works for callers that have gone', () => {
		expect(playFlood(() => 'take').inVain).toBeGreaterThan(1000);
		const flood = playFlood(decideIntake);
		expect(flood.inVain).toBe(0);
		expect(flood.backlog * 2).toBeLessThan(1000);
	});
});
