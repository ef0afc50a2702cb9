import {describe, expect, test} from 'vitest';
import {explore} from './explore.js';
import {runSchedules} from './random.js';
import {disabledRuleCases, scenarios} from './scenarios.js';

const transitionLimit = 6000;
const disabledRuleTransitionLimit = 60_000;

const findScenario = (name: string) => scenarios.find(scenario => scenario.name === name)!;

describe('the handlers, with every safety rule', () => {
	test.each(scenarios.map(scenario => scenario.name))('satisfy every property in scenario %s', name => {
		const result = explore(findScenario(name).create(), {limit: transitionLimit, settleEvery: 40});
		expect(result.violation).toBeUndefined();
		expect(result.states).toBeGreaterThan(50);
	});

	test.each([1, 5])('satisfy every property in random schedules with faults, seed %i', seed => {
		expect(runSchedules({runs: 150, seed})).toBe(`ok: 150 schedules, seed ${seed}`);
	});
});

describe('the handlers, with a safety rule disabled', () => {
	test.each(disabledRuleCases)('violate a property without $rule', ({rule, scenario}) => {
		const result = explore(findScenario(scenario).create(rule), {limit: disabledRuleTransitionLimit, settleEvery: 10});
		expect(result.violation).toBeDefined();
		expect(result.violation?.trace.length).toBeGreaterThan(0);
	});
});
