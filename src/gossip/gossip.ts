import {Map} from 'immutable';
import {z} from 'zod';
import {createValidationFault, fail, succeed} from '../errors/index.js';
import type {Result} from '../errors/index.js';
import {listStatements} from '../rate-limit/index.js';
import {isCold} from '../cold-start/index.js';
import type {PoisonNews} from '../poison/index.js';
import {listLeaving} from '../registry/index.js';
import type {Incarnation, Registry} from '../registry/index.js';

/** Load of one router at an endpoint. */
export type EndpointLoad = Readonly<{
	/** Prompt tokens of requests without output. */
	pending: number;
	/** Requests in flight. */
	open: number;
}>;

/** Load by endpoint id. */
export type EndpointLoads = Map<string, EndpointLoad>;

/** The last message of each peer by router id, and when it arrived, in ms. */
export type PeerLoads = Map<string, Readonly<{at: number; loads: EndpointLoads; dataCentre: string | undefined}>>;

/** Limit of peers that receive load messages, so that traffic per router does not grow with the fleet. The choice is stable while the peers are alive. */
export const maxGossipPeers = 16;

/**
Tells whether messages of peers are missing, as they are if the network between them is cut.

@param heardCount - Number of peers with a recent message.
@param liveCount - Number of peers that live.
@returns True if not all of a few peers are heard, or fewer of many than send their messages to a router in all likelihood.
*/
export const isMissingPeers = (heardCount: number, liveCount: number): boolean =>
	heardCount < (liveCount <= maxGossipPeers ? liveCount : maxGossipPeers / 2);

/** Time after which a peer's message is ignored; long enough to lose several messages in a row. */
const peerTtlMs = 500;

/** Id, start time, address and service. */
const incarnationSchema = z.tuple([z.string(), z.number(), z.string(), z.string()]);

type EncodedIncarnation = z.infer<typeof incarnationSchema>;

const encodeIncarnation = ({id, startedAt, address, service}: Incarnation): EncodedIncarnation => [id, startedAt, address, service];

const decodeIncarnation = ([id, startedAt, address, service]: EncodedIncarnation): Incarnation => ({
	id, startedAt, address, service,
});

const messageSchema = z.object({
	router: z.string(),
	loads: z.array(z.tuple([z.string(), z.number().nonnegative(), z.number().nonnegative()])),
	/** Endpoint, rate limit in requests per second or null for none, age of the endpoint's statement in ms, and start time of the endpoint. Older routers send only a part of this. */
	limits: z.array(z.tuple([z.string(), z.number().nonnegative().nullable(), z.number().nonnegative(), z.number().optional()])).default([]),
	/** The endpoints that have stated to the sender that they are leaving. Older routers send neither these nor what follows. */
	leaving: z.array(incarnationSchema).default([]),
	/** Endpoint, age in ms, whether it is refuted, and suspects, each with a number that only older routers read. */
	crashes: z.array(z.tuple([incarnationSchema, z.number().nonnegative(), z.boolean(), z.array(z.tuple([z.string(), z.number().nonnegative()]))])).default([]),
	/** Suspect, and age of its last proven output in ms. */
	proven: z.array(z.tuple([z.string(), z.number().nonnegative()])).default([]),
	/** Condemned suspect, age and remaining time of the verdict in ms, and strikes. */
	verdicts: z.array(z.tuple([z.string(), z.number().nonnegative(), z.number(), z.number().int().nonnegative()])).default([]),
	/** Suspects whose verdicts a request of the sender tests. Older routers send neither these nor what follows. */
	trials: z.array(z.string()).default([]),
	/** Endpoint, its start time, and a prompt part that the sender has sent to it. */
	parts: z.array(z.tuple([z.string(), z.number(), z.string()])).default([]),
	/** Endpoint, its start time, time in ms for which it stated that it stays cold, and age of the statement. Absent unless there are some. */
	cold: z.array(z.tuple([z.string(), z.number(), z.number().nonnegative(), z.number().nonnegative()])).default([]),
	/** Data centre of the sender. */
	dataCentre: z.string().optional(),
});

/** A prompt part that was sent to an endpoint, which has it in its cache then. */
export type PromptNews = Readonly<{endpoint: string; startedAt: number; part: string}>;

/** Parts with fewer tokens are not told to peers: they are read again in little time. */
const minToldTokens = 128;

/** Limit of parts told in one message. */
const maxPromptNews = 100;

/**
Adds the parts of a prompt that other requests may share.

@param news - The parts that are to be told.
@param endpoint - The endpoint that the prompt is sent to.
@param parts - The parts of the prompt in order.
@returns The parts that are to be told, the latest ones last.
*/
export const addPromptNews = (news: readonly PromptNews[], {id, startedAt}: Incarnation, parts: ReadonlyArray<Readonly<{id: string; tokens: number}>>): readonly PromptNews[] => {
	const told = parts.slice(0, -1).filter(({tokens}) => tokens >= minToldTokens).map(({id: part}) => ({endpoint: id, startedAt, part}));
	return told.length === 0 ? news : [...news, ...told].slice(-maxPromptNews);
};

/** What a peer reports of the endpoints. */
export type PeerMessage = Readonly<{
	router: string;
	/** Data centre of the peer; undefined if it does not state it. */
	dataCentre: string | undefined;
	loads: EndpointLoads;
	/** Rate limits that endpoints stated to the peer. */
	limits: ReadonlyArray<Readonly<{endpoint: string; startedAt: number | undefined; requestsPerSecond: number | undefined; ageMs: number}>>;
	/** Endpoints that have stated to the peer that they are cold, and the time that was left of that as it sent the message. */
	cold?: ReadonlyArray<Readonly<{endpoint: string; startedAt: number; remainingMs: number; ageMs: number}>>;
	/** Endpoints that have stated to the peer that they are leaving. */
	leaving: readonly Incarnation[];
	/** Requests and prompt parts on which endpoints crash. */
	poison: PoisonNews;
	/** Prompt parts that the peer has just sent to endpoints. */
	promptNews: readonly PromptNews[];
}>;

type EncodedPoison = Pick<z.infer<typeof messageSchema>, 'crashes' | 'proven' | 'verdicts' | 'trials'>;

const encodePoison = ({crashes, proven, verdicts, trials}: PoisonNews): EncodedPoison => ({
	crashes: crashes.map(({endpoint, ageMs, isRefuted, suspects}) => [encodeIncarnation(endpoint), ageMs, isRefuted, suspects.map(suspect => [suspect, 0])]),
	proven: proven.map(({suspect, ageMs}) => [suspect, ageMs]),
	verdicts: verdicts.map(({suspect, ageMs, remainingMs, strikes}) => [suspect, ageMs, remainingMs, strikes]),
	trials: [...trials],
});

const decodePoison = ({crashes, proven, verdicts, trials}: EncodedPoison): PoisonNews => ({
	crashes: crashes.map(([endpoint, ageMs, isRefuted, suspects]) => ({
		endpoint: decodeIncarnation(endpoint), ageMs, isRefuted, suspects: suspects.map(([suspect]) => suspect),
	})),
	proven: proven.map(([suspect, ageMs]) => ({suspect, ageMs})),
	verdicts: verdicts.map(([suspect, ageMs, remainingMs, strikes]) => ({
		suspect, ageMs, remainingMs, strikes,
	})),
	trials,
});

const encodeColdTimes = ({endpoints}: Registry, now: number): Readonly<{cold?: ReadonlyArray<z.infer<typeof messageSchema>['cold'][number]>}> => {
	const cold = endpoints.valueSeq().toArray().flatMap(({id, startedAt, cold: known}) => known?.isFirstHand === true && isCold(known, now)
		? [[id, startedAt, Math.ceil(known.coldUntil - now), Math.round(now - known.statedAt)] satisfies [string, number, number, number]]
		: []);
	return cold.length === 0 ? {} : {cold};
};

/** What a router tells its peers. */
export type LoadReport = Readonly<{
	/** The router's id. */
	router: string;
	dataCentre?: string;
	/** The endpoints known to the router. */
	registry: Registry;
	/** What it knows of requests and prompt parts on which endpoints crash; undefined if that is not due. */
	poison?: PoisonNews | undefined;
	/** Prompt parts that it has sent to endpoints since its last message. */
	promptNews?: readonly PromptNews[];
}>;

/**
Encodes the load of a router, and what endpoints have stated to it, for its peers.

@param report - The sender and what it knows.
@param now - The current time in ms.
@returns The message.
*/
export const encodeLoads = ({
	router, dataCentre, registry, poison, promptNews = [],
}: LoadReport, now: number): string => JSON.stringify({
	router,
	dataCentre,
	loads: registry.endpoints.valueSeq().toArray().filter(endpoint => endpoint.open > 0).map(({id, pending, open}) => [id, pending, open]),
	limits: listStatements(registry.endpoints.valueSeq().toArray().map(endpoint => [endpoint, endpoint.rateLimit]), now)
		.map(([{id, startedAt}, {requestsPerSecond, statedAt}]) => [id, requestsPerSecond ?? null, Math.round(now - statedAt), startedAt]),
	leaving: listLeaving(registry, now).map(each => encodeIncarnation(each)),
	...encodeColdTimes(registry, now),
	...(poison !== undefined && encodePoison(poison)),
	...(promptNews.length > 0 && {parts: promptNews.map(({endpoint, startedAt, part}) => [endpoint, startedAt, part])}),
});

/**
Parses a peer's message.

@param text - The message.
@returns The message, or a fault that names the invalid field.
*/
export const parseLoads = (text: string): Result<PeerMessage> => {
	try {
		const parsed = messageSchema.safeParse(JSON.parse(text));
		return parsed.success
			? succeed({
				router: parsed.data.router,
				dataCentre: parsed.data.dataCentre,
				loads: Map(parsed.data.loads.map(([id, pending, open]) => [id, {pending, open}] as const)),
				limits: parsed.data.limits.map(([endpoint, requestsPerSecond, ageMs, startedAt]) => ({
					endpoint, startedAt, requestsPerSecond: requestsPerSecond ?? undefined, ageMs,
				})),
				cold: parsed.data.cold.map(([endpoint, startedAt, remainingMs, ageMs]) => ({
					endpoint, startedAt, remainingMs, ageMs,
				})),
				leaving: parsed.data.leaving.map(each => decodeIncarnation(each)),
				poison: decodePoison(parsed.data),
				promptNews: parsed.data.parts.map(([endpoint, startedAt, part]) => ({endpoint, startedAt, part})),
			})
			: fail(createValidationFault(parsed.error, 'message'));
	} catch (error) {
		return fail({kind: 'bad-request', detail: `message: ${error instanceof Error ? error.message : 'is not valid JSON'}`});
	}
};

/**
Records a peer's load message.

@param peers - The last messages of the peers.
@param message - The message.
@param now - The current time in ms.
@returns The last messages, including this one.
*/
export const recordPeerLoads = (peers: PeerLoads, {router, loads, dataCentre}: Pick<PeerMessage, 'router' | 'loads' | 'dataCentre'>, now: number): PeerLoads =>
	peers.set(router, {at: now, loads, dataCentre});

/** Peers up to which all are told at the same rate. */
const maxPeersAtFullRate = 6;

/**
Tells whether a peer is to be told less often.

Load pattern: dozens of routers tell each other of their load several times a second, which
takes bytes between data centres and processor time. Endpoints get most requests from their
own data centre, so routers elsewhere need to know less of them.

@param peer - The last message of the peer, if any.
@param dataCentre - Data centre of this router.
@param peerCount - Number of peers that are told.
@returns True for a peer in another data centre unless there are few peers.
*/
export const isToldSeldom = (peer: Readonly<{dataCentre: string | undefined}> | undefined, dataCentre: string, peerCount: number): boolean =>
	peerCount > maxPeersAtFullRate && peer?.dataCentre !== undefined && peer.dataCentre !== dataCentre;

/**
Removes peers whose last message is too old.

@param peers - The last messages of the peers.
@param now - The current time in ms.
@returns The messages that are recent enough.
*/
export const removeStalePeers = (peers: PeerLoads, now: number): PeerLoads => peers.filter(({at}) => now - at <= peerTtlMs);

/**
Sums the load of all peers.

@param peers - The last messages of the peers.
@returns The total by endpoint id.
*/
export const sumLoads = (peers: PeerLoads): EndpointLoads => peers.valueSeq().reduce(
	(sums, {loads}) => sums.mergeWith((a, b) => ({pending: a.pending + b.pending, open: a.open + b.open}), loads),
	Map<string, EndpointLoad>(),
);
