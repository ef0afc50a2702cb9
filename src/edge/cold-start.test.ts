import {describe, expect, test} from 'vitest';
import {endpointIds, playLoad} from '../../test/limit-play.js';
import type {Arrival, Load} from '../../test/limit-play.js';

/** Routers know of each other from 2 s after their start. */
const coldAt = 2200;
const durationMs = 4000;
const coldEnd = coldAt + durationMs;

/** Returns the highest number of requests at an endpoint in any second that begins and ends within the given times. */
const countMaxPerSecond = (arrivals: readonly Arrival[], endpoint: string, from: number, until: number): number => {
	const times = arrivals.filter(each => each.endpoint === endpoint && each.at >= from && each.at < until).map(({at}) => at);
	return Math.max(0, ...times.map(start => times.filter(at => at >= start && at < start + 1000).length));
};

const coldEntries = {at: coldAt, durationMs};

describe('cold endpoints get no more requests than the bounds allow from all routers together, in any second', () => {
	test.each<[string, Load, number]>([
		['many routers, and requests for many more', {
			routers: 26, requestsPerSecond: 440, endpoints: 2, coldPerSecond: 4, coldEntries,
		}, coldAt],
		['most requests at one router', {
			routers: 11, requestsPerSecond: 270, firstRouterFraction: 0.7, endpoints: 3, coldPerSecond: 12, coldEntries,
		}, coldAt],
		['a burst after a silence in which credits are saved', {
			routers: 26, requestsPerSecond: 0, burst: {count: 500, at: 5900}, endpoints: 2, coldPerSecond: 4, coldEntries,
		}, coldAt],
		['routers that neither hear of each other nor reach the store', {
			routers: 26, requestsPerSecond: 440, endpoints: 2, lostMessages: 1, storeSilentAt: coldAt, coldPerSecond: 4, coldEntries,
		}, coldAt],
		['less than a request per second', {
			routers: 26, requestsPerSecond: 440, endpoints: 2, coldPerSecond: 0.5, coldEntries,
		}, coldAt],
		['failing requests that are retried', {
			routers: 11, requestsPerSecond: 270, endpoints: 2, getFailedFraction: () => 0.5, coldPerSecond: 4, coldEntries,
		}, coldAt],
		['endpoints that turn cold without notice, of which most routers learn from peers', {
			routers: 26, requestsPerSecond: 440, coldPerSecond: 4, getColdMs: (_, at) => at >= coldAt && at < coldEnd ? coldEnd - at : undefined,
		}, coldAt + 500],
	])('%s', (_, load, from) => {
		const {arrivals} = playLoad(load, 1, coldEnd);
		endpointIds.forEach(id => {
			expect(countMaxPerSecond(arrivals, id, from, coldEnd), id).toBeLessThanOrEqual((1.5 * load.coldPerSecond!) + 5);
		});
	});
});

describe('endpoints that are cold', () => {
	const load: Load = {
		routers: 11, requestsPerSecond: 270, endpoints: 2, coldPerSecond: 4, coldEntries,
	};
	const {arrivals, outcomes} = playLoad(load, 1, coldEnd + 8000);
	const countPerSecond = (from: number) => arrivals.filter(({at}) => at >= from && at < from + 1000).length / 2;

	test('get most of what they take', () => {
		const average = arrivals.filter(({at}) => at >= coldAt + 1000 && at < coldEnd).length / 2 / 3;
		expect(average).toBeGreaterThan(0.7 * 4);
		expect(average).toBeLessThanOrEqual(4.5);
	});

	test('get more step by step afterwards, until they serve all', () => {
		const rates = [0, 1, 2, 3, 4, 7].map(second => countPerSecond(coldEnd + (second * 1000)));
		rates.slice(1, 5).forEach((rate, index) => {
			expect(rate / rates[index]!).toBeGreaterThan(1.3);
			expect(rate / rates[index]!).toBeLessThan(3);
		});
		expect(rates[5]).toBeGreaterThan(120);
	});

	test('turn the rest away at once, with a time to come back', () => {
		const refused = outcomes.filter(({kind, at}) => kind === 'refused' && at > coldAt && at < coldEnd);
		expect(refused.length).toBeGreaterThan(800);
		expect(refused.every(({retryAfter}) => retryAfter !== undefined && retryAfter > 0)).toBe(true);
	});
});
