import {describe, expect, test} from 'vitest';
import {explore} from './explore.js';
import {runSchedules} from './random.js';
import {breakages, scenarios} from './scenarios.js';

const limit = 6000; // Transitions
const breakageLimit = 60_000; // Transitions

const findScenario = (name: string) => scenarios.find(scenario => scenario.name === name)!;

describe('the handlers, with every safety rule', () => {
	test.each(scenarios.map(scenario => scenario.name))('keep every promise in scenario %s', name => {
		const result = explore(findScenario(name).create(), {limit, settleEvery: 40});
		expect(result.violation).toBeUndefined();
		expect(result.states).toBeGreaterThan(50);
	});

	test.each([1, 5])('keep every promise in random storms of faults, seed %i', seed => {
		expect(runSchedules({runs: 150, seed})).toBe(`ok: 150 schedules, seed ${seed}`);
	});
});

describe('the handlers, with a safety rule switched off', () => {
	test.each(breakages)('break a promise without $rule', ({rule, scenario}) => {
		const result = explore(findScenario(scenario).create(rule), {limit: breakageLimit, settleEvery: 10});
		expect(result.violation).toBeDefined();
		expect(result.violation?.trace.length).toBeGreaterThan(0);
	});
});
