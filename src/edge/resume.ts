import {Set} from 'immutable';
import {createFault} from '../errors/index.js';
import type {InFlightRequest} from '../in-flight/index.js';
import {chain, chainAll, keepState} from '../loop/step.js';
import {suggestRetryAfter} from '../queue/index.js';
import {
	completeVersionSave, decodeOrigin, encodeOrigins, findOrigin, findSoleVersion, originParts, planSave, planVersionSave, recordSavedVersions, recordSeenVersions, resetSavedOrigins,
	resetSavedVersions, retentionMs, takeUntoldOrigins,
} from '../stream-origin/index.js';
import type {StreamOrigin, VersionReading} from '../stream-origin/index.js';
import {applyToRequest, putRequest, rejectRequest} from './common.js';
import type {EdgeEvent} from './messages.js';
import {reserveForRequest} from './reserve.js';
import type {EdgeState, EdgeStep} from './state.js';

/** Delay before a missing row is read again, and for how long: a stream that has just begun is saved within that time. */
const rereadDelayMs = 40;
const rereadLimitMs = 80;

/** How the origin of a stream is known, for metrics. */
type OriginSource = 'own' | 'store' | 'sole-version' | 'none';

const countResumption = (step: EdgeStep, request: InFlightRequest, origin: OriginSource): EdgeStep => ({
	state: step.state,
	effects: [{kind: 'count', metric: 'streamsResumed', labels: {service: request.service, origin}}, ...step.effects],
});

const rejectResumption = (state: EdgeState, request: InFlightRequest, detail: string, random: number, now: number): EdgeStep =>
	rejectRequest(state, request, createFault('stream-not-resumable', detail, suggestRetryAfter(request.expiresAt - now, random)), now);

/** Continues a stream at the service and version that began it, provided that the route still allows that service. */
const continueStream = (state: EdgeState, request: InFlightRequest, origin: StreamOrigin, random: number, now: number): EdgeStep => {
	const {service, softwareVersion} = origin;
	if (!request.route.services.some(({name}) => name === service)) {
		return rejectResumption(state, request, `the stream began at service ${service}, which route ${request.route.name} no longer names`, random, now);
	}

	if (!state.registry.endpoints.some(endpoint => endpoint.service === service && endpoint.softwareVersion === softwareVersion)) {
		return rejectResumption(state, request, `service ${service} has no endpoint of version ${softwareVersion}, which began the stream`, random, now);
	}

	const located: InFlightRequest = {
		...request, phase: 'granting', phaseAt: now, service, streamVersion: softwareVersion,
	};
	return reserveForRequest(putRequest(state, located), located, random, now);
};

/** Rejects a request because it is not known which version began its stream. */
const rejectUnverified = (state: EdgeState, request: InFlightRequest, reason: string, random: number, now: number): EdgeStep =>
	countResumption(rejectResumption(state, request, `it is not known where the stream began: ${reason}`, random, now), request, 'none');

/** Begins to read which versions are in use, unless such a reading is in progress: that one began too early for requests that have come since. */
const startVersionReading = (state: EdgeState): EdgeStep => {
	if (state.versionReading !== undefined) {
		return keepState(state);
	}

	const waiting = Set(state.requests.valueSeq().filter(({phase}) => phase === 'verifying').map(({id}) => id));
	return waiting.isEmpty()
		? keepState(state)
		: {state: {...state, versionReading: waiting}, effects: [{kind: 'read-versions-in-use'}]};
};

/**
Asks the store which versions are in use, for a stream whose origin is not recorded. That no other version is known to
this process proves nothing: it may not have read the registry since the stream began.
*/
const verifyVersions = (state: EdgeState, request: InFlightRequest, random: number, now: number): EdgeStep => state.registry.isUnavailable
	? rejectUnverified(state, request, 'the store is away', random, now)
	: startVersionReading(putRequest(state, {...request, phase: 'verifying', phaseAt: now}));

/** Continues a stream whose origin is not recorded if its service has only one version, and rejects it otherwise. */
const continueAtSoleVersion = (state: EdgeState, request: InFlightRequest, random: number, now: number): EdgeStep => {
	const softwareVersion = findSoleVersion(state.registry, state.retiredVersions, request.service, now);
	return softwareVersion === undefined
		? rejectUnverified(state, request, `service ${request.service} has or had several versions, or none`, random, now)
		: countResumption(continueStream(state, request, {service: request.service, softwareVersion}, random, now), request, 'sole-version');
};

/** Tells whether all versions are known that may have begun a stream: the store had lost none lately when this process read them first. */
const isComplete = ({savedVersions: {isRead, completeFrom}}: EdgeState, {restorationAgeMs = Number.POSITIVE_INFINITY}: VersionReading, now: number): boolean =>
	isRead ? now >= completeFrom : restorationAgeMs >= retentionMs;

/**
Handles the store's reply to the question which versions are in use.

@param state - The edge state.
@param event - The entries of the registry and the saved versions; undefined if they could not be read.
@param now - The current time in ms.
@returns The new state and the effects.
*/
export const receiveVersionsInUse = (state: EdgeState, {reading, random}: EdgeEvent & {kind: 'versions-in-use-read'}, now: number): EdgeStep => {
	const waiting = [...(state.versionReading ?? Set<number>())];
	// Rows that were written since an older copy was made may be missing.
	const isKnown = reading !== undefined && !state.registry.isUnavailable && !state.registry.isRestored && isComplete(state, reading, now);
	const read: EdgeState = {
		...state,
		versionReading: undefined,
		retiredVersions: reading === undefined ? state.retiredVersions : recordSeenVersions(state.retiredVersions, state.registry, reading, now),
	};
	const settled = chainAll(read, waiting, (current, id) => applyToRequest(current, id, request => {
		if (request.phase !== 'verifying') {
			return keepState(current);
		}

		return isKnown ? continueAtSoleVersion(current, request, random, now) : rejectUnverified(current, request, 'the versions in use cannot be read', random, now);
	}));
	return chain(settled, startVersionReading);
};

/**
Ends the wait for the store's reply to the question which versions are in use.

@param state - The edge state.
@param call - The request's number.
@param random - A random number in [0, 1).
@param now - The current time in ms.
@returns The new state and the effects.
*/
export const expireVerifying = (state: EdgeState, call: number, random: number, now: number): EdgeStep => applyToRequest(state, call, request =>
	rejectUnverified(state, request, 'the store does not say which versions are in use', random, now));

/**
Sends a new request on; if its client resumes a stream, first finds out where that began.

@param state - The edge state.
@param request - The request in flight.
@param random - A random number in [0, 1).
@param now - The current time in ms.
@returns The new state and the effects.
*/
export const locateStream = (state: EdgeState, request: InFlightRequest, random: number, now: number): EdgeStep => {
	const {resumeAfter, resumedKey} = request.head;
	if (resumeAfter === undefined || request.route.kind !== 'stream') {
		return reserveForRequest(state, request, random, now);
	}

	if (resumedKey === undefined) {
		return verifyVersions(state, request, random, now);
	}

	const origin = findOrigin(state.origins, resumedKey);
	return origin === undefined
		? {
			state: putRequest(state, {...request, phase: 'locating', phaseAt: now}),
			effects: [{
				kind: 'read-origin', call: request.id, key: resumedKey, delayMs: 0,
			}],
		}
		: countResumption(continueStream(state, request, origin, random, now), request, 'own');
};

/**
Handles the store's reply to the question where a stream began.

@param state - The edge state.
@param event - The reply.
@param now - The current time in ms.
@returns The new state and the effects.
*/
export const receiveOrigin = (state: EdgeState, event: EdgeEvent & {kind: 'origin-read'}, now: number): EdgeStep => applyToRequest(state, event.call, request => {
	const {reply, random} = event;
	if (request.phase !== 'locating') {
		return keepState(state);
	}

	const {resumedKey = ''} = request.head;
	const origin = reply.kind === 'done' ? decodeOrigin(reply.rows.find(({key}) => key === resumedKey)?.value) : undefined;
	if (reply.kind === 'done' && reply.rows.length === 0 && now - request.phaseAt < rereadLimitMs) {
		return {
			state, effects: [{
				kind: 'read-origin', call: request.id, key: resumedKey, delayMs: rereadDelayMs,
			}],
		};
	}

	return origin === undefined
		? verifyVersions(state, request, random, now)
		: countResumption(continueStream(state, request, origin, random, now), request, 'store');
});

/**
Ends the wait for the store's reply to the question where a stream began. Which versions are in use may be answered, be it over another path.

@param state - The edge state.
@param call - The request's number.
@param random - A random number in [0, 1).
@param now - The current time in ms.
@returns The new state and the effects.
*/
export const expireLocating = (state: EdgeState, call: number, random: number, now: number): EdgeStep => applyToRequest(state, call, request =>
	verifyVersions(state, request, random, now));

/**
Saves the origins of streams that began lately.

@param state - The edge state.
@param now - The current time in ms.
@returns The new state and the effects.
*/
export const saveOrigins = (state: EdgeState, now: number): EdgeStep => chainAll(state, originParts, (current, part) => {
	const {origins, writes} = planSave(current.origins, part, now);
	return {state: {...current, origins}, effects: writes.length === 0 ? [] : [{kind: 'save-origins', part, writes}]};
});

/**
Tells a peer where streams have begun lately: one that is heard, of the own data centre if there is one, and the same one each time.

@param state - The edge state.
@returns The new state and the effects.
*/
export const tellOrigins = (state: EdgeState): EdgeStep => {
	const {origins, told} = takeUntoldOrigins(state.origins);
	if (told.length === 0) {
		return keepState(state);
	}

	const heard = state.gossipPeers.ordered.filter(({router}) => state.peers.has(router));
	const witness = heard.find(({router}) => state.peers.get(router)?.dataCentre === state.dataCentre) ?? heard[0];
	return {state: {...state, origins}, effects: witness === undefined ? [] : [{kind: 'tell-peers', addresses: [witness.peerAddress], message: encodeOrigins(told)}]};
};

/**
Adds the software versions that were read from the store.

@param state - The edge state.
@param event - The rows.
@param now - The current time in ms.
@returns The new state, and effects that log unreadable rows.
*/
export const receiveVersions = (state: EdgeState, reading: EdgeEvent & {kind: 'versions-read'}, now: number): EdgeStep => {
	const {versions, retired, unreadable} = recordSavedVersions(state.savedVersions, state.retiredVersions, reading, now);
	return {
		state: {...state, savedVersions: versions, retiredVersions: retired},
		effects: unreadable.map(key => ({
			kind: 'log', level: 'failure', event: 'version-unreadable', fields: {key},
		})),
	};
};

/**
Saves the software versions that have come into use.

@param state - The edge state.
@param now - The current time in ms.
@returns The new state and the effects.
*/
export const saveVersions = (state: EdgeState, now: number): EdgeStep => {
	const {versions, retired, writes} = planVersionSave(state.savedVersions, {
		registry: state.registry, retired: state.retiredVersions, removesRows: state.liveRouters[0] === state.quota.router, now,
	});
	return {state: {...state, savedVersions: versions, retiredVersions: retired}, effects: writes.length === 0 ? [] : [{kind: 'save-versions', writes}]};
};

/**
Ends a save of software versions.

@param state - The edge state.
@param event - Whether the save is done.
@param now - The current time in ms.
@returns The new state.
*/
export const receiveVersionSave = (state: EdgeState, event: EdgeEvent & {kind: 'versions-saved'}, now: number): EdgeStep =>
	keepState({...state, savedVersions: completeVersionSave(state.savedVersions, event.isDone, now)});

/**
Forgets which software versions are saved, after the store has come back from an older copy.

@param state - The edge state.
@param era - The era that has begun; undefined if it is not known.
@param now - The current time in ms.
@returns The new state.
*/
export const resetVersions = (state: EdgeState, era: number | undefined, now: number): EdgeState => {
	const {hasTakenOver, storeClock} = state.quota;
	const at = Math.ceil(now + storeClock.timeMs - storeClock.receivedAtMs);
	return {...state, savedVersions: resetSavedVersions(state.savedVersions, state.retiredVersions, era !== undefined && hasTakenOver ? {era, at} : undefined)};
};

/**
Saves the origins of all streams again, after the store has come back from an older copy.

@param state - The edge state.
@returns The new state.
*/
export const resetOrigins = (state: EdgeState): EdgeState => ({...state, origins: resetSavedOrigins(state.origins)});
