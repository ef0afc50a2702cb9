import {getAdjacencyMap} from '@xstate/graph';
import {fromTransition} from 'xstate';
import {findSettledViolation, findViolation} from './properties.js';
import type {Violation} from './properties.js';
import {digestCluster} from './serialize.js';
import {settleCluster} from './settle.js';
import {listTransitions} from './transitions.js';
import {applyTransition} from './simulate.js';
import type {Transition, ClusterState} from './state.js';

/** The result of an exploration. */
export type Exploration = Readonly<{
	states: number;
	/** Length of the longest of the shortest paths to a state, in transitions. */
	depth: number;
	/** States from which the cluster was also run until it settled. */
	settled: number;
	/** The first violation found, with the shortest path to it. */
	violation: (Violation & Readonly<{trace: readonly Transition[]}>) | undefined;
	/** True if the limit ended the exploration before every state was reached. */
	isLimitReached: boolean;
}>;

type ExploreOptions = Readonly<{
	/** Maximum number of transitions to traverse. */
	limit: number;
	/** For one in this many states, also checks the settled cluster; 0 for none. */
	settleEvery: number;
}>;

type Predecessor = Readonly<{from: string | undefined; transition: Transition | undefined; depth: number}>;

/** Ends the exploration at the first violation. */
class ViolationError extends Error {
	constructor(readonly violation: Violation, readonly key: string) {
		super(violation.detail);
	}
}

const buildTrace = (predecessors: ReadonlyMap<string, Predecessor>, key: string): readonly Transition[] => {
	const predecessor = predecessors.get(key);
	return predecessor?.from === undefined || predecessor.transition === undefined ? [] : [...buildTrace(predecessors, predecessor.from), predecessor.transition];
};

/**
Explores all reachable states breadth first and checks the properties in each.

@param initial - The initial state.
@param options - The limits of the exploration.
@returns The states counted, and the first violation if there is one.
@throws Errors of the handlers under check.
*/
export const explore = (initial: ClusterState, options: ExploreOptions): Exploration => {
	const predecessors = new Map<string, Predecessor>();
	const keys = new WeakMap<ClusterState, string>();
	let settled = 0;

	const getClusterKey = (cluster: ClusterState): string => {
		const cachedKey = keys.get(cluster);
		const key = cachedKey ?? digestCluster(cluster);
		keys.set(cluster, key);
		return key;
	};

	const checkCluster = (cluster: ClusterState, key: string) => {
		const violation = findViolation(cluster);
		if (violation !== undefined) {
			throw new ViolationError(violation, key);
		}

		if (options.settleEvery > 0 && predecessors.size % options.settleEvery === 0) {
			settled += 1;
			const settledViolation = findSettledViolation(settleCluster(cluster));
			if (settledViolation !== undefined) {
				throw new ViolationError(settledViolation, key);
			}
		}
	};

	const visit = (cluster: ClusterState, transition: Transition | undefined, previous: ClusterState | undefined): string => {
		const key = getClusterKey(cluster);
		if (!predecessors.has(key)) {
			const from = previous === undefined ? undefined : getClusterKey(previous);
			predecessors.set(key, {from, transition, depth: (predecessors.get(from ?? '')?.depth ?? -1) + 1});
			checkCluster(cluster, key);
		}

		return key;
	};

	const buildResult = (violation: Exploration['violation'], isLimitReached: boolean): Exploration => ({
		states: predecessors.size, depth: Math.max(0, ...[...predecessors.values()].slice(-1).map(predecessor => predecessor.depth)), settled, violation, isLimitReached,
	});

	const logic = fromTransition((state: {cluster: ClusterState}, transition: Transition) => ({cluster: applyTransition(state.cluster, transition)}), {cluster: initial});
	type State = ReturnType<typeof logic.getInitialSnapshot>;
	const options_ = {
		events: (state: State) => listTransitions(state.context.cluster),
		serializeState: ((state: State, transition: Transition | undefined, previous: State | undefined) => visit(state.context.cluster, transition, previous?.context.cluster)) as never,
		serializeEvent: ((transition: Transition) => JSON.stringify(transition)) as never,
		limit: options.limit,
	};
	try {
		getAdjacencyMap(logic, options_);
		return buildResult(undefined, false);
	} catch (error) {
		if (error instanceof ViolationError) {
			return buildResult({...error.violation, trace: buildTrace(predecessors, error.key)}, false);
		}

		if (error instanceof Error && error.message === 'Traversal limit exceeded') {
			return buildResult(undefined, true);
		}

		throw error;
	}
};
