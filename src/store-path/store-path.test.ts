import {expect, test} from 'vitest';
import {createStorePaths, recordPathResult, orderPaths} from './index.js';

const storeAddress = '10.200.1.7:8223';
const relays = ['10.1.0.9:8229', '10.2.0.9:8229'];

test('the store is called directly while its address answers', () => {
	const paths = recordPathResult(createStorePaths(storeAddress, relays), storeAddress, true, 5);
	expect(orderPaths(paths, 10)).toEqual([storeAddress, ...relays]);
});

test('a router cut off from the store for 8 s uses a relay, and retries the store directly only after back-off', () => {
	const tryIntervalMs = 100;
	const tries = Array.from({length: 80}, (_, index) => index * tryIntervalMs).reduce((state, now) => {
		const [first = ''] = orderPaths(state.paths, now);
		return {paths: recordPathResult(state.paths, first, first !== storeAddress, now), directTries: state.directTries + (first === storeAddress ? 1 : 0)};
	}, {paths: createStorePaths(storeAddress, relays), directTries: 0});
	expect(tries.directTries).toBeLessThanOrEqual(5);
	expect(orderPaths(tries.paths, 8000 + 4000)[0]).toBe(storeAddress);
	expect(orderPaths(recordPathResult(tries.paths, storeAddress, true, 12_000), 12_001)[0]).toBe(storeAddress);
});

test('paths that fail are tried last', () => {
	const cut = recordPathResult(recordPathResult(createStorePaths(storeAddress, relays), storeAddress, false, 0), relays[0]!, false, 0);
	expect(orderPaths(cut, 1)).toEqual([relays[1], storeAddress, relays[0]]);
});

test('if all paths are in back-off, the one with the earliest end is tried first', () => {
	const paths = [storeAddress, ...relays, storeAddress].reduce((current, address, index) => recordPathResult(current, address, false, index), createStorePaths(storeAddress, relays));
	expect(orderPaths(paths, 10)).toEqual([relays[0], relays[1], storeAddress]);
});

test('a relay with the address of the store or of another relay is not tried twice', () => {
	expect(orderPaths(createStorePaths(storeAddress, [storeAddress, relays[0]!, relays[0]!]), 0)).toEqual([storeAddress, relays[0]]);
});
