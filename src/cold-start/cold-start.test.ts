import {Map} from 'immutable';
import {describe, expect, test} from 'vitest';
import {
	adoptColdStatement, canSendCold, computeColdRate, defaultColdBounds, isCold, listPossibleRouters, recordSightings, spendColdCredit,
} from './index.js';
import type {ColdStatement, RouterQuery} from './index.js';

const query: RouterQuery = {
	live: ['a'], withRow: ['a', 'b', 'c'], rowsReadAt: 1000, startedAt: 0, now: 3000,
};

describe('the rate of a cold endpoint is divided among', () => {
	test.each<[string, Partial<RouterQuery>, readonly string[] | undefined]>([
		['nobody before the rows are read', {rowsReadAt: Number.NEGATIVE_INFINITY}, undefined],
		['nobody just after the start, as others that start along may have no row yet', {now: 1900}, undefined],
		['all that have a row, since all may have just restarted', {}, ['a', 'b', 'c']],
		['all that were known, while the store is away', {now: 500_000}, ['a', 'b', 'c']],
		['those that live, once their rows were read long after', {now: 40_000, rowsReadAt: 39_000}, ['a']],
	])('%s', (_, fields, routers) => {
		const first = recordSightings(Map(), query);
		const later = {...query, ...fields};
		expect(listPossibleRouters(recordSightings(first, later), later)).toEqual(routers);
	});
});

describe('a cold time', () => {
	const limits = {
		requestsPerSecond: 4, bounds: defaultColdBounds, rank: 0, routers: 1,
	};
	const createStatement = (remainingMs: number, fields: Partial<ColdStatement> = {}): ColdStatement => ({
		remainingMs, statedAt: 0, isFirstHand: true, canOnlyExtend: false, ...fields,
	});
	const cold = adoptColdStatement(undefined, createStatement(5000), limits, 0)!;

	test('begins without credits, and again so after it has ended', () => {
		expect([0, 240, 250].map(now => canSendCold(cold, now))).toEqual([false, false, true]);
		const again = adoptColdStatement(cold, createStatement(5000, {statedAt: 6000}), limits, 6000);
		expect(canSendCold(again, 6000)).toBe(false);
		expect(canSendCold(spendColdCredit(cold, 250), 499)).toBe(false);
	});

	test('that goes on gives no new credits', () => {
		const spent = spendColdCredit(cold, 250);
		expect(canSendCold(adoptColdStatement(spent, createStatement(4700, {statedAt: 300}), limits, 300), 300)).toBe(false);
	});

	test('is followed by a rate that doubles each second until it no longer limits', () => {
		expect([5000, 6000, 8000, 12_999, 13_000].map(now => Math.round(computeColdRate(cold, now)))).toEqual([4, 8, 32, 1023, Number.POSITIVE_INFINITY]);
	});

	test('that the endpoint has ended is not begun again by what a peer heard before', () => {
		const ended = adoptColdStatement(cold, createStatement(0, {statedAt: 1000}), limits, 1000);
		const told = adoptColdStatement(ended, createStatement(4000, {statedAt: 900, isFirstHand: false, canOnlyExtend: true}), limits, 1100);
		expect(isCold(told, 1100)).toBe(false);
		expect(computeColdRate(told, 2000)).toBe(8);
	});
});
