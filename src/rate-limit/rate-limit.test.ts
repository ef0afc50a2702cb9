import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {
	adoptStatement, canSend, computeNextSendAt, computeShare, listStatements, setShare, spendCredit, unlimited,
} from './index.js';
import type {RateLimit} from './index.js';

const listRouters = (count: number) => Array.from({length: count}, (_, index) => `r${index}`);

const createLimit = (requestsPerSecond: number, routers: number, now = 0): RateLimit =>
	setShare(adoptStatement(unlimited, {requestsPerSecond, statedAt: now, isFirstHand: true}, now), 'e', 'r0', listRouters(routers), now);

test('the shares of any number of routers add up to the limit', () => {
	fc.assert(fc.property(fc.integer({min: 1, max: 300}), fc.double({min: 0, max: 1000, noNaN: true}), (count, limit) => {
		const routers = listRouters(count);
		const total = routers.reduce((sum, router) => sum + computeShare(limit, 'e', router, routers), 0);
		expect(total).toBeCloseTo(limit, 6);
	}), {numRuns: 50, seed: 1});
});

test('routers that always have requests stay within a limit, also at once after a pause', () => {
	fc.assert(fc.property(fc.integer({min: 1, max: 40}), fc.double({min: 0.2, max: 200, noNaN: true}), (count, requestsPerSecond) => {
		const routers = listRouters(count);
		const stated = adoptStatement(unlimited, {requestsPerSecond, statedAt: 0, isFirstHand: true}, 0);
		// A pause of 5 s, in which credits accrue, and then requests in each ms of a window of 4 s.
		const sent = routers.reduce((sum, router) => sum + Array.from({length: 4000}, (_, index) => 5000 + index).reduce(
			({limit, sends}, now) => canSend(limit, now) ? {limit: spendCredit(limit, now), sends: sends + 1} : {limit, sends},
			{limit: setShare(stated, 'e', router, routers, 0), sends: 0},
		).sends, 0);
		expect(sent).toBeLessThanOrEqual((1.5 * requestsPerSecond * 4) + 5);
	}), {numRuns: 20, seed: 1});
});

describe('a limit', () => {
	test('begins without credits', () => {
		expect(canSend(createLimit(4, 1), 0)).toBe(false);
		expect(computeNextSendAt(createLimit(4, 1), 0)).toBe(250);
	});

	test('of nothing lets no request through', () => {
		expect(computeNextSendAt(createLimit(0, 1), 5000)).toBe(Number.POSITIVE_INFINITY);
	});

	test('that nobody confirms is asked about after a while', () => {
		expect(computeNextSendAt(createLimit(0, 1), 10_001)).toBeLessThan(20_000);
	});

	test('is not replaced by an older statement', () => {
		const limit = createLimit(4, 1, 1000);
		expect(adoptStatement(limit, {requestsPerSecond: undefined, statedAt: 999, isFirstHand: false}, 1001)).toBe(limit);
	});

	test('keeps its credits when it changes', () => {
		const changed = setShare(adoptStatement(createLimit(4, 1), {requestsPerSecond: 2, statedAt: 1000, isFirstHand: true}, 1000), 'e', 'r0', ['r0'], 1000);
		expect(canSend(changed, 1000)).toBe(true);
	});
});

describe('peers are told', () => {
	const ended = adoptStatement(createLimit(4, 1), {requestsPerSecond: undefined, statedAt: 500, isFirstHand: true}, 500);

	test.each<[string, RateLimit, number, boolean]>([
		['of a limit', createLimit(4, 1), 100, true],
		['that a limit has ended', ended, 600, true],
		['nothing of an endpoint that never had a limit', adoptStatement(unlimited, {requestsPerSecond: undefined, statedAt: 0, isFirstHand: true}, 0), 100, false],
		['nothing that a peer told', {...createLimit(4, 1), isFirstHand: false}, 100, false],
		['nothing old', createLimit(4, 1), 10_001, false],
	])('%s', (_, limit, now, isTold) => {
		expect(listStatements([['e', limit]], now)).toHaveLength(isTold ? 1 : 0);
	});
});
