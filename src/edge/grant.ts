import {createFault} from '../errors/index.js';
import type {Fault} from '../errors/index.js';
import type {Flight} from '../flight/index.js';
import {chain, chainAll, stay} from '../loop/step.js';
import {
	countFree, countSpendable, explainShortage, getHold, handlePurse, reserveTokens, wantTokens,
} from '../purse/index.js';
import type {PurseEffect, PurseEvent, Shortage} from '../purse/index.js';
import {suggestReturn} from '../queue/index.js';
import {putFlight, refuseFlight, withFlight} from './common.js';
import type {EdgeEffect} from './messages.js';
import {placeFlight} from './place.js';
import type {EdgeState, EdgeStep} from './state.js';

const getLimit = (state: EdgeState, organisation: string): number => state.catalog?.budgets.get(organisation) ?? 0;

/** From each reason for a shortage to the error that the caller gets. */
const shortages: Readonly<Record<Shortage, (need: string, retryAfter: number) => Fault>> = {
	exhausted: need => createFault('budget-exhausted', `the budget cannot cover the request: ${need}`),
	'held-elsewhere': (need, retryAfter) => createFault('budget-held', `other routers hold what is left of the budget: ${need}`, retryAfter),
	unavailable: (need, retryAfter) => createFault('store-unavailable', `the store does not answer: ${need}`, retryAfter),
};

/** What a call needs, and what there is of it here. */
const describeNeed = (state: EdgeState, flight: Flight, now: number): string => {
	const hold = getHold(state.purse, flight.budget ?? '');
	const spendable = countSpendable(state.purse, flight.budget ?? '', now);
	return `${flight.cost} tokens needed, ${countFree(hold)} free, ${Math.floor(spendable)} to be spent now`;
};

/** Puts into the purse what the calls that wait for tokens of a budget need. */
const countWanted = (state: EdgeState, budget: string): EdgeState => {
	const costs = state.flights.valueSeq().toArray().filter(flight => flight.phase === 'granting' && flight.budget === budget).map(flight => flight.cost);
	return {
		...state,
		purse: wantTokens(state.purse, budget, costs.reduce((sum, cost) => sum + cost, 0), costs.length === 0 ? 0 : Math.min(...costs)),
	};
};

/** Reserves a call's tokens, or explains why not; undefined while the store may still bring them. */
const tryGrant = (state: EdgeState, flight: Flight, budget: string, random: number, now: number): EdgeStep | undefined => {
	const purse = reserveTokens(state.purse, budget, flight.cost, now);
	if (purse !== undefined) {
		const granted: Flight = {...flight, reserved: flight.cost};
		return placeFlight(putFlight({...state, purse}, granted), granted, random, now);
	}

	const shortage = explainShortage(state.purse, budget, flight.cost, getLimit(state, budget));
	return shortage === undefined
		? undefined
		: refuseFlight(state, flight, shortages[shortage](describeNeed(state, flight, now), suggestReturn(flight.expiresAt - now, random)), now);
};

const translateEffect = (effect: PurseEffect): readonly EdgeEffect[] => effect.kind === 'changed'
	? []
	: (effect.kind === 'store'
		? [effect]
		: [{
			kind: 'log', level: effect.isFailure ? 'failure' : 'routine', event: effect.event, fields: effect.fields,
		}]);

/**
Lets the purse decide, then looks again at calls that wait for tokens.

@param state - The edge.
@param event - What happened to the purse.
@param random - In [0, 1).
@param now - The time in ms.
@returns The edge, and what it does.
*/
export const updatePurse = (state: EdgeState, event: PurseEvent, random: number, now: number): EdgeStep => {
	if (state.catalog === undefined) {
		return stay(state);
	}

	const step = handlePurse(state.purse, event, now, {budgets: state.catalog.budgets});
	const next: EdgeStep = {state: {...state, purse: step.state}, effects: step.effects.flatMap(effect => translateEffect(effect))};
	return step.effects.some(effect => effect.kind === 'changed')
		? chain(next, current => grantWaiting(current, random, now))
		: next;
};

/** Looks again at calls that wait for tokens, in the order in which they came. */
const grantWaiting = (state: EdgeState, random: number, now: number): EdgeStep => {
	const waiting = state.flights.valueSeq().toArray().filter(flight => flight.phase === 'granting' && flight.budget !== undefined).toSorted((a, b) => a.id - b.id);
	const granted = chainAll(state, waiting, (current, flight) => tryGrant(current, flight, flight.budget!, random, now) ?? stay(current));
	const budgets = [...new Set(waiting.map(flight => flight.budget!))];
	return {state: budgets.reduce((current, budget) => countWanted(current, budget), granted.state), effects: granted.effects};
};

/**
Reserves what a new call may cost, and goes on to its endpoint; waits if the
store is being asked for tokens.

@param state - The edge, which has the flight.
@param flight - The flight.
@param random - In [0, 1).
@param now - The time in ms.
@returns The edge, and what it does.
*/
export const grantFlight = (state: EdgeState, flight: Flight, random: number, now: number): EdgeStep => {
	const {budget} = flight;
	if (budget === undefined) {
		return placeFlight(state, flight, random, now);
	}

	const granted = tryGrant(state, flight, budget, random, now);
	if (granted !== undefined) {
		return granted;
	}

	const waiting = countWanted(putFlight(state, flight), budget);
	return updatePurse(waiting, {kind: 'wanted'}, random, now);
};

/**
Gives up on a call that waits for tokens.

@param state - The edge.
@param call - The call's number.
@param random - In [0, 1).
@param now - The time in ms.
@returns The edge, and what it does.
*/
export const expireGrant = (state: EdgeState, call: number, random: number, now: number): EdgeStep => withFlight(state, call, flight => {
	const fault = shortages.unavailable(describeNeed(state, flight, now), suggestReturn(flight.expiresAt - now, random));
	const refused = refuseFlight(state, flight, fault, now);
	return {state: flight.budget === undefined ? refused.state : countWanted(refused.state, flight.budget), effects: refused.effects};
});
