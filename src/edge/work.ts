import process from 'node:process';
import type {Fields} from '../log/index.js';
import type {WorkMeter} from '../work-time/index.js';
import type {EdgeEffect} from './messages.js';

type CountEffect = EdgeEffect & {kind: 'count'};

/** The work of a process since the last report. */
export type ProcessWork = Readonly<{
	/** Requests that have ended. */
	requests: number;
	effects: readonly CountEffect[];
	/** For the log: processor time in ms, in all, by stage and by outcome, and the number of requests of each outcome. */
	fields: Fields;
}>;

/**
Reports the work of this process for metrics and the log. Its three parts have their own remedies: code that is not optimized
yet (`first`), the stages of a request, and requests that nobody waits for any more (their outcomes).

@param meter - Measures the work on requests.
@returns A function that returns the work since its last call.
*/
export const measureProcessWork = (meter: WorkMeter): (() => ProcessWork) => {
	let used = process.cpuUsage();
	return () => {
		const {user, system} = process.cpuUsage(used);
		used = process.cpuUsage();
		const processorMs = (user + system) / 1000;
		const {stages, outcomes} = meter.take();
		const requests = outcomes.reduce((sum, each) => sum + each.requests, 0);
		return {
			requests,
			effects: [
				{
					kind: 'count', metric: 'processorTime', labels: {}, amount: processorMs,
				},
				...stages.map(({stage, warmth, milliseconds}): CountEffect => ({
					kind: 'count', metric: 'stageTime', labels: {stage, requests: warmth}, amount: milliseconds,
				})),
				...outcomes.flatMap(({outcome, milliseconds, requests: amount}): readonly CountEffect[] => [
					{
						kind: 'count', metric: 'outcomeTime', labels: {outcome}, amount: milliseconds,
					},
					{
						kind: 'count', metric: 'outcomes', labels: {outcome}, amount,
					},
				]),
			],
			fields: {
				requests,
				processor: Math.round(processorMs),
				...Object.fromEntries(stages.map(({stage, warmth, milliseconds}) => [warmth === 'first' ? `${stage}First` : stage, Math.round(milliseconds)])),
				...Object.fromEntries(outcomes.flatMap(({outcome, milliseconds, requests: count}) => [[outcome, count], [`${outcome}Time`, Math.round(milliseconds)]])),
			},
		};
	};
};
