/** One way to the store: its own address, or that of a relay. Times in ms. */
export type Path = Readonly<{
	/** IP number and port. */
	address: string;
	/** Failures since the last answer. */
	failures: number;
	/** It is passed over until then while another way is not. */
	restsUntil: number;
}>;

/**
The ways to the store, the preferred one first.

Load pattern: a router is cut off from the store, or the store turns it away,
while other machines reach it; calls that need the store would all be refused.
*/
export type Paths = readonly Path[];

/** Milliseconds that a way rests after a failure, doubled with each further one: cuts last for seconds, and each try of a dead way delays one call by the time until a second way is tried. */
const rest = {first: 500, longest: 4000} as const;

/**
Creates the ways of a process that has tried none.

@param own - The store's address.
@param relays - Relays that may reach it.
@returns The ways.
*/
export const createPaths = (own: string, relays: readonly string[]): Paths =>
	[...new Set([own, ...relays])].map(address => ({address, failures: 0, restsUntil: 0}));

/**
Puts the ways into the order in which a call tries them: those that rest come
last, the one that rests the shortest before the others.

@param paths - The ways.
@param now - The time in ms.
@returns Their addresses.
*/
export const orderPaths = (paths: Paths, now: number): readonly string[] => {
	const rested = paths.filter(path => path.restsUntil <= now);
	const resting = paths.filter(path => path.restsUntil > now).toSorted((a, b) => a.restsUntil - b.restsUntil);
	return [...rested, ...resting].map(path => path.address);
};

const judgePath = (path: Path, hasAnswered: boolean, now: number): Path => hasAnswered
	? {...path, failures: 0, restsUntil: 0}
	: {...path, failures: path.failures + 1, restsUntil: now + Math.min(rest.longest, rest.first * (2 ** Math.min(path.failures, 10)))};

/**
Learns how a call by one way ended.

@param paths - The ways.
@param address - The way that was tried.
@param hasAnswered - False if it was refused, or nothing came.
@param now - The time in ms.
@returns The ways.
*/
export const learnPath = (paths: Paths, address: string, hasAnswered: boolean, now: number): Paths =>
	paths.map(path => path.address === address ? judgePath(path, hasAnswered, now) : path);
