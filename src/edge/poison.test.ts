import {describe, expect, test} from 'vitest';
import {computeBegunFraction, playLoad, sharedParts} from '../../test/crash-play.js';
import type {Load} from '../../test/crash-play.js';

const poisonFrom = 4000;
type PoisonLoad = Load & Required<Pick<Load, 'poison' | 'poisonUntil'>>;

const poisonLoad: PoisonLoad = {
	routers: 4, soundPerSecond: 60, poisonPerSecond: 4, poison: 'x', poisonFrom, poisonUntil: 24_000,
};

/** Time after the fifth crash from which hardly any request with the part may reach an endpoint; the other part of the rule counts from twice that. */
const contactMs = 3000;
const maxLateSends = 3;

describe('requests with a prompt part on which endpoints crash', () => {
	test.each<[string, Partial<Load>]>([
		['at four routers', {}],
		['at twelve routers', {routers: 12}],
		['that come seldom', {poisonPerSecond: 1.5, poisonUntil: 34_000}],
		['that come very seldom', {poisonPerSecond: 0.3, poisonUntil: 64_000}],
		['that come every ten seconds', {poisonPerSecond: 0.1, poisonUntil: 84_000}],
		['among other crashes', {otherCrashEveryMs: 4000}],
		['and a router starts anew', {restartAt: 12_000}],
		['and all routers start anew', {restartAllAt: 12_000}],
		['that have it in the first place', {position: 0}],
		['that have it in the last place that counts', {position: 2}],
		['that have one of two such parts', {otherPoison: 'y'}],
		['that have one of two such parts, among other crashes', {otherPoison: 'y', position: 0, otherCrashEveryMs: 4000}],
		['and one router is cut off from the others', {cutAt: poisonFrom}],
		['and messages between routers are lost', {lostMessages: 0.2}],
	])('are soon kept from all endpoints, and sound requests keep theirs: %s', (_, fields) => {
		[1, 2, 3, 4].forEach(seed => {
			const load: PoisonLoad = {...poisonLoad, ...fields};
			const played = playLoad(load, seed, load.poisonUntil - 100);
			const findFifth = (poison: string) => played.crashes.filter(crash => crash.cause === poison)[4]?.at ?? Number.POSITIVE_INFINITY;
			const poisons = [load.poison, ...(load.otherPoison === undefined ? [] : [load.otherPoison])];
			const fifth = Math.max(...poisons.map(poison => findFifth(poison)));
			poisons.forEach(poison => {
				const late = played.sends.filter(send => send.poison === poison && send.at >= findFifth(poison) + contactMs);
				expect(late.length, `seed ${seed}, ${poison}`).toBeLessThanOrEqual(maxLateSends);
			});
			const from = Math.min(fifth, played.crashes.at(-1)?.at ?? 0) + (2 * contactMs);
			expect(computeBegunFraction(played, from, load.poisonUntil), `seed ${seed}`).toBeGreaterThanOrEqual(computeBegunFraction(played, 0, poisonFrom) / 2);
			expect(played.changes.filter(({part}) => sharedParts.includes(part)), `seed ${seed}`).toEqual([]);
		});
	});

	test('are rejected at once as not run, with a time to come back', () => {
		const {refusals, crashes} = playLoad(poisonLoad, 1, 20_000);
		const late = refusals.filter(({at, isPoison}) => isPoison && at >= crashes[4]!.at + contactMs);
		expect(late.length).toBeGreaterThan(20);
		expect(late.every(({retryAfter}) => retryAfter !== undefined && retryAfter > 0)).toBe(true);
	});
});

describe('the parts that requests share with those on which endpoints crash', () => {
	test.each<[string, Partial<Load>]>([
		['at four routers', {}],
		['among other crashes', {otherCrashEveryMs: 3000}],
		['with few requests', {soundPerSecond: 25, poisonPerSecond: 2}],
	])('are not condemned: %s', (_, fields) => {
		[1, 2, 3, 4, 5, 6].forEach(seed => {
			const {changes} = playLoad({...poisonLoad, ...fields}, seed, 20_000);
			expect([...new Set(changes.map(({part}) => part))], `seed ${seed}`).toEqual(['x']);
		});
	});
});

describe('crashes that no part explains condemn nothing', () => {
	const soundLoad: Load = {...poisonLoad, poisonPerSecond: 0};

	test.each<[string, Load]>([
		['single ones', {...soundLoad, otherCrashEveryMs: 2000}],
		['one after the other', {...soundLoad, otherCrashEveryMs: 400}],
		['half of the endpoints at once', {...soundLoad, massCrashes: [{count: 6, at: 6000}]}],
		['all endpoints at once', {...soundLoad, massCrashes: [{count: 12, at: 6000}]}],
		['with many requests', {...soundLoad, soundPerSecond: 300, otherCrashEveryMs: 700}],
	])('%s', (_, load) => {
		[1, 2, 3, 4, 5, 6].forEach(seed => {
			expect(playLoad(load, seed, 16_000).changes, `seed ${seed}`).toEqual([]);
		});
	});
});

describe('a verdict', () => {
	test('ends once the part is sound', () => {
		const mendedAt = 15_000;
		const {sends, states} = playLoad({...poisonLoad, mendedAt, poisonUntil: 60_000}, 1, 60_000);
		expect(sends.filter(({poison, at}) => poison !== undefined && at >= 50_000).length).toBeGreaterThan(20);
		expect(states.every(({poison}) => poison.verdicts.isEmpty())).toBe(true);
	});

	test('ends without requests that could test it', () => {
		const {states} = playLoad({...poisonLoad, poisonUntil: 12_000}, 1, 140_000);
		expect(states.every(({poison}) => poison.verdicts.isEmpty())).toBe(true);
	});

	test('is tested by few requests of all routers while endpoints still crash', () => {
		const {sends, crashes} = playLoad({...poisonLoad, poisonUntil: 100_000}, 1, 100_000);
		expect(sends.filter(({poison, at}) => poison !== undefined && at >= crashes[4]!.at + contactMs).length).toBeLessThanOrEqual(maxLateSends);
	});
});

test('what routers keep and tell each other of crashes is bounded', () => {
	const {states, maxMessageBytes} = playLoad({
		...poisonLoad, poisonPerSecond: 0, soundPerSecond: 300, otherCrashEveryMs: 100,
	}, 1, 12_000);
	expect(maxMessageBytes).toBeLessThan(8192);
	states.forEach(({poison}) => {
		expect(poison.evidence.crashes.size).toBeLessThanOrEqual(64);
		expect(poison.evidence.unproven.length).toBeLessThanOrEqual(1024);
	});
});
