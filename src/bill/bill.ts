import {putRow, rowKeys} from '../table/index.js';
import type {JsonValue, TableWrite} from '../table/index.js';

/** The cost of one request, which is written exactly once. */
export type Bill = Readonly<{
	request: string;
	organisation: string;
	tokens: number;
	/** True if another router may bill the same request, so that an insert-once row must prevent double billing. */
	keyed: boolean;
	/** All attempts for the request and their agents, which may discard the usage once the bill is durable. */
	attempts: readonly AttemptLocation[];
}>;

/** An attempt and the agent incarnation that stores its usage. */
export type AttemptLocation = Readonly<{attempt: string; agent: string}>;

/** A bill as stored in a batch row. */
export type BillEntry = Readonly<{request: string; organisation: string; tokens: number}>;

/** The body of a batch row. */
export type BillBatch = Readonly<{budget: string; router: string; bills: readonly BillEntry[]}>;

/**
Sums the cost of bills.

@param bills - The bills.
@returns The total in tokens.
*/
export const sumBills = (bills: Iterable<Readonly<{tokens: number}>>): number =>
	[...bills].reduce((sum, bill) => sum + bill.tokens, 0);

/**
Builds the writes that make bills durable: one batch row, and for each keyed
bill a row that can be inserted only once.

@param budget - The budget that is charged.
@param router - The router incarnation whose grant is charged.
@param change - The id of the grant change that settles the bills in the same transaction.
@param bills - The bills; if there are none, nothing is written.
@returns The writes for that transaction.
*/
export const buildBillWrites = (budget: string, router: string, change: string, bills: readonly Bill[]): readonly TableWrite[] => {
	if (bills.length === 0) {
		return [];
	}

	const entries = bills.map(({request, organisation, tokens}) => ({request, organisation, tokens}));
	const batch: BillBatch = {budget, router, bills: entries};
	return [
		putRow(rowKeys.bills(budget, change), 0, batch),
		...bills.filter(bill => bill.keyed).map(bill => putRow(rowKeys.once(bill.request), 0, {budget, change})),
	];
};
