import {describe, expect, test} from 'vitest';
import {computeBegunFraction, playLoad, sharedParts} from '../../test/crash-play.js';
import type {
	Killer, Load, Play, RequestKind,
} from '../../test/crash-play.js';

const killFrom = 4000;
const killUntil = 24_000;

const createKiller = (kind: RequestKind, fields: Partial<Killer> = {}): Killer => ({
	kind, name: `kill-${kind}`, perSecond: 3, from: killFrom, until: killUntil, parts: kind === 'model' ? ['a0', 'b1'] : [], ...fields,
});

const loadOf = (...killers: readonly Killer[]): Load => ({
	routers: 4, soundPerSecond: 60, popularFraction: 0.5, plainFraction: 0.15, killers,
});

/** Time after the third crash from which hardly any of the repetitions may reach an endpoint. */
const contactMs = 3000;
const maxLateSends = 3;
const minSoundFraction = 0.8;

const countLate = ({sends, crashes}: Play, name: string): number => {
	const third = crashes.filter(({cause}) => cause === name)[2]?.at ?? Number.POSITIVE_INFINITY;
	return sends.filter(({killer, at, hasReached}) => killer === name && hasReached && at >= third + contactMs).length;
};

const read = createKiller('read');

describe('a request that crashes each endpoint that runs it', () => {
	test.each<[string, Load]>([
		['a read', loadOf(read)],
		['an act', loadOf(createKiller('act'))],
		['a stream', loadOf(createKiller('stream'))],
		['a model request', loadOf(createKiller('model'))],
		['two reads', loadOf(read, createKiller('read', {name: 'other'}))],
		['two model requests', loadOf(createKiller('model'), createKiller('model', {name: 'other', parts: ['a0', 'b2']}))],
		['a read and a model request', loadOf(read, createKiller('model'))],
		['once in two seconds', loadOf(createKiller('read', {perSecond: 0.5}))],
		['every ten seconds', loadOf(createKiller('read', {perSecond: 0.1, until: 120_000}))],
		['an act, every twenty seconds', {...loadOf(createKiller('act', {perSecond: 0.05, until: 300_000})), soundPerSecond: 10}],
		['in a flood', loadOf(createKiller('read', {perSecond: 30}))],
		['at twelve routers', {...loadOf(read), routers: 12}],
		['with four endpoints', {...loadOf(read), endpoints: 4}],
		['a model request, with four endpoints', {...loadOf(createKiller('model')), endpoints: 4}],
		['beside crashes for other reasons', {...loadOf(read), otherCrashEveryMs: 3000}],
		['a model request, beside crashes for other reasons', {...loadOf(createKiller('model')), otherCrashEveryMs: 3000}],
		['beside the end of a rack', {...loadOf(read), massCrashes: [{count: 4, at: killFrom + 100}]}],
		['and a router restarts', {...loadOf(read), restartAt: 9000}],
		['and all routers restart', {...loadOf(read), restartAllAt: 9000}],
		['and all routers restart one after the other while the store is away', {
			...loadOf(read), rollAt: 9000, storeAwayAt: 3000, storeAwayMs: 30_000,
		}],
		['and a router is cut off from the others', {...loadOf(read), cutAt: killFrom, cutMs: 3000}],
		['and a router is cut off from the others all the time', {...loadOf(read), cutAt: 0, cutMs: killUntil}],
		['every four seconds, and a router is cut off from the others all the time', {
			...loadOf(createKiller('read', {perSecond: 0.25, until: 80_000})), cutAt: 0, cutMs: 80_000,
		}],
		['and messages between routers are lost', {...loadOf(read), lostMessages: 0.2}],
		['whose clients leave', loadOf(createKiller('read', {leavingFraction: 0.8}))],
		['that was sound before', loadOf(createKiller('read', {from: 0, sickAt: killFrom}))],
		['beside another part on which endpoints crash', {
			...loadOf(createKiller('model')), poison: 'x', poisonPerSecond: 3, poisonFrom: killFrom, poisonUntil: killUntil,
		}],
	])('is soon kept from all endpoints, and sound requests keep theirs: %s', (_, load) => {
		[1, 2, 3].forEach(seed => {
			const until = Math.max(...load.killers!.map(killer => killer.until));
			const play = playLoad(load, seed, until);
			load.killers!.forEach(({name: killer}) => {
				expect(countLate(play, killer), `seed ${seed}, ${killer}`).toBeLessThanOrEqual(maxLateSends);
			});
			expect(play.changes.filter(({part}) => sharedParts.includes(part)), `seed ${seed}`).toEqual([]);
			const before = computeBegunFraction(play, 0, killFrom);
			expect(computeBegunFraction(play, killFrom, until), `seed ${seed}`).toBeGreaterThanOrEqual(before * minSoundFraction);
		});
	});
});

test.each([6, 24])('crashes on both sides of a cut are counted together: seed %i', seed => {
	const until = 80_000;
	const play = playLoad({...loadOf(createKiller('read', {perSecond: 0.25, until})), cutAt: 0, cutMs: until}, seed, until);
	expect(countLate(play, 'kill-read')).toBeLessThanOrEqual(maxLateSends);
});

describe('the parts that a model request shares with sound ones are not condemned when endpoints crash on that request', () => {
	const model = createKiller('model');

	test.each<[string, Load]>([
		['alone', loadOf(model)],
		['beside another one', loadOf(model, createKiller('model', {name: 'other', parts: ['a0', 'b2']}))],
		['beside a read', loadOf(model, read)],
		['beside crashes for other reasons', {...loadOf(model), otherCrashEveryMs: 3000}],
		['with four endpoints', {...loadOf(model), endpoints: 4}],
		['and a router is cut off from the others', {...loadOf(model), cutAt: killFrom, cutMs: 6000}],
		['among model requests only', {...loadOf(model), popularFraction: 0, plainFraction: 0}],
	])('%s', (_, load) => {
		[1, 2, 3, 4, 5, 6].forEach(seed => {
			expect(playLoad(load, seed, killUntil).changes.filter(({part}) => part !== ''), `seed ${seed}`).toEqual([]);
		});
	});
});

describe('sound requests that meet several crashes by chance are not rejected for it', () => {
	const soundLoad: Load = {...loadOf(), plainFraction: 0.3, clientRetries: 3};

	test.each<[string, Load]>([
		['the end of a rack', {...soundLoad, massCrashes: [{count: 6, at: 6000}]}],
		['the end of a rack, three times', {...soundLoad, massCrashes: [6000, 10_000, 14_000].map(at => ({count: 6, at}))}],
		['all endpoints at once, three times', {...soundLoad, massCrashes: [6000, 10_000, 14_000].map(at => ({count: 12, at}))}],
		['all of four endpoints, as soon as they are back', {...soundLoad, endpoints: 4, massCrashes: [6000, 9500, 13_000, 16_500].map(at => ({count: 4, at}))}],
		['one crash after the other', {...soundLoad, otherCrashEveryMs: 400}],
		['one crash after the other, with four endpoints', {...soundLoad, endpoints: 4, otherCrashEveryMs: 800}],
		['one crash after the other, with many requests', {...soundLoad, soundPerSecond: 300, otherCrashEveryMs: 400}],
		['another cause at the same endpoints', {...soundLoad, killers: [read]}],
		['another cause at four endpoints', {...soundLoad, endpoints: 4, killers: [read]}],
		['a flood of another cause at four endpoints', {...soundLoad, endpoints: 4, killers: [createKiller('act', {perSecond: 30})]}],
		['another cause among model requests', {
			...soundLoad, popularFraction: 0.2, plainFraction: 0, killers: [createKiller('model')],
		}],
	])('%s', (_, load) => {
		[1, 2, 3].forEach(seed => {
			const {refusals} = playLoad(load, seed, killUntil);
			expect(refusals.filter(({isSound, reason}) => isSound && reason.endsWith('-condemned')), `seed ${seed}`).toEqual([]);
		});
	});
});

describe('a verdict on a request', () => {
	test('rejects it at once as not run, with a time to come back', () => {
		const {refusals, crashes} = playLoad(loadOf(read), 1, killUntil);
		const late = refusals.filter(({at, isSound}) => !isSound && at >= crashes[2]!.at + contactMs);
		expect(late.length).toBeGreaterThan(20);
		expect(late.every(({reason, retryAfter}) => reason === 'request-condemned' && retryAfter !== undefined && retryAfter > 0)).toBe(true);
	});

	test.each<[string, Partial<Load>]>([
		['', {}],
		[', also at a router that is cut off from the others', {cutAt: 0, cutMs: 80_000}],
	])('ends once it is sound%s', (_, fields) => {
		const until = 80_000;
		const {sends, states} = playLoad({...loadOf(createKiller('read', {mendedAt: 10_000, until})), ...fields}, 1, until);
		expect(sends.filter(({killer, at}) => killer !== undefined && at >= 50_000).length).toBeGreaterThan(50);
		expect(states.every(({poison}) => poison.verdicts.isEmpty())).toBe(true);
	});
});

test('what routers keep and tell each other of requests is bounded', () => {
	const {states, maxMessageBytes} = playLoad({
		...loadOf(read), soundPerSecond: 300, popularFraction: 0.1, plainFraction: 0.5, otherCrashEveryMs: 100,
	}, 1, 12_000);
	expect(maxMessageBytes).toBeLessThan(8192);
	states.forEach(({poison: {evidence, verdicts}}) => {
		expect(evidence.crashes.size).toBeLessThanOrEqual(64);
		expect(Math.max(...evidence.crashes.valueSeq().map(({suspects}) => suspects.size))).toBeLessThanOrEqual(64);
		expect(evidence.unproven.length).toBeLessThanOrEqual(1024);
		expect(evidence.provenAt.request.size).toBeLessThanOrEqual(8192);
		expect(verdicts.size).toBeLessThanOrEqual(64);
	});
});
