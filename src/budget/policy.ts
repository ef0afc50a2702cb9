import {countFreeTokens} from './state.js';
import type {BudgetGrant} from './state.js';

/** Input to a grant policy. */
export type DrawInput = Readonly<{
	/** Tokens that all waiting requests together need beyond the free ones. */
	waitingTokens: number;
	/** Tokens that the smallest waiting request needs beyond the free ones. */
	smallestWaitingTokens: number;
	/** Free tokens of the router's grant. */
	freeTokens: number;
	/** Tokens of the budget that are granted to no router. */
	ungranted: number;
	/** Tokens reserved per second, as a moving average. */
	demand: number;
	/** Number of routers that may draw on the budget. */
	routers: number;
}>;

/** How the size of a grant is chosen. */
export type GrantPolicy = Readonly<{
	kind: 'fixed' | 'horizon' | 'forecast' | 'newsvendor';
	/** Tokens of a fixed grant, and of the first grant under the other kinds. */
	size: number;
	/** Time of demand that a grant covers, in seconds. */
	horizon: number;
	/** Fraction of the ungranted tokens that one draw may take, divided by the number of routers. */
	share: number;
	/** Cost of a refused token relative to that of a stranded one (held but not used). */
	refusalCost: number;
}>;

/** The default grant policy of a router. */
export const defaultPolicy: GrantPolicy = {
	kind: 'newsvendor', size: 20_000, horizon: 4200, share: 0.5, refusalCost: 10,
};

/**
Computes the quantile of demand over the horizon by the newsvendor rule: hold
more while P(demand > held) x cost of refusal > cost of stranding. Demand is
modelled as normal, with the variance of a Poisson stream of requests of the
size that is waiting.

Source: "Reserved GPU Capacity vs On-Demand, in depth", section "Sizing the window".
*/
const computeDemandQuantile = (input: DrawInput, policy: GrantPolicy): number => {
	const meanTokens = input.demand * policy.horizon;
	const standardDeviation = Math.sqrt(meanTokens * Math.max(1, input.waitingTokens));
	const tailProbability = Math.min(0.5, 1 / policy.refusalCost);
	// Approximates the normal quantile, within 5% for tail probabilities from 0.5 down to 0.001.
	const t = Math.sqrt(-2 * Math.log(tailProbability));
	const z = t - ((2.307_53 + (0.270_61 * t)) / (1 + (0.992_29 * t) + (0.044_81 * t * t)));
	return meanTokens + (z * standardDeviation);
};

const capByShare = (tokens: number, input: DrawInput, policy: GrantPolicy): number =>
	Math.min(tokens, Math.floor(input.ungranted * policy.share / Math.max(1, input.routers)));

const computeTargets: Readonly<Record<GrantPolicy['kind'], (input: DrawInput, policy: GrantPolicy) => number>> = {
	fixed: (_input, policy) => policy.size,
	horizon: (input, policy) => Math.max(policy.size, input.demand * policy.horizon),
	forecast: (input, policy) => capByShare(Math.max(policy.size, input.demand * policy.horizon), input, policy),
	newsvendor: (input, policy) => capByShare(Math.max(policy.size, computeDemandQuantile(input, policy)), input, policy),
};

/** A draw ahead of need takes at least the policy's size divided by this. */
const minimumDrawDivisor = 4;

/**
Computes how many tokens to draw: at least what waiting requests need, and more
if the policy says so.

@param input - The state of the grant and its budget.
@param policy - The policy.
@returns Tokens to draw, at most the ungranted ones; 0 if they would not cover even the smallest waiting request.
*/
export const computeDrawTokens = (input: DrawInput, policy: GrantPolicy): number => {
	const targetTokens = Math.ceil(computeTargets[policy.kind](input, policy)) - input.freeTokens;
	const drawTokens = Math.min(input.ungranted, Math.max(input.waitingTokens, targetTokens, 0));
	// Small draws ahead of need would spread a budget's last tokens over many routers.
	const minimumTokens = input.waitingTokens > 0 ? input.smallestWaitingTokens : policy.size / minimumDrawDivisor;
	return drawTokens < minimumTokens ? 0 : drawTokens;
};

/**
Decays the moving average of demand to the current time and adds a reservation.

@param grant - The grant.
@param tokens - Tokens reserved now.
@param now - The time in ms.
@returns The grant with its updated demand.
*/
export const recordDemand = (grant: BudgetGrant, tokens: number, now: number): BudgetGrant => {
	const decay = Math.exp(-(now - grant.demandAt) / demandWindowMs);
	return {
		...grant, demand: (grant.demand * decay) + (tokens * 1000 / demandWindowMs), demandAt: now, usedAt: now,
	};
};

/** Time constant of the moving average of demand. */
const demandWindowMs = 600_000;

/** A grant is low once its free tokens are below its target divided by this. */
const lowThresholdDivisor = 2;

/**
Checks whether a grant is low enough to draw before a request has to wait.

@param grant - The grant.
@param policy - The policy.
@returns True if a draw is due.
*/
export const isBelowThreshold = (grant: BudgetGrant, policy: GrantPolicy): boolean =>
	grant.demand > 0 && countFreeTokens(grant) < Math.max(policy.size, grant.demand * policy.horizon) / lowThresholdDivisor;
