import {Map, Set} from 'immutable';
import {describe, expect, test} from 'vitest';
import type {Incarnation} from '../registry/index.js';
import {getProvenAt} from './evidence.js';
import {
	createPoisonGuard, decidePoison, recordBreak, recordOutput, refuteCrash, tickPoisonGuard,
} from './index.js';
import type {PoisonGuard} from './index.js';

const createEndpoint = (id: string): Incarnation => ({
	id, startedAt: 1, address: '10.0.0.1:80', service: 's',
});
const endpoint = createEndpoint('e1');
const breakOff = (guard: PoisonGuard, now: number, ...suspects: readonly string[]) => recordBreak(guard, {id: 1, endpoint, suspects: Set(suspects)}, now);
const tick = (guard: PoisonGuard, now: number) => tickPoisonGuard(guard, () => true, now).guard;
const listCrashes = ({evidence}: PoisonGuard) => evidence.crashes.valueSeq().toArray();
const listSuspected = (guard: PoisonGuard) => listCrashes(guard).flatMap(crash => crash.suspects.toArray());

describe('a crash', () => {
	test('leaves no output just before it proven, also if its part is suspected already', () => {
		const broken = breakOff(createPoisonGuard(), 1000, 'part/x');
		const another = breakOff({...broken, evidence: recordOutput(broken.evidence, endpoint, Set(['part/x']), 1001)}, 1002);
		expect(getProvenAt(tick(another, 2000).evidence, 'part/x')).toBeUndefined();
	});

	test('keeps its suspects when requests break off there later', () => {
		expect(listSuspected(breakOff(breakOff(createPoisonGuard(), 1000, 'part/x'), 2000, 'part/a'))).toContain('part/x');
	});

	test('is another one once the endpoint has responded in between', () => {
		const broken = breakOff(createPoisonGuard(), 1000, 'part/a');
		const refuted = {...broken, evidence: refuteCrash(broken.evidence, endpoint, 1500)};
		expect(listCrashes(refuted).every(crash => crash.isRefuted)).toBe(true);
		const another = breakOff(refuted, 2000, 'part/x');
		expect(listSuspected(another)).toEqual(['part/x']);
		expect(listCrashes(another).every(crash => !crash.isRefuted)).toBe(true);
	});
});

test('a verdict that has ended is tested by one router at a time, and in time by each', () => {
	const verdicts = Map([['part/x', {
		at: 0, until: 1000, strikes: 0, isOwn: true, trial: undefined,
	}]]);
	const routers = ['a', 'b', 'c', 'd'];
	const listTesters = (now: number) => routers.filter(router => decidePoison(verdicts, {id: 1, suspects: Set(['part/x'])}, router, routers, now).kind === 'try');
	expect(listTesters(999)).toEqual([]);
	const testers = Array.from({length: 60}, (_, seconds) => listTesters(1000 + (seconds * 1000)));
	expect(testers.every(each => each.length === 1)).toBe(true);
	expect([...new globalThis.Set(testers.flat())].toSorted()).toEqual(routers);
});
