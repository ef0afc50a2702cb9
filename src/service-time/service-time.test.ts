import {Map} from 'immutable';
import {describe, expect, test} from 'vitest';
import {createRandom} from '../random/index.js';
import {boundServiceTime, recordServiceTime, retainServiceTimes} from './index.js';
import type {ServiceTimes} from './index.js';

const none: ServiceTimes = Map();

const record = (elapsed: readonly number[]) => elapsed.reduce((times, each) => recordServiceTime(times, 'r', each), none);

describe('the bound of the time that a request takes', () => {
	test('is infinite while none of its route has ended', () => {
		expect(boundServiceTime(none, 'r')).toBe(Number.POSITIVE_INFINITY);
		expect(boundServiceTime(retainServiceTimes(record([5]), new Set(['other'])), 'r')).toBe(Number.POSITIVE_INFINITY);
	});

	test('comes close to times that do not vary', () => {
		expect(boundServiceTime(record(Array.from({length: 100}, () => 200)), 'r')).toBeCloseTo(200);
	});

	test('is exceeded by few requests whose times vary', () => {
		const random = createRandom(7);
		const times = Array.from({length: 2000}, () => 100 + (random.draw() * 400));
		const late = times.filter((each, index) => index >= 100 && each > boundServiceTime(record(times.slice(index - 100, index)), 'r'));
		expect(late.length).toBeLessThan(20);
	});
});
