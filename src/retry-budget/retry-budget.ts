import {Map} from 'immutable';

/** Limits on the retries of all routers together to a service. */
export type RetryBudgetBounds = Readonly<{
	/** Retries allowed per client request. */
	ratio: number;
	/** Further retries allowed in one window. */
	slack: number;
}>;

/**
This router's share of the retry budget, by service: credits that requests earn
and retries spend. It guards against retry storms: if many requests fail at
once, retrying them all would double the load on the remaining endpoints.

Invariant: in any interval, retries are at most the router's share of the slack
plus its share of the ratio for the requests that it received in that interval.
*/
export type RetryBudget = Map<string, number>;

/** Fraction of the limits that is used, because clients and endpoints count on their own clocks. */
const safetyFraction = 0.85;

/** Fraction of the slack with which a process starts, because its predecessor may have just spent its own. */
const initialSlackFraction = 0.5;

const computeSlack = (bounds: RetryBudgetBounds, routers: number): number => bounds.slack * safetyFraction / routers;

/**
Creates the retry budget of a process that has just started.

@returns A retry budget without recorded credits; each service starts at a fraction of its slack.
*/
export const createRetryBudget = (): RetryBudget => Map();

const getCredits = (retryBudget: RetryBudget, service: string, slack: number): number => Math.min(retryBudget.get(service) ?? slack * initialSlackFraction, slack);

/**
Credits a client request to the retry budget.

@param retryBudget - The retry budget.
@param service - The service that the request goes to.
@param bounds - The limits for all routers together.
@param routers - The number of routers that share the limits.
@returns The updated retry budget.
*/
export const creditRequest = (retryBudget: RetryBudget, service: string, bounds: RetryBudgetBounds, routers: number): RetryBudget => {
	const slack = computeSlack(bounds, routers);
	return retryBudget.set(service, Math.min(slack, getCredits(retryBudget, service, slack) + (bounds.ratio * safetyFraction)));
};

/**
Spends one retry.

@param retryBudget - The retry budget.
@param service - The service that the request is retried at.
@param bounds - The limits for all routers together.
@param routers - The number of routers that share the limits.
@returns The updated retry budget; undefined if no retry is left.
*/
export const spendRetry = (retryBudget: RetryBudget, service: string, bounds: RetryBudgetBounds, routers: number): RetryBudget | undefined => {
	const credits = getCredits(retryBudget, service, computeSlack(bounds, routers));
	return credits < 1 ? undefined : retryBudget.set(service, credits - 1);
};
