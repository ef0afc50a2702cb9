import {
	adoptColdStatement, computeColdRate, findColdShare, isCold, isColdLimited, listPossibleRouters, recordSightings, setColdLimits,
} from '../cold-start/index.js';
import type {ColdStatement, RouterQuery} from '../cold-start/index.js';
import type {PeerMessage} from '../gossip/index.js';
import type {ResponseHead} from '../in-flight/index.js';
import {chain, chainAll, keepState} from '../loop/step.js';
import {findKnown, getIncarnation} from '../registry/index.js';
import type {Endpoint, Incarnation, Registry} from '../registry/index.js';
import type {RoutingConfig, Service} from '../routing-config/index.js';
import {createLogEffect, updateKnownEndpoint} from './common.js';
import type {EdgeState, EdgeStep} from './state.js';

/** What stated that an endpoint is cold or warm. */
type ColdSource = 'registry' | 'endpoint' | 'peer' | 'evacuation';

const getColdStart = (config: RoutingConfig | undefined, service: string): Service['coldStart'] => config?.services.get(service)?.coldStart;

/** Logs once that an endpoint is cold, and once that it is warm. */
const logColdChange = (state: EdgeState, endpoint: Endpoint, source: ColdSource | undefined, now: number): EdgeStep => {
	const {cold} = endpoint;
	if (cold === undefined || cold.isLogged === isCold(cold, now)) {
		return keepState(state);
	}

	const isNowCold = isCold(cold, now);
	return {
		state: updateKnownEndpoint(state, endpoint, current => current.cold === undefined ? current : {...current, cold: {...current.cold, isLogged: isNowCold}}),
		effects: [createLogEffect(isNowCold ? 'endpoint-cold' : 'endpoint-warm', {
			endpoint: endpoint.id,
			dataCentre: endpoint.dataCentre,
			remaining: isNowCold ? Math.round(cold.coldUntil - now) : undefined,
			source,
			routers: Number.isFinite(cold.rank) ? cold.routers : 0,
		})],
	};
};

/** Applies what is stated about the cold time of an endpoint, if its service has a rate for cold ones. */
const applyStatement = (state: EdgeState, incarnation: Incarnation, statement: ColdStatement, source: ColdSource, now: number): EdgeStep => {
	const endpoint = findKnown(state.registry, incarnation);
	const coldStart = getColdStart(state.config, incarnation.service);
	if (endpoint === undefined || coldStart === undefined) {
		return keepState(state);
	}

	const cold = adoptColdStatement(endpoint.cold, statement, {
		requestsPerSecond: coldStart.requestsPerSecond, bounds: state.coldBounds, ...findColdShare(endpoint.id, state.quota.router, state.possibleRouters),
	}, now);
	return cold === endpoint.cold
		? keepState(state)
		: logColdChange(updateKnownEndpoint(state, endpoint, current => ({...current, cold})), {...endpoint, cold}, source, now);
};

/**
Records for how long an endpoint's response says that it stays cold. One that may be that of
another request can only make this router more careful.

@param state - The edge state.
@param incarnation - The endpoint that the request was sent to.
@param head - The head of the response.
@param isDoubted - True if the response may be that of another request.
@param now - The current time in ms.
@returns The new state and the effects.
*/
export const recordColdTime = (state: EdgeState, incarnation: Incarnation, {coldMs}: ResponseHead, isDoubted: boolean, now: number): EdgeStep => {
	if (coldMs?.err) {
		return {
			state, effects: [{
				kind: 'log', level: 'failure', event: 'cold-time-unreadable', fields: {endpoint: incarnation.id, reason: coldMs.val.detail},
			}],
		};
	}

	return coldMs?.val === undefined
		? keepState(state)
		: applyStatement(state, incarnation, {
			remainingMs: coldMs.val, statedAt: now, isFirstHand: true, canOnlyExtend: isDoubted,
		}, 'endpoint', now);
};

/**
Applies the cold times that endpoints stated to a peer.

@param state - The edge state.
@param message - The peer's message.
@param now - The current time in ms.
@returns The new state and the effects.
*/
export const receivePeerColdTimes = (state: EdgeState, {cold = []}: PeerMessage, now: number): EdgeStep => chainAll(state, cold, (current, {endpoint: id, startedAt, remainingMs, ageMs}) => {
	const endpoint = current.registry.endpoints.get(id);
	return endpoint?.startedAt === startedAt
		? applyStatement(current, endpoint, {
			remainingMs, statedAt: now - ageMs, isFirstHand: false, canOnlyExtend: true,
		}, 'peer', now)
		: keepState(current);
});

/** Entries may be older than what the endpoint said since, so that they only extend its cold time, or end one that nobody has stated. */
const applyEntry = (state: EdgeState, endpoint: Endpoint, now: number): EdgeStep => applyStatement(state, endpoint, {
	remainingMs: endpoint.slowStartMs, statedAt: now, isFirstHand: false, canOnlyExtend: !(endpoint.cold?.isAssumed === true && endpoint.slowStartMs === 0),
}, 'registry', now);

/**
Applies what entries that were written since state about cold times.

@param state - The edge state, with the new registry.
@param before - The registry before.
@param now - The current time in ms.
@returns The new state and the effects.
*/
export const recordColdEntries = (state: EdgeState, before: Registry, now: number): EdgeStep => state.registry === before
	? keepState(state)
	: chainAll(
		state,
		state.registry.endpoints.valueSeq().toArray().filter(({id, rowVersion, slowStartMs, cold}) =>
			(slowStartMs > 0 || cold?.isAssumed === true) && before.endpoints.get(id)?.rowVersion !== rowVersion),
		(current, endpoint) => applyEntry(current, endpoint, now),
	);

/**
Applies a configuration that changes the rates of cold endpoints. Those of services that had no rate
are taken to be as cold as their entries say.

@param state - The edge state, with the new configuration.
@param before - The configuration before.
@param now - The current time in ms.
@returns The new state and the effects.
*/
export const recordColdRates = (state: EdgeState, before: RoutingConfig | undefined, now: number): EdgeStep => {
	const endpoints = state.registry.endpoints.valueSeq().toArray();
	const begun = endpoints.filter(({service, slowStartMs}) =>
		slowStartMs > 0 && getColdStart(state.config, service) !== undefined && getColdStart(before, service) === undefined);
	return chain(updateLimits(state, now), current => chainAll(current, begun, (latest, endpoint) => applyEntry(latest, endpoint, now)));
};

/**
Takes the endpoints of data centres that are in use again for cold: they have had no requests.

@param state - The edge state.
@param dataCentres - The data centres.
@param now - The current time in ms.
@returns The new state and the effects.
*/
export const assumeColdEndpoints = (state: EdgeState, dataCentres: readonly string[], now: number): EdgeStep => chainAll(
	state,
	state.registry.endpoints.valueSeq().toArray().filter(({dataCentre}) => dataCentres.includes(dataCentre)),
	(current, endpoint) => applyStatement(current, endpoint, {
		remainingMs: getColdStart(current.config, endpoint.service)?.durationMs ?? 0, statedAt: now, isFirstHand: false, canOnlyExtend: true, isAssumed: true,
	}, 'evacuation', now),
);

/** Sets the rate, bounds and share of each endpoint that is limited, and forgets those that are not any more. */
const updateLimits = (state: EdgeState, now: number): EdgeStep => {
	const {quota, possibleRouters, coldBounds, config} = state;
	return chainAll(state, state.registry.endpoints.valueSeq().toArray().filter(({cold}) => cold !== undefined), (current, endpoint) => {
		const coldStart = getColdStart(config, endpoint.service);
		const cold = isColdLimited(endpoint.cold, now) && coldStart !== undefined
			? setColdLimits(endpoint.cold, {
				requestsPerSecond: coldStart.requestsPerSecond, bounds: coldBounds, ...findColdShare(endpoint.id, quota.router, possibleRouters),
			}, now)
			: undefined;
		return keepState(updateKnownEndpoint(current, getIncarnation(endpoint), known => ({...known, cold})));
	});
};

const createRouterQuery = ({quota, liveRouters}: EdgeState, now: number): RouterQuery => ({
	live: liveRouters, withRow: [quota.router, ...quota.peers.keys()], rowsReadAt: quota.readAtMs, startedAt: quota.startedAtMs, now,
});

/**
Determines which routers may exist, divides the rates of cold endpoints among them, and logs endpoints that have become warm.

@param state - The edge state.
@param now - The current time in ms.
@returns The new state and the effects.
*/
export const updateColdShares = (state: EdgeState, now: number): EdgeStep => {
	const query = createRouterQuery(state, now);
	const routerSightings = recordSightings(state.routerSightings, query);
	const possibleRouters = listPossibleRouters(routerSightings, query);
	const isChanged = possibleRouters?.join('\n') !== state.possibleRouters?.join('\n');
	const seen: EdgeState = {...state, routerSightings, possibleRouters: isChanged ? possibleRouters : state.possibleRouters};
	const limited = seen.registry.endpoints.valueSeq().toArray().filter(({cold}) => cold !== undefined);
	const logged = chainAll(seen, limited, (current, endpoint) => logColdChange(current, endpoint, undefined, now));
	return isChanged || limited.some(({cold}) => !isColdLimited(cold, now) || cold.bounds !== state.coldBounds) ? chain(logged, current => updateLimits(current, now)) : logged;
};
