import {computeRank} from '../rate-limit/index.js';

/** In any second, all routers together may send a cold endpoint `over` times its rate and `slack` requests more. */
export type ColdBounds = Readonly<{over: number; slack: number}>;

/** The bounds of deployments whose settings name none. */
export const defaultColdBounds: ColdBounds = {over: 1.5, slack: 5};

/**
What a router sends to an endpoint that is cold, or was until lately. Times in ms.

Load pattern: an endpoint starts while requests come, or its machine is restarted, and is slow for
seconds. It looks idle, so that every router would send it more than its share at once.

While the endpoint is cold, its rate is divided among some of the routers. Credits accrue
at the share of each, and a request spends one. Afterwards the rate doubles each second.

Invariant: of routers that know the same others, those with a share are few enough that all
of them may spend saved credits in the same second.
*/
export type ColdStart = Readonly<{
	/** When the cold time ends. */
	coldUntil: number;
	/** When it was last stated. */
	statedAt: number;
	/** True if the endpoint stated it in a response to this router. */
	isFirstHand: boolean;
	/** True if nobody stated it: the endpoint may be cold after a time without requests. */
	isAssumed: boolean;
	/** Requests per second that a cold endpoint takes from all routers together. */
	requestsPerSecond: number;
	bounds: ColdBounds;
	/** Place of this router in the endpoint's order of all routers, from 0; infinite while the other routers are not known. */
	rank: number;
	/** Number of routers that may exist. */
	routers: number;
	credits: number;
	/** When the credits were last computed. */
	creditedAt: number;
	/** True from the log line that says that it is cold to the one that says that it is warm. */
	isLogged: boolean;
}>;

/** What a router knows of the other routers for the division of a rate. */
export type ColdShare = Pick<ColdStart, 'rank' | 'routers'>;

/** What is stated about the cold time of an endpoint. */
export type ColdStatement = Readonly<{
	/** Time for which it stays cold, in ms; 0 if it is warm. */
	remainingMs: number;
	statedAt: number;
	isFirstHand: boolean;
	/** True if the statement may only lengthen the cold time, since it may be older than others. */
	canOnlyExtend: boolean;
	isAssumed?: boolean;
}>;

/** Time in which the permitted rate doubles after the cold time, in ms. */
const doublingMs = 1000;

/** Length of the ramp-up in ms. After eight doublings the rate is 256 times that of a cold endpoint, which no longer limits. */
const rampMs = 8000;

/** Fraction of what the bounds allow beyond the rate that saved credits may take up. The rest is for routers that know different others, and for requests that take unequal time to arrive. */
const creditFraction = 0.75;

/** Returns the number of routers among which a rate is divided: each may have saved a credit, which it may spend in the same second as the others. */
const countHolders = ({bounds: {over, slack}, routers}: ColdStart, rate: number): number =>
	Math.min(routers, Math.max(1, Math.floor(creditFraction * (((over - 1) * rate) + slack))));

/** Returns the rate of all routers together, in requests per second. */
const computeTotalRate = ({requestsPerSecond, coldUntil}: ColdStart, now: number): number =>
	requestsPerSecond * (2 ** (Math.min(rampMs, Math.max(0, now - coldUntil)) / doublingMs));

/**
Tells whether an endpoint is cold.

@param cold - What is known of its cold time, if anything.
@param now - The current time in ms.
@returns False from the end of the cold time on, although the rate goes on rising.
*/
export const isCold = (cold: ColdStart | undefined, now: number): boolean => cold !== undefined && now < cold.coldUntil;

/**
Tells whether requests to an endpoint are limited because it is cold, or was until lately.

@param cold - What is known of its cold time, if anything.
@param now - The current time in ms.
@returns False once the ramp-up has ended.
*/
export const isColdLimited = (cold: ColdStart | undefined, now: number): cold is ColdStart => cold !== undefined && now < cold.coldUntil + rampMs;

/**
Computes the rate at which this router may send requests to an endpoint.

@param cold - What is known of its cold time, if anything.
@param now - The current time in ms.
@returns Requests per second; infinite without a limit, 0 if the rate is divided among other routers.
*/
export const computeColdRate = (cold: ColdStart | undefined, now: number): number => {
	if (!isColdLimited(cold, now)) {
		return Number.POSITIVE_INFINITY;
	}

	const rate = computeTotalRate(cold, now);
	const holders = countHolders(cold, rate);
	return cold.rank < holders ? rate / holders : 0;
};

/** Credits accrue at the present rate, and are bounded so that saved ones of all routers stay within the bounds. */
const computeCredits = (cold: ColdStart, now: number): number => {
	const rate = computeColdRate(cold, now);
	const capacity = Math.max(1, rate * Math.max(0, cold.bounds.over - 1) / 2);
	return Number.isFinite(rate) ? Math.min(capacity, cold.credits + (rate * Math.max(0, now - cold.creditedAt) / 1000)) : capacity;
};

/** Fraction of a credit that may be missing because of rounding. */
const roundingTolerance = 1e-6;

/**
Tells whether a request may be sent to an endpoint now.

@param cold - What is known of its cold time, if anything.
@param now - The current time in ms.
@returns False if this router's share is used up.
*/
export const canSendCold = (cold: ColdStart | undefined, now: number): boolean =>
	!isColdLimited(cold, now) || computeCredits(cold, now) >= 1 - roundingTolerance;

/** Returns when a router without a share gets one: once the rate is divided among more routers. */
const computeShareAt = (cold: ColdStart): number => {
	const {bounds: {over, slack}, requestsPerSecond, rank, coldUntil} = cold;
	const rate = (((rank + 1) / creditFraction) - slack) / Math.max(0, over - 1);
	return coldUntil + Math.min(rampMs, Math.max(0, doublingMs * Math.log2(rate / requestsPerSecond)));
};

/**
Computes when the next request may be sent to an endpoint.

@param cold - What is known of its cold time, if anything.
@param now - The current time in ms.
@returns The time in ms, `now` at the earliest.
*/
export const computeNextColdSendAt = (cold: ColdStart | undefined, now: number): number => {
	if (cold === undefined || canSendCold(cold, now)) {
		return now;
	}

	const rate = computeColdRate(cold, now);
	return rate === 0 ? Math.max(now, computeShareAt(cold)) : now + ((1 - computeCredits(cold, now)) * 1000 / rate);
};

/**
Spends the credit of one request.

@param cold - What is known of the endpoint's cold time, if anything.
@param now - The current time in ms.
@returns The same with one credit less.
*/
export const spendColdCredit = (cold: ColdStart | undefined, now: number): ColdStart | undefined => isColdLimited(cold, now)
	? {...cold, credits: Math.max(0, computeCredits(cold, now) - 1), creditedAt: now}
	: cold;

/**
Finds the share of this router in an endpoint's rate. Every router that knows the same others
computes the same division.

@param endpoint - The endpoint's id.
@param router - This router.
@param routers - All routers that may exist, including this one; undefined while they are not known.
@returns The share.
*/
export const findColdShare = (endpoint: string, router: string, routers: readonly string[] | undefined): ColdShare => routers === undefined
	? {rank: Number.POSITIVE_INFINITY, routers: 1}
	: {rank: computeRank(endpoint, router, routers), routers: routers.length};

/**
Sets the rate, its bounds and this router's share. Credits that have accrued are kept.

@param cold - What is known of the endpoint's cold time.
@param limits - The fields that change.
@param now - The current time in ms.
@returns The same with these fields.
*/
export const setColdLimits = (cold: ColdStart, limits: Partial<ColdShare & Pick<ColdStart, 'requestsPerSecond' | 'bounds'>>, now: number): ColdStart => ({
	...cold, credits: computeCredits(cold, now), creditedAt: now, ...limits,
});

/** Begins without credits, so that no router sends at once what it has saved, and with less than that by rank, so that routers take turns. */
const addFirstCredits = (cold: ColdStart): ColdStart => {
	const holders = countHolders(cold, cold.requestsPerSecond);
	return {...cold, credits: cold.rank < holders ? -cold.rank / holders : 0};
};

/** A statement that can only extend counts for nothing if it is older than what the endpoint itself stated, or says less. */
const isIgnored = (cold: ColdStart | undefined, {remainingMs, statedAt, canOnlyExtend}: ColdStatement, now: number): boolean =>
	canOnlyExtend && cold !== undefined && (now + remainingMs <= cold.coldUntil || (cold.isFirstHand && statedAt < cold.statedAt));

/**
Applies a statement about the cold time of an endpoint.

@param cold - What was known of it.
@param statement - What is stated.
@param limits - The endpoint's rate while it is cold, the bounds and this router's share.
@param now - The current time in ms.
@returns What is known now; undefined if the endpoint is not limited.
*/
export const adoptColdStatement = (
	cold: ColdStart | undefined,
	statement: ColdStatement,
	limits: ColdShare & Pick<ColdStart, 'requestsPerSecond' | 'bounds'>,
	now: number,
): ColdStart | undefined => {
	const {remainingMs, statedAt, isFirstHand, isAssumed = false} = statement;
	if (isIgnored(cold, statement, now) || (cold === undefined && remainingMs <= 0)) {
		return cold;
	}

	// The end of a cold time that is over stays, so that its ramp-up goes on.
	const coldUntil = remainingMs > 0 ? now + remainingMs : Math.min(cold?.coldUntil ?? now, now);
	const stated = {
		coldUntil, statedAt, isFirstHand, isAssumed: isAssumed && remainingMs > 0,
	};
	const isContinued = cold !== undefined && (isCold(cold, now) || remainingMs <= 0);
	return isContinued
		? {...setColdLimits(cold, limits, now), ...stated}
		: addFirstCredits({
			...limits, ...stated, credits: 0, creditedAt: now, isLogged: cold?.isLogged ?? false,
		});
};
