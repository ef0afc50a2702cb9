import {getAdjacencyMap} from '@xstate/graph';
import {fromTransition} from 'xstate';
import {findUnsettled, findViolation} from './properties.js';
import type {Violation} from './properties.js';
import {serializeWorld} from './serialize.js';
import {settleWorld} from './settle.js';
import {listMoves} from './moves.js';
import {makeMove} from './world.js';
import type {Move, World} from './state.js';

/** What an exploration came to. */
export type Exploration = Readonly<{
	states: number;
	/** Moves on the longest of the shortest ways to a state. */
	depth: number;
	/** Worlds that were let come to rest. */
	settled: number;
	/** The first violation found, with the shortest way to it. */
	violation: (Violation & Readonly<{trace: readonly Move[]}>) | undefined;
	/** True if the limit ended it before every state was seen. */
	isCut: boolean;
}>;

type ExploreOptions = Readonly<{
	/** Traversals at the most. */
	limit: number;
	/** One in so many states is let come to rest as well; 0 for none. */
	settleEvery: number;
}>;

type Origin = Readonly<{from: string | undefined; move: Move | undefined; depth: number}>;

/** Ends the exploration at the first violation. */
class ViolationError extends Error {
	constructor(readonly violation: Violation, readonly key: string) {
		super(violation.detail);
	}
}

const describeTrace = (origins: ReadonlyMap<string, Origin>, key: string): readonly Move[] => {
	const origin = origins.get(key);
	return origin?.from === undefined || origin.move === undefined ? [] : [...describeTrace(origins, origin.from), origin.move];
};

/**
Explores every world that can come about, breadth first, and checks each.

@param initial - The first world.
@param options - How far to go.
@returns What was found.
*/
export const explore = (initial: World, options: ExploreOptions): Exploration => {
	const origins = new Map<string, Origin>();
	const keys = new WeakMap<World, string>();
	let settled = 0;

	const nameWorld = (world: World): string => {
		const known = keys.get(world);
		const key = known ?? serializeWorld(world);
		keys.set(world, key);
		return key;
	};

	const checkWorld = (world: World, key: string) => {
		const violation = findViolation(world);
		if (violation !== undefined) {
			throw new ViolationError(violation, key);
		}

		if (options.settleEvery > 0 && origins.size % options.settleEvery === 0) {
			settled += 1;
			const unsettled = findUnsettled(settleWorld(world));
			if (unsettled !== undefined) {
				throw new ViolationError(unsettled, key);
			}
		}
	};

	const visit = (world: World, move: Move | undefined, previous: World | undefined): string => {
		const key = nameWorld(world);
		if (!origins.has(key)) {
			const from = previous === undefined ? undefined : nameWorld(previous);
			origins.set(key, {from, move, depth: (origins.get(from ?? '')?.depth ?? -1) + 1});
			checkWorld(world, key);
		}

		return key;
	};

	const describe = (violation: Exploration['violation'], isCut: boolean): Exploration => ({
		states: origins.size, depth: Math.max(0, ...[...origins.values()].slice(-1).map(origin => origin.depth)), settled, violation, isCut,
	});

	const logic = fromTransition((state: {world: World}, move: Move) => ({world: makeMove(state.world, move)}), {world: initial});
	type State = ReturnType<typeof logic.getInitialSnapshot>;
	const options_ = {
		events: (state: State) => listMoves(state.context.world),
		serializeState: ((state: State, move: Move | undefined, previous: State | undefined) => visit(state.context.world, move, previous?.context.world)) as never,
		serializeEvent: ((move: Move) => JSON.stringify(move)) as never,
		limit: options.limit,
	};
	try {
		getAdjacencyMap(logic, options_);
		return describe(undefined, false);
	} catch (error) {
		if (error instanceof ViolationError) {
			return describe({...error.violation, trace: describeTrace(origins, error.key)}, false);
		}

		if (error instanceof Error && error.message === 'Traversal limit exceeded') {
			return describe(undefined, true);
		}

		throw error;
	}
};
