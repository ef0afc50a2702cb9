import {Map} from 'immutable';
import {describe, expect, test} from 'vitest';
import {emptyRegistry} from '../registry/index.js';
import {
	addPromptNews, encodeLoads, isToldSeldom, removeStalePeers, recordPeerLoads, parseLoads, sumLoads,
} from './index.js';
import type {PromptNews} from './index.js';

const parseMessage = (router: string, loads: ReadonlyArray<readonly [string, number, number]>) => parseLoads(JSON.stringify({router, loads})).unwrap();

describe('the load of peers', () => {
	test('is summed by endpoint from the last message of each peer', () => {
		const messages = [parseMessage('a', [['i-1', 900, 2]]), parseMessage('b', [['i-1', 100, 1], ['i-2', 50, 1]]), parseMessage('a', [['i-1', 400, 1]])];
		const peers = messages.reduce<ReturnType<typeof recordPeerLoads>>((current, message) => recordPeerLoads(current, message, 0), Map());
		expect(sumLoads(peers).toJS()).toEqual({'i-1': {pending: 500, open: 2}, 'i-2': {pending: 50, open: 1}});
	});

	test('is ignored once the last message is too old', () => {
		const peers = recordPeerLoads(Map(), parseMessage('a', [['i-1', 900, 2]]), 1000);
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

test.each([
	['in the same data centre', 'a', 26, false],
	['in another one', 'b', 26, true],
	['in another one, of few peers', 'b', 3, false],
	['in one that is not known yet', undefined, 26, false],
])('a peer %s is told as often as it should be', (_, dataCentre, peerCount, expected) => {
	expect(isToldSeldom({dataCentre}, 'a', peerCount)).toBe(expected);
});

describe('news of prompt parts', () => {
	const endpoint = {
		id: 'i-1', startedAt: 5, address: 'a:1', service: 's',
	};

	test('tell of the large parts that other requests may share', () => {
		const news = addPromptNews([], endpoint, [{id: 'group', tokens: 2000}, {id: 'small', tokens: 20}, {id: 'own', tokens: 3000}]);
		expect(news).toEqual([{endpoint: 'i-1', startedAt: 5, part: 'group'}]);
		expect(parseLoads(encodeLoads({router: 'a', registry: emptyRegistry, promptNews: news}, 0)).unwrap().promptNews).toEqual(news);
	});

	test('are bounded, and lost first where they are oldest', () => {
		const news = Array.from({length: 300}).reduce<readonly PromptNews[]>((known, _, index) =>
			addPromptNews(known, endpoint, [{id: `p${index}`, tokens: 500}, {id: 'own', tokens: 1}]), []);
		expect(news).toHaveLength(100);
		expect(news.at(-1)?.part).toBe('p299');
	});
});
