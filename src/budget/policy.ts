import {countFree} from './state.js';
import type {Pot} from './state.js';

/** What a grant policy may look at. Tokens and seconds. */
export type Need = Readonly<{
	/** Tokens that all waiting requests lack together. */
	wanted: number;
	/** Tokens that the smallest waiting request lacks. */
	least: number;
	/** Tokens the router has free. */
	free: number;
	/** Tokens of the budget that nobody holds. */
	ungranted: number;
	/** Tokens reserved a second, smoothed. */
	demand: number;
	/** Routers that may draw on the budget. */
	routers: number;
}>;

/** How large grants are. */
export type GrantPolicy = Readonly<{
	kind: 'fixed' | 'horizon' | 'forecast' | 'newsvendor';
	/** Tokens of a fixed grant, and of the first grant under the others. */
	size: number;
	/** Seconds of demand that a grant covers. */
	horizon: number;
	/** Part of the ungranted tokens that one grant may take, shared among routers. */
	share: number;
	/** Cost of a refused token over the cost of a stranded one. */
	refusalCost: number;
}>;

/** The policy that a router starts with. */
export const defaultPolicy: GrantPolicy = {
	kind: 'newsvendor', size: 20_000, horizon: 4200, share: 0.5, refusalCost: 10,
};

/**
Finds the quantile of demand over a horizon by the newsvendor rule: hold more
while P(demand > held) x cost of refusal > cost of stranding. Demand is taken as
normal with the variance of a Poisson stream of requests of the wanted size.

Source: "Reserved GPU Capacity vs On-Demand, in depth", section "Sizing the window".
*/
const findQuantile = (need: Need, policy: GrantPolicy): number => {
	const mean = need.demand * policy.horizon;
	const deviation = Math.sqrt(mean * Math.max(1, need.wanted));
	const overrun = Math.min(0.5, 1 / policy.refusalCost);
	// Tail approximation of the normal quantile, within 5% for overruns from 0.5 down to 0.001.
	const t = Math.sqrt(-2 * Math.log(overrun));
	const z = t - ((2.307_53 + (0.270_61 * t)) / (1 + (0.992_29 * t) + (0.044_81 * t * t)));
	return mean + (z * deviation);
};

const capByShare = (tokens: number, need: Need, policy: GrantPolicy): number =>
	Math.min(tokens, Math.floor(need.ungranted * policy.share / Math.max(1, need.routers)));

const goals: Readonly<Record<GrantPolicy['kind'], (need: Need, policy: GrantPolicy) => number>> = {
	fixed: (_need, policy) => policy.size,
	horizon: (need, policy) => Math.max(policy.size, need.demand * policy.horizon),
	forecast: (need, policy) => capByShare(Math.max(policy.size, need.demand * policy.horizon), need, policy),
	newsvendor: (need, policy) => capByShare(Math.max(policy.size, findQuantile(need, policy)), need, policy),
};

/** A draw ahead of need is at least the policy's size over this. */
const smallestShare = 4;

/**
Decides how many tokens to draw. What waiting requests lack comes first; the
rest is the policy's.

@param need - What the decision rests on.
@param policy - The policy.
@returns Tokens to draw, at most what is ungranted; 0 if they would help no waiting request.
*/
export const chooseDraw = (need: Need, policy: GrantPolicy): number => {
	const goal = Math.ceil(goals[policy.kind](need, policy)) - need.free;
	const draw = Math.min(need.ungranted, Math.max(need.wanted, goal, 0));
	// A draw that nobody waits for is not worth scattering the last tokens.
	const least = need.wanted > 0 ? need.least : policy.size / smallestShare;
	return draw < least ? 0 : draw;
};

/**
Brings the smoothed demand forward and adds a reservation to it.

@param pot - The pot.
@param tokens - Tokens reserved now.
@param now - The time in ms.
@returns The pot with its new demand.
*/
export const noteDemand = (pot: Pot, tokens: number, now: number): Pot => {
	const decay = Math.exp(-(now - pot.demandAt) / demandWindow);
	return {
		...pot, demand: (pot.demand * decay) + (tokens * 1000 / demandWindow), demandAt: now, usedAt: now,
	};
};

/** Milliseconds over which demand is smoothed. */
const demandWindow = 600_000;

/** A pot is low once less than one part in so many of what it is to cover is left. */
const lowShare = 2;

/**
Tells whether the pot is low enough to draw before anybody has to wait.

@param pot - The pot.
@param policy - The policy.
@returns True if a draw is due.
*/
export const isLow = (pot: Pot, policy: GrantPolicy): boolean =>
	pot.demand > 0 && countFree(pot) < Math.max(policy.size, pot.demand * policy.horizon) / lowShare;
