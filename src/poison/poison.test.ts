import {Map} from 'immutable';
import {describe, expect, test} from 'vitest';
import type {Incarnation} from '../registry/index.js';
import {
	createPoisonGuard, decidePoison, recordBreak, recordOutput, refuteCrash, tickPoisonGuard,
} from './index.js';
import type {PoisonGuard} from './index.js';

const createEndpoint = (id: string): Incarnation => ({
	id, startedAt: 1, address: '10.0.0.1:80', service: 's',
});
const listParts = (...parts: readonly string[]) => Map(parts.map((part, position) => [part, position] as const));
const endpoint = createEndpoint('e1');
const breakOff = (guard: PoisonGuard, now: number, ...parts: readonly string[]) => recordBreak(guard, {id: 1, endpoint, suspects: listParts(...parts)}, now);
const tick = (guard: PoisonGuard, now: number) => tickPoisonGuard(guard, () => true, now).guard;
const listSuspects = (guard: PoisonGuard) => guard.crashes.valueSeq().toArray().flatMap(crash => crash.suspects.keySeq().toArray());

describe('a crash', () => {
	test('leaves no output just before it proven, also if its part is suspected already', () => {
		const broken = breakOff(createPoisonGuard(), 1000, 'x');
		const another = breakOff(recordOutput(broken, endpoint, listParts('x'), 1001), 1002);
		expect(tick(another, 2000).provenAt.has('x')).toBe(false);
	});

	test('keeps its suspects when requests break off there later', () => {
		expect(listSuspects(breakOff(breakOff(createPoisonGuard(), 1000, 'x'), 2000, 'a'))).toContain('x');
	});

	test('is another one once the endpoint has responded in between', () => {
		const refuted = refuteCrash(breakOff(createPoisonGuard(), 1000, 'a'), endpoint, 1500);
		expect(refuted.crashes.every(crash => crash.isRefuted)).toBe(true);
		const broken = breakOff(refuted, 2000, 'x');
		expect(listSuspects(broken)).toEqual(['x']);
		expect(broken.crashes.every(crash => !crash.isRefuted)).toBe(true);
	});
});

test('a verdict that has ended is tested by one router at a time, and in time by each', () => {
	const guard: PoisonGuard = {
		...createPoisonGuard(), verdicts: Map([['x', {
			at: 0, until: 1000, strikes: 0, isOwn: true, trial: undefined,
		}]]),
	};
	const routers = ['a', 'b', 'c', 'd'];
	const listTesters = (now: number) => routers.filter(router => decidePoison(guard, {id: 1, parts: listParts('x')}, router, routers, now).kind === 'try');
	expect(listTesters(999)).toEqual([]);
	const testers = Array.from({length: 60}, (_, seconds) => listTesters(1000 + (seconds * 1000)));
	expect(testers.every(each => each.length === 1)).toBe(true);
	expect([...new Set(testers.flat())].toSorted()).toEqual(routers);
});
