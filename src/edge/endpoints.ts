import {recordStatedLoad} from '../endpoint-performance/index.js';
import type {ResponseHead} from '../in-flight/index.js';
import {chain, keepState} from '../loop/step.js';
import {explainAbsence, findIncarnation, removeLeaving} from '../registry/index.js';
import type {Incarnation, Registry, RegistryEntry} from '../registry/index.js';
import {recordRetiredVersions} from '../stream-origin/index.js';
import {recordColdTime} from './cold.js';
import {createLogEffect, updateKnownEndpoint} from './common.js';
import {recordPushback, recordRateLimit} from './limits.js';
import type {EdgeEffect, EdgeEvent} from './messages.js';
import type {EdgeState, EdgeStep} from './state.js';

/** What stated that an endpoint came or went. */
type RegistrySource = 'registry' | 'endpoint' | 'peer';

/** Logs each incarnation that was added or removed; also closes idle connections to removed ones. */
const logEndpoints = (before: Registry, after: Registry, source: RegistrySource): readonly EdgeEffect[] => {
	const added = after.endpoints.valueSeq().toArray().filter(endpoint => findIncarnation(before, endpoint) === undefined);
	const removed = before.endpoints.valueSeq().toArray().filter(endpoint => findIncarnation(after, endpoint) === undefined);
	const missing = after.endpoints.valueSeq().toArray().filter(endpoint => endpoint.missingUntil !== undefined && findIncarnation(before, endpoint)?.missingUntil === undefined);
	return [
		...added.map(({id, service, address, dataCentre, softwareVersion}) => createLogEffect('endpoint-came', {
			endpoint: id, service, address, dataCentre, softwareVersion,
		})),
		...missing.map(({id, startedAt}) => createLogEffect('endpoint-missing', {endpoint: id, startedAt})),
		...removed.flatMap(({id, address, startedAt}) => [
			createLogEffect('endpoint-went', {endpoint: id, startedAt, source}),
			{kind: 'forget', address} as const,
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
Logs entries that name an endpoint to use, and that the registry did not take for evidence of one.

@param registry - The registry, to which the entries have been applied.
@param entries - The entries.
@returns The effects.
*/
export const logIgnoredEntries = (registry: Registry, entries: readonly RegistryEntry[]): readonly EdgeEffect[] => entries
	.filter(entry => !entry.isLeaving && registry.endpoints.get(entry.id)?.rowVersion !== entry.rowVersion)
	.map(entry => createLogEffect('entry-ignored', {
		endpoint: entry.id, startedAt: entry.startedAt, reason: explainAbsence(registry, entry),
	}));

const recordLoad = (state: EdgeState, incarnation: Incarnation, {load}: ResponseHead, now: number): EdgeState =>
	updateKnownEndpoint(state, incarnation, endpoint => load === undefined
		? {...endpoint, lastResponseAt: now}
		: {
			...endpoint, lastResponseAt: now, load: recordStatedLoad(endpoint.load, load, now), sentSinceReport: load.running === undefined ? endpoint.sentSinceReport : 0,
		});

const recordLeaving = (state: EdgeState, incarnation: Incarnation, {isLeaving}: ResponseHead, now: number): EdgeStep =>
	isLeaving ? setRegistry(state, removeLeaving(state.registry, incarnation, now), now, 'endpoint') : keepState(state);

/**
Removes the endpoints that have stated to a peer that they are leaving.

@param state - The edge state.
@param leaving - The incarnations.
@param now - The current time in ms.
@returns The new state and the effects.
*/
export const receivePeerLeaving = (state: EdgeState, leaving: readonly Incarnation[], now: number): EdgeStep =>
	setRegistry(state, leaving.reduce((registry, each) => removeLeaving(registry, each), state.registry), now, 'peer');

/**
Records what a response states of its endpoint: load, rate limit, pushback, and that it
is leaving. It speaks for the incarnation that its request was sent to; if it comes from
another one, it says nothing. Whatever request a response is for, its endpoint may only be
spared because of it: one that is doubted says nothing of load and limits, which may have
changed since.

@param state - The edge state.
@param event - The endpoint and the head of the response.
@param now - The current time in ms.
@returns The new state and the effects.
*/
export const receiveStatements = (state: EdgeState, {endpoint, head, isDoubted}: EdgeEvent & {kind: 'response-began'}, now: number): EdgeStep => {
	if (head.isOtherIncarnation) {
		return keepState(state);
	}

	const limited = isDoubted ? keepState(state) : recordRateLimit(recordLoad(state, endpoint, head, now), endpoint, head, now);
	const warmedUp = chain(limited, recorded => recordColdTime(recorded, endpoint, head, isDoubted, now));
	const pushedBack = chain(warmedUp, recorded => recordPushback(recorded, endpoint, head, now));
	return chain(pushedBack, recorded => recordLeaving(recorded, endpoint, head, now));
};
