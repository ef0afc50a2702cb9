import {Map} from 'immutable';
import {z} from 'zod';
import {describeIssue, fail, succeed} from '../errors/index.js';
import type {Result} from '../errors/index.js';
import type {Endpoint} from '../registry/index.js';

/** What one router has under way at an endpoint. */
export type PeerLoad = Readonly<{
	/** Prompt tokens that have given no output yet. */
	pending: number;
	/** Calls. */
	open: number;
}>;

/** By endpoint. */
export type Loads = Map<string, PeerLoad>;

/** What the peers said last, by router, and when, in ms. */
export type PeerLoads = Map<string, Readonly<{at: number; loads: Loads}>>;

/** Milliseconds after which what a peer said no longer counts: several messages may be lost. */
const silence = 500;

const messageSchema = z.object({
	router: z.string(),
	loads: z.array(z.tuple([z.string(), z.number().nonnegative(), z.number().nonnegative()])),
});

/**
Describes what a router has under way, for its peers.

@param router - The router.
@param endpoints - What it knows of each endpoint.
@returns The message.
*/
export const describeLoads = (router: string, endpoints: readonly Endpoint[]): string => JSON.stringify({
	router, loads: endpoints.filter(endpoint => endpoint.open > 0).map(({id, pending, open}) => [id, pending, open]),
});

/**
Reads a peer's message.

@param text - What came.
@returns Who sent it and what it has under way, or a fault that names the wrong field.
*/
export const parseLoads = (text: string): Result<Readonly<{router: string; loads: Loads}>> => {
	try {
		const parsed = messageSchema.safeParse(JSON.parse(text));
		return parsed.success
			? succeed({router: parsed.data.router, loads: Map(parsed.data.loads.map(([id, pending, open]) => [id, {pending, open}] as const))})
			: fail(describeIssue(parsed.error, 'message'));
	} catch (error) {
		return fail({kind: 'bad-request', detail: `message: ${error instanceof Error ? error.message : 'is no JSON'}`});
	}
};

/**
Takes in a peer's message.

@param peers - What the peers said before.
@param router - Who sent it.
@param loads - What it has under way.
@param now - The time in ms.
@returns What the peers said last.
*/
export const hearLoads = (peers: PeerLoads, router: string, loads: Loads, now: number): PeerLoads => peers.set(router, {at: now, loads});

/**
Drops peers that have been silent for too long.

@param peers - What the peers said.
@param now - The time in ms.
@returns What still counts.
*/
export const dropSilent = (peers: PeerLoads, now: number): PeerLoads => peers.filter(({at}) => now - at <= silence);

/**
Sums what all peers have under way.

@param peers - What the peers said.
@returns By endpoint.
*/
export const sumLoads = (peers: PeerLoads): Loads => peers.valueSeq().reduce(
	(sums, {loads}) => sums.mergeWith((a, b) => ({pending: a.pending + b.pending, open: a.open + b.open}), loads),
	Map<string, PeerLoad>(),
);
