import type {Random} from '../../src/random/index.js';

/** A rest that an endpoint asked a router for. Times in ms since the epoch. */
type Rest = Readonly<{askedAt: number; until: number; requests: number}>;

/** A rest that an endpoint is about to ask a router for. */
type RestRequest = Readonly<{
	durationMs: number;
	/** Begins the rest; called once the response that asks for it has been sent. */
	begin: () => void;
}>;

/** Asks routers for rest, and reports those that go on sending requests. */
export type RestWatch = Readonly<{
	/** Records a request; returns the rest to ask its router for, or undefined to serve it. */
	receive: (requestId: string) => RestRequest | undefined;
	/** Forgets all rests: a new incarnation has asked for none. */
	clear: () => void;
}>;

/** Time after which a rest must be kept, and requests of a router that may still come in it. */
const noticeMs = 500;
const maxRequests = 2;

/** Durations of rests, in ms, and the requests that are turned away so, one of so many. */
const duration = {min: 800, spread: 1700} as const;
const restOneIn = 50;

type RestOptions = Readonly<{
	/** Picks the requests and durations; undefined if the endpoint never asks for rest. */
	random: Random | undefined;
	findRouter: (requestId: string) => number | undefined;
	hasPaused: (router: number, since: number) => boolean;
	report: (violation: string) => void;
}>;

/**
Creates the watch of one endpoint.

@param options - What it picks by, what it knows of routers, and where it reports.
@returns The watch.
*/
export const createRestWatch = ({random, findRouter, hasPaused, report}: RestOptions): RestWatch => {
	let rests: ReadonlyMap<number, Rest> = new Map();

	const record = (router: number, rest: Rest): void => {
		rests = new Map([...rests, [router, rest]]);
	};

	const check = (router: number, rest: Rest, now: number): void => {
		const requests = rest.requests + (now > rest.askedAt + noticeMs ? 1 : 0);
		record(router, {...rest, requests});
		if (requests > maxRequests && !hasPaused(router, rest.askedAt)) {
			report(`received ${requests} requests of router ${router} in a rest of ${rest.until - rest.askedAt} ms that it had asked for ${now - rest.askedAt} ms before`);
		}
	};

	return {
		receive(requestId) {
			const router = findRouter(requestId);
			if (router === undefined || random === undefined) {
				return undefined;
			}

			const now = Date.now();
			const rest = rests.get(router);
			if (rest !== undefined && now < rest.until) {
				check(router, rest, now);
				return undefined;
			}

			if (random.pick(restOneIn) > 0) {
				return undefined;
			}

			const durationMs = duration.min + random.pick(duration.spread);
			return {
				durationMs,
				begin() {
					const askedAt = Date.now();
					record(router, {askedAt, until: askedAt + durationMs, requests: 0});
				},
			};
		},
		clear() {
			rests = new Map();
		},
	};
};
