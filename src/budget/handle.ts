import {sumBills, writeBills} from '../bill/index.js';
import type {Bill} from '../bill/index.js';
import {computeBackoff, stay} from '../loop/index.js';
import type {Step} from '../loop/index.js';
import {
	deleteRow, putRow, requireState, rowKeys,
} from '../table/index.js';
import type {
	Json, Row, StoreReply, Write,
} from '../table/index.js';
import type {PotContext, PotEffect, PotEvent} from './messages.js';
import {chooseDraw, isLow} from './policy.js';
import {countFree} from './state.js';
import type {Change, Pot, Sync} from './state.js';

/** The body of a budget's row. Tokens. */
export type BudgetBody = Readonly<{
	limit: number;
	/** Tokens that have left for grants and have not come back. */
	granted: number;
}>;

/** The body of a grant's row. */
export type GrantBody = Readonly<{
	budget: string;
	router: string;
	tokens: number;
	/** The change that wrote the row last. */
	change: string;
	/** Requests billed through this row whose usage an agent may still keep. */
	recent: readonly string[];
}>;

type PotStep = Step<Pot, PotEffect>;
type Decide<Event> = (pot: Pot, event: Event, now: number, context: PotContext) => PotStep;

const idleReturn = 3_600_000; // Milliseconds
const scarceReturn = 5000; // Milliseconds, once others may need the tokens
const scarceFactor = 4; // Tokens are scarce once fewer are left to draw than so many times what is held here
const backoff = {first: 200, longest: 10_000} as const; // Milliseconds
const maxBillsPerChange = 60; // Keyed bills add a row each to a transaction of at most 100

const readPot = (pot: Pot, context: PotContext, failures: number, change: Change | undefined): PotStep => ({
	state: {...pot, sync: {step: 'reading', failures, change}},
	effects: [{
		kind: 'store',
		budget: pot.budget,
		call: {kind: 'read', keys: [rowKeys.budget(pot.budget), rowKeys.grant(context.router, pot.budget)]},
	}],
});

const startSync = (pot: Pot, context: PotContext): PotStep =>
	pot.sync.step === 'idle' ? readPot(pot, context, 0, undefined) : stay(pot);

const describeBudget = (row: Row | undefined): BudgetBody => (row?.body as BudgetBody | undefined) ?? {limit: 0, granted: 0};

/** Decides what the next change of the grant row does. */
const planChange = (pot: Pot, budgetRow: Row | undefined, context: PotContext): Change => {
	const {limit, granted} = describeBudget(budgetRow);
	const ungranted = Math.max(0, limit - granted);
	const bills = pot.unsettled.take(maxBillsPerChange).toArray();
	const free = countFree(pot);
	const need = {
		wanted: Math.max(0, pot.wanted - free), least: Math.max(0, pot.least - free), free, ungranted, demand: pot.demand, routers: context.routers,
	};
	const draw = context.mayDraw && (pot.wanted > free || isLow(pot, context.policy)) ? chooseDraw(need, context.policy) : 0;
	const delta = draw > 0 ? draw : -countReturn(pot, context);
	const recent = bills
		.filter(bill => bill.attempts.length > 0)
		.reduce((map, bill) => map.set(bill.request, bill.attempts), pot.recent);
	return {
		id: `${context.router}.${pot.changes + 1}`,
		bills,
		delta,
		budgetVersion: delta === 0 ? 0 : budgetRow?.version ?? 0,
		recent,
		leaves: !context.mayDraw && recent.isEmpty() && pot.granted - sumBills(bills) + delta === 0,
	};
};

/**
Counts the tokens that may go back: all free ones once the pot is idle, the
router leaves, or they are too few for anybody here while the budget has no more.
*/
const countReturn = (pot: Pot, context: PotContext): number => {
	const isIdle = pot.wanted === 0 && pot.demand === 0;
	const isRemnant = pot.least > countFree(pot);
	return isIdle || isRemnant || !context.mayDraw ? Math.max(0, countFree(pot)) : 0;
};

const isIdleChange = (pot: Pot, change: Change): boolean =>
	change.delta === 0 && change.bills.length === 0 && !(change.leaves && pot.version > 0);

/** What the grant row holds after a change. Tokens. */
const countAfter = (pot: Pot, change: Change): number => pot.granted - sumBills(change.bills) + change.delta;

/** Leaves out the rows that can be inserted only once; for the model check alone. */
const unguardBills = (bills: readonly Bill[]): readonly Bill[] => bills.map(bill => ({...bill, keyed: false}));

const buildWrites = (pot: Pot, change: Change, budgetRow: Row | undefined, context: PotContext): readonly Write[] => {
	const {limit, granted} = describeBudget(budgetRow);
	const body: GrantBody = {
		budget: pot.budget,
		router: context.router,
		tokens: countAfter(pot, change),
		change: change.id,
		recent: change.recent.keySeq().toArray(),
	};
	const key = rowKeys.grant(context.router, pot.budget);
	return [
		change.leaves ? deleteRow(key, pot.version) : putRow(key, pot.version, body),
		...(change.delta === 0 ? [] : [putRow(rowKeys.budget(pot.budget), change.budgetVersion, {limit, granted: granted + change.delta})]),
		...(change.delta > 0 || pot.version === 0 ? [requireState(rowKeys.router(context.router), 'active')] : []),
		...writeBills(pot.budget, context.router, change.id, context.broken === 'bill-if-absent' ? unguardBills(change.bills) : change.bills),
	];
};

const writeChange = (pot: Pot, change: Change, budgetRow: Row | undefined, context: PotContext, failures: number): PotStep => ({
	state: {...pot, changes: Number(change.id.split('.').at(-1)), sync: {step: 'writing', failures, change}},
	effects: [{kind: 'store', budget: pot.budget, call: {kind: 'write', writes: buildWrites(pot, change, budgetRow, context)}}],
});

/** Takes over a change that is known to have taken effect. */
const acceptChange = (pot: Pot, change: Change, context: PotContext): PotStep => {
	const settled = new Set(change.bills.map(bill => bill.request));
	// A bill may have gained attempts since the change was written.
	const bills = pot.unsettled.filter(bill => settled.has(bill.request)).toArray();
	const isDrawn = change.delta > 0;
	const next: Pot = {
		...pot,
		granted: countAfter(pot, change),
		version: change.leaves ? 0 : pot.version + 1,
		unsettled: pot.unsettled.filter(bill => !settled.has(bill.request)),
		// Attempts forgotten while the change was under way are out of the newer map already.
		recent: bills
			.filter(bill => bill.attempts.length > 0)
			.reduce((map, bill) => map.set(bill.request, bill.attempts), pot.recent),
		ungranted: pot.ungranted === undefined ? undefined : pot.ungranted - change.delta,
		wanted: isDrawn ? 0 : pot.wanted,
		least: isDrawn ? 0 : pot.least,
		sync: {step: 'idle'},
	};
	const read = next.wanted > 0 ? startSync(next, context) : stay(next);
	const settledEffects: readonly PotEffect[] = bills.length > 0
		? [{
			kind: 'bills-settled', budget: pot.budget, bills, duplicates: [],
		}]
		: [];
	const drawnEffects: readonly PotEffect[] = isDrawn ? [{kind: 'pot-changed', budget: pot.budget, reason: 'drawn'}] : [];
	return {state: read.state, effects: [...settledEffects, ...drawnEffects, ...read.effects]};
};

/** Decides anew from rows that were read, when no earlier change can still take effect. */
const decideChange = (pot: Pot, budgetRow: Row | undefined, context: PotContext, failures: number): PotStep => {
	const {limit, granted} = describeBudget(budgetRow);
	const known = {...pot, ungranted: Math.max(0, limit - granted)};
	const change = planChange(known, budgetRow, context);
	const isAnswered = known.wanted > 0 && change.delta <= 0;
	const reason = known.least > countFree(known) ? 'exhausted' : 'drawn';
	const answered: readonly PotEffect[] = isAnswered ? [{kind: 'pot-changed', budget: pot.budget, reason}] : [];
	const next = isAnswered ? {...known, wanted: 0, least: 0} : known;
	if (isIdleChange(next, change)) {
		return {state: {...next, sync: {step: 'idle'}}, effects: answered};
	}

	const step = writeChange(next, change, budgetRow, context, failures);
	return {state: step.state, effects: [...answered, ...step.effects]};
};

const canStillApply = (change: Change, budgetRow: Row | undefined): boolean =>
	change.budgetVersion === 0 || change.budgetVersion === (budgetRow?.version ?? 0);

const receiveRows = (pot: Pot, sync: Sync & {step: 'reading'}, rows: ReadonlyArray<Row | undefined>, context: PotContext): PotStep => {
	const [budgetRow, grantRow] = rows;
	const grant = grantRow?.body as GrantBody | undefined;
	const {change, failures} = sync;
	const isApplied = change !== undefined && (change.leaves ? grantRow === undefined : grant?.change === change.id);
	if (isApplied && context.broken !== 'read-back') {
		return acceptChange(pot, change, context);
	}

	if ((grantRow?.version ?? 0) !== pot.version && context.broken !== 'read-back') {
		return {state: {...pot, sync: {step: 'idle'}}, effects: [{kind: 'fenced', budget: pot.budget}]};
	}

	return change !== undefined && canStillApply(change, budgetRow)
		? writeChange(pot, change, budgetRow, context, failures)
		: decideChange(pot, budgetRow, context, failures);
};

/** Drops bills that another router has written: the request is billed, and this one's tokens are free again. */
const dropDuplicates = (pot: Pot, change: Change, failed: readonly number[], writes: readonly Write[]): PotStep => {
	const taken = new Set(failed.map(index => writes[index]).filter(write => write?.table === 'once').map(write => write?.id));
	const duplicates = pot.unsettled.filter(bill => taken.has(bill.request)).toArray();
	return {
		state: {...pot, unsettled: pot.unsettled.filter(bill => !taken.has(bill.request))},
		effects: duplicates.length === 0
			? []
			: [{
				kind: 'bills-settled', budget: pot.budget, bills: [], duplicates,
			}],
	};
};

const receiveConflict = (pot: Pot, sync: Sync & {step: 'writing'}, failed: readonly number[], context: PotContext): PotStep => {
	const writes = buildWrites(pot, sync.change, undefined, context);
	const isFenced = failed.some(index => writes[index]?.table === 'router');
	if (isFenced) {
		return {state: {...pot, sync: {step: 'idle'}}, effects: [{kind: 'fenced', budget: pot.budget}]};
	}

	const dropped = dropDuplicates(pot, sync.change, failed, writes);
	// A bill that exists already keeps the change from ever applying; else it may be one that took effect before.
	const change = dropped.effects.length > 0 ? undefined : sync.change;
	const read = readPot(dropped.state, context, sync.failures + 1, change);
	return {state: read.state, effects: [...dropped.effects, ...read.effects]};
};

const waitForRetry = (pot: Pot, sync: Exclude<Sync, {step: 'idle'}>, now: number, random: number): PotStep => ({
	state: {
		...pot,
		wanted: 0,
		least: 0,
		sync: {
			step: 'waiting', until: now + computeBackoff(backoff, sync.failures, random), failures: sync.failures + 1, change: sync.change,
		},
	},
	effects: pot.wanted > 0 ? [{kind: 'pot-changed', budget: pot.budget, reason: 'unavailable'}] : [],
});

const receiveReply = (pot: Pot, reply: StoreReply, random: number, now: number, context: PotContext): PotStep => {
	const {sync} = pot;
	if (sync.step === 'idle' || sync.step === 'waiting') {
		return stay(pot);
	}

	if (reply.kind === 'lost') {
		return waitForRetry(pot, sync, now, random);
	}

	if (sync.step === 'reading') {
		return reply.kind === 'rows' ? receiveRows(pot, sync, reply.rows, context) : waitForRetry(pot, sync, now, random);
	}

	return reply.kind === 'conflict' ? receiveConflict(pot, sync, reply.failed, context) : acceptChange(pot, sync.change, context);
};

const isRested = (pot: Pot, now: number): boolean =>
	now - pot.usedAt >= ((pot.ungranted ?? 0) < pot.granted * scarceFactor ? scarceReturn : idleReturn);

const isDue = (pot: Pot, now: number, context: PotContext): boolean => {
	const hasOldBills = pot.unsettled.size > 0 && now - pot.settledAt >= context.settleInterval;
	const isIdle = pot.granted > 0 && isRested(pot, now) && countFree(pot) > 0;
	return hasOldBills || isIdle || (context.mayDraw && isLow(pot, context.policy));
};

const receiveTick: Decide<PotEvent & {kind: 'tick'}> = (pot, _event, now, context) => {
	const {sync} = pot;
	if (sync.step === 'waiting') {
		return now >= sync.until ? readPot(pot, context, sync.failures, sync.change) : stay(pot);
	}

	if (sync.step !== 'idle' || !isDue(pot, now, context)) {
		return stay(pot);
	}

	const rested = isRested(pot, now) ? {...pot, demand: 0} : pot;
	return startSync({...rested, settledAt: now}, context);
};

const wantDraw: Decide<PotEvent & {kind: 'draw-wanted'}> = (pot, event, _now, context) => {
	const wanted = {...pot, wanted: event.tokens, least: event.least};
	if (!context.mayDraw) {
		return {state: pot, effects: [{kind: 'pot-changed', budget: pot.budget, reason: 'unavailable'}]};
	}

	// A store that did not answer last time is not waited for again: the caller is told at once.
	return pot.sync.step === 'waiting'
		? {state: pot, effects: [{kind: 'pot-changed', budget: pot.budget, reason: 'unavailable'}]}
		: startSync(wanted, context);
};

const forgetAttempts: Decide<PotEvent & {kind: 'attempts-forgotten'}> = (pot, event) => {
	const gone = new Set(event.attempts);
	const recent = pot.recent
		.map(places => places.filter(place => !gone.has(place.attempt)))
		.filter(places => places.length > 0);
	return stay({...pot, recent});
};

const handlers: Readonly<{[Kind in PotEvent['kind']]: Decide<PotEvent & {kind: Kind}>}> = {
	'draw-wanted': wantDraw,
	'store-replied': (pot, event, now, context) => receiveReply(pot, event.reply, event.random, now, context),
	'attempts-forgotten': forgetAttempts,
	tick: receiveTick,
	'return-wanted': (pot, _event, _now, context) => startSync({
		...pot, demand: 0, wanted: 0, least: 0,
	}, context),
};

/**
Decides what a pot does next.

A grant row is changed by one transaction at a time, which settles bills and
draws or returns tokens together. A change whose reply was lost is read back and
sent again unaltered until it has taken effect or can no longer do so.

@param pot - The pot.
@param event - What happened.
@param now - The time in ms.
@param context - What else the decision depends on.
@returns The pot and what it asks for.
*/
export const handlePot = (pot: Pot, event: PotEvent, now: number, context: PotContext): PotStep => {
	const decide = handlers[event.kind] as Decide<PotEvent>;
	return decide(pot, event, now, context);
};

/**
Holds tokens back for an attempt.

@param pot - The pot.
@param tokens - The most that the attempt may cost.
@returns The pot, or undefined if it has too little free.
*/
export const reserveTokens = (pot: Pot, tokens: number): Pot | undefined =>
	countFree(pot) < tokens ? undefined : {...pot, reserved: pot.reserved + tokens};

/**
Ends a reservation without a bill.

@param pot - The pot.
@param tokens - What was held back.
@returns The pot.
*/
export const releaseTokens = (pot: Pot, tokens: number): Pot => ({...pot, reserved: pot.reserved - tokens});

/**
Puts a bill among those to be settled. A request that has a bill there already
gets no second one; its further attempts join the first.

@param pot - The pot.
@param bill - The bill; it must have been covered by a reservation.
@returns The pot.
*/
export const addBill = (pot: Pot, bill: Bill): Pot => {
	const index = pot.unsettled.findIndex(other => other.request === bill.request);
	return {
		...pot,
		unsettled: index === -1
			? pot.unsettled.push(bill)
			: pot.unsettled.update(index, bill, first => ({...first, attempts: [...first.attempts, ...bill.attempts]})),
	};
};

/**
Tells whether a pot has nothing left to lose: all settled and returned.

@param pot - The pot.
@returns True if the router may close without it.
*/
export const isSpentOut = (pot: Pot): boolean =>
	pot.reserved === 0 && pot.unsettled.isEmpty() && pot.granted === 0 && pot.sync.step === 'idle';

