import {createPot, handlePot} from '../budget/index.js';
import type {
	Pot, PotContext, PotEffect, PotEvent,
} from '../budget/index.js';
import type {Bill} from '../bill/index.js';
import {chainAll, stay} from '../loop/index.js';
import {resumeGranting} from '../request/grant.js';
import type {RouterEffect, RouterStep} from './messages.js';
import {logEvent} from './messages.js';
import type {RouterState} from './state.js';

const minSettleInterval = 2000; // Milliseconds
/** Settlements a second that the whole fleet may write. */
const fleetSettleRate = 150;

/** All routers together stay below the fleet's rate, however many pots there are. */
const computeSettleInterval = (state: RouterState): number =>
	Math.max(minSettleInterval, state.pots.size * (state.peers.size + 1) * 1000 / fleetSettleRate);

const describeContext = (state: RouterState): PotContext => ({
	router: state.incarnation,
	routers: state.peers.size + 1,
	policy: state.policy,
	settleInterval: state.phase === 'serving' ? computeSettleInterval(state) : 0,
	mayDraw: state.phase === 'serving' && state.reach.row === 'active',
	...(state.broken !== undefined && {broken: state.broken}),
});

/**
Finds the pot of a budget, a new one if need be.

@param state - The router.
@param budget - The budget.
@param now - The time in ms.
@returns The pot.
*/
export const findPot = (state: RouterState, budget: string, now: number): Pot => state.pots.get(budget) ?? createPot(budget, now);

/**
Changes a pot.

@param state - The router.
@param pot - The pot.
@returns The router with it.
*/
export const putPot = (state: RouterState, pot: Pot): RouterState => ({...state, pots: state.pots.set(pot.budget, pot)});

/** Lets agents forget attempts whose bill is durable. One that may still run is left until it ends. */
const settleAttempts = (state: RouterState, bills: readonly Bill[]): readonly RouterEffect[] =>
	bills
		.flatMap(bill => bill.attempts)
		.filter(place => !state.attempts.has(place.attempt))
		.map(place => ({kind: 'settle', agent: place.agent, attempts: [place.attempt]}));

type Perform = (state: RouterState, effect: PotEffect, now: number) => RouterStep;

const performers: Readonly<{[Kind in PotEffect['kind']]: (state: RouterState, effect: PotEffect & {kind: Kind}, now: number) => RouterStep}> = {
	store: (state, effect) => ({state, effects: [{kind: 'store', tag: {slice: 'pot', subject: effect.budget}, call: effect.call}]}),
	'pot-changed': (state, effect, now) => resumeGranting(state, effect.budget, effect.reason, now),
	'bills-settled': (state, effect) => ({
		state,
		effects: [
			logEvent('bills-settled', {budget: effect.budget, bills: effect.bills.length, duplicates: effect.duplicates.length}),
			...settleAttempts(state, [...effect.bills, ...effect.duplicates]),
		],
	}),
	fenced: (state, effect) => ({
		state: {...state, phase: 'fenced', pots: state.pots.delete(effect.budget)},
		effects: [logEvent('router-fenced', {router: state.incarnation, budget: effect.budget})],
	}),
};

/**
Hands an event to a budget's pot and canFollow up what it asks for.

@param state - The router.
@param budget - The budget.
@param event - What happened to its pot.
@param now - The time in ms.
@returns The router and what it does.
*/
export const updatePot = (state: RouterState, budget: string, event: PotEvent, now: number): RouterStep => {
	const step = handlePot(findPot(state, budget, now), event, now, describeContext(state));
	return chainAll(putPot(state, step.state), step.effects, (current, effect) => {
		const perform = performers[effect.kind] as Perform;
		return perform(current, effect, now);
	});
};

/**
Hands an event to every pot.

@param state - The router.
@param event - What happened.
@param now - The time in ms.
@returns The router and what it does.
*/
export const updatePots = (state: RouterState, event: PotEvent, now: number): RouterStep =>
	chainAll(state, state.pots.keySeq().toArray(), (current, budget) => updatePot(current, budget, event, now));

/** A pot with nothing under way is looked at in one tick out of so many. */
const restingTicks = 16;

/**
Lets time pass for the pots: at once for those with something under way, in turn
for the others, so that a router may hold many.

@param state - The router.
@param now - The time in ms.
@returns The router and what it does.
*/
export const tickPots = (state: RouterState, now: number): RouterStep => {
	const turn = state.ticks % restingTicks;
	const due = state.pots.valueSeq().toArray()
		.filter((pot, index) => pot.sync.step !== 'idle' || !pot.unsettled.isEmpty() || (index % restingTicks) === turn)
		.map(pot => pot.budget);
	return chainAll({...state, ticks: state.ticks + 1}, due, (current, budget) => updatePot(current, budget, {kind: 'tick'}, now));
};

/**
Ends a reservation, and lets requests go on that lacked these tokens.

@param state - The router.
@param budget - The budget.
@param tokens - What was held back.
@param now - The time in ms.
@returns The router and what it does.
*/
export const releaseTokens = (state: RouterState, budget: string, tokens: number, now: number): RouterStep => {
	const pot = state.pots.get(budget);
	if (pot === undefined || tokens === 0) {
		return stay(state);
	}

	const released = putPot(state, {...pot, reserved: pot.reserved - tokens});
	const isAwaited = state.requests.some(request => request.phase === 'granting' && request.budget === budget);
	return isAwaited ? resumeGranting(released, budget, 'drawn', now) : stay(released);
};
