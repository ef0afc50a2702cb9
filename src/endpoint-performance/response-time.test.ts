import {expect, test} from 'vitest';
import {isExact, selectTime} from './index.js';

test.each([
	['a time within the bounds is the usual one', {minMs: 50, maxMs: 400}, 100],
	['an endpoint that took longer at least is slow', {minMs: 300, maxMs: 400}, 300],
	['an endpoint that took less at the most is fast', {minMs: 20, maxMs: 60}, 60],
])('%s', (_, time, expected) => {
	expect(selectTime(time, 100)).toBe(expected);
});

test('rates are learned from exact times only', () => {
	expect([isExact({minMs: 100, maxMs: 100}), isExact({minMs: 100, maxMs: 300})]).toEqual([true, false]);
});
