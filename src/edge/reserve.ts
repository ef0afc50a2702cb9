import {createFault} from '../errors/index.js';
import type {Fault} from '../errors/index.js';
import type {InFlightRequest} from '../in-flight/index.js';
import {chain, chainAll, keepState} from '../loop/step.js';
import {
	countAvailableTokens, countSpendableTokens, estimateReturnMs, explainShortage, getBudgetHold, handleQuotaEvent, isLargeFleet, recordUnmetDemand, reserveTokens,
	setWaitingTokens,
} from '../quota/index.js';
import type {QuotaEffect, QuotaEvent, Shortage} from '../quota/index.js';
import {spreadRetryAfter, suggestRetryAfter} from '../queue/index.js';
import {
	askForDelayed, askForTokens, canExpectTokens, continueTransfers, encodeTransfer, receiveTransfer,
} from '../token-transfer/index.js';
import type {
	QuotaTransfers, TransferEffect, TransferMessage, TransferStep,
} from '../token-transfer/index.js';
import {
	applyToRequest, createLogEffect, putRequest, rejectRequest,
} from './common.js';
import {updateShares} from './limits.js';
import type {EdgeEffect} from './messages.js';
import {placeRequest} from './place.js';
import type {EdgeState, EdgeStep} from './state.js';

const getBudgetLimit = (state: EdgeState, organisation: string): number => state.config?.budgets.get(organisation) ?? 0;

/** The client's error for each kind of token shortage. */
const shortageFaults: Readonly<Record<Shortage, (tokenNeed: string, retryAfter: number) => Fault>> = {
	exhausted: tokenNeed => createFault('budget-exhausted', `the budget cannot cover the request: ${tokenNeed}`),
	'held-elsewhere': (tokenNeed, retryAfter) => createFault('budget-held', `other routers hold what is left of the budget: ${tokenNeed}`, retryAfter),
	unavailable: (tokenNeed, retryAfter) => createFault('store-unavailable', `the store does not respond: ${tokenNeed}`, retryAfter),
};

/** Describes the tokens that a request needs and those that this router has. */
const describeTokenNeed = (state: EdgeState, request: InFlightRequest, now: number): string => {
	const hold = getBudgetHold(state.quota, request.budget ?? '');
	const spendable = countSpendableTokens(state.quota, request.budget ?? '', now);
	return `${request.maxCostTokens} tokens needed, ${countAvailableTokens(hold)} free, ${Math.floor(spendable)} to be spent now`;
};

/** Updates the demand for a budget: the total and the smallest cost of the requests that wait for its tokens. */
const updateTokenDemand = (state: EdgeState, budget: string): EdgeState => {
	const costs = state.requests.valueSeq().toArray().filter(request => request.phase === 'granting' && request.budget === budget).map(request => request.maxCostTokens);
	return {
		...state,
		quota: setWaitingTokens(state.quota, budget, costs.reduce((sum, cost) => sum + cost, 0), costs.length === 0 ? 0 : Math.min(...costs)),
	};
};

/** Determines when the client of a request retries: once other routers have returned tokens to the store, if they hold them. */
const computeTokenRetryAfter = (state: EdgeState, request: InFlightRequest, shortage: Shortage, random: number, now: number): number =>
	shortage === 'held-elsewhere' && isLargeFleet(state.quota)
		? spreadRetryAfter(estimateReturnMs(state.quota), random)
		: suggestRetryAfter(request.expiresAt - now, random);

const rejectForShortage = (state: EdgeState, request: InFlightRequest, shortage: Shortage, random: number, now: number): EdgeStep => {
	const fault = shortageFaults[shortage](describeTokenNeed(state, request, now), computeTokenRetryAfter(state, request, shortage, random, now));
	const rejected = rejectRequest(state, request, fault, now);
	return {state: rejected.state, effects: [...rejected.effects, {kind: 'count', metric: 'tokenShortages', labels: {reason: shortage}}]};
};

const getQuotaTransfers = ({quota, transfers}: EdgeState): QuotaTransfers => ({quota, transfers});

/** Reserves the tokens of a request, or rejects it on a shortage; undefined while tokens may still come from the store or from peers. */
const tryReserveTokens = (state: EdgeState, request: InFlightRequest, budget: string, random: number, now: number): EdgeStep | undefined => {
	const quota = reserveTokens(state.quota, budget, request.maxCostTokens, now);
	if (quota !== undefined) {
		const granted: InFlightRequest = {...request, reserved: request.maxCostTokens};
		return placeRequest(putRequest({...state, quota}, granted), granted, random, now);
	}

	const shortage = explainShortage(state.quota, budget, request.maxCostTokens, getBudgetLimit(state, budget));
	if (shortage === undefined || (shortage !== 'exhausted' && canExpectTokens(getQuotaTransfers(state), budget, now))) {
		return undefined;
	}

	const recorded = shortage === 'held-elsewhere' ? {...state, quota: recordUnmetDemand(state.quota, budget, request.maxCostTokens)} : state;
	return rejectForShortage(recorded, request, shortage, random, now);
};

const translateEffect = (effect: QuotaEffect): readonly EdgeEffect[] => effect.kind === 'changed'
	? []
	: (effect.kind === 'store'
		? [effect]
		: [{
			kind: 'log', level: effect.isFailure ? 'failure' : 'routine', event: effect.event, fields: effect.fields,
		}]);

/**
Applies an event to the token quota, then retries the requests that wait for tokens.

@param state - The edge state.
@param event - The quota event.
@param random - A random number in [0, 1).
@param now - The current time in ms.
@returns The new state and the effects.
*/
export const applyTokenEvent = (state: EdgeState, event: QuotaEvent, random: number, now: number): EdgeStep => {
	if (state.config === undefined) {
		return keepState(state);
	}

	const step = handleQuotaEvent(state.quota, event, now, {budgets: state.config.budgets});
	const updated: EdgeState = {...state, quota: step.state};
	const next: EdgeStep = {state: step.state.peers === state.quota.peers ? updated : updateShares(updated, now), effects: step.effects.flatMap(effect => translateEffect(effect))};
	const isChanged = step.effects.some(effect => effect.kind === 'changed');
	const served = isChanged ? chain(next, current => reserveForWaiting(current, random, now)) : next;
	const continued = isChanged || event.kind === 'tick'
		? chain(served, current => applyTransferStep(current, continueTransfers(getQuotaTransfers(current), now), random, now))
		: served;
	return event.kind === 'tick'
		? chain(continued, current => applyTransferStep(current, askForDelayed(getQuotaTransfers(current), random, now), random, now))
		: continued;
};

const transferTranslators: Readonly<{[Kind in TransferEffect['kind']]: (effect: TransferEffect & {kind: Kind}) => readonly EdgeEffect[]}> = {
	tell: ({address, message}) => [{kind: 'tell-peers', addresses: [address], message: encodeTransfer(message)}],
	granted: ({organisation, tokens, id}) => [
		createLogEffect('tokens-granted', {organisation, tokens, transfer: id}),
		{
			kind: 'count', metric: 'tokensGranted', labels: {}, amount: tokens,
		},
	],
	received: ({
		organisation, tokens, id, giver,
	}) => [
		createLogEffect('tokens-received', {
			organisation, tokens, transfer: id, router: giver,
		}),
		{
			kind: 'count', metric: 'tokensReceived', labels: {}, amount: tokens,
		},
	],
	widen: () => [],
	refused: () => [],
	'given-up': ({id, tokens}) => [{
		kind: 'log', level: 'failure', event: 'token-grant-unacknowledged', fields: {transfer: id, tokens},
	}],
};

/** Applies a step of the transfers, then writes the row or checks the waiting requests again if it calls for that. */
const applyTransferStep = (state: EdgeState, step: TransferStep, random: number, now: number): EdgeStep => {
	const updated: EdgeStep = {
		state: {...state, ...step.state},
		effects: step.effects.flatMap(effect => (transferTranslators[effect.kind] as (effect: TransferEffect) => readonly EdgeEffect[])(effect)),
	};
	const widened = step.effects.some(({kind}) => kind === 'widen') ? chain(updated, current => applyTokenEvent(current, {kind: 'wanted'}, random, now)) : updated;
	const budgets = step.effects.flatMap(effect => effect.kind === 'received' || effect.kind === 'refused' ? [effect.organisation] : []);
	return budgets.length === 0
		? widened
		: chain(
			chain(widened, current => reserveForWaiting(current, random, now)),
			current => chainAll(current, budgets, (each, budget) => askPeers(each, budget, random, now)),
		);
};

/** Asks peers for the tokens of a budget that waiting requests lack. */
const askPeers = (state: EdgeState, budget: string, random: number, now: number): EdgeStep =>
	applyTransferStep(state, askForTokens(getQuotaTransfers(state), budget, random, now), random, now);

/**
Handles a peer's message about tokens.

@param state - The edge state.
@param message - The message.
@param random - A random number in [0, 1).
@param now - The current time in ms.
@returns The new state and the effects.
*/
export const receivePeerTransfer = (state: EdgeState, message: TransferMessage, random: number, now: number): EdgeStep =>
	applyTransferStep(state, receiveTransfer(getQuotaTransfers(state), message, now), random, now);

/** Retries the reservations of waiting requests in order of arrival. */
const reserveForWaiting = (state: EdgeState, random: number, now: number): EdgeStep => {
	const waiting = state.requests.valueSeq().toArray().filter(request => request.phase === 'granting' && request.budget !== undefined).toSorted((a, b) => a.id - b.id);
	const granted = chainAll(state, waiting, (current, request) => tryReserveTokens(current, request, request.budget!, random, now) ?? keepState(current));
	const budgets = [...new Set(waiting.map(request => request.budget!))];
	return {state: budgets.reduce((current, budget) => updateTokenDemand(current, budget), granted.state), effects: granted.effects};
};

/**
Reserves the maximum cost of a new request and sends it on to an endpoint. The
request waits while tokens are being drawn from the store, or peers are asked for them.

@param state - The edge state.
@param request - The request in flight.
@param random - A random number in [0, 1).
@param now - The current time in ms.
@returns The new state and the effects.
*/
export const reserveForRequest = (state: EdgeState, request: InFlightRequest, random: number, now: number): EdgeStep => {
	const {budget} = request;
	if (budget === undefined) {
		return placeRequest(state, request, random, now);
	}

	const granted = tryReserveTokens(state, request, budget, random, now);
	if (granted !== undefined) {
		return granted;
	}

	const waiting = updateTokenDemand(putRequest(state, request), budget);
	const requested = applyTokenEvent(waiting, {kind: 'wanted'}, random, now);
	return explainShortage(state.quota, budget, request.maxCostTokens, getBudgetLimit(state, budget)) === undefined
		? requested
		: chain(requested, current => askPeers(current, budget, random, now));
};

/**
Rejects a request that has waited too long for tokens.

@param state - The edge state.
@param call - The request's number.
@param random - A random number in [0, 1).
@param now - The current time in ms.
@returns The new state and the effects.
*/
export const expireTokenWait = (state: EdgeState, call: number, random: number, now: number): EdgeStep => applyToRequest(state, call, request => {
	const {budget} = request;
	const shortage = budget === undefined ? undefined : explainShortage(state.quota, budget, request.maxCostTokens, getBudgetLimit(state, budget));
	const refused = rejectForShortage(state, request, shortage ?? 'unavailable', random, now);
	return {state: request.budget === undefined ? refused.state : updateTokenDemand(refused.state, request.budget), effects: refused.effects};
});
