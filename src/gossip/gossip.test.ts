import fc from 'fast-check';
import {Map} from 'immutable';
import {describe, expect, test} from 'vitest';
import {emptyRegistry} from '../registry/index.js';
import {decodeBySchema, decodeMessage} from './decode.js';
import {
	addPromptNews, choosePeers, encodeLoads, isToldSeldom, orderPeers, removeStalePeers, recordPeerLoads, replaceLoads, parseLoads, sumLoads,
} from './index.js';
import type {GossipPeer, PromptNews} from './index.js';

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
	['in one that is not known', undefined, 26, true],
	['in one that is not known, of few peers', undefined, 3, false],
])('a peer %s is told as often as it should be', (_, dataCentre, peerCount, expected) => {
	expect(isToldSeldom(dataCentre, 'a', peerCount)).toBe(expected);
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

test('what a router tells of its load is read by its peers', () => {
	const told = {
		isOverloaded: true, isPressed: true, isLeading: true, cores: 0.594, spareCores: 0.3,
	};
	expect(parseLoads(encodeLoads({router: 'a', registry: emptyRegistry, ...told}, 0)).unwrap()).toMatchObject(told);
});

describe('the fast decoding of messages', () => {
	const oddValues = [null, true, -1, 0.5, Number.POSITIVE_INFINITY, 'x', [], {}, ['i', 1, 1], ['i', null, 1, 2], ['i', 1, 'a:1', 's']];
	const valid = {
		router: 'a', dataCentre: 'z', overloaded: true, pressed: true, leading: true, cores: 0.594, spare: 0.5,
		loads: [['i', 1, 1], ['j', 0.5, 2]], limits: [['i', null, 3], ['j', 1, 2, 3]], leaving: [['i', 1, 'a:1', 's']], parts: [['i', 1, 'p']],
	};
	const fields = [...Object.keys(valid), 'crashes', 'proven', 'verdicts', 'trials', 'other'];

	test('accepts and refuses the same messages as the schema, with the same fault, whatever is wrong in them', () => {
		const odd = fc.constantFrom<unknown>(...oddValues);
		const value = fc.oneof(odd, fc.array(odd, {maxLength: 4}), fc.array(fc.array(odd, {maxLength: 5}), {maxLength: 2}));
		fc.assert(fc.property(fc.array(fc.tuple(fc.constantFrom(...fields), fc.option(value, {nil: undefined})), {maxLength: 3}), changes => {
			const message = {...valid, ...Object.fromEntries(changes)};
			expect(decodeMessage(message).val).toEqual(decodeBySchema(message).val);
		}), {seed: 6, numRuns: 3000});
	});

	test.each([[null], [[]], ['x'], [3]])('refuses %j as the schema does', message => {
		expect(decodeMessage(message).val).toEqual(decodeBySchema(message).val);
	});
});

const noPeers: ReturnType<typeof recordPeerLoads> = Map();

test('totals that follow each message are the sums of the last messages, so that a peer\'s old load does not stay', () => {
	const loads = fc.uniqueArray(fc.tuple(fc.constantFrom('i', 'j', 'k'), fc.nat(9), fc.nat(9)), {selector: ([id]) => id});
	fc.assert(fc.property(fc.array(fc.tuple(fc.constantFrom('a', 'b', 'c'), loads), {maxLength: 12}), messages => {
		const end = messages.reduce(({peers, totals}, [router, each]) => {
			const message = parseMessage(router, each);
			return {peers: recordPeerLoads(peers, message, 0), totals: replaceLoads(totals, peers.get(router)?.loads, message.loads)};
		}, {peers: noPeers, totals: sumLoads(noPeers)});
		expect(end.totals.toJS()).toEqual(sumLoads(end.peers).toJS());
	}), {seed: 6});
});

/** The data centres that each router has heard of, by router. */
type Heard = Map<string, Map<string, string>>;

describe('the choice of peers', () => {
	const fleet: ReadonlyArray<GossipPeer & Readonly<{dataCentre: string}>> = Array.from({length: 26}, (_, index) => ({
		router: `r${index}`, peerAddress: `10.0.0.${index}:1`, isLive: true, dataCentre: `z${index % 4}`,
	}));

	const listNeighbours = ({router, dataCentre}: typeof fleet[number]) => fleet.filter(each => each.router !== router && each.dataCentre === dataCentre).map(each => each.router).toSorted();

	test('makes all routers of a data centre tell each other often, and bounds what goes elsewhere, in a fleet that starts at once', () => {
		const rounds = Array.from({length: 13}, (_, round) => round);
		const chooseAt = ({router, dataCentre}: typeof fleet[number], heard: Heard, round: number) => choosePeers({
			ordered: orderPeers(router, fleet.filter(each => each.router !== router)), dataCentre, dataCentres: heard.get(router) ?? Map<string, string>(), round,
		});
		const listSent = (heard: Heard, round: number) => fleet.flatMap(sender => {
			const {often, seldom} = chooseAt(sender, heard, round);
			return [...often, ...seldom].map(({router}) => [router, sender] as const);
		});
		const known = rounds.reduce<Heard>((heard, round) => listSent(heard, round).reduce((current, [to, sender]) => current.setIn([to, sender.router], sender.dataCentre), heard), Map());
		fleet.forEach(sender => {
			const {often, seldom} = chooseAt(sender, known, 0);
			expect(often.map(({router}) => router).toSorted()).toEqual(listNeighbours(sender));
			expect(often.length + seldom.length).toBe(17);
		});
	});

	test('leaves room for other data centres in a large one, which must learn of crashes too', () => {
		const dataCentres = Map(fleet.map(({router}, index) => [router, index < 20 ? 'a' : 'b']));
		const {often, seldom} = choosePeers({
			ordered: fleet, dataCentre: 'a', dataCentres, round: 0,
		});
		// The last one is the one that is told in turn.
		expect([often.length, seldom.slice(0, -1).map(({router}) => dataCentres.get(router))]).toEqual([12, ['b', 'b', 'b', 'b']]);
	});
});
