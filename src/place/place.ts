import type {Service} from '../catalog/index.js';
import type {Work} from '../flight/index.js';
import type {Loads} from '../gossip/index.js';
import {hashText} from '../random/index.js';
import {relaxSlowness} from '../registry/index.js';
import type {Endpoint} from '../registry/index.js';

/** What a choice of endpoint rests on. */
export type PlaceQuery = Readonly<{
	service: Service;
	work: Work | undefined;
	/** Where this router is. */
	dataCentre: string;
	/** Endpoints that got the call before: passed over while there are others. */
	tried: readonly string[];
	/** What the peers have under way. */
	peers: Loads;
	/** Milliseconds within which the first output is on time. */
	timeLeft: number;
	now: number;
}>;

/** What the choice came to. */
export type Placement =
	| Readonly<{
		kind: 'endpoint';
		endpoint: Endpoint;
		/** Milliseconds to the first output. */
		predicted: number;
		/** The same, if the endpoint had nothing else to do. */
		unhindered: number;
		newTokens: number;
	}>
	/** Every endpoint is full. */
	| Readonly<{kind: 'busy'}>
	/** The service has no endpoint. */
	| Readonly<{kind: 'none'}>;

/** Prompt tokens that an engine reads in a ms beside the output of others: fitted to first outputs on the users' deployments. */
const readRate = 57;

/** Tokens of prompts before it that a call waits for in a ms; fitted likewise. More than an engine reads, since a part of them has been read. */
const pendingRate = 100;

/** Milliseconds to the first output for each request in an engine's batch; fitted likewise. */
const stepPerRequest = 1;

/** Milliseconds to the first output of an idle engine; fitted likewise. */
const engineBase = 85;

/** Milliseconds of work of a plain call, for want of better knowledge. */
const plainWork = 80;

/** Milliseconds that a call to another data centre counts as: its bytes are paid for. */
const remotePenalty = 6;

/** Milliseconds for which an engine is thought to remember a part that was sent to it. */
const partLifetime = 20_000;

/** Weight of the reading that a choice causes, beside the time that the call itself waits: it delays all others there. */
const readingWeight = 0.5;

/** Milliseconds after which what an endpoint said of its load no longer counts. */
const loadLifetime = 2000;

/**
Counts the prompt tokens that an endpoint would have to read: a part is remembered only if all before it are.

@param endpoint - The endpoint.
@param work - The request.
@param now - The time in ms.
@returns Tokens.
*/
export const countNewTokens = (endpoint: Endpoint, work: Work, now: number): number => {
	const known = work.parts.findIndex(part => now - (endpoint.parts.get(part.id) ?? Number.NEGATIVE_INFINITY) > partLifetime);
	const remembered = work.parts.slice(0, known === -1 ? undefined : known).reduce((sum, part) => sum + part.tokens, 0);
	return Math.max(0, work.promptTokens - remembered);
};

/** Calls at an endpoint: what it said of itself, or what the routers know, whichever is more. */
const countCalls = (endpoint: Endpoint, peers: Loads, now: number): number => {
	const {load} = endpoint;
	const known = endpoint.open + (peers.get(endpoint.id)?.open ?? 0);
	return load === undefined || now - load.at > loadLifetime ? known : Math.max(known, load.running + load.waiting + endpoint.sentSince);
};

/**
Tells whether an endpoint would only queue one more call.

@param endpoint - The endpoint.
@param peers - What the peers have under way.
@param now - The time in ms.
@returns True if all its slots are taken.
*/
export const isFull = (endpoint: Endpoint, peers: Loads, now: number): boolean =>
	endpoint.slots > 0 && countCalls(endpoint, peers, now) >= endpoint.slots;

/**
Predicts the time to the first output.

@param endpoint - The endpoint.
@param query - What is asked.
@param newTokens - Prompt tokens that it would have to read.
@returns Milliseconds.
*/
const predictFirstOutput = (endpoint: Endpoint, query: PlaceQuery, newTokens: number): number => {
	const calls = countCalls(endpoint, query.peers, query.now);
	if (query.service.engine === undefined || query.work === undefined) {
		return plainWork * relaxSlowness(endpoint, query.now) * (1 + (calls / Math.max(1, endpoint.slots)));
	}

	const pending = endpoint.pending + (query.peers.get(endpoint.id)?.pending ?? 0);
	const reading = (pending / pendingRate) + (newTokens / readRate);
	return relaxSlowness(endpoint, query.now) * (engineBase + reading + (calls * stepPerRequest));
};

/** The time to the first output of an endpoint with nothing else to do. */
const predictUnhindered = (newTokens: number, query: PlaceQuery): number => query.service.engine === undefined || query.work === undefined
	? plainWork
	: engineBase + (newTokens / readRate);

/** The part of a prompt that decides where its like goes: the last one that others share. */
const pickAffinity = (work: Work | undefined): string | undefined => work?.parts.at(-2)?.id ?? work?.parts.at(-1)?.id;

/** Rank of an endpoint for a part, by their hashes: the same at every router. */
const rankEndpoint = (partHash: number, endpoint: Endpoint): number => Math.imul(partHash, endpoint.hash);

/** Endpoints that take the requests of one part. */
const rankedPerPart = 2;

const pickRanked = (part: string, endpoints: readonly Endpoint[]): readonly Endpoint[] => {
	const partHash = hashText(part);
	return endpoints
		.map(endpoint => ({endpoint, rank: rankEndpoint(partHash, endpoint)}))
		.toSorted((a, b) => b.rank - a.rank)
		.slice(0, rankedPerPart)
		.map(({endpoint}) => endpoint);
};

/** An endpoint, and what speaks for and against it; the least weight is best. */
type Weighed = Readonly<{endpoint: Endpoint; newTokens: number; predicted: number; weight: number}>;

const weighEndpoint = (endpoint: Endpoint, query: PlaceQuery, bonus: number): Weighed => {
	const newTokens = query.work === undefined ? 0 : countNewTokens(endpoint, query.work, query.now);
	const predicted = predictFirstOutput(endpoint, query, newTokens);
	const distance = endpoint.dataCentre === query.dataCentre ? 0 : remotePenalty;
	const reading = readingWeight * newTokens / readRate;
	return {
		endpoint, newTokens, predicted, weight: (predicted / Math.max(0.1, 1 - endpoint.failureShare)) + distance + reading - bonus,
	};
};

/** Keeps the endpoints that fit, or all if none does. */
const prefer = (endpoints: readonly Endpoint[], fits: (endpoint: Endpoint) => boolean): readonly Endpoint[] => {
	const fitting = endpoints.filter(endpoint => fits(endpoint));
	return fitting.length > 0 ? fitting : endpoints;
};

/**
Chooses the endpoint for a call.

Load pattern: prompts share long parts, and reading one again delays every other
request there. The two endpoints that rank first for a part take its requests, the
sooner one of both, unless another would still be sooner after reading the part. Where
many requests share one part, those two are soon late: then the part is read elsewhere,
at an endpoint that is on time.

@param endpoints - All endpoints of the service.
@param query - What the call needs.
@returns The choice, or why there is none.
*/
export const chooseEndpoint = (endpoints: readonly Endpoint[], query: PlaceQuery): Placement => {
	if (endpoints.length === 0) {
		return {kind: 'none'};
	}

	const fresh = prefer(endpoints, endpoint => !query.tried.includes(endpoint.id));
	const sound = prefer(fresh, endpoint => endpoint.ejectedUntil <= query.now);
	const free = sound.filter(endpoint => !isFull(endpoint, query.peers, query.now));
	const affinity = pickAffinity(query.work);
	const ranked = affinity === undefined ? [] : pickRanked(affinity, free);
	const bonus = affinityBonus(query);
	const weighed = free.map(endpoint => weighEndpoint(endpoint, query, ranked.includes(endpoint) ? bonus : 0));
	const timely = weighed.filter(({predicted}) => predicted <= query.timeLeft);
	const best = (timely.length > 0 ? timely : weighed)
		.reduce<Weighed | undefined>((least, each) => least === undefined || each.weight < least.weight ? each : least, undefined);
	return best === undefined
		? {kind: 'busy'}
		: {
			kind: 'endpoint',
			endpoint: best.endpoint,
			predicted: best.predicted,
			unhindered: predictUnhindered(best.newTokens, query),
			newTokens: best.newTokens,
		};
};

/** Milliseconds that reading the shared parts somewhere else costs: other routers have sent them to the endpoints that rank first. */
const affinityBonus = (query: PlaceQuery): number => {
	const shared = query.work?.parts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0) ?? 0;
	return (1 + readingWeight) * shared / readRate;
};
