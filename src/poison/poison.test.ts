import {Map, Set} from 'immutable';
import {describe, expect, test} from 'vitest';
import type {Incarnation} from '../registry/index.js';
import {getProvenAt} from './evidence.js';
import {createVerdict} from './verdicts.js';
import {
	createPoisonGuard, decidePoison, mergePoisonNews, recordAbandonment, recordBreak, recordOutput, recordUnreachable,
	refuteCrash, startTrial, tickPoisonGuard,
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

describe('evidence of a crash', () => {
	const [first, second, third] = ['e1', 'e2', 'e3'].map(id => createEndpoint(id));
	const crashAt = (guard: PoisonGuard, at: number, where: Incarnation, id = 1) => recordBreak(guard, {id, endpoint: where, suspects: Set(['request/x'])}, at);
	const listCondemned = (guard: PoisonGuard) => guard.verdicts.keySeq().toArray();
	const twice = crashAt(crashAt(createPoisonGuard(), 0, first!), 300_000, second!);

	test('counts for ten minutes, since a request may come again seldom', () => {
		expect(listCondemned(tick(crashAt(tick(twice, 400_000), 599_000, third!), 599_400))).toEqual(['request/x']);
	});

	test('is forgotten after that', () => {
		expect(listCrashes(tick(twice, 600_000)).map(({at}) => at)).toEqual([300_000]);
		expect(listCondemned(tick(crashAt(tick(twice, 600_000), 601_000, third!), 601_400))).toEqual([]);
	});

	test('includes a request whose client has left just before', () => {
		const left = {...createPoisonGuard(), evidence: recordAbandonment(createPoisonGuard().evidence, endpoint, Set(['request/x']), 1000)};
		expect(listSuspected(breakOff(left, 1200, 'request/a'))).toEqual(['request/a', 'request/x']);
		expect(listSuspected(breakOff(tick(left, 1600), 1700, 'request/a'))).toEqual(['request/a']);
		expect(getProvenAt(tick(left, 1600).evidence, 'request/x')).toBeUndefined();
	});

	test('includes one whose client has left, if nothing but a refused connection shows it', () => {
		const {evidence} = createPoisonGuard();
		const left = recordAbandonment(evidence, endpoint, Set(['request/x']), 1000);
		expect(listSuspected({...createPoisonGuard(), evidence: recordUnreachable(left, endpoint)})).toEqual(['request/x']);
		expect(recordUnreachable(left, second!).crashes.isEmpty()).toBe(true);
	});
});

test('a verdict that has ended is tested by one router at a time, and in time by each', () => {
	const verdicts = Map([['part/x', {...createVerdict('part/x', 0, 1), until: 1000}]]);
	const routers = ['a', 'b', 'c', 'd'];
	const listTesters = (now: number) => routers.filter(router => decidePoison(verdicts, {id: 1, suspects: Set(['part/x'])}, router, routers, now).kind === 'try');
	expect(listTesters(999)).toEqual([]);
	const testers = Array.from({length: 60}, (_, seconds) => listTesters(1000 + (seconds * 1000)));
	expect(testers.every(each => each.length === 1)).toBe(true);
	expect([...new globalThis.Set(testers.flat())].toSorted()).toEqual(routers);
});

describe('the test of a verdict', () => {
	const verdicts = Map([['request/x', createVerdict('request/x', 0, 0)]]);
	const request = {id: 1, suspects: Set(['request/x'])};
	const decide = (known: typeof verdicts, now: number) => decidePoison(known, request, 'a', ['a'], now).kind;

	test('begins at once if the verdict is uncertain, and one request at a time', () => {
		expect(decide(verdicts, 10)).toBe('try');
		const tried = startTrial(verdicts, 'request/x', 2, 10);
		expect(decide(tried, 20)).toBe('reject');
	});

	test('has failed also if its client left before the endpoint crashed', () => {
		const guard = {...createPoisonGuard(), verdicts: startTrial(verdicts, 'request/x', 1, 10)};
		const crashed = recordBreak(guard, {id: 2, endpoint, suspects: Set(['request/x'])}, 100);
		expect(tickPoisonGuard(crashed, () => false, 200).guard.verdicts.get('request/x')).toMatchObject({at: 100, strikes: 1, trial: undefined});
	});

	test('ends some time after its request, as the crash may show late', () => {
		const guard = {...createPoisonGuard(), verdicts: startTrial(verdicts, 'request/x', 2, 10)};
		const ended = tickPoisonGuard(guard, () => false, 100).guard;
		expect(decide(ended.verdicts, 1000)).toBe('reject');
		expect(decide(tickPoisonGuard(ended, () => false, 1600).guard.verdicts, 1600)).toBe('try');
	});

	test('waits for that of another router', () => {
		const known = mergePoisonNews({...createPoisonGuard(), verdicts}, {
			crashes: [], proven: [], verdicts: [], trials: ['request/x'],
		}, 10).verdicts;
		expect(decide(known, 500)).toBe('reject');
		expect(decide(known, 1010)).toBe('try');
	});
});
