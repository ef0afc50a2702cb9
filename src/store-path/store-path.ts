/** A network path to the store: its own address, or that of a relay. */
export type StorePath = Readonly<{
	/** IP address and port. */
	address: string;
	/** Consecutive failures since the last successful call. */
	failures: number;
	/** End of the back-off in ms; until then, paths that are not backing off are tried first. */
	backoffUntilMs: number;
}>;

/**
The paths to the store, the preferred one first.

Load pattern: a process cannot reach the store directly, or the store refuses its
calls, while other hosts reach it. Without relays, every request that needs the
store would be refused.
*/
export type StorePaths = readonly StorePath[];

/**
Back-off after a failure, doubled with each further one. Network cuts last for seconds, and each
try of a failed path delays a call by the time until a second path is tried.
*/
const pathBackoffMs = {first: 500, longest: 4000} as const;

/**
Creates the initial paths, none of which has been tried.

@param storeAddress - The store's address.
@param relays - Addresses of relays that may reach the store.
@returns The paths.
*/
export const createStorePaths = (storeAddress: string, relays: readonly string[]): StorePaths =>
	[...new Set([storeAddress, ...relays])].map(address => ({address, failures: 0, backoffUntilMs: 0}));

/**
Orders the paths as a call should try them: paths in back-off come last, in order
of the end of their back-off.

@param paths - The paths.
@param now - The current time in ms.
@returns The addresses of the paths in order.
*/
export const orderPaths = (paths: StorePaths, now: number): readonly string[] => {
	const available = paths.filter(path => path.backoffUntilMs <= now);
	const backingOff = paths.filter(path => path.backoffUntilMs > now).toSorted((a, b) => a.backoffUntilMs - b.backoffUntilMs);
	return [...available, ...backingOff].map(path => path.address);
};

const updatePath = (path: StorePath, hasAnswered: boolean, now: number): StorePath => hasAnswered
	? {...path, failures: 0, backoffUntilMs: 0}
	: {...path, failures: path.failures + 1, backoffUntilMs: now + Math.min(pathBackoffMs.longest, pathBackoffMs.first * (2 ** Math.min(path.failures, 10)))};

/**
Records the outcome of a call over one path.

@param paths - The paths.
@param address - The address of the path that was tried.
@param hasAnswered - False if the call was refused or got no reply.
@param now - The current time in ms.
@returns The updated paths.
*/
export const recordPathResult = (paths: StorePaths, address: string, hasAnswered: boolean, now: number): StorePaths =>
	paths.map(path => path.address === address ? updatePath(path, hasAnswered, now) : path);
