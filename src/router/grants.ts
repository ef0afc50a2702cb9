import {createBudgetGrant, handleGrantEvent} from '../budget/index.js';
import type {
	BudgetGrant, GrantContext, GrantEffect, GrantEvent,
} from '../budget/index.js';
import type {Bill} from '../bill/index.js';
import {chainAll, keepState} from '../loop/index.js';
import {resumeGrantWaiters} from '../request/grant.js';
import type {RouterEffect, RouterStep} from './messages.js';
import {logEvent} from './messages.js';
import type {RouterState} from './state.js';

const minSettleIntervalMs = 2000;
const maxFleetSettlementsPerSecond = 150;

/**
Computes the interval between settlements that keeps all routers together below the fleet's
settlement rate, however many grants they hold.
*/
const computeSettleIntervalMs = (state: RouterState): number =>
	Math.max(minSettleIntervalMs, state.pots.size * (state.peers.size + 1) * 1000 / maxFleetSettlementsPerSecond);

const buildContext = (state: RouterState): GrantContext => ({
	router: state.incarnation,
	routers: state.peers.size + 1,
	policy: state.policy,
	settleIntervalMs: state.phase === 'serving' ? computeSettleIntervalMs(state) : 0,
	canDraw: state.phase === 'serving' && state.reach.row === 'active',
	...(state.disabledRule !== undefined && {disabledRule: state.disabledRule}),
});

/**
Finds the router's grant of a budget, or creates an empty one.

@param state - The router's state.
@param budget - The budget.
@param now - The time in ms.
@returns The grant, which is not stored in the state yet if it is new.
*/
export const findGrant = (state: RouterState, budget: string, now: number): BudgetGrant => state.pots.get(budget) ?? createBudgetGrant(budget, now);

/**
Replaces a grant in the router's state.

@param state - The router's state.
@param grant - The new grant.
@returns The router's state with the grant.
*/
export const putGrant = (state: RouterState, grant: BudgetGrant): RouterState => ({...state, pots: state.pots.set(grant.budget, grant)});

/** Tells agents to forget attempts whose bill is durable. An attempt that may still run is kept until it ends. */
const settleAttempts = (state: RouterState, bills: readonly Bill[]): readonly RouterEffect[] =>
	bills
		.flatMap(bill => bill.attempts)
		.filter(place => !state.attempts.has(place.attempt))
		.map(place => ({kind: 'settle', agent: place.agent, attempts: [place.attempt]}));

type EffectHandler = (state: RouterState, effect: GrantEffect, now: number) => RouterStep;

const effectHandlers: Readonly<{[Kind in GrantEffect['kind']]: (state: RouterState, effect: GrantEffect & {kind: Kind}, now: number) => RouterStep}> = {
	store: (state, effect) => ({state, effects: [{kind: 'store', tag: {slice: 'pot', subject: effect.budget}, call: effect.call}]}),
	'pot-changed': (state, effect, now) => resumeGrantWaiters(state, effect.budget, effect.reason, now),
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
Applies an event to the grant of a budget, and handles the effects that the grant requests.

@param state - The router's state.
@param budget - The budget.
@param event - The event.
@param now - The time in ms.
@returns The router's new state and the effects to perform.
*/
export const updateGrant = (state: RouterState, budget: string, event: GrantEvent, now: number): RouterStep => {
	const step = handleGrantEvent(findGrant(state, budget, now), event, now, buildContext(state));
	return chainAll(putGrant(state, step.state), step.effects, (current, effect) => {
		const handleEffect = effectHandlers[effect.kind] as EffectHandler;
		return handleEffect(current, effect, now);
	});
};

/**
Applies an event to every grant.

@param state - The router's state.
@param event - The event.
@param now - The time in ms.
@returns The router's new state and the effects to perform.
*/
export const updateGrants = (state: RouterState, event: GrantEvent, now: number): RouterStep =>
	chainAll(state, state.pots.keySeq().toArray(), (current, budget) => updateGrant(current, budget, event, now));

/** A grant with nothing in progress handles only one tick out of this many. */
const idleTickInterval = 16;

/**
Passes a tick to the grants: every tick to those with something in progress, and in
turn to the others, so that a router can hold many grants.

@param state - The router's state.
@param now - The time in ms.
@returns The router's new state and the effects to perform.
*/
export const tickGrants = (state: RouterState, now: number): RouterStep => {
	const idleTurn = state.ticks % idleTickInterval;
	const due = state.pots.valueSeq().toArray()
		.filter((grant, index) => grant.sync.step !== 'idle' || !grant.unsettled.isEmpty() || (index % idleTickInterval) === idleTurn)
		.map(grant => grant.budget);
	return chainAll({...state, ticks: state.ticks + 1}, due, (current, budget) => updateGrant(current, budget, {kind: 'tick'}, now));
};

/**
Releases reserved tokens, and resumes requests that wait for tokens of the budget.

@param state - The router's state.
@param budget - The budget.
@param tokens - The number of reserved tokens.
@param now - The time in ms.
@returns The router's new state and the effects to perform.
*/
export const releaseTokens = (state: RouterState, budget: string, tokens: number, now: number): RouterStep => {
	const grant = state.pots.get(budget);
	if (grant === undefined || tokens === 0) {
		return keepState(state);
	}

	const released = putGrant(state, {...grant, reserved: grant.reserved - tokens});
	const hasWaitingRequest = state.requests.some(request => request.phase === 'granting' && request.budget === budget);
	return hasWaitingRequest ? resumeGrantWaiters(released, budget, 'drawn', now) : keepState(released);
};
