import {Map} from 'immutable';
import type {StoreWrite} from '../store/index.js';

/** What a router holds of one organisation's budget. Tokens. */
export type Hold = Readonly<{
	/** What the router's row holds. */
	held: number;
	/** Spent, and not yet taken off the row. */
	charged: number;
	/** The most that running calls may still cost. */
	reserved: number;
	/** What waiting calls need. */
	wanted: number;
	/** The least that one of them needs. */
	least: number;
	/** Reserved since the last tick. */
	used: number;
	/** Tokens reserved a second, averaged over some seconds. */
	demand: number;
	/** When tokens were drawn last, in ms. */
	drawnAt: number;
}>;

/** A budget's row as last seen. */
export type BudgetRow = Readonly<{version: number; taken: number}>;

/** A transaction that was sent, and what it does to each hold. */
export type Change = Readonly<{
	id: string;
	writes: readonly StoreWrite[];
	/** Tokens taken off each hold because they were spent. */
	settled: Map<string, number>;
	/** Tokens drawn, or returned if negative. */
	drawn: Map<string, number>;
	/** The budgets' rows after it. */
	taken: Map<string, number>;
	/** True if it takes over the row of a process that ran here before. */
	opens: boolean;
}>;

/** Where the exchange with the store stands. */
export type Sync =
	| Readonly<{step: 'idle'}>
	/** The holds of all routers are being read, then the budgets. */
	| Readonly<{step: 'reading'; table: 'holds' | 'budgets'}>
	| Readonly<{step: 'writing'; change: Change; failures: number}>
	/** The store did not answer, or refused. */
	| Readonly<{step: 'waiting'; until: number; change: Change | undefined; failures: number}>
	/** Another process has taken over the row: nothing may be spent any more. */
	| Readonly<{step: 'fenced'}>;

/**
The tokens that this router may spend.

Invariants: for each organisation `charged + reserved <= held`; the budget's row
counts at least what all routers' rows hold and what was settled.
*/
export type Purse = Readonly<{
	router: string;
	/** True once the row of an earlier process here has been taken over. */
	isOpen: boolean;
	/** Of this router's row. */
	version: number;
	/** Changes made so far; names the next one. */
	changes: number;
	/** Names this process among those that had the same row. */
	incarnation: string;
	holds: Map<string, Hold>;
	budgets: Map<string, BudgetRow>;
	/** What the other routers' rows state, by router, then by organisation. */
	others: Map<string, Map<string, Readonly<{held: number; demand: number}>>>;
	sync: Sync;
	/** When spending was settled last, in ms. */
	settledAt: number;
	/** When all rows were read last, in ms. */
	readAt: number;
	/** When the last tick was, in ms. */
	tickedAt: number;
}>;

/** A hold of nothing. */
export const emptyHold: Hold = {
	held: 0, charged: 0, reserved: 0, wanted: 0, least: 0, used: 0, demand: 0, drawnAt: Number.NEGATIVE_INFINITY,
};

/**
Creates the purse of a process that has just started.

@param router - The row's key: the same for every process on this host.
@param incarnation - Names this process.
@returns The purse, which must first take over its row.
*/
export const createPurse = (router: string, incarnation: string): Purse => ({
	router,
	isOpen: false,
	version: 0,
	changes: 0,
	incarnation,
	holds: Map(),
	budgets: Map(),
	others: Map(),
	sync: {step: 'idle'},
	settledAt: 0,
	readAt: Number.NEGATIVE_INFINITY,
	tickedAt: 0,
});

/**
Finds what is held of a budget.

@param purse - The purse.
@param organisation - Whose budget.
@returns The hold.
*/
export const getHold = (purse: Purse, organisation: string): Hold => purse.holds.get(organisation) ?? emptyHold;

/**
Changes what is held of a budget.

@param purse - The purse.
@param organisation - Whose budget.
@param fields - What changes.
@returns The purse.
*/
export const setHold = (purse: Purse, organisation: string, fields: Partial<Hold>): Purse =>
	({...purse, holds: purse.holds.set(organisation, {...getHold(purse, organisation), ...fields})});

/**
Counts the tokens that may still be reserved.

@param hold - The hold.
@returns Tokens.
*/
export const countFree = (hold: Hold): number => hold.held - hold.charged - hold.reserved;

/**
Holds tokens back for a call.

@param purse - The purse.
@param organisation - Who pays.
@param tokens - The most that the call may cost.
@returns The purse; undefined if too little is free.
*/
export const reserveTokens = (purse: Purse, organisation: string, tokens: number): Purse | undefined => {
	const hold = getHold(purse, organisation);
	return purse.sync.step === 'fenced' || countFree(hold) < tokens
		? undefined
		: setHold(purse, organisation, {reserved: hold.reserved + tokens, used: hold.used + tokens});
};

/**
Ends a reservation.

@param purse - The purse.
@param organisation - Who pays.
@param reserved - What was held back.
@param charged - What the call cost, at most what was held back.
@returns The purse.
*/
export const chargeTokens = (purse: Purse, organisation: string, reserved: number, charged: number): Purse => {
	const hold = getHold(purse, organisation);
	return setHold(purse, organisation, {reserved: hold.reserved - reserved, charged: hold.charged + Math.min(charged, reserved)});
};

/**
States what waiting calls need.

@param purse - The purse.
@param organisation - Who pays.
@param tokens - What all of them need.
@param least - What the smallest of them needs.
@returns The purse.
*/
export const wantTokens = (purse: Purse, organisation: string, tokens: number, least: number): Purse =>
	setHold(purse, organisation, {wanted: tokens, least});

/** Why tokens are short: the budget has none left; other routers hold some that may come back; or the store does not answer. */
export type Shortage = 'exhausted' | 'held-elsewhere' | 'unavailable';

/**
Explains why a call's tokens cannot be reserved.

@param purse - The purse.
@param organisation - Who pays.
@param tokens - What the call needs.
@param limit - The organisation's budget, in tokens.
@returns The reason; undefined while an answer of the store may still bring them.
*/
export const explainShortage = (purse: Purse, organisation: string, tokens: number, limit: number): Shortage | undefined => {
	if (!purse.isOpen || purse.sync.step === 'waiting' || purse.sync.step === 'fenced') {
		return 'unavailable';
	}

	const row = purse.budgets.get(organisation);
	const hold = getHold(purse, organisation);
	if (row === undefined || limit - row.taken + countFree(hold) >= tokens) {
		return undefined;
	}

	const elsewhere = purse.others.valueSeq().reduce((sum, holds) => sum + (holds.get(organisation)?.held ?? 0), 0);
	// Reservations of running calls here give back what they do not use.
	return limit - row.taken + hold.held - hold.charged + elsewhere >= tokens ? 'held-elsewhere' : 'exhausted';
};
