import fc from 'fast-check';
import {List} from 'immutable';
import {findSettledViolation, findViolation} from './properties.js';
import type {Violation} from './properties.js';
import {createRandomCluster} from './scenarios.js';
import {settleCluster} from './settle.js';
import {listTransitions} from './transitions.js';
import {applyTransition} from './simulate.js';
import type {Transition, ClusterState} from './state.js';

/** A schedule: each number selects one of the transitions that are possible at that point. */
export type Schedule = readonly number[];

/** The result of running a schedule. */
export type ScheduleResult = Readonly<{cluster: ClusterState; violation: Violation | undefined; transitions: List<Transition>}>;

const maxTransitions = 120;
const choiceRange = 0x1_00_00;

/** Lists each transition other than a tick three times: ticks are always possible and would otherwise dominate the schedules. */
const weightTransitions = (transitions: readonly Transition[]): readonly Transition[] => {
	const progress = transitions.filter(transition => transition.type !== 'tick');
	return [...progress, ...progress, ...transitions];
};

const applyChoice = (result: ScheduleResult, choice: number): ScheduleResult => {
	if (result.violation !== undefined) {
		return result;
	}

	const transitions = weightTransitions(listTransitions(result.cluster));
	const transition = transitions[Math.floor(choice / choiceRange * transitions.length)];
	if (transition === undefined) {
		return result;
	}

	const cluster = applyTransition(result.cluster, transition);
	return {cluster, violation: findViolation(cluster), transitions: result.transitions.push(transition)};
};

/**
Runs a schedule, then runs the cluster until it settles.

@param cluster - The initial state.
@param schedule - The choices.
@returns The final state, with the first violation found during the schedule or
after the cluster has settled.
*/
export const runSchedule = (cluster: ClusterState, schedule: Schedule): ScheduleResult => {
	const start: ScheduleResult = {cluster, violation: undefined, transitions: List()};
	const result = schedule.reduce((current, choice) => applyChoice(current, choice), start);
	if (result.violation !== undefined) {
		return result;
	}

	const settled = settleCluster(result.cluster);
	return {...result, cluster: settled, violation: findSettledViolation(settled)};
};

type RunOptions = Readonly<{runs: number; seed: number; disabledRule?: string}>;

/**
Runs random schedules with faults, and shrinks the first one that violates a property.

@param options - The number of runs, the seed, and a safety rule to disable.
@returns `ok` with the number of schedules, or the violation with the smallest
schedule found that leads to it.
*/
export const runSchedules = (options: RunOptions): string => {
	const schedules = fc.array(fc.integer({min: 0, max: choiceRange - 1}), {minLength: 20, maxLength: maxTransitions, size: 'max'});
	const property = fc.property(schedules, fc.integer({min: 0, max: 1_000_000}), (schedule, clusterSeed) =>
		runSchedule(createRandomCluster(clusterSeed, options.disabledRule), schedule).violation === undefined);
	const result = fc.check(property, {numRuns: options.runs, seed: options.seed});
	if (!result.failed) {
		return `ok: ${result.numRuns} schedules, seed ${options.seed}`;
	}

	const [schedule, clusterSeed] = result.counterexample ?? [[], 0];
	const shrunk = runSchedule(createRandomCluster(clusterSeed, options.disabledRule), schedule);
	const transitions = shrunk.transitions.map((transition, index) => `  ${index + 1}. ${JSON.stringify(transition)}`).join('\n');
	return `violation: ${shrunk.violation?.property}: ${shrunk.violation?.detail}\n  seed ${options.seed}, storm ${clusterSeed}\n${transitions}`;
};
