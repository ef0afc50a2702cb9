import type {Service} from '../routing-config/index.js';
import type {ModelRequest} from '../in-flight/index.js';
import type {EndpointLoads} from '../gossip/index.js';
import {computeSlots, countStatedRequests, priorRates} from '../endpoint-performance/index.js';
import type {ServiceRates, Workload} from '../endpoint-performance/index.js';
import {defaultRemoteCostMs, hasSlotsForOthers, shouldOverflow} from '../overflow/index.js';
import type {Overflow} from '../overflow/index.js';
import {hasRoom, isAtRest} from '../pushback/index.js';
import {hashText} from '../random/index.js';
import {canSend, computeNextSendAt, computeRate} from '../rate-limit/index.js';
import {computeWorkFactor} from '../registry/index.js';
import type {Endpoint} from '../registry/index.js';
import {rankEndpoint} from './candidates.js';
import {pickSpread} from './spread.js';
import type {Spread} from './spread.js';

/** Input of an endpoint selection. */
export type PlacementQuery = Readonly<{
	service: Service;
	modelRequest: ModelRequest | undefined;
	/** Data centre of this router. */
	dataCentre: string;
	/** Ids of endpoints that the request was sent to before; avoided while there are others. */
	triedEndpoints: readonly string[];
	/** Connections that this router may have open to one endpoint. */
	connections: number;
	/** Load that other routers reported, by endpoint. */
	peers: EndpointLoads;
	/** Time left within which the first output is on time. */
	timeToTargetMs: number;
	/** How fast the endpoints of the service work; the priors if it is not given. */
	rates?: ServiceRates;
	/** Cost of sending the request to another data centre, in ms of waiting; the default if it is not given. */
	remoteCostMs?: number;
	/** How far choices are spread; the best endpoint is always taken if it is not given. */
	spread?: Spread | undefined;
	/** The part of the load that leaves the data centre, and a random number in [0, 1); the endpoint with the least cost is taken if it is not given. */
	overflow?: Readonly<{state: Overflow; random: number}> | undefined;
	now: number;
}>;

/** Result of an endpoint selection. */
export type Placement =
	| Readonly<{
		kind: 'endpoint';
		endpoint: Endpoint;
		/** Predicted time to the first output, in ms. */
		predicted: number;
		/** The same if the endpoint were idle. */
		predictedIdleMs: number;
		/** Prompt tokens that the endpoint is not expected to have cached. */
		newTokens: number;
		/** What the request meets there. */
		workload: Workload;
		/** By how much the best endpoint of another data centre is better than the best one of this; undefined if that was not compared. */
		advantageMs: number | undefined;
	}>
	/** All slots of every endpoint that may be sent a request are taken, or all connections that this router may open to it. */
	| Readonly<{kind: 'busy'}>
	/** All endpoints have turned requests away for some time, or their rate limits are used up: one request may be sent at `nextSendAt`, and then `requestsPerSecond`. */
	| Readonly<{kind: 'limited'; nextSendAt: number; requestsPerSecond: number}>
	/** The service has no endpoint. */
	| Readonly<{kind: 'none'}>;

/** Slots that are assumed of an endpoint without a model, to determine how much one request delays others. */
const plainSlots = 6;

/** Time for which an engine is assumed to keep a prompt part in its cache. */
const promptCacheTtlMs = 20_000;

/** Weight of the prompt processing time in the cost of an endpoint, on top of the predicted time: processing delays all other requests there. */
const promptDelayWeight = 0.5;

/** Further weight of the processing time of shared parts that another endpoint has in its cache: that work has been paid for once. */
const repeatedPromptWeight = 2;

const sumPartTokens = (parts: ModelRequest['parts']): number => parts.reduce((sum, part) => sum + part.tokens, 0);

/** Counts the tokens of those of the given parts that an endpoint has in its cache. A part is cached only if all parts before it are. */
const countCachedTokens = (endpoint: Endpoint, parts: ModelRequest['parts'], now: number): number => {
	let tokens = 0;
	parts.every(part => {
		const isCached = now - (endpoint.promptPartsSentAt.get(part.id) ?? Number.NEGATIVE_INFINITY) <= promptCacheTtlMs;
		tokens += isCached ? part.tokens : 0;
		return isCached;
	});
	return tokens;
};

/**
Counts the prompt tokens that an endpoint would have to process.

@param endpoint - The endpoint.
@param modelRequest - The model request.
@param now - The current time in ms.
@returns The number of tokens.
*/
export const countUncachedTokens = (endpoint: Endpoint, modelRequest: ModelRequest, now: number): number =>
	Math.max(0, modelRequest.promptTokens - countCachedTokens(endpoint, modelRequest.parts, now));

/** Fraction of an endpoint's connections that the routers use. The rest is left for connections whose router has just died. */
const connectionFraction = 0.9;

/**
Computes how many connections one router may open to an endpoint, which accepts a limited number of all routers together.

@param maxConnections - The endpoint's limit.
@param routerCount - The number of live routers.
@returns The number of connections, at least 1.
*/
export const computeConnectionShare = (maxConnections: number, routerCount: number): number =>
	Math.max(1, Math.floor(maxConnections * connectionFraction / routerCount));

/** Counts the requests at an endpoint: the load that it reported or the load known to the routers, whichever is higher. */
const countRequests = (endpoint: Endpoint, peers: EndpointLoads, now: number): number => {
	const stated = countStatedRequests(endpoint.load, now);
	const knownCount = endpoint.open + (peers.get(endpoint.id)?.open ?? 0);
	return stated === undefined ? knownCount : Math.max(knownCount, stated + endpoint.sentSinceReport);
};

/**
Tells whether an endpoint would queue another request.

@param endpoint - The endpoint.
@param peers - The load that other routers reported, by endpoint.
@param now - The current time in ms.
@returns True if all its slots are taken; an endpoint with 0 slots has no limit.
*/
export const isFull = (endpoint: Endpoint, peers: EndpointLoads, now: number): boolean => {
	const slots = computeSlots(endpoint.load, endpoint.slots, now);
	return slots > 0 && countRequests(endpoint, peers, now) >= slots;
};

const isModelQuery = ({service, modelRequest}: PlacementQuery): boolean => service.engine !== undefined && modelRequest !== undefined;

/** Predicts the time to the first output at an endpoint. */
const predictFirstOutputMs = (endpoint: Endpoint, query: PlacementQuery, newTokens: number): number => {
	const {rates = priorRates} = query;
	const requestCount = countRequests(endpoint, query.peers, query.now);
	if (!isModelQuery(query)) {
		return rates.plainRequestMs * computeWorkFactor(endpoint, query.now) * (1 + (requestCount / Math.max(1, computeSlots(endpoint.load, endpoint.slots, query.now))));
	}

	const pendingTokens = endpoint.pending + (query.peers.get(endpoint.id)?.pending ?? 0);
	const promptMs = (pendingTokens / rates.queuedPromptTokensPerMs) + (newTokens / rates.promptTokensPerMs);
	return computeWorkFactor(endpoint, query.now) * (rates.idleFirstOutputMs + promptMs + (requestCount * rates.batchedRequestMs));
};

const describeWorkload = (endpoint: Endpoint, query: PlacementQuery, newTokens: number): Workload => ({
	newTokens: isModelQuery(query) ? newTokens : undefined,
	pendingTokens: endpoint.pending + (query.peers.get(endpoint.id)?.pending ?? 0),
	requestCount: countRequests(endpoint, query.peers, query.now),
	slots: Math.max(1, computeSlots(endpoint.load, endpoint.slots, query.now)),
});

/** Predicts the time to the first output of an idle endpoint. */
const predictIdleFirstOutputMs = (newTokens: number, query: PlacementQuery): number => {
	const {rates = priorRates} = query;
	return isModelQuery(query) ? rates.idleFirstOutputMs + (newTokens / rates.promptTokensPerMs) : rates.plainRequestMs;
};

/**
Picks the prompt part whose hash selects the endpoints.

@param modelRequest - The model request, if any.
@returns The id of the last part that other requests may share, or else of the last one.
*/
export const pickAffinityPart = (modelRequest: ModelRequest | undefined): string | undefined => modelRequest?.parts.at(-2)?.id ?? modelRequest?.parts.at(-1)?.id;

/** Keeps the matching endpoints, or all if none matches. */
const keepMatching = (endpoints: readonly Endpoint[], isMatch: (endpoint: Endpoint) => boolean): readonly Endpoint[] => {
	if (endpoints.every(endpoint => isMatch(endpoint))) {
		return endpoints;
	}

	const matching = endpoints.filter(endpoint => isMatch(endpoint));
	return matching.length > 0 ? matching : endpoints;
};

/** Indices of the two endpoints that rank first for the shared parts of a prompt; -1 if there is none. */
type Preference = Readonly<{first: number; second: number}>;

/** Ranks the endpoints for a prompt part. A client keeps to the routers of its data centre, so that its prompts meet their parts there. */
const rankPreferred = (endpoints: readonly Endpoint[], {modelRequest, dataCentre}: PlacementQuery): Preference => {
	const part = pickAffinityPart(modelRequest);
	let first = -1;
	let second = -1;
	if (part === undefined) {
		return {first, second};
	}

	const partHash = hashText(part);
	const hasLocal = endpoints.some(endpoint => endpoint.dataCentre === dataCentre);
	endpoints.forEach((endpoint, index) => {
		if (hasLocal && endpoint.dataCentre !== dataCentre) {
			return;
		}

		const rank = rankEndpoint(partHash, endpoint);
		if (first === -1 || rank > rankEndpoint(partHash, endpoints[first]!)) {
			second = first;
			first = index;
		} else if (second === -1 || rank > rankEndpoint(partHash, endpoints[second]!)) {
			second = index;
		}
	});
	return {first, second};
};

/** Numbers of all candidates, by their indices. The lowest cost is best. */
type Scores = Readonly<{newTokens: Float64Array; predicted: Float64Array; costMs: Float64Array}>;

const scoreEndpoints = (endpoints: readonly Endpoint[], query: PlacementQuery): Scores => {
	const {modelRequest, now, remoteCostMs = defaultRemoteCostMs, rates = priorRates} = query;
	const newTokens = new Float64Array(endpoints.length);
	const predicted = new Float64Array(endpoints.length);
	const costMs = new Float64Array(endpoints.length);
	const parts = modelRequest?.parts ?? [];
	const sharedTokens = sumPartTokens(parts) - (parts.at(-1)?.tokens ?? 0);
	const promptTokens = modelRequest?.promptTokens ?? 0;
	const {first, second} = rankPreferred(endpoints, query);
	let mostCached = 0;
	endpoints.forEach((endpoint, index) => {
		const cached = countCachedTokens(endpoint, parts, now);
		newTokens[index] = Math.max(0, promptTokens - cached);
		// The field holds the cached tokens of the shared parts until the costs are computed.
		costMs[index] = Math.min(sharedTokens, cached);
		mostCached = Math.max(mostCached, costMs[index]);
	});
	endpoints.forEach((endpoint, index) => {
		const repeatedTokens = mostCached - costMs[index]!;
		// Other routers have sent what is not known to be cached to the preferred endpoints, the first one rather than the second.
		const preference = index === first ? 1 : (index === second ? 1 / 2 : 0);
		const bonusTokens = preference * (sharedTokens - mostCached);
		const promptCostTokens = (promptDelayWeight * newTokens[index]!) + (repeatedPromptWeight * repeatedTokens) - ((1 + promptDelayWeight) * bonusTokens);
		predicted[index] = predictFirstOutputMs(endpoint, query, newTokens[index]!);
		costMs[index] = (predicted[index] / Math.max(0.1, 1 - endpoint.failureFraction)) + (endpoint.dataCentre === query.dataCentre ? 0 : remoteCostMs) + (promptCostTokens / rates.promptTokensPerMs);
	});
	return {newTokens, predicted, costMs};
};

/** Finds the candidate with the lowest cost among those that are on time, or among all if none is; -1 if there is none. */
const findBest = ({predicted, costMs}: Scores, timeToTargetMs: number, isCandidate: (index: number) => boolean = () => true): number => {
	let best = -1;
	predicted.forEach((predictedMs, index) => {
		if (!isCandidate(index)) {
			return;
		}

		const isOnTime = predictedMs <= timeToTargetMs;
		const isBestOnTime = best !== -1 && predicted[best]! <= timeToTargetMs;
		if (best === -1 || (isOnTime === isBestOnTime ? costMs[index]! < costMs[best]! : isOnTime)) {
			best = index;
		}
	});
	return best;
};

/** Most that a choice may cost more than the best one, in ms: less than it costs to process a usual shared part again. */
const maxSpreadMs = 45;

/** Time by which one further request like this one delays the next, in ms. */
const computeRequestDelayMs = (query: PlacementQuery, newTokens: number): number => {
	const {rates = priorRates, service} = query;
	return isModelQuery(query)
		? (newTokens / rates.queuedPromptTokensPerMs) + rates.batchedRequestMs
		: rates.plainRequestMs / (service.engine?.slots ?? plainSlots);
};

/** Chooses a candidate that is as good as the best one as far as this is known. */
const chooseSpread = (best: number, endpoints: readonly Endpoint[], scores: Scores, query: PlacementQuery): number => {
	const {spread, timeToTargetMs, dataCentre} = query;
	if (best === -1 || spread === undefined) {
		return best;
	}

	const isBestOnTime = scores.predicted[best]! <= timeToTargetMs;
	const isBestLocal = endpoints[best]!.dataCentre === dataCentre;
	// The choice is not spread to other data centres, which costs traffic, nor over the time limit.
	const costMs = scores.costMs.map((cost, index) =>
		(isBestOnTime && scores.predicted[index]! > timeToTargetMs) || (endpoints[index]!.dataCentre === dataCentre) !== isBestLocal ? Number.POSITIVE_INFINITY : cost);
	const marginMs = Math.min(maxSpreadMs, spread.unseenRequests * computeRequestDelayMs(query, scores.newTokens[best]!));
	return pickSpread(costMs, best, marginMs, spread.random);
};

/** By how much a late endpoint counts as worse than one that is on time, in ms. */
const lateCostMs = 300;

const computeAdvantage = ({predicted, costMs}: Scores, {timeToTargetMs}: PlacementQuery, local: number, remote: number): number => {
	const isLate = (index: number) => predicted[index]! > timeToTargetMs;
	return costMs[local]! - costMs[remote]! + (lateCostMs * ((isLate(local) ? 1 : 0) - (isLate(remote) ? 1 : 0)));
};

type Selection = Readonly<{index: number; advantageMs: number | undefined}>;

/** Selects the candidate to which the request goes; its index is -1 if there is none. */
const selectCandidate = (endpoints: readonly Endpoint[], scores: Scores, query: PlacementQuery): Selection => {
	const {overflow, timeToTargetMs, dataCentre, peers, now} = query;
	const isLocal = (index: number) => endpoints[index]!.dataCentre === dataCentre;
	const local = overflow === undefined ? -1 : findBest(scores, timeToTargetMs, isLocal);
	if (overflow === undefined || local === -1) {
		return {index: chooseSpread(findBest(scores, timeToTargetMs), endpoints, scores, query), advantageMs: undefined};
	}

	const remote = findBest(scores, timeToTargetMs, index => {
		const endpoint = endpoints[index]!;
		return !isLocal(index) && hasSlotsForOthers(computeSlots(endpoint.load, endpoint.slots, now), countRequests(endpoint, peers, now));
	});
	if (remote === -1) {
		return {index: chooseSpread(local, endpoints, scores, query), advantageMs: Number.NEGATIVE_INFINITY};
	}

	const advantageMs = computeAdvantage(scores, query, local, remote);
	return {index: chooseSpread(shouldOverflow(overflow.state, advantageMs, overflow.random) ? remote : local, endpoints, scores, query), advantageMs};
};

const listPermitted = (endpoints: readonly Endpoint[], now: number): readonly Endpoint[] =>
	endpoints.filter(endpoint => !isAtRest(endpoint.pushback, now) && canSend(endpoint.rateLimit, now));

/**
Chooses the endpoint for a request.

Load pattern: prompts share long parts, and processing one again delays every other
request there. An endpoint that has the parts in its cache is preferred, whichever router
has sent them; of parts that nobody is known to have, the two endpoints that rank first are.
Where many requests share one part, those are soon late: then the part is processed at
another endpoint that can be on time.

@param endpoints - All endpoints of the service.
@param query - The request and the load.
@returns The endpoint, or why there is none.
*/
export const chooseEndpoint = (endpoints: readonly Endpoint[], query: PlacementQuery): Placement => {
	if (endpoints.length === 0) {
		return {kind: 'none'};
	}

	const {now, triedEndpoints, peers, connections} = query;
	const untried = triedEndpoints.length === 0 ? endpoints : keepMatching(endpoints, endpoint => !triedEndpoints.includes(endpoint.id));
	const healthy = keepMatching(untried, endpoint => endpoint.ejectedUntil <= now);
	const permitted = listPermitted(healthy, now);
	if (permitted.length === 0) {
		return {
			kind: 'limited',
			nextSendAt: Math.min(...healthy.map(endpoint => Math.max(endpoint.pushback?.until ?? 0, computeNextSendAt(endpoint.rateLimit, now)))),
			requestsPerSecond: healthy.reduce((sum, endpoint) => sum + computeRate(endpoint.rateLimit, now), 0),
		};
	}

	const available = permitted.filter(endpoint => endpoint.open < connections && hasRoom(endpoint.pushback, now) && !isFull(endpoint, peers, now));
	const scores = scoreEndpoints(available, query);
	const {index: best, advantageMs} = selectCandidate(available, scores, query);
	const endpoint = available[best];
	return endpoint === undefined
		? {kind: 'busy'}
		: {
			kind: 'endpoint',
			endpoint,
			predicted: scores.predicted[best]!,
			predictedIdleMs: predictIdleFirstOutputMs(scores.newTokens[best]!, query),
			newTokens: scores.newTokens[best]!,
			advantageMs,
			workload: describeWorkload(endpoint, query, scores.newTokens[best]!),
		};
};
