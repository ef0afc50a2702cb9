import {putRow, rowKeys} from '../table/index.js';
import type {Json, Write} from '../table/index.js';

/** What one request cost: written once, whatever happens. */
export type Bill = Readonly<{
	request: string;
	organisation: string;
	tokens: number;
	/** True if another router may bill the same request, so that a row of its own guards it. */
	keyed: boolean;
	/** Every attempt made for the request, with its agent, whose usage may be forgotten once the bill is durable. */
	attempts: readonly AttemptPlace[];
}>;

/** An attempt and the agent incarnation that keeps its usage. */
export type AttemptPlace = Readonly<{attempt: string; agent: string}>;

/** A bill as it stands in a batch row. */
export type BillEntry = Readonly<{request: string; organisation: string; tokens: number}>;

/** The body of a batch row. */
export type BillBatch = Readonly<{budget: string; router: string; bills: readonly BillEntry[]}>;

/**
Sums what bills cost.

@param bills - The bills.
@returns Tokens.
*/
export const sumBills = (bills: Iterable<Readonly<{tokens: number}>>): number =>
	[...bills].reduce((sum, bill) => sum + bill.tokens, 0);

/**
Builds the writes that make bills durable: one batch row, and for each keyed
bill a row that can be inserted only once.

@param budget - The budget that pays.
@param router - The router incarnation whose grant pays.
@param change - The change that settles the grant in the same transaction.
@param bills - The bills; none gives no write.
@returns Writes for that transaction.
*/
export const writeBills = (budget: string, router: string, change: string, bills: readonly Bill[]): readonly Write[] => {
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
