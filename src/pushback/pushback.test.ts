import {expect, test} from 'vitest';
import {
	computeReturnDelay, extendPushback, hasRoom, isAtRest, recordPushbackClose, recordPushbackSend, recordPushbackSuccess,
} from './index.js';

const routers = ['a', 'b', 'c', 'd'];

test('routers that were asked together return one after the other', () => {
	const delays = routers.map(router => computeReturnDelay(3000, 7, router, routers));
	expect(delays.toSorted((a, b) => a - b)).toEqual([0, 187.5, 375, 562.5]);
	expect(computeReturnDelay(3000, 7, 'a', ['a'])).toBe(0);
	expect(computeReturnDelay(3000, 7, 'a', [])).toBe(0);
	expect(Math.max(...routers.map(router => computeReturnDelay(86_400_000, 7, router, routers)))).toBeLessThan(1500);
});

test('a shorter rest does not end an earlier one', () => {
	const asked = extendPushback(extendPushback(undefined, 2000, 0), 500, 0);
	expect([1999, 2000].map(now => isAtRest(asked, now))).toEqual([true, false]);
});

test('requests return one by one, more with each response, and freely after a while', () => {
	const asked = extendPushback(undefined, 1000, 8);
	const sent = recordPushbackSend(asked);
	expect(hasRoom(asked, 1000)).toBe(true);
	expect(hasRoom(sent, 1000)).toBe(false);
	expect(hasRoom(sent, 11_000)).toBe(true);
	const responded = recordPushbackClose(recordPushbackSuccess(sent, 1000), 1000);
	const [one, two] = [recordPushbackSend(responded), recordPushbackSend(recordPushbackSend(responded))];
	expect([one, two].map(each => hasRoom(each, 1100))).toEqual([true, false]);
});

test('requests from before the rest neither take up room nor give any', () => {
	const asked = recordPushbackSend(extendPushback(undefined, 1000, 0));
	expect(recordPushbackClose(recordPushbackSuccess(asked, 999), 999)).toBe(asked);
});
