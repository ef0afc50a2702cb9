import {describe, expect, test} from 'vitest';
import type {Route} from '../routing-config/index.js';
import {createInFlightRequest} from '../in-flight/index.js';
import type {InFlightRequest} from '../in-flight/index.js';
import {createRandom} from '../random/index.js';
import {
	decideDispatch, decideAdmission, orderQueue, suggestRetryAfter,
} from './index.js';
import type {DispatchQuery} from './index.js';

const route: Route = {
	name: 'r', host: 'h', prefix: '/', kind: 'stream', timeout: 5000, targetMs: 500, priority: 1, services: [{name: 's', weight: 1}],
	maxAttempts: 2, isAnonymous: false, isResumable: true, eventGapTargetMs: 200,
};

const createRequest = (id: number, arrivedAt: number, tokens = 4000, target = 500): InFlightRequest => createInFlightRequest({
	id,
	head: {
		key: String(id), method: 'POST', url: '/', host: 'h', apiKey: undefined, clientTimeoutMs: 5000, modelRequest: {
			model: 'm', promptTokens: tokens, maxOutputTokens: 50, parts: [],
		}, resumeAfter: undefined, resumedKey: undefined, forwardedHeaders: [],
	},
	fingerprint: `f${id}`,
	route: {...route, targetMs: target},
	service: 's',
	organisation: 'o',
	budget: undefined,
	priority: 1,
	maxCostTokens: 0,
	arrivedAt,
	unreadMs: 0,
	phaseAt: arrivedAt,
	expiresAt: arrivedAt + 5000,
});

/** Prompt tokens that a simulated endpoint processes per ms, one prompt at a time. */
const tokensPerMs = 57;
const idleFirstOutputMs = 85;
const endpointCount = 5;

type DispatchPolicy = (query: DispatchQuery) => 'send' | 'wait' | 'refuse';

type Result = Readonly<{arrived: number; onTime: number; late: number; refused: number; longestWaitMs: number}>;

/** Simulates 20 s of Poisson arrivals at a multiple of the rate that the endpoints can process. */
const simulate = (policy: DispatchPolicy, loadFactor: number, seed: number): Result => {
	const random = createRandom(seed);
	const busyUntil = Array.from({length: endpointCount}, () => 0);
	const meanTokens = 4000;
	const meanIntervalMs = meanTokens / (tokensPerMs * endpointCount * loadFactor);
	let waiting: readonly InFlightRequest[] = [];
	const result = {
		arrived: 0, onTime: 0, late: 0, refused: 0, longestWaitMs: 0,
	};
	const tryPlace = (request: InFlightRequest, now: number): boolean => {
		const tokens = request.head.modelRequest?.promptTokens ?? 0;
		const best = busyUntil.indexOf(Math.min(...busyUntil));
		const predictedIdleMs = idleFirstOutputMs + (tokens / tokensPerMs);
		const predicted = Math.max(0, busyUntil[best]! - now) + predictedIdleMs;
		const dispatch = policy({
			request, predicted, predictedIdleMs, waiting: waiting.length, endpointCount, now,
		});
		if (dispatch === 'wait') {
			return false;
		}

		if (dispatch === 'refuse') {
			result.refused += 1;
			result.longestWaitMs = Math.max(result.longestWaitMs, now - request.arrivedAt);
			return true;
		}

		busyUntil[best] = Math.max(now, busyUntil[best]!) + (tokens / tokensPerMs);
		const firstOutputMs = now + predicted - request.arrivedAt;
		result.onTime += firstOutputMs <= request.route.targetMs ? 1 : 0;
		result.late += firstOutputMs > request.route.targetMs && firstOutputMs <= 5000 ? 1 : 0;
		return true;
	};

	let next = 0;
	Array.from({length: 20_000}, (_, now) => now).forEach(now => {
		if (now >= next) {
			next += -Math.log(1 - random.draw()) * meanIntervalMs;
			result.arrived += 1;
			const request = createRequest(result.arrived, now, 1000 + random.pick(6000));
			waiting = tryPlace(request, now) ? waiting : [...waiting, {...request, phase: 'queued'}];
		}

		if (now % 20 === 0) {
			waiting = orderQueue(waiting).filter(request => !tryPlace(request, now));
		}
	});
	return result;
};

const sendAlways: DispatchPolicy = () => 'send';

describe('endpoints that cannot process prompts as fast as they arrive', () => {
	test.each([[1.3, 1], [1.6, 2], [2, 3]])('at %d times their rate, most of what they can process is on time', (loadFactor, seed) => {
		const before = simulate(sendAlways, loadFactor, seed);
		const after = simulate(decideDispatch, loadFactor, seed);
		expect(before.onTime / before.arrived).toBeLessThan(0.3);
		expect(after.onTime / after.arrived).toBeGreaterThan(0.7 / loadFactor);
	});

	test('a request is rejected at once, or well before its deadline', () => {
		const {longestWaitMs} = simulate(decideDispatch, 2, 4);
		expect(longestWaitMs).toBeLessThanOrEqual(3020);
	});

	test('below their rate no request is rejected', () => {
		expect(simulate(decideDispatch, 0.6, 5).refused).toBe(0);
	});
});

describe('queued requests', () => {
	test('are ordered by priority, then by target time, then by arrival', () => {
		const requests = [createRequest(1, 0, 1, 900), {...createRequest(2, 10), priority: 0}, createRequest(3, 20, 1, 300), createRequest(4, 20, 1, 300)];
		expect(orderQueue(requests).map(request => request.id)).toEqual([2, 3, 4, 1]);
	});
});

describe('the suggested retry time', () => {
	test.each([[0, 0], [100, 0.9], [4000, 0.5], [60_000, 0.999]])('with %d ms left is bounded and has jitter', (remaining, random) => {
		const seconds = suggestRetryAfter(remaining, random);
		expect(seconds).toBeGreaterThanOrEqual(0.2);
		expect(seconds).toBeLessThanOrEqual(1.5);
		expect(suggestRetryAfter(8000, 0.1)).not.toBe(suggestRetryAfter(8000, 0.9));
	});
});

describe('a process that lags behind its timers', () => {
	/** A request that was read at once. */
	const promptly = {
		lagMs: 0, unreadMs: 0, timeLimitMs: 5000, isFirstOnConnection: false,
	};

	test.each([[0, 'take'], [99, 'take'], [150, 'check'], [399, 'check'], [400, 'refuse'], [5000, 'refuse']])('by %d ms: %s', (lagMs, intake) => {
		expect(decideAdmission({...promptly, lagMs})).toBe(intake);
	});

	test.each([[0, 'check'], [399, 'check'], [400, 'refuse']] as const)('the first request of a connection, %i ms behind: %s', (lagMs, intake) => {
		expect(decideAdmission({...promptly, lagMs, isFirstOnConnection: true})).toBe(intake);
	});

	test.each([
		[0, 1200, 'take'], [99, 1200, 'take'], [100, 1200, 'check'], [1080, 1200, 'check'], [1081, 1200, 'refuse'], [1081, 5000, 'check'], [4501, 5000, 'refuse'],
	])('a request that was read after %i of its %i ms: %s', (unreadMs, timeLimitMs, intake) => {
		expect(decideAdmission({...promptly, unreadMs, timeLimitMs})).toBe(intake);
	});

	/** Simulates a process that serves 500 requests per second; clients that get no response within one second disconnect and retry twice at once. */
	const simulateRetryStorm = (decide: typeof decideAdmission) => Array.from({length: 400}).reduce<Readonly<{backlog: number; wasted: number}>>(({backlog, wasted: inVain}) => {
		const lagMs = backlog * 2;
		const arrivals = lagMs > 1000 ? 15 : 6;
		const isRefused = decide({...promptly, lagMs}) === 'refuse';
		// Rejecting a request costs a quarter of the work of serving it.
		const work = isRefused ? arrivals / 4 : arrivals;
		return {backlog: Math.max(0, backlog + work - 5), wasted: inVain + (lagMs > 1000 && !isRefused ? arrivals : 0)};
	}, {backlog: 400, wasted: 0});

	test('recovers by shedding, where admitting every request wastes work on disconnected clients', () => {
		expect(simulateRetryStorm(() => 'take').wasted).toBeGreaterThan(1000);
		const retryStorm = simulateRetryStorm(decideAdmission);
		expect(retryStorm.wasted).toBe(0);
		expect(retryStorm.backlog * 2).toBeLessThan(1000);
	});
});

test('a resumed stream is sent although it will be late: no endpoint of another version can serve it', () => {
	const query = {
		predicted: 2000, predictedIdleMs: 150, waiting: 100, endpointCount: 2, now: 0,
	};
	expect(decideDispatch({...query, request: createRequest(1, 0)})).toBe('refuse');
	expect(decideDispatch({...query, request: {...createRequest(1, 0), streamVersion: 'v1'}})).toBe('send');
});
