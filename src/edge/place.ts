import {
	computeDispatchBound, predictRoomAfterMs, recordHeldBack, recordSent,
} from '../admission/index.js';
import {
	canSendCold, computeColdRate, computeNextColdSendAt, spendColdCredit,
} from '../cold-start/index.js';
import {createFault} from '../errors/index.js';
import {computeRates, getStatedWorkFactor} from '../endpoint-performance/index.js';
import {addPromptNews} from '../gossip/index.js';
import {isUnanswered} from '../in-flight/index.js';
import type {InFlightRequest} from '../in-flight/index.js';
import {chain, chainAll, keepState} from '../loop/step.js';
import {
	computeRemoteCostMs, isOverflowing, noOverflow, recordAdvantage,
} from '../overflow/index.js';
import {
	chooseEndpoint, computeConnectionShare, computeSpread, listCandidates, listUsable, pickAffinityPart,
} from '../placement/index.js';
import type {Placement, PlacementQuery} from '../placement/index.js';
import {
	decideDispatch, decideLimitedDispatch, hasWaitedTooLong, pickNext, predictLimitedSendAt, suggestRetryAfter,
} from '../queue/index.js';
import {recordPushbackSend} from '../pushback/index.js';
import {getTokensPerEvent} from '../routing-config/index.js';
import type {PoisonDecision} from '../poison/index.js';
import type {Dispatch, LimitedQuery} from '../queue/index.js';
import {spendCredit} from '../rate-limit/index.js';
import {
	computeWorkFactor, getIncarnation, isUsable, recordPromptParts,
} from '../registry/index.js';
import type {Endpoint} from '../registry/index.js';
import {
	computeRetryAfter, createLogEffect, describeCandidate, updateKnownEndpoint, putRequest, rejectRequest,
} from './common.js';
import {explainNoEndpoint, mayServe} from './eligibility.js';
import {checkPoison, rejectPoison, startRequestTrial} from './poison.js';
import {canEndInTime, explainShutdown} from './shutdown.js';
import type {EdgeEffect} from './messages.js';
import type {EdgeState, EdgeStep} from './state.js';

const computeConnections = (state: EdgeState, request: InFlightRequest): number => {
	const service = state.config?.services.get(request.service);
	return service === undefined ? 0 : computeConnectionShare(service.maxConnections, state.liveRouters.length);
};

/** The least urgent value that endpoints know. */
const maxUrgency = 9;

/** Updates the part of the load that leaves the data centre, and logs when it begins and ends. */
const updateOverflow = (state: EdgeState, {service}: InFlightRequest, {advantageMs}: Placement & {kind: 'endpoint'}, now: number): EdgeStep => {
	if (advantageMs === undefined) {
		return keepState(state);
	}

	const before = state.overflow.get(service) ?? noOverflow;
	const after = recordAdvantage(before, advantageMs, now);
	const isActive = isOverflowing(after);
	return {
		state: {...state, overflow: state.overflow.set(service, after)},
		effects: isActive === isOverflowing(before) ? [] : [createLogEffect(isActive ? 'overflow-began' : 'overflow-ended', {service, advantage: Math.round(after.advantageMs)})],
	};
};

const countRemote = (state: EdgeState, {service, bodyBytes = 0}: InFlightRequest, {dataCentre}: Endpoint): readonly EdgeEffect[] => dataCentre === state.dataCentre
	? []
	: [
		{kind: 'count', metric: 'remoteRequests', labels: {service}},
		{
			kind: 'count', metric: 'remoteBytes', labels: {service}, amount: bodyBytes,
		},
	];

const sendRequest = (state: EdgeState, request: InFlightRequest, placement: Placement & {kind: 'endpoint'}, now: number): EdgeStep => {
	const {
		endpoint, predicted, newTokens, workload,
	} = placement;
	const sent: InFlightRequest = {
		...request,
		phase: 'sent',
		phaseAt: now,
		attempt: request.attempt + 1,
		triedEndpoints: [...request.triedEndpoints, endpoint.id],
		pending: newTokens,
		predicted,
		slowness: computeWorkFactor(endpoint, now),
		workload,
		statedFactor: getStatedWorkFactor(endpoint.load, now),
		sentAt: now,
		tokensPerEvent: Math.max(request.tokensPerEvent ?? 1, getTokensPerEvent(state.config, request.service)),
		sentTo: getIncarnation(endpoint),
		sentVersion: endpoint.softwareVersion,
	};
	const parts = request.head.modelRequest?.parts ?? [];
	const told: EdgeState = {
		...putRequest(state, sent),
		demand: state.prioritizesUrgent && request.attempt === 0 ? recordSent(state.demand, describeCandidate(request), now) : state.demand,
		promptNews: addPromptNews(state.promptNews, endpoint, parts),
	};
	const updated = updateKnownEndpoint(told, endpoint, current => ({
		...recordPromptParts(current, parts.map(({id}) => id), now),
		open: current.open + 1,
		pending: current.pending + newTokens,
		sentSinceReport: current.sentSinceReport + 1,
		rateLimit: spendCredit(current.rateLimit, now),
		cold: spendColdCredit(current.cold, now),
		pushback: recordPushbackSend(current.pushback),
	}));
	return {
		state: updated,
		effects: [
			...countRemote(state, request, endpoint),
			{
				kind: 'send',
				call: request.id,
				attempt: sent.attempt,
				endpoint: getIncarnation(endpoint),
				maxConnections: computeConnections(state, request),
				metadata: {
					endpoint: endpoint.id,
					remainingMs: request.expiresAt - now,
					organisation: request.organisation,
					urgency: state.prioritizesUrgent ? Math.min(maxUrgency, Math.max(0, Math.floor(request.priority))) : undefined,
					resumeAfter: request.lastEventId ?? request.head.resumeAfter,
				},
			},
			{
				kind: 'log', level: 'routine', event: 'call-sent', fields: {
					call: request.head.key,
					fingerprint: request.fingerprint,
					attempt: sent.attempt,
					endpoint: endpoint.id,
					softwareVersion: endpoint.softwareVersion,
					resumedKey: request.head.resumedKey,
					resumeAfter: request.lastEventId ?? request.head.resumeAfter,
					waited: Math.round(now - request.arrivedAt),
					unread: Math.round(request.unreadMs),
					predicted: Math.round(predicted),
					newTokens,
					pending: endpoint.pending + (state.peerLoadTotals.get(endpoint.id)?.pending ?? 0),
					open: endpoint.open,
					running: endpoint.load?.running?.value,
					rateLimit: endpoint.rateLimit.requestsPerSecond,
					loadAge: endpoint.load?.running === undefined ? undefined : Math.round(now - endpoint.load.running.at),
					workFactor: endpoint.load?.workFactor === undefined ? undefined : Math.round(computeWorkFactor(endpoint, now) * 100) / 100,
				},
			},
		],
	};
};

const queueRequest = (state: EdgeState, request: InFlightRequest, now: number): EdgeStep =>
	keepState(putRequest(state, request.phase === 'queued' ? request : {...request, phase: 'queued', phaseAt: now}));

/** Rejects a request that its endpoints do not take in time. */
const rejectLimited = (state: EdgeState, request: InFlightRequest, sendAt: number, random: number, now: number): EdgeStep => {
	const isKnown = Number.isFinite(sendAt);
	const detail = `no endpoint of service ${request.service} takes a further request${isKnown ? ` for ${Math.round(sendAt - now)} ms` : ''}`;
	const retryAfter = computeRetryAfter(request, isKnown ? sendAt - now : 0, random, now);
	return rejectRequest(state, request, request.hasPossiblyRun ? createFault('endpoint-failed', detail) : createFault('overloaded', detail, retryAfter), now);
};

/** Suggests when the client of a request returns that its endpoints cannot serve in time. */
const suggestRoomAfter = (state: EdgeState, request: InFlightRequest, waiting: number, random: number, now: number): number => state.prioritizesUrgent
	? computeRetryAfter(request, predictRoomAfterMs(state.demand, request.service, waiting, now), random, now)
	: suggestRetryAfter(request.expiresAt - now, random);

/** Counts a request that is held back for the sake of others, and logs that its class is from now on. */
const holdBack = (state: EdgeState, request: InFlightRequest, boundMs: number, now: number): EdgeStep => {
	const {demand, isChange} = recordHeldBack(state.demand, describeCandidate(request), now);
	const {service, priority} = request;
	return {
		state: {...state, demand},
		effects: [
			{kind: 'count', metric: 'heldBack', labels: {service, priority: String(priority)}},
			...(isChange ? [createLogEffect('class-held-back', {service, priority, bound: Math.round(boundMs)})] : []),
		],
	};
};

/** Chooses among the endpoints that are not cold, or for which this router has a credit. */
const chooseAmongWarm = (endpoints: readonly Endpoint[], query: PlacementQuery): Placement => {
	const {now} = query;
	const permitted = endpoints.filter(({cold}) => canSendCold(cold, now));
	return permitted.length > 0 || endpoints.length === 0
		? chooseEndpoint(permitted, query)
		: {
			kind: 'limited',
			nextSendAt: Math.min(...endpoints.map(({cold}) => computeNextColdSendAt(cold, now))),
			requestsPerSecond: endpoints.reduce((sum, {cold}) => sum + computeColdRate(cold, now), 0),
		};
};

/** Make further random numbers of one whose leading digits select the candidates. */
const candidateRandomFactor = 997;
const overflowRandomFactor = 8191;

type Choice = Readonly<{choice: Placement; count: number}>;

/** Chooses an endpoint among the candidates of a service, or among all of its endpoints if no candidate takes the request. */
const chooseAmong = (state: EdgeState, request: InFlightRequest, canUse: (endpoint: Endpoint) => boolean, query: PlacementQuery, random: number): Choice => {
	const {endpoints, count, isSample} = listCandidates(state.registry, {
		service: request.service, dataCentre: state.dataCentre, part: pickAffinityPart(request.head.modelRequest), random,
	}, canUse);
	const choice = chooseAmongWarm(endpoints, query);
	return {choice: isSample && choice.kind !== 'endpoint' ? chooseAmongWarm(listUsable(state.registry, request.service, canUse), query) : choice, count};
};

const placeSound = (state: EdgeState, request: InFlightRequest, random: number, now: number): EdgeStep => {
	const service = state.config?.services.get(request.service);
	const canUse = (endpoint: Endpoint) => isUsable(endpoint, now) && mayServe(state, endpoint, request);
	const spread = computeSpread(state.liveRouters.length, state.peers.size, (random * candidateRandomFactor) % 1);
	const {choice, count: endpointCount}: Choice = service === undefined
		? {choice: {kind: 'none'}, count: 0}
		: chooseAmong(state, request, canUse, {
			service,
			modelRequest: request.head.modelRequest,
			dataCentre: state.dataCentre,
			connections: computeConnections(state, request),
			triedEndpoints: request.triedEndpoints,
			peers: state.peerLoadTotals,
			rates: computeRates(state.performance.get(request.service)),
			spread,
			remoteCostMs: computeRemoteCostMs(state.remoteCostMs, {
				bodyBytes: request.bodyBytes, promptTokens: request.head.modelRequest?.promptTokens ?? 0, maxOutputTokens: request.head.modelRequest?.maxOutputTokens ?? 0,
			}),
			overflow: spread === undefined && state.remoteCostMs === undefined
				? undefined
				: {state: state.overflow.get(request.service) ?? noOverflow, random: (random * overflowRandomFactor) % 1},
			timeToTargetMs: request.arrivedAt + request.route.targetMs - now,
			now,
		}, random);
	const countQueued = () => state.requests.count(other =>
		other.phase === 'queued' && other.service === request.service && other.id !== request.id);
	const isModelRequest = request.head.modelRequest !== undefined && service?.engine !== undefined;
	const dispatchBoundMs = state.prioritizesUrgent && isModelRequest ? computeDispatchBound(state.demand, describeCandidate(request), now) : undefined;
	const dispatch = ({predicted, predictedIdleMs}: Placement & {kind: 'endpoint'}): Dispatch => isModelRequest
		? decideDispatch({
			request, predicted, predictedIdleMs, waiting: countQueued(), endpointCount, now, dispatchBoundMs,
		})
		: 'send';
	const dispatchers: Readonly<Record<Dispatch, (current: EdgeState, placement: Placement & {kind: 'endpoint'}) => EdgeStep>> = {
		send: (current, placement) => sendRequest(current, request, placement, now),
		wait: current => queueRequest(current, request, now),
		refuse(current, placement) {
			const detail = `the first output would take ${Math.round(placement.predicted)} ms`;
			return rejectRequest(current, request, createFault('overloaded', detail, suggestRoomAfter(current, request, countQueued(), random, now)), now);
		},
	};
	const handlers: Readonly<{[Kind in Placement['kind']]: (placement: Placement & {kind: Kind}) => EdgeStep}> = {
		endpoint(placement) {
			const decision = dispatch(placement);
			const step = chain(updateOverflow(state, request, placement, now), current => dispatchers[decision](current, placement));
			return decision === 'send' || dispatchBoundMs === undefined || dispatchBoundMs >= request.route.targetMs
				? step
				: chain(step, current => holdBack(current, request, dispatchBoundMs, now));
		},
		busy: () => queueRequest(state, request, now),
		limited({nextSendAt, requestsPerSecond}) {
			const query: LimitedQuery = {
				request, nextSendAt, requestsPerSecond, waiting: countQueued(),
			};
			return decideLimitedDispatch(query) === 'wait' ? queueRequest(state, request, now) : rejectLimited(state, request, predictLimitedSendAt(query), random, now);
		},
		none() {
			const {detail, retryAfter} = explainNoEndpoint(state, request, random, now);
			return rejectRequest(state, request, request.hasPossiblyRun
				? createFault('endpoint-failed', `the endpoint failed, and ${detail}`)
				: createFault('not-ready', detail, retryAfter), now);
		},
	};
	return (handlers[choice.kind] as (placement: Placement) => EdgeStep)(choice);
};

/** Rejects a request that may not end before the process does. */
const rejectStopping = (state: EdgeState, request: InFlightRequest, random: number, now: number): EdgeStep => {
	const detail = explainShutdown(state, now);
	return rejectRequest(state, request, request.hasPossiblyRun
		? createFault('endpoint-failed', `the endpoint failed, and ${detail}`)
		: createFault('not-ready', detail, suggestRetryAfter(request.expiresAt - now, random)), now);
};

/**
Sends a request to an endpoint, queues it, or rejects it.

@param state - The edge state.
@param request - The request, whose tokens are reserved.
@param random - A random number in [0, 1).
@param now - The current time in ms.
@returns The new state and the effects.
*/
export const placeRequest = (state: EdgeState, request: InFlightRequest, random: number, now: number): EdgeStep => {
	// The rest of a stream that has begun is worth more to its client than its break.
	if (isUnanswered(request) && !canEndInTime(state, request, now)) {
		return rejectStopping(state, request, random, now);
	}

	const handlers: Readonly<{[Kind in PoisonDecision['kind']]: (decision: PoisonDecision & {kind: Kind}) => EdgeStep}> = {
		send: () => placeSound(state, request, random, now),
		try: ({suspect}) => placeSound(startRequestTrial(state, request, suspect, now), request, random, now),
		reject: decision => rejectPoison(state, request, decision, now),
	};
	const decision = checkPoison(state, request, now);
	return (handlers[decision.kind] as (decision: PoisonDecision) => EdgeStep)(decision);
};

/** Queued requests of a service that are reconsidered when an attempt ends and at each tick. Reconsidering all of them each time would cost CPU time that on-time requests need. */
const placementsPerCompletion = 1;
const placementsPerTick = 5;

const listQueued = (state: EdgeState): readonly InFlightRequest[] => state.requests.valueSeq().toArray().filter(request => request.phase === 'queued');

const placeQueued = (state: EdgeState, waiting: readonly InFlightRequest[], countPerService: number, random: number, now: number): EdgeStep => waiting.length === 0
	? keepState(state)
	: chainAll(state, pickNext(waiting, countPerService), (current, request) => placeRequest(current, request, random, now));

/**
Reconsiders the first queued request of a service, after an attempt there has ended.

@param state - The edge state.
@param service - The service.
@param random - A random number in [0, 1).
@param now - The current time in ms.
@returns The new state and the effects.
*/
export const placeNext = (state: EdgeState, service: string, random: number, now: number): EdgeStep =>
	placeQueued(state, listQueued(state).filter(request => request.service === service), placementsPerCompletion, random, now);

/**
Reconsiders queued requests, and rejects those that have waited too long.

@param state - The edge state.
@param random - A random number in [0, 1).
@param now - The current time in ms.
@returns The new state and the effects.
*/
export const placeWaiting = (state: EdgeState, random: number, now: number): EdgeStep => {
	const tooLate = listQueued(state).filter(request => hasWaitedTooLong(request, now));
	return chain(
		chainAll(state, tooLate, (current, request) => placeRequest(current, request, random, now)),
		current => placeQueued(current, listQueued(current), placementsPerTick, random, now),
	);
};
