import {Map} from 'immutable';
import {fail} from '../errors/index.js';
import type {Result} from '../errors/index.js';
import {listStatements} from '../rate-limit/index.js';
import {isCold} from '../cold-start/index.js';
import {hasNews} from '../poison/index.js';
import type {PoisonNews} from '../poison/index.js';
import {listLeaving} from '../registry/index.js';
import type {Incarnation, Registry} from '../registry/index.js';
import {maxGossipPeers} from './choose-peers.js';
import {decodeMessage} from './decode.js';
import type {WireIncarnation, WireMessage} from './decode.js';

/** Load of one router at an endpoint. */
export type EndpointLoad = Readonly<{
	/** Prompt tokens of requests without output. */
	pending: number;
	/** Requests in flight. */
	open: number;
}>;

/** Load by endpoint id. */
export type EndpointLoads = Map<string, EndpointLoad>;

/** Load by endpoint id, as one router reports it. */
export type ReportedLoads = ReadonlyMap<string, EndpointLoad>;

/** The last message of each peer by router id, and when it arrived, in ms. */
export type PeerLoads = Map<string, Readonly<{at: number; loads: ReportedLoads}> & Omit<LoadMessage, 'router' | 'loads'>>;

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

const encodeIncarnation = ({id, startedAt, address, service}: Incarnation): WireIncarnation => [id, startedAt, address, service];

const decodeIncarnation = ([id, startedAt, address, service]: WireIncarnation): Incarnation => ({
	id, startedAt, address, service,
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
	/** True while the peer is overloaded and says that it is not ready. */
	isOverloaded: boolean;
	/** True while it is under pressure. */
	isPressed: boolean;
	/** True if it withdraws, and wants its whole data centre to. */
	isLeading: boolean;
	/** Cores that it may use; 0 if it does not state them. */
	cores: number;
	/** Cores that it has to spare for clients of other routers; 0 if it does not state them. */
	spareCores: number;
	loads: ReportedLoads;
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

type EncodedPoison = Pick<WireMessage, 'crashes' | 'proven' | 'verdicts' | 'trials'>;

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

const encodeColdTimes = ({endpoints}: Registry, now: number): Readonly<{cold?: ReadonlyArray<WireMessage['cold'][number]>}> => {
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
	/** True while it is overloaded and says that it is not ready. */
	isOverloaded?: boolean;
	/** True while it is under pressure, whether or not it may say that it is not ready. */
	isPressed?: boolean;
	/** True if it withdraws, and wants its whole data centre to. */
	isLeading?: boolean;
	/** Cores that it may use, and those that it has to spare. */
	cores?: number;
	spareCores?: number;
}>;

/** Empty lists are not sent; routers of all versions take a missing one for empty. */
const omitEmpty = <Item>(items: readonly Item[]): readonly Item[] | undefined => items.length === 0 ? undefined : items;

/**
Encodes the load of a router, and what endpoints have stated to it, for its peers.

@param report - The sender and what it knows.
@param now - The current time in ms.
@returns The message.
*/
export const encodeLoads = ({
	router, dataCentre, registry, poison, promptNews = [], isOverloaded = false, isPressed = false, isLeading = false, cores = 0, spareCores = 0,
}: LoadReport, now: number): string => {
	const endpoints = [...registry.endpoints.values()];
	return JSON.stringify({
		router,
		dataCentre,
		overloaded: isOverloaded || undefined,
		pressed: isPressed || undefined,
		leading: isLeading || undefined,
		cores: cores > 0 ? cores : undefined,
		spare: spareCores > 0 ? spareCores : undefined,
		loads: endpoints.filter(endpoint => endpoint.open > 0).map(({id, pending, open}) => [id, pending, open]),
		limits: omitEmpty(listStatements(endpoints.map(endpoint => [endpoint, endpoint.rateLimit]), now)
			.map(([{id, startedAt}, {requestsPerSecond, statedAt}]) => [id, requestsPerSecond ?? null, Math.round(now - statedAt), startedAt])),
		leaving: omitEmpty(listLeaving(registry, now).map(each => encodeIncarnation(each))),
		...encodeColdTimes(registry, now),
		...(poison !== undefined && encodePoison(poison)),
		...(promptNews.length > 0 && {parts: promptNews.map(({endpoint, startedAt, part}) => [endpoint, startedAt, part])}),
	});
};

/** What most messages tell of crashes: they are told of only from time to time. */
const noPoison: PoisonNews = {
	crashes: [], proven: [], verdicts: [], trials: [],
};

/**
Parses a peer's message.

@param text - The message.
@returns The message, or a fault that names the invalid field.
*/
export const parseLoads = (text: string): Result<PeerMessage> => {
	try {
		return decodeMessage(JSON.parse(text)).map(message => ({
			router: message.router,
			dataCentre: message.dataCentre,
			isOverloaded: message.overloaded ?? false,
			isPressed: message.pressed ?? false,
			isLeading: message.leading ?? false,
			cores: message.cores ?? 0,
			spareCores: message.spare ?? 0,
			loads: new globalThis.Map(message.loads.map(([id, pending, open]) => [id, {pending, open}])),
			limits: message.limits.map(([endpoint, requestsPerSecond, ageMs, startedAt]) => ({
				endpoint, startedAt, requestsPerSecond: requestsPerSecond ?? undefined, ageMs,
			})),
			cold: message.cold.map(([endpoint, startedAt, remainingMs, ageMs]) => ({
				endpoint, startedAt, remainingMs, ageMs,
			})),
			leaving: message.leaving.map(each => decodeIncarnation(each)),
			poison: hasNews(message) ? decodePoison(message) : noPoison,
			promptNews: message.parts.map(([endpoint, startedAt, part]) => ({endpoint, startedAt, part})),
		}));
	} catch (error) {
		return fail({kind: 'bad-request', detail: `message: ${error instanceof Error ? error.message : 'is not valid JSON'}`});
	}
};

/** What a peer's message says of its own load. */
type LoadMessage = Pick<PeerMessage, 'router' | 'loads' | 'dataCentre' | 'isOverloaded' | 'isPressed' | 'isLeading' | 'cores' | 'spareCores'>;

/**
Records a peer's load message.

@param peers - The last messages of the peers.
@param message - The message.
@param now - The current time in ms.
@returns The last messages, including this one.
*/
export const recordPeerLoads = (peers: PeerLoads, {router, ...message}: LoadMessage, now: number): PeerLoads => {
	const {
		loads, dataCentre, isOverloaded, isPressed, isLeading, cores, spareCores,
	} = message;
	return peers.set(router, {
		at: now, loads, dataCentre, isOverloaded, isPressed, isLeading, cores, spareCores,
	});
};

/** The load of a router that does not report any. */
const noLoad: EndpointLoad = {pending: 0, open: 0};

const addDifference = (totals: EndpointLoads, id: string, before: EndpointLoad, after: EndpointLoad): void => {
	if (before.pending === after.pending && before.open === after.open) {
		return;
	}

	const total = totals.get(id) ?? noLoad;
	const sum = {pending: Math.max(0, total.pending + after.pending - before.pending), open: Math.max(0, total.open + after.open - before.open)};
	if (sum.pending === 0 && sum.open === 0) {
		totals.delete(id);
	} else {
		totals.set(id, sum);
	}
};

/**
Applies a peer's new message to the totals. The time depends on the endpoints that it names, and not on the number of peers.

@param totals - The totals of all peers.
@param before - The peer's last loads that the totals contain; undefined for none.
@param after - Its new loads.
@returns The totals.
*/
export const replaceLoads = (totals: EndpointLoads, before: ReportedLoads | undefined, after: ReportedLoads): EndpointLoads => totals.withMutations(changing => {
	after.forEach((load, id) => {
		addDifference(changing, id, before?.get(id) ?? noLoad, load);
	});
	before?.forEach((load, id) => {
		if (!after.has(id)) {
			addDifference(changing, id, load, noLoad);
		}
	});
});

/**
Removes peers whose last message is too old.

@param peers - The last messages of the peers.
@param now - The current time in ms.
@returns The messages that are recent enough.
*/
export const removeStalePeers = (peers: PeerLoads, now: number): PeerLoads =>
	peers.some(({at}) => now - at > peerTtlMs) ? peers.filter(({at}) => now - at <= peerTtlMs) : peers;

/**
Sums the load of all peers.

@param peers - The last messages of the peers.
@returns The total by endpoint id.
*/
export const sumLoads = (peers: PeerLoads): EndpointLoads =>
	peers.valueSeq().reduce((totals, {loads}) => replaceLoads(totals, undefined, loads), Map<string, EndpointLoad>());
