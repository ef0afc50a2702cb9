import fc from 'fast-check';
import {List} from 'immutable';
import {findUnsettled, findViolation} from './properties.js';
import type {Violation} from './properties.js';
import {createStorm} from './scenarios.js';
import {settleWorld} from './settle.js';
import {listMoves} from './moves.js';
import {makeMove} from './world.js';
import type {Move, World} from './state.js';

/** A schedule: each number chooses among the moves that are possible then. */
export type Schedule = readonly number[];

/** What playing a schedule came to. */
export type Played = Readonly<{world: World; violation: Violation | undefined; moves: List<Move>}>;

const maxMoves = 120;
const resolution = 0x1_00_00;

/** Ticks are possible at any time and would drown everything else. */
const weighMoves = (moves: readonly Move[]): readonly Move[] => {
	const progress = moves.filter(move => move.type !== 'tick');
	return [...progress, ...progress, ...moves];
};

const playMove = (played: Played, choice: number): Played => {
	if (played.violation !== undefined) {
		return played;
	}

	const moves = weighMoves(listMoves(played.world));
	const move = moves[Math.floor(choice / resolution * moves.length)];
	if (move === undefined) {
		return played;
	}

	const world = makeMove(played.world, move);
	return {world, violation: findViolation(world), moves: played.moves.push(move)};
};

/**
Plays a schedule, then lets the world come to rest.

@param world - The world to begin with.
@param schedule - The choices.
@returns The world at rest, and the first promise broken on the way or there.
*/
export const playSchedule = (world: World, schedule: Schedule): Played => {
	const start: Played = {world, violation: undefined, moves: List()};
	const played = schedule.reduce((current, choice) => playMove(current, choice), start);
	if (played.violation !== undefined) {
		return played;
	}

	const rested = settleWorld(played.world);
	return {...played, world: rested, violation: findUnsettled(rested)};
};

type RunOptions = Readonly<{runs: number; seed: number; broken?: string}>;

/**
Plays random schedules of a storm of faults, and shrinks the first that breaks a promise.

@param options - How many, from which seed, and a rule to switch off.
@returns `ok` with the count, or the shortest schedule found with what it breaks.
*/
export const runSchedules = (options: RunOptions): string => {
	const schedules = fc.array(fc.integer({min: 0, max: resolution - 1}), {minLength: 20, maxLength: maxMoves, size: 'max'});
	const property = fc.property(schedules, fc.integer({min: 0, max: 1_000_000}), (schedule, storm) =>
		playSchedule(createStorm(storm, options.broken), schedule).violation === undefined);
	const result = fc.check(property, {numRuns: options.runs, seed: options.seed});
	if (!result.failed) {
		return `ok: ${result.numRuns} schedules, seed ${options.seed}`;
	}

	const [schedule, storm] = result.counterexample ?? [[], 0];
	const played = playSchedule(createStorm(storm, options.broken), schedule);
	const moves = played.moves.map((move, index) => `  ${index + 1}. ${JSON.stringify(move)}`).join('\n');
	return `violation: ${played.violation?.property}: ${played.violation?.detail}\n  seed ${options.seed}, storm ${storm}\n${moves}`;
};
