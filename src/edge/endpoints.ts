import type {InFlightRequest, ResponseHead} from '../in-flight/index.js';
import {keepState} from '../loop/step.js';
import {removeLeaving} from '../registry/index.js';
import type {Registry} from '../registry/index.js';
import {recordRetiredVersions} from '../stream-origin/index.js';
import {createLogEffect} from './common.js';
import type {EdgeEffect} from './messages.js';
import type {EdgeState, EdgeStep} from './state.js';

/** What stated that an endpoint came or went. */
type RegistrySource = 'registry' | 'endpoint';

/** Logs each endpoint that was added or removed; also closes idle connections to removed ones. */
const logEndpoints = (before: Registry, after: Registry, source: RegistrySource): readonly EdgeEffect[] => {
	const added = after.endpoints.valueSeq().toArray().filter(endpoint => before.endpoints.get(endpoint.id)?.startedAt !== endpoint.startedAt);
	const removed = before.endpoints.keySeq().toArray().filter(id => !after.endpoints.has(id));
	return [
		...added.map(({id, service, address, dataCentre, softwareVersion}) => createLogEffect('endpoint-came', {
			endpoint: id, service, address, dataCentre, softwareVersion,
		})),
		...removed.flatMap(id => [
			createLogEffect('endpoint-went', {endpoint: id, source}),
			{kind: 'forget', address: before.endpoints.get(id)!.address} as const,
		]),
	];
};

/**
Replaces the registry, and logs which endpoints came and went.

@param state - The edge state.
@param registry - The new registry.
@param now - The current time in ms.
@param source - What stated the change.
@returns The new state and the effects.
*/
export const setRegistry = (state: EdgeState, registry: Registry, now: number, source: RegistrySource = 'registry'): EdgeStep => registry === state.registry
	? keepState(state)
	: {
		state: {...state, registry, retiredVersions: recordRetiredVersions(state.retiredVersions, state.registry, registry, now)},
		effects: logEndpoints(state.registry, registry, source),
	};

/**
Removes the endpoint of a response if it states that it is leaving. The response of
another incarnation says nothing about the endpoint.

@param state - The edge state.
@param request - The request that the response belongs to.
@param head - The head of the response.
@param now - The current time in ms.
@returns The new state and the effects.
*/
export const recordLeaving = (state: EdgeState, request: InFlightRequest, {isLeaving, isOtherIncarnation}: ResponseHead, now: number): EdgeStep =>
	isLeaving && !isOtherIncarnation ? setRegistry(state, removeLeaving(state.registry, request.triedEndpoints.at(-1) ?? ''), now, 'endpoint') : keepState(state);
