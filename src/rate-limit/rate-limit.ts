import {hashText} from '../random/index.js';

/** What an endpoint stated about its rate limit. */
export type RateLimitStatement = Readonly<{
	/** Requests per second that it takes from all routers together; undefined if it states no limit. */
	requestsPerSecond: number | undefined;
	/** When it stated this, in ms. */
	statedAt: number;
	/** True if it stated this to this router, and not to a peer. */
	isFirstHand: boolean;
}>;

/**
An endpoint's rate limit, and this router's share of it. Credits accrue at the
rate of the share, and each request spends one.

Invariant: the shares of all routers that know the same limit and the same live
routers add up to the limit.
*/
export type RateLimit = RateLimitStatement & Readonly<{
	/** When a limit was last in force, in ms; undefined if none was. */
	limitedAt: number | undefined;
	/** This router's share, in requests per second. */
	share: number;
	/** Rate of requests that may be sent after a limit that nobody has confirmed for a while, in requests per second. */
	probeRate: number;
	credits: number;
	/** When the credits were last computed, in ms. */
	creditedAt: number;
}>;

/** The rate limit of an endpoint that has stated none. */
export const unlimited: RateLimit = {
	requestsPerSecond: undefined, statedAt: Number.NEGATIVE_INFINITY, isFirstHand: false, limitedAt: undefined, share: 0, probeRate: 0, credits: 0, creditedAt: 0,
};

/** Smallest share of a router, in requests per second. A limit too small for all routers is shared by a few of them, since each may send its first request at once. */
const minShare = 0.5;

/** Time without any statement after which the endpoint is asked again, in ms: a router without a share cannot see that a limit has ended. */
const statementTtlMs = 10_000;

/** Rate of such requests of all routers together, in requests per second. */
const totalProbeRate = 0.5;

/** Time for which unused credits accrue, in seconds. At low rates at least one credit accrues. */
const burstSeconds = 0.25;

/**
Computes a router's place in an endpoint's order of routers, by which limits are divided
that are too small for all. Every router that knows the same routers computes the same order.

@param endpoint - The endpoint's id.
@param router - Id of the router.
@param routers - Ids of all routers, including this one.
@returns The place, from 0.
*/
export const computeRank = (endpoint: string, router: string, routers: readonly string[]): number => {
	const weight = (id: string) => hashText(`${endpoint}/${id}`);
	const ownWeight = weight(router);
	return routers.filter(id => weight(id) > ownWeight).length;
};

/**
Computes one router's share of a limit. Every router that knows the same live
routers computes the same division.

@param requestsPerSecond - The limit for all routers together.
@param endpoint - Id of the endpoint that states it.
@param router - Id of the router.
@param routers - Ids of all live routers, including this one.
@returns Requests per second; 0 if the limit is divided among other routers.
*/
export const computeShare = (requestsPerSecond: number, endpoint: string, router: string, routers: readonly string[]): number => {
	const holders = Math.max(1, Math.min(routers.length, Math.floor(requestsPerSecond / minShare)));
	if (holders === routers.length) {
		return requestsPerSecond / holders;
	}

	return computeRank(endpoint, router, routers) < holders ? requestsPerSecond / holders : 0;
};

/**
Computes the rate at which this router may send requests.

@param limit - The endpoint's limit.
@param now - The current time in ms.
@returns Requests per second; infinite without a limit.
*/
export const computeRate = (limit: RateLimit, now: number): number => {
	if (limit.requestsPerSecond === undefined) {
		return Number.POSITIVE_INFINITY;
	}

	return now - limit.statedAt > statementTtlMs ? Math.max(limit.share, limit.probeRate) : limit.share;
};

const computeCredits = (limit: RateLimit, now: number): number => {
	const capacity = Math.max(1, limit.share * burstSeconds);
	return Math.min(capacity, limit.credits + (computeRate(limit, now) * Math.max(0, now - limit.creditedAt) / 1000));
};

/** Fraction of a credit that may be missing because of rounding. */
const roundingTolerance = 1e-6;

/**
Tells whether a request may be sent now.

@param limit - The endpoint's limit.
@param now - The current time in ms.
@returns False if the router's share is used up.
*/
export const canSend = (limit: RateLimit, now: number): boolean =>
	limit.requestsPerSecond === undefined || computeCredits(limit, now) >= 1 - roundingTolerance;

/**
Computes when the next request may be sent.

@param limit - The endpoint's limit.
@param now - The current time in ms.
@returns The time in ms, `now` at the earliest; infinite if the router has no share.
*/
export const computeNextSendAt = (limit: RateLimit, now: number): number =>
	canSend(limit, now) ? now : now + ((1 - computeCredits(limit, now)) * 1000 / computeRate(limit, now));

/**
Spends the credit of one request.

@param limit - The endpoint's limit.
@param now - The current time in ms.
@returns The updated limit.
*/
export const spendCredit = (limit: RateLimit, now: number): RateLimit => limit.requestsPerSecond === undefined
	? limit
	: {...limit, credits: Math.max(0, computeCredits(limit, now) - 1), creditedAt: now};

/**
Sets this router's share, as it follows from the live routers.

@param limit - The endpoint's limit.
@param endpoint - The endpoint's id.
@param router - Id of this router.
@param routers - Ids of all live routers, including this one.
@param now - The current time in ms.
@returns The updated limit.
*/
export const setShare = (limit: RateLimit, endpoint: string, router: string, routers: readonly string[], now: number): RateLimit => limit.requestsPerSecond === undefined
	? limit
	: {
		...limit,
		credits: computeCredits(limit, now),
		creditedAt: now,
		share: computeShare(limit.requestsPerSecond, endpoint, router, routers),
		probeRate: totalProbeRate / routers.length,
	};

/**
Applies a statement, unless a newer one is known. A limit begins without credits,
because the requests sent just before count against it.

@param limit - The endpoint's limit.
@param statement - What the endpoint stated.
@param now - The current time in ms.
@returns The updated limit, whose share must be set if the limit has changed.
*/
export const adoptStatement = (limit: RateLimit, statement: RateLimitStatement, now: number): RateLimit => {
	if (statement.statedAt < limit.statedAt) {
		return limit;
	}

	const stated: RateLimit = {...limit, ...statement, limitedAt: statement.requestsPerSecond === undefined ? limit.limitedAt : statement.statedAt};
	return limit.requestsPerSecond === undefined ? {...stated, credits: 0, creditedAt: now} : stated;
};

/**
Selects the statements that peers need: limits, and that a limit has ended. Only
what the endpoint stated to this router is passed on, so that an old statement does
not circulate.

@param limits - The limits by endpoint.
@param now - The current time in ms.
@returns The statements of the last seconds by endpoint.
*/
export const listStatements = <Endpoint>(limits: ReadonlyArray<readonly [Endpoint, RateLimit]>, now: number): ReadonlyArray<readonly [Endpoint, RateLimitStatement]> => limits.filter(([, limit]) =>
	limit.isFirstHand && now - limit.statedAt <= statementTtlMs && limit.limitedAt !== undefined && now - limit.limitedAt <= statementTtlMs);
