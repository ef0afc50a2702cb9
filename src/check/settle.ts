import {lastTick} from './freeze.js';
import {serializeWorld} from './serialize.js';
import {listMoves} from './moves.js';
import {addRouter, noFaults, startWatching} from './state.js';
import {makeMove, postRouter} from './world.js';
import type {Move, World} from './state.js';

const maxRounds = 60;
const maxDeliveries = 300;
const healer = 'z';

const isProgress = (move: Move): boolean => move.type !== 'tick' && move.type !== 'gossip';

/**
Delivers whatever is under way, first come first served.

@param world - The world.
@param limit - Moves at the most.
@returns The world with nothing under way.
*/
export const deliverAll = (world: World, limit: number): World => {
	const move = listMoves(world).find(each => isProgress(each));
	return move === undefined || limit === 0 ? world : deliverAll(makeMove(world, move), limit - 1);
};

/**
Lets every router's timers run once.

@param world - The world.
@returns The world with nothing under way.
*/
export const tickAll = (world: World): World => world.routers.keySeq().reduce(
	(current, router) => deliverAll(makeMove(current, {type: 'tick', router}), maxDeliveries),
	deliverAll(world, maxDeliveries),
);

const rest = (world: World, rounds: number): World => {
	const next = tickAll(world);
	return rounds === 0 || serializeWorld(next) === serializeWorld(world) ? next : rest(next, rounds - 1);
};

/**
Lets a world come to rest: no more faults, everything is delivered, the routers
leave in good order, and a fresh one takes back what they may have left.

@param world - The world.
@returns The world at rest.
*/
export const settleWorld = (world: World): World => {
	const calm = rest({...world, faults: noFaults}, maxRounds);
	const expired = rest(calm.routers.keySeq().reduce((current, router) => postRouter(current, router, {kind: 'tick'}, lastTick), calm), maxRounds);
	const leaving = expired.routers.keySeq().reduce((current, router) => postRouter(current, router, {kind: 'drain-asked'}), expired);
	const left = startWatching(addRouter(rest(leaving, maxRounds), healer), healer);
	const reclaimed = rest(left, maxRounds);
	return rest(postRouter(reclaimed, healer, {kind: 'drain-asked'}), maxRounds);
};
