import {Map} from 'immutable';

/** What all routers together may repeat at a service. */
export type AllowanceBounds = Readonly<{
	/** Repeats for each call that callers made. */
	ratio: number;
	/** Repeats beyond that in one window. */
	slack: number;
}>;

/**
This router's part of the repeats that all routers may make, by service: credits
that calls earn and repeats spend. Load pattern: many calls fail at once, and
repeating them all would double the load of what is left.

Invariant: in any span, repeats are at most the router's part of the slack and
its part of the ratio for the calls that it got in that span.
*/
export type Allowance = Map<string, number>;

/** Part of the allowed figures that is used, since callers and endpoints count on their own clocks. */
const usedPart = 0.85;

/** The part of the slack with which a process starts, since the one before it may have spent its own a moment ago. */
const startPart = 0.5;

const computeSlack = (bounds: AllowanceBounds, routers: number): number => bounds.slack * usedPart / routers;

/**
Creates the allowance of a process that has just started.

@returns An allowance without credits counted yet.
*/
export const createAllowance = (): Allowance => Map();

const getCredits = (allowance: Allowance, service: string, slack: number): number => Math.min(allowance.get(service) ?? slack * startPart, slack);

/**
Counts a call that a caller made.

@param allowance - The allowance.
@param service - Where it goes.
@param bounds - What all routers may repeat.
@param routers - How many routers share it.
@returns The allowance.
*/
export const countArrival = (allowance: Allowance, service: string, bounds: AllowanceBounds, routers: number): Allowance => {
	const slack = computeSlack(bounds, routers);
	return allowance.set(service, Math.min(slack, getCredits(allowance, service, slack) + (bounds.ratio * usedPart)));
};

/**
Spends a repeat.

@param allowance - The allowance.
@param service - Where the call goes once more.
@param bounds - What all routers may repeat.
@param routers - How many routers share it.
@returns The allowance; undefined if there is none left.
*/
export const spendRepeat = (allowance: Allowance, service: string, bounds: AllowanceBounds, routers: number): Allowance | undefined => {
	const credits = getCredits(allowance, service, computeSlack(bounds, routers));
	return credits < 1 ? undefined : allowance.set(service, credits - 1);
};
