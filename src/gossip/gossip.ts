import {Map} from 'immutable';
import {z} from 'zod';
import {createValidationFault, fail, succeed} from '../errors/index.js';
import type {Result} from '../errors/index.js';
import type {Endpoint} from '../registry/index.js';

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
});

/**
Encodes the load of a router for its peers.

@param router - The router's id.
@param endpoints - The endpoints known to the router.
@returns The message.
*/
export const encodeLoads = (router: string, endpoints: readonly Endpoint[]): string => JSON.stringify({
	router, loads: endpoints.filter(endpoint => endpoint.open > 0).map(({id, pending, open}) => [id, pending, open]),
});

/**
Parses a peer's load message.

@param text - The message.
@returns The sender and its load, or a fault that names the invalid field.
*/
export const parseLoads = (text: string): Result<Readonly<{router: string; loads: EndpointLoads}>> => {
	try {
		const parsed = messageSchema.safeParse(JSON.parse(text));
		return parsed.success
			? succeed({router: parsed.data.router, loads: Map(parsed.data.loads.map(([id, pending, open]) => [id, {pending, open}] as const))})
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
