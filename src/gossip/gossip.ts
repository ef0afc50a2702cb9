import {Map} from 'immutable';
import {z} from 'zod';
import {createValidationFault, fail, succeed} from '../errors/index.js';
import type {Result} from '../errors/index.js';
import {listStatements} from '../rate-limit/index.js';
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
export type PeerLoads = Map<string, Readonly<{at: number; loads: EndpointLoads}>>;

/** Time after which a peer's message is ignored; long enough to lose several messages in a row. */
const peerTtlMs = 500;

const messageSchema = z.object({
	router: z.string(),
	loads: z.array(z.tuple([z.string(), z.number().nonnegative(), z.number().nonnegative()])),
	/** Endpoint, rate limit in requests per second or null for none, age of the endpoint's statement in ms, and start time of the endpoint. Older routers send only a part of this. */
	limits: z.array(z.tuple([z.string(), z.number().nonnegative().nullable(), z.number().nonnegative(), z.number().optional()])).default([]),
	/** Id, start time, address and service of the endpoints that have stated to the sender that they are leaving. Older routers do not send them. */
	leaving: z.array(z.tuple([z.string(), z.number(), z.string(), z.string()])).default([]),
});

/** What a peer reports of the endpoints. */
export type PeerMessage = Readonly<{
	router: string;
	loads: EndpointLoads;
	/** Rate limits that endpoints stated to the peer. */
	limits: ReadonlyArray<Readonly<{endpoint: string; startedAt: number | undefined; requestsPerSecond: number | undefined; ageMs: number}>>;
	/** Endpoints that have stated to the peer that they are leaving. */
	leaving: readonly Incarnation[];
}>;

/**
Encodes the load of a router, and what endpoints have stated to it, for its peers.

@param router - The router's id.
@param registry - The endpoints known to the router.
@param now - The current time in ms.
@returns The message.
*/
export const encodeLoads = (router: string, registry: Registry, now: number): string => JSON.stringify({
	router,
	loads: registry.endpoints.valueSeq().toArray().filter(endpoint => endpoint.open > 0).map(({id, pending, open}) => [id, pending, open]),
	limits: listStatements(registry.endpoints.valueSeq().toArray().map(endpoint => [endpoint, endpoint.rateLimit]), now)
		.map(([{id, startedAt}, {requestsPerSecond, statedAt}]) => [id, requestsPerSecond ?? null, Math.round(now - statedAt), startedAt]),
	leaving: listLeaving(registry, now).map(({id, startedAt, address, service}) => [id, startedAt, address, service]),
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
				loads: Map(parsed.data.loads.map(([id, pending, open]) => [id, {pending, open}] as const)),
				limits: parsed.data.limits.map(([endpoint, requestsPerSecond, ageMs, startedAt]) => ({
					endpoint, startedAt, requestsPerSecond: requestsPerSecond ?? undefined, ageMs,
				})),
				leaving: parsed.data.leaving.map(([id, startedAt, address, service]) => ({
					id, startedAt, address, service,
				})),
			})
			: fail(createValidationFault(parsed.error, 'message'));
	} catch (error) {
		return fail({kind: 'bad-request', detail: `message: ${error instanceof Error ? error.message : 'is not valid JSON'}`});
	}
};

/**
Records a peer's load message.

@param peers - The last messages of the peers.
@param router - The sender's id.
@param loads - The sender's load.
@param now - The current time in ms.
@returns The last messages, including this one.
*/
export const recordPeerLoads = (peers: PeerLoads, router: string, loads: EndpointLoads, now: number): PeerLoads => peers.set(router, {at: now, loads});

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
