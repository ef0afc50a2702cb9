import {Map} from 'immutable';
import {describe, expect, test} from 'vitest';
import {
	dropSilent, hearLoads, parseLoads, sumLoads,
} from './index.js';

const say = (router: string, loads: ReadonlyArray<readonly [string, number, number]>) => parseLoads(JSON.stringify({router, loads})).unwrap();

describe('what peers have under way', () => {
	test('is summed by endpoint, and the last word of each peer counts', () => {
		const said = [say('a', [['i-1', 900, 2]]), say('b', [['i-1', 100, 1], ['i-2', 50, 1]]), say('a', [['i-1', 400, 1]])];
		const peers = said.reduce<ReturnType<typeof hearLoads>>((heard, {router, loads}) => hearLoads(heard, router, loads, 0), Map());
		expect(sumLoads(peers).toJS()).toEqual({'i-1': {pending: 500, open: 2}, 'i-2': {pending: 50, open: 1}});
	});

	test('no longer counts once a peer is silent', () => {
		const {router, loads} = say('a', [['i-1', 900, 2]]);
		const peers = hearLoads(Map(), router, loads, 1000);
		expect(dropSilent(peers, 1400).size).toBe(1);
		expect(dropSilent(peers, 1501).size).toBe(0);
	});

	test.each([
		['no JSON', '{'],
		['no router', '{"loads":[]}'],
		['a negative figure', '{"router":"a","loads":[["i",-1,0]]}'],
		['a figure as text', '{"router":"a","loads":[["i","1",0]]}'],
	])('is refused with %s', (_, text) => {
		expect(parseLoads(text).err).toBe(true);
	});
});
