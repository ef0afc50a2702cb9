import {List, Map} from 'immutable';
import {sumBills} from '../bill/index.js';
import type {AttemptLocation, Bill} from '../bill/index.js';

/**
The tokens of one budget that are granted to a router.

Invariant: `granted` is what the router's grant row holds, as far as the router
knows, and reservations, unsettled bills and tokens being returned never exceed
it. The router can therefore spend from memory without a store call.
*/
export type BudgetGrant = Readonly<{
	budget: string;
	/** Tokens in the grant row. */
	granted: number;
	/** Version of the grant row; 0 before the first draw. */
	version: number;
	/** Tokens reserved for attempts that have not ended. */
	reserved: number;
	/** Bills that are not durable yet, oldest first. */
	unsettled: List<Bill>;
	/** Requests in the grant row whose agents still store an attempt's usage. */
	recent: Map<string, readonly AttemptLocation[]>;
	/** Tokens of the budget that are granted to no router, as last read; undefined before the first read. */
	ungranted: number | undefined;
	/** Tokens that all waiting requests reserve together. */
	waitingTokens: number;
	/** Tokens that the smallest waiting request reserves. */
	smallestWaitingTokens: number;
	/** Number of changes written so far, from which the next change's id is built. */
	changes: number;
	sync: GrantSync;
	/** When tokens were last requested from the grant, in ms. */
	usedAt: number;
	/** Tokens reserved per second, as a moving average. */
	demand: number;
	/** When `demand` was last updated, in ms. */
	demandAt: number;
	/** When bills were last settled, in ms. */
	settledAt: number;
}>;

/** A change of the grant row that may or may not be committed. */
export type GrantChange = Readonly<{
	id: string;
	bills: readonly Bill[];
	/** Tokens drawn from the budget, or returned to it if negative. */
	delta: number;
	/** The version of the budget row that the change requires; 0 if it does not change that row. */
	budgetVersion: number;
	recent: Map<string, readonly AttemptLocation[]>;
	/** True if the grant row is deleted, because it is empty and the router may no longer draw. */
	shouldDeleteGrant: boolean;
}>;

/**
State of the synchronisation of the grant row with the store. `change` stays the
same until it is known to be committed or can no longer be.
*/
export type GrantSync =
	| Readonly<{step: 'idle'}>
	| Readonly<{step: 'waiting'; retryAtMs: number; failures: number; change: GrantChange | undefined}>
	| Readonly<{step: 'reading'; failures: number; change: GrantChange | undefined}>
	| Readonly<{step: 'writing'; failures: number; change: GrantChange}>;

/** All grants of a router, by budget. */
export type BudgetGrants = Map<string, BudgetGrant>;

/**
Creates a grant without tokens.

@param budget - The budget's name.
@param now - The time in ms.
@returns The grant.
*/
export const createBudgetGrant = (budget: string, now: number): BudgetGrant => ({
	budget,
	granted: 0,
	version: 0,
	reserved: 0,
	unsettled: List(),
	recent: Map(),
	ungranted: undefined,
	waitingTokens: 0,
	smallestWaitingTokens: 0,
	changes: 0,
	sync: {step: 'idle'},
	usedAt: now,
	demand: 0,
	demandAt: now,
	settledAt: now,
});

const getPendingChange = (grant: BudgetGrant): GrantChange | undefined => grant.sync.step === 'idle' ? undefined : grant.sync.change;

/**
Counts the tokens available for new reservations.

@param grant - The grant.
@returns Tokens; never negative while the invariant holds.
*/
export const countFreeTokens = (grant: BudgetGrant): number => {
	const returningTokens = Math.max(0, -(getPendingChange(grant)?.delta ?? 0));
	return grant.granted - grant.reserved - sumBills(grant.unsettled) - returningTokens;
};
