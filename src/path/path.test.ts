import {expect, test} from 'vitest';
import {createPaths, learnPath, orderPaths} from './index.js';

const own = '10.200.1.7:8223';
const relays = ['10.1.0.9:8229', '10.2.0.9:8229'];

test('the store is called directly while that works', () => {
	const paths = learnPath(createPaths(own, relays), own, true, 5);
	expect(orderPaths(paths, 10)).toEqual([own, ...relays]);
});

test('a router that is cut off for eight seconds goes by a relay, and looks for its own way only at times', () => {
	const lookEach = 100;
	const tries = Array.from({length: 80}, (_, index) => index * lookEach).reduce((state, now) => {
		const [first = ''] = orderPaths(state.paths, now);
		return {paths: learnPath(state.paths, first, first !== own, now), own: state.own + (first === own ? 1 : 0)};
	}, {paths: createPaths(own, relays), own: 0});
	expect(tries.own).toBeLessThanOrEqual(5);
	expect(orderPaths(tries.paths, 8000 + 4000)[0]).toBe(own);
	expect(orderPaths(learnPath(tries.paths, own, true, 12_000), 12_001)[0]).toBe(own);
});

test('relays that fail are passed over', () => {
	const cut = learnPath(learnPath(createPaths(own, relays), own, false, 0), relays[0]!, false, 0);
	expect(orderPaths(cut, 1)).toEqual([relays[1], own, relays[0]]);
});

test('with every way resting the one that rests the shortest is tried first', () => {
	const paths = [own, ...relays, own].reduce((current, address, index) => learnPath(current, address, false, index), createPaths(own, relays));
	expect(orderPaths(paths, 10)).toEqual([relays[0], relays[1], own]);
});

test('a relay at the store\'s own address is not tried twice', () => {
	expect(orderPaths(createPaths(own, [own, relays[0]!, relays[0]!]), 0)).toEqual([own, relays[0]]);
});
