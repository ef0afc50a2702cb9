import {describe, expect, test} from 'vitest';
import {createRandom} from '../random/index.js';
import {
	createReadiness, createReadinessLimits, describeRouter, sampleIntervalMs, updateReadiness,
} from './index.js';
import type {Readiness} from './index.js';

const cpuShare = 0.184;
const limits = createReadinessLimits(cpuShare)!;

/** A router of the simulation: the load that it gets, in parts of its CPU share, and its backlog of work in ms. */
type Router = Readonly<{name: string; demand: (now: number, isReady: boolean) => number; backlogMs: number; readiness: Readiness}>;

/** Plays routers of one data centre that hear of each other one sample late; returns when each said that it is not ready. */
const play = (demands: ReadonlyArray<Router['demand']>, durationMs: number) => {
	const random = createRandom(6);
	const steps = Array.from({length: durationMs / sampleIntervalMs}, (_, index) => (index + 1) * sampleIntervalMs);
	const initial: readonly Router[] = demands.map((demand, index) => ({
		name: `r${index}`, demand, backlogMs: 0, readiness: createReadiness(),
	}));
	const {history} = steps.reduce<Readonly<{routers: readonly Router[]; history: ReadonlyArray<readonly boolean[]>}>>(({routers, history: before}, now) => {
		const next = routers.map(router => {
			const work = sampleIntervalMs * router.demand(now, !router.readiness.isOverloaded) * (0.8 + (0.4 * random.draw()));
			const done = Math.min(sampleIntervalMs, router.backlogMs + work);
			// What waits for longer than 150 ms is shed.
			const backlogMs = Math.min(250, router.backlogMs + work - done);
			const neighbours = routers.filter(({name}) => name !== router.name)
				.map(({name, readiness}) => describeRouter(name, readiness, limits));
			return {
				...router, backlogMs, readiness: updateReadiness(router.readiness, {
					lagMs: backlogMs, usedMs: done * cpuShare, requests: 0, shed: 0, now,
				}, limits, router.name, {neighbours, remoteSpareCores: 0}),
			};
		});
		return {routers: next, history: [...before, next.map(({readiness}) => readiness.isOverloaded)]};
	}, {routers: initial, history: []});
	return history;
};

const countChanges = (history: ReadonlyArray<readonly boolean[]>, router: number): number =>
	history.filter((step, index) => index > 0 && step[router] !== history[index - 1]![router]).length;

describe('a router that is overloaded while its neighbours are not', () => {
	const history = play([(_, isReady) => isReady ? 1.4 : 0.5, () => 0.4, () => 0.4], 20_000);

	test('says so after a second or two, so that it gets no new connections', () => {
		const from = history.findIndex(([isOverloaded]) => isOverloaded);
		expect(from * sampleIntervalMs).toBeGreaterThanOrEqual(1000);
		expect(from * sampleIntervalMs).toBeLessThan(3000);
	});

	test('does not change to and fro, as the load balancer needs two checks a second apart', () => {
		expect(countChanges(history, 0)).toBeLessThan(8);
		expect([countChanges(history, 1), countChanges(history, 2)]).toEqual([0, 0]);
	});
});

test('a burst of half a second or a pause of the process does not make a router withdraw', () => {
	const history = play([now => now > 3000 && now <= 3500 ? 3 : 0.3, () => 0.3], 10_000);
	expect(history.flat().some(Boolean)).toBe(false);
});

test.each([[1], [2], [3], [7]])('of %i routers that are all overloaded, at most half withdraw, and none for long', count => {
	const history = play(Array.from({length: count}, () => () => 1.5), 60_000);
	const withdrawn = history.map(step => step.filter(Boolean).length);
	// For one sample, all may say so at once.
	expect(withdrawn.filter((each, index) => each > Math.floor(count / 2) && withdrawn[index - 1]! > Math.floor(count / 2))).toEqual([]);
	const longest = Array.from({length: count}, (_, router) => history.map(step => step[router] ? 'x' : ' ').join('').split(' ').reduce((max, run) => Math.max(max, run.length), 0));
	expect(Math.max(...longest) * sampleIntervalMs).toBeLessThanOrEqual(8100);
});

// Guards against a small router that takes larger ones out of the rotation with it.
test.each([
	['has half of the cores of its data centre', [0.184], true],
	['has less', [0.594, 0.184], false],
])('an overloaded router whose neighbours have nothing to spare leads them out if it %s', (_, neighbourCores, expected) => {
	const neighbours = neighbourCores.map((cores, index) => ({
		router: `a${index}`, isOverloaded: index === 1, isPressed: index === 1, isLeading: false, cores, spareCores: 0,
	}));
	const steps = Array.from({length: 50}, (__, index) => (index + 1) * sampleIntervalMs);
	const readiness = steps.reduce((before, now) => updateReadiness(before, {
		lagMs: 300, usedMs: 50, requests: 10, shed: 5, now,
	}, createReadinessLimits(0.184)!, 'r', {neighbours, remoteSpareCores: 3}), createReadiness());
	expect(readiness.isLeading).toBe(expected);
});
