import {List, Map} from 'immutable';
import {sumBills} from '../bill/index.js';
import type {AttemptPlace, Bill} from '../bill/index.js';

/**
A router's part of one budget.

Invariant: `granted` is what the router's grant row holds, as far as the router
knows, and reservations, unsettled bills and tokens on their way back never
exceed it. So the router spends from memory without asking the store.
*/
export type Pot = Readonly<{
	budget: string;
	/** Tokens in the grant row. */
	granted: number;
	/** Version of the grant row; 0 before the first draw. */
	version: number;
	/** Tokens held back for attempts that have not ended. */
	reserved: number;
	/** Bills that are not durable yet, oldest first. */
	unsettled: List<Bill>;
	/** Requests in the grant row whose agents still keep an attempt's usage. */
	recent: Map<string, readonly AttemptPlace[]>;
	/** Tokens of the budget that nobody holds, as last read; undefined before the first read. */
	ungranted: number | undefined;
	/** Tokens that all waiting requests reserve together. */
	wanted: number;
	/** Tokens that the smallest waiting request reserves. */
	least: number;
	/** Changes written so far: names the next one. */
	changes: number;
	sync: Sync;
	/** When the pot was last drawn on, in ms. */
	usedAt: number;
	/** Tokens reserved a second, smoothed. */
	demand: number;
	/** When `demand` was last brought forward, in ms. */
	demandAt: number;
	/** When bills were last settled, in ms. */
	settledAt: number;
}>;

/** A change of the grant row that may or may not have taken effect. */
export type Change = Readonly<{
	id: string;
	bills: readonly Bill[];
	/** Tokens drawn from the budget, or returned to it if negative. */
	delta: number;
	/** The budget row's version that the change requires; 0 if it leaves the row alone. */
	budgetVersion: number;
	recent: Map<string, readonly AttemptPlace[]>;
	/** True if the grant row is removed, since nothing is left in it and the router leaves. */
	leaves: boolean;
}>;

/**
How far the grant row is being brought up to date. `change` stays the same
until it is known to have taken effect or to be unable to.
*/
export type Sync =
	| Readonly<{step: 'idle'}>
	| Readonly<{step: 'waiting'; until: number; failures: number; change: Change | undefined}>
	| Readonly<{step: 'reading'; failures: number; change: Change | undefined}>
	| Readonly<{step: 'writing'; failures: number; change: Change}>;

/** All of a router's pots by budget. */
export type Pots = Map<string, Pot>;

/**
Creates a pot that holds nothing.

@param budget - The budget.
@param now - The time in ms.
@returns The pot.
*/
export const createPot = (budget: string, now: number): Pot => ({
	budget,
	granted: 0,
	version: 0,
	reserved: 0,
	unsettled: List(),
	recent: Map(),
	ungranted: undefined,
	wanted: 0,
	least: 0,
	changes: 0,
	sync: {step: 'idle'},
	usedAt: now,
	demand: 0,
	demandAt: now,
	settledAt: now,
});

const findChange = (pot: Pot): Change | undefined => pot.sync.step === 'idle' ? undefined : pot.sync.change;

/**
Counts the tokens that new reservations may take.

@param pot - The pot.
@returns Tokens, never negative while the invariant holds.
*/
export const countFree = (pot: Pot): number => {
	const returning = Math.max(0, -(findChange(pot)?.delta ?? 0));
	return pot.granted - pot.reserved - sumBills(pot.unsettled) - returning;
};
