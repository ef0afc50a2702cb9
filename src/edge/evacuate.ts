import {replaceEvacuations, updateEvacuations} from '../evacuation/index.js';
import type {Evacuations} from '../evacuation/index.js';
import {chain, chainAll} from '../loop/step.js';
import {assumeColdEndpoints} from './cold.js';
import {createLogEffect} from './common.js';
import {isWithoutEndpoint} from './eligibility.js';
import type {EdgeEvent} from './messages.js';
import {placeRequest} from './place.js';
import type {EdgeState, EdgeStep} from './state.js';

/** Rejects the queued requests that are left without an endpoint, whose clients learn at once that they have to return later. */
const rejectStranded = (state: EdgeState, now: number): EdgeStep => {
	const stranded = state.requests.valueSeq().toArray().filter(request => request.phase === 'queued' && isWithoutEndpoint(state, request, now));
	return chainAll(state, stranded, (current, request) => placeRequest(current, request, 0, now));
};

/** Applies the evacuations, and logs each that began or ended. */
const setEvacuations = (state: EdgeState, evacuations: Evacuations, now: number): EdgeStep => {
	const {evacuations: before} = state;
	const began = evacuations.keySeq().toArray().filter(dataCentre => !before.has(dataCentre));
	const ended = before.entrySeq().toArray().filter(([dataCentre]) => !evacuations.has(dataCentre));
	const countEndpoints = (dataCentre: string) => state.registry.endpoints.count(endpoint => endpoint.dataCentre === dataCentre);
	const changed: EdgeStep = {
		state: {...state, evacuations},
		effects: [
			...began.map(dataCentre => createLogEffect('evacuation-began', {dataCentre, endpoints: countEndpoints(dataCentre)})),
			...ended.map(([dataCentre, since]) => createLogEffect('evacuation-ended', {dataCentre, endpoints: countEndpoints(dataCentre), after: Math.round(now - since)})),
		],
	};
	const rejected = began.length === 0 ? changed : chain(changed, current => rejectStranded(current, now));
	return chain(rejected, current => assumeColdEndpoints(current, ended.map(([dataCentre]) => dataCentre), now));
};

/**
Replaces the evacuated data centres by those that were read.

@param state - The edge state.
@param event - All evacuations.
@param now - The current time in ms.
@returns The new state and the effects.
*/
export const receiveEvacuations = (state: EdgeState, event: EdgeEvent & {kind: 'evacuations-read'}, now: number): EdgeStep =>
	setEvacuations(state, replaceEvacuations(state.evacuations, event.evacuations, now), now);

/**
Applies changes of the evacuated data centres.

@param state - The edge state.
@param event - The changes.
@param now - The current time in ms.
@returns The new state and the effects.
*/
export const receiveEvacuationChanges = (state: EdgeState, event: EdgeEvent & {kind: 'evacuations-changed'}, now: number): EdgeStep =>
	setEvacuations(state, updateEvacuations(state.evacuations, event.evacuations, now), now);
