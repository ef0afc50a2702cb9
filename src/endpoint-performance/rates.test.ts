import {expect, test} from 'vitest';
import {createRandom} from '../random/index.js';
import {
	computeRates, judgeStatement, priorRates, recordObservation, unknownPerformance,
} from './index.js';
import type {LoadReport, ServicePerformance, Workload} from './index.js';

/** Observes requests of engines whose times are predicted by the given rates, of which some are disturbed. */
const observe = (tokensPerMs: number, count: number, outlierFraction: number): ServicePerformance => {
	const random = createRandom(1);
	return Array.from({length: count}).reduce<ServicePerformance>(performance => {
		const workload: Workload = {
			newTokens: 700 + random.pick(8000), pendingTokens: random.pick(6000), requestCount: random.pick(30), slots: 64,
		};
		const usualMs = 85 + (workload.newTokens! / tokensPerMs) + (workload.pendingTokens / 100) + workload.requestCount;
		return recordObservation(performance, workload, usualMs * (random.draw() < outlierFraction ? 10 : 0.85 + (0.3 * random.draw())));
	}, unknownPerformance);
};

test.each([36, 57, 125])('the prompt rate of engines that process %i tokens per ms is learned', tokensPerMs => {
	const rates = computeRates(observe(tokensPerMs, 400, 0));
	expect(Math.abs((rates.promptTokensPerMs / tokensPerMs) - 1)).toBeLessThan(0.15);
});

test('a tenth of the requests being disturbed does not spoil the rates', () => {
	const rates = computeRates(observe(57, 400, 0.1));
	expect(Math.abs((rates.promptTokensPerMs / 57) - 1)).toBeLessThan(0.3);
});

test('the priors decide while little has been observed', () => {
	const {promptTokensPerMs, idleFirstOutputMs} = computeRates(observe(125, 1, 0));
	expect(promptTokensPerMs / priorRates.promptTokensPerMs).toBeLessThan(1.4);
	expect(idleFirstOutputMs / priorRates.idleFirstOutputMs).toBeGreaterThan(0.7);
});

test('an endpoint that states wrong factors loses their weight, and gets it back when they are right', () => {
	const report: LoadReport = {
		running: undefined, waiting: undefined, slots: undefined, workFactor: {logMean: Math.log(8), mass: 1, at: 0}, trust: 1,
	};
	const judge = (from: LoadReport, observed: number) => Array.from({length: 30}).reduce<LoadReport>(each => judgeStatement(each, 8, observed)!, from);
	const distrusted = judge(report, 1);
	expect(distrusted.trust).toBeLessThan(0.1);
	expect(judge(distrusted, 8).trust).toBeGreaterThan(0.9);
});
