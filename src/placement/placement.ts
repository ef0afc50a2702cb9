import type {Service} from '../routing-config/index.js';
import type {ModelRequest} from '../in-flight/index.js';
import type {EndpointLoads} from '../gossip/index.js';
import {computeSlots, countStatedRequests} from '../endpoint-performance/index.js';
import {hasRoom, isAtRest} from '../pushback/index.js';
import {hashText} from '../random/index.js';
import {canSend, computeNextSendAt, computeRate} from '../rate-limit/index.js';
import {computeWorkFactor} from '../registry/index.js';
import type {Endpoint} from '../registry/index.js';

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
	}>
	/** All slots of every endpoint that may be sent a request are taken, or all connections that this router may open to it. */
	| Readonly<{kind: 'busy'}>
	/** All endpoints have turned requests away for some time, or their rate limits are used up: one request may be sent at `nextSendAt`, and then `requestsPerSecond`. */
	| Readonly<{kind: 'limited'; nextSendAt: number; requestsPerSecond: number}>
	/** The service has no endpoint. */
	| Readonly<{kind: 'none'}>;

/** Prompt tokens that an engine processes per ms while it generates output for others. This and the next three constants model the time to first output. */
const promptTokensPerMs = 57;

/** Prompt tokens of earlier requests that a new one waits for per ms. More than an engine processes, since some of them are already processed. */
const queuedPromptTokensPerMs = 100;

/** Time that each request in an engine's batch adds to the first output. */
const batchedRequestMs = 1;

/** Time to first output of an idle engine, without prompt processing. */
const idleFirstOutputMs = 85;

/** Assumed service time of a request without a model, whose real time is not known. */
const plainRequestMs = 80;

/** Cost of sending a request to another data centre: its traffic is billed, and routers there know best how loaded an endpoint is. */
const remotePenaltyMs = 30;

/** Time for which an engine is assumed to keep a prompt part in its cache. */
const promptCacheTtlMs = 20_000;

/** Weight of the prompt processing time in the cost of an endpoint, on top of the predicted time: processing delays all other requests there. */
const promptDelayWeight = 0.5;

/** Further weight of the processing time of shared parts that another endpoint has in its cache: that work has been paid for once. */
const repeatedPromptWeight = 2;

const sumPartTokens = (parts: ModelRequest['parts']): number => parts.reduce((sum, part) => sum + part.tokens, 0);

/** Counts the tokens of those of the given parts that an endpoint has in its cache. A part is cached only if all parts before it are. */
const countCachedTokens = (endpoint: Endpoint, parts: ModelRequest['parts'], now: number): number => {
	const firstUncached = parts.findIndex(part => now - (endpoint.promptPartsSentAt.get(part.id) ?? Number.NEGATIVE_INFINITY) > promptCacheTtlMs);
	return sumPartTokens(parts.slice(0, firstUncached === -1 ? undefined : firstUncached));
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

/** Parts that other requests may share: all but the last. */
const listSharedParts = (modelRequest: ModelRequest | undefined): ModelRequest['parts'] => modelRequest?.parts.slice(0, -1) ?? [];

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

/**
Predicts the time to the first output.

@param endpoint - The endpoint.
@param query - The input of the selection.
@param newTokens - Prompt tokens that it would have to process.
@returns The time in ms.
*/
const predictFirstOutputMs = (endpoint: Endpoint, query: PlacementQuery, newTokens: number): number => {
	const requestCount = countRequests(endpoint, query.peers, query.now);
	if (query.service.engine === undefined || query.modelRequest === undefined) {
		return plainRequestMs * computeWorkFactor(endpoint, query.now) * (1 + (requestCount / Math.max(1, computeSlots(endpoint.load, endpoint.slots, query.now))));
	}

	const pendingTokens = endpoint.pending + (query.peers.get(endpoint.id)?.pending ?? 0);
	const promptMs = (pendingTokens / queuedPromptTokensPerMs) + (newTokens / promptTokensPerMs);
	return computeWorkFactor(endpoint, query.now) * (idleFirstOutputMs + promptMs + (requestCount * batchedRequestMs));
};

/** Predicts the time to the first output of an idle endpoint. */
const predictIdleFirstOutputMs = (newTokens: number, query: PlacementQuery): number => query.service.engine === undefined || query.modelRequest === undefined
	? plainRequestMs
	: idleFirstOutputMs + (newTokens / promptTokensPerMs);

/** Picks the prompt part whose hash selects the endpoints: the last part that other requests may share. */
const pickAffinityPart = (modelRequest: ModelRequest | undefined): string | undefined => modelRequest?.parts.at(-2)?.id ?? modelRequest?.parts.at(-1)?.id;

/** Rendezvous hash of a prompt part and an endpoint, which gives the same ranking at every router. */
const rankEndpoint = (partHash: number, endpoint: Endpoint): number => Math.imul(partHash, endpoint.idHash);

/** Endpoints that are preferred for one prompt part. */
const endpointsPerPart = 2;

const pickAffinityEndpoints = (part: string, endpoints: readonly Endpoint[]): readonly Endpoint[] => {
	const partHash = hashText(part);
	return endpoints
		.map(endpoint => ({endpoint, rank: rankEndpoint(partHash, endpoint)}))
		.toSorted((a, b) => b.rank - a.rank)
		.slice(0, endpointsPerPart)
		.map(({endpoint}) => endpoint);
};

/** Keeps the matching endpoints, or all if none matches. */
const keepMatching = (endpoints: readonly Endpoint[], isMatch: (endpoint: Endpoint) => boolean): readonly Endpoint[] => {
	const matching = endpoints.filter(endpoint => isMatch(endpoint));
	return matching.length > 0 ? matching : endpoints;
};

/** What is known of the shared parts of a prompt. */
type PartKnowledge = Readonly<{
	shared: ModelRequest['parts'];
	/** Most tokens of them that any endpoint has in its cache. */
	mostCached: number;
	/** Endpoints that are preferred for them, by rank. */
	preferred: readonly Endpoint[];
}>;

const gatherPartKnowledge = (endpoints: readonly Endpoint[], {modelRequest, dataCentre, now}: PlacementQuery): PartKnowledge => {
	const shared = listSharedParts(modelRequest);
	const affinity = pickAffinityPart(modelRequest);
	// A client keeps to the routers of its data centre, so that its prompts meet their parts there.
	const local = keepMatching(endpoints, endpoint => endpoint.dataCentre === dataCentre);
	const mostCached = endpoints.reduce((most, endpoint) => Math.max(most, countCachedTokens(endpoint, shared, now)), 0);
	return {
		shared, mostCached, preferred: affinity === undefined ? [] : pickAffinityEndpoints(affinity, local),
	};
};

/** Computes the cost of processing shared parts again that other endpoints have processed, in ms. */
const computeRepetitionCostMs = (endpoint: Endpoint, {shared, mostCached, preferred}: PartKnowledge, now: number): number => {
	const repeatedTokens = mostCached - countCachedTokens(endpoint, shared, now);
	// Other routers have sent what is not known to be cached to the preferred endpoints, the first one rather than the second.
	const preference = [1, 1 / 2][preferred.indexOf(endpoint)] ?? 0;
	const bonusTokens = preference * (sumPartTokens(shared) - mostCached);
	return ((repeatedPromptWeight * repeatedTokens) - ((1 + promptDelayWeight) * bonusTokens)) / promptTokensPerMs;
};

/** An endpoint and its cost; the lowest cost is best. */
type ScoredEndpoint = Readonly<{endpoint: Endpoint; newTokens: number; predicted: number; costMs: number}>;

const scoreEndpoint = (endpoint: Endpoint, query: PlacementQuery, knowledge: PartKnowledge): ScoredEndpoint => {
	const newTokens = query.modelRequest === undefined ? 0 : countUncachedTokens(endpoint, query.modelRequest, query.now);
	const predicted = predictFirstOutputMs(endpoint, query, newTokens);
	const remoteCostMs = endpoint.dataCentre === query.dataCentre ? 0 : remotePenaltyMs;
	const promptMs = promptDelayWeight * newTokens / promptTokensPerMs;
	return {
		endpoint, newTokens, predicted, costMs: (predicted / Math.max(0.1, 1 - endpoint.failureFraction)) + remoteCostMs + promptMs + computeRepetitionCostMs(endpoint, knowledge, query.now),
	};
};

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

	const untried = keepMatching(endpoints, endpoint => !query.triedEndpoints.includes(endpoint.id));
	const healthy = keepMatching(untried, endpoint => endpoint.ejectedUntil <= query.now);
	const permitted = healthy.filter(endpoint => !isAtRest(endpoint.pushback, query.now) && canSend(endpoint.rateLimit, query.now));
	if (permitted.length === 0) {
		return {
			kind: 'limited',
			nextSendAt: Math.min(...healthy.map(endpoint => Math.max(endpoint.pushback?.until ?? 0, computeNextSendAt(endpoint.rateLimit, query.now)))),
			requestsPerSecond: healthy.reduce((sum, endpoint) => sum + computeRate(endpoint.rateLimit, query.now), 0),
		};
	}

	const available = permitted.filter(endpoint => endpoint.open < query.connections && hasRoom(endpoint.pushback, query.now) && !isFull(endpoint, query.peers, query.now));
	const knowledge = gatherPartKnowledge(available, query);
	const scored = available.map(endpoint => scoreEndpoint(endpoint, query, knowledge));
	const onTime = scored.filter(({predicted}) => predicted <= query.timeToTargetMs);
	const best = (onTime.length > 0 ? onTime : scored)
		.reduce<ScoredEndpoint | undefined>((cheapest, each) => cheapest === undefined || each.costMs < cheapest.costMs ? each : cheapest, undefined);
	return best === undefined
		? {kind: 'busy'}
		: {
			kind: 'endpoint',
			endpoint: best.endpoint,
			predicted: best.predicted,
			predictedIdleMs: predictIdleFirstOutputMs(best.newTokens, query),
			newTokens: best.newTokens,
		};
};
