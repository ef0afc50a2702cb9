import {Map} from 'immutable';
import {describe, expect, test} from 'vitest';
import {
	removeStalePeers, recordPeerLoads, parseLoads, sumLoads,
} from './index.js';

const parseMessage = (router: string, loads: ReadonlyArray<readonly [string, number, number]>) => parseLoads(JSON.stringify({router, loads})).unwrap();

describe('the load of peers', () => {
	test('is summed by endpoint from the last message of each peer', () => {
		const messages = [parseMessage('a', [['i-1', 900, 2]]), parseMessage('b', [['i-1', 100, 1], ['i-2', 50, 1]]), parseMessage('a', [['i-1', 400, 1]])];
		const peers = messages.reduce<ReturnType<typeof recordPeerLoads>>((current, {router, loads}) => recordPeerLoads(current, router, loads, 0), Map());
		expect(sumLoads(peers).toJS()).toEqual({'i-1': {pending: 500, open: 2}, 'i-2': {pending: 50, open: 1}});
	});

	test('is ignored once the last message is too old', () => {
		const {router, loads} = parseMessage('a', [['i-1', 900, 2]]);
		const peers = recordPeerLoads(Map(), router, loads, 1000);
		expect(removeStalePeers(peers, 1400).size).toBe(1);
		expect(removeStalePeers(peers, 1501).size).toBe(0);
	});

	test.each([
		['invalid JSON', '{'],
		['no router', '{"loads":[]}'],
		['a negative number', '{"router":"a","loads":[["i",-1,0]]}'],
		['a number as text', '{"router":"a","loads":[["i","1",0]]}'],
	])('is refused with %s', (_, text) => {
		expect(parseLoads(text).err).toBe(true);
	});
});
