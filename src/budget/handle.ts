import {sumBills, buildBillWrites} from '../bill/index.js';
import type {Bill} from '../bill/index.js';
import {computeBackoff, keepState} from '../loop/index.js';
import type {Step} from '../loop/index.js';
import {
	deleteRow, putRow, requireState, rowKeys,
} from '../table/index.js';
import type {
	JsonValue, Row, StoreReply, TableWrite,
} from '../table/index.js';
import type {GrantContext, GrantEffect, GrantEvent} from './messages.js';
import {computeDrawTokens, isBelowThreshold} from './policy.js';
import {countFreeTokens} from './state.js';
import type {GrantChange, BudgetGrant, GrantSync} from './state.js';

/** The body of a budget's row, in tokens. */
export type BudgetBody = Readonly<{
	limit: number;
	/** Tokens granted to routers and not returned. */
	granted: number;
}>;

/** The body of a grant's row. */
export type GrantBody = Readonly<{
	budget: string;
	router: string;
	tokens: number;
	/** The id of the change that last wrote the row. */
	change: string;
	/** Requests billed through this row whose usage an agent may still store. */
	recent: readonly string[];
}>;

type GrantStep = Step<BudgetGrant, GrantEffect>;
type EventHandler<Event> = (grant: BudgetGrant, event: Event, now: number, context: GrantContext) => GrantStep;

/** Time after its last use at which a grant's free tokens are returned. */
const idleReturnDelayMs = 3_600_000;
/** The same delay while tokens are scarce. Shorter, because other routers may need the tokens. */
const scarceReturnDelayMs = 5000;
/** Tokens are scarce if fewer than this multiple of the grant are left to draw. */
const scarcityFactor = 4;
/** Delays between retries, in ms. */
const retryBackoff = {first: 200, longest: 10_000} as const;
/** Limited because each keyed bill adds a row to the transaction, which has at most 100 rows. */
const maxBillsPerChange = 60;

const readGrant = (grant: BudgetGrant, context: GrantContext, failures: number, change: GrantChange | undefined): GrantStep => ({
	state: {...grant, sync: {step: 'reading', failures, change}},
	effects: [{
		kind: 'store',
		budget: grant.budget,
		call: {kind: 'read', keys: [rowKeys.budget(grant.budget), rowKeys.grant(context.router, grant.budget)]},
	}],
});

const startSync = (grant: BudgetGrant, context: GrantContext): GrantStep =>
	grant.sync.step === 'idle' ? readGrant(grant, context, 0, undefined) : keepState(grant);

const getBudgetBody = (row: Row | undefined): BudgetBody => (row?.body as BudgetBody | undefined) ?? {limit: 0, granted: 0};

/** Plans the next change of the grant row. */
const planChange = (grant: BudgetGrant, budgetRow: Row | undefined, context: GrantContext): GrantChange => {
	const {limit, granted} = getBudgetBody(budgetRow);
	const ungranted = Math.max(0, limit - granted);
	const bills = grant.unsettled.take(maxBillsPerChange).toArray();
	const free = countFreeTokens(grant);
	const input = {
		waitingTokens: Math.max(0, grant.waitingTokens - free),
		smallestWaitingTokens: Math.max(0, grant.smallestWaitingTokens - free),
		freeTokens: free,
		ungranted,
		demand: grant.demand,
		routers: context.routers,
	};
	const draw = context.canDraw && (grant.waitingTokens > free || isBelowThreshold(grant, context.policy)) ? computeDrawTokens(input, context.policy) : 0;
	const delta = draw > 0 ? draw : -computeReturnTokens(grant, context);
	const recent = bills
		.filter(bill => bill.attempts.length > 0)
		.reduce((map, bill) => map.set(bill.request, bill.attempts), grant.recent);
	return {
		id: `${context.router}.${grant.changes + 1}`,
		bills,
		delta,
		budgetVersion: delta === 0 ? 0 : budgetRow?.version ?? 0,
		recent,
		shouldDeleteGrant: !context.canDraw && recent.isEmpty() && grant.granted - sumBills(bills) + delta === 0,
	};
};

/**
Computes the tokens to return: all free ones if the grant is idle, the router may
no longer draw, or they are too few for any waiting request while the budget has
no more.
*/
const computeReturnTokens = (grant: BudgetGrant, context: GrantContext): number => {
	const isIdle = grant.waitingTokens === 0 && grant.demand === 0;
	const isTooSmall = grant.smallestWaitingTokens > countFreeTokens(grant);
	return isIdle || isTooSmall || !context.canDraw ? Math.max(0, countFreeTokens(grant)) : 0;
};

const isEmptyChange = (grant: BudgetGrant, change: GrantChange): boolean =>
	change.delta === 0 && change.bills.length === 0 && !(change.shouldDeleteGrant && grant.version > 0);

/** Computes the tokens in the grant row after a change. */
const computeGrantedAfter = (grant: BudgetGrant, change: GrantChange): number => grant.granted - sumBills(change.bills) + change.delta;

/** Omits the insert-once rows that guard against double billing; only for the model checker. */
const removeBillGuards = (bills: readonly Bill[]): readonly Bill[] => bills.map(bill => ({...bill, keyed: false}));

const buildWrites = (grant: BudgetGrant, change: GrantChange, budgetRow: Row | undefined, context: GrantContext): readonly TableWrite[] => {
	const {limit, granted} = getBudgetBody(budgetRow);
	const body: GrantBody = {
		budget: grant.budget,
		router: context.router,
		tokens: computeGrantedAfter(grant, change),
		change: change.id,
		recent: change.recent.keySeq().toArray(),
	};
	const key = rowKeys.grant(context.router, grant.budget);
	return [
		change.shouldDeleteGrant ? deleteRow(key, grant.version) : putRow(key, grant.version, body),
		...(change.delta === 0 ? [] : [putRow(rowKeys.budget(grant.budget), change.budgetVersion, {limit, granted: granted + change.delta})]),
		...(change.delta > 0 || grant.version === 0 ? [requireState(rowKeys.router(context.router), 'active')] : []),
		...buildBillWrites(grant.budget, context.router, change.id, context.disabledRule === 'bill-if-absent' ? removeBillGuards(change.bills) : change.bills),
	];
};

const writeChange = (grant: BudgetGrant, change: GrantChange, budgetRow: Row | undefined, context: GrantContext, failures: number): GrantStep => ({
	state: {...grant, changes: Number(change.id.split('.').at(-1)), sync: {step: 'writing', failures, change}},
	effects: [{kind: 'store', budget: grant.budget, call: {kind: 'write', writes: buildWrites(grant, change, budgetRow, context)}}],
});

/** Applies a change that is known to be committed. */
const applyChange = (grant: BudgetGrant, change: GrantChange, context: GrantContext): GrantStep => {
	const settled = new Set(change.bills.map(bill => bill.request));
	// Attempts may have been added to a bill since the change was written.
	const bills = grant.unsettled.filter(bill => settled.has(bill.request)).toArray();
	const isDrawn = change.delta > 0;
	const next: BudgetGrant = {
		...grant,
		granted: computeGrantedAfter(grant, change),
		version: change.shouldDeleteGrant ? 0 : grant.version + 1,
		unsettled: grant.unsettled.filter(bill => !settled.has(bill.request)),
		// The current map no longer has attempts that were forgotten while the change was in flight.
		recent: bills
			.filter(bill => bill.attempts.length > 0)
			.reduce((map, bill) => map.set(bill.request, bill.attempts), grant.recent),
		ungranted: grant.ungranted === undefined ? undefined : grant.ungranted - change.delta,
		waitingTokens: isDrawn ? 0 : grant.waitingTokens,
		smallestWaitingTokens: isDrawn ? 0 : grant.smallestWaitingTokens,
		sync: {step: 'idle'},
	};
	const read = next.waitingTokens > 0 ? startSync(next, context) : keepState(next);
	const settledEffects: readonly GrantEffect[] = bills.length > 0
		? [{
			kind: 'bills-settled', budget: grant.budget, bills, duplicates: [],
		}]
		: [];
	const drawnEffects: readonly GrantEffect[] = isDrawn ? [{kind: 'pot-changed', budget: grant.budget, reason: 'drawn'}] : [];
	return {state: read.state, effects: [...settledEffects, ...drawnEffects, ...read.effects]};
};

/** Starts the next change from the rows read, when no earlier change can still be committed. */
const startNextChange = (grant: BudgetGrant, budgetRow: Row | undefined, context: GrantContext, failures: number): GrantStep => {
	const {limit, granted} = getBudgetBody(budgetRow);
	const refreshed = {...grant, ungranted: Math.max(0, limit - granted)};
	const change = planChange(refreshed, budgetRow, context);
	const isUnsatisfied = refreshed.waitingTokens > 0 && change.delta <= 0;
	const reason = refreshed.smallestWaitingTokens > countFreeTokens(refreshed) ? 'exhausted' : 'drawn';
	const notifications: readonly GrantEffect[] = isUnsatisfied ? [{kind: 'pot-changed', budget: grant.budget, reason}] : [];
	const next = isUnsatisfied ? {...refreshed, waitingTokens: 0, smallestWaitingTokens: 0} : refreshed;
	if (isEmptyChange(next, change)) {
		return {state: {...next, sync: {step: 'idle'}}, effects: notifications};
	}

	const step = writeChange(next, change, budgetRow, context, failures);
	return {state: step.state, effects: [...notifications, ...step.effects]};
};

const canStillCommit = (change: GrantChange, budgetRow: Row | undefined): boolean =>
	change.budgetVersion === 0 || change.budgetVersion === (budgetRow?.version ?? 0);

const receiveRows = (grant: BudgetGrant, sync: GrantSync & {step: 'reading'}, rows: ReadonlyArray<Row | undefined>, context: GrantContext): GrantStep => {
	const [budgetRow, grantRow] = rows;
	const grantBody = grantRow?.body as GrantBody | undefined;
	const {change, failures} = sync;
	const isCommitted = change !== undefined && (change.shouldDeleteGrant ? grantRow === undefined : grantBody?.change === change.id);
	if (isCommitted && context.disabledRule !== 'read-back') {
		return applyChange(grant, change, context);
	}

	if ((grantRow?.version ?? 0) !== grant.version && context.disabledRule !== 'read-back') {
		return {state: {...grant, sync: {step: 'idle'}}, effects: [{kind: 'fenced', budget: grant.budget}]};
	}

	return change !== undefined && canStillCommit(change, budgetRow)
		? writeChange(grant, change, budgetRow, context, failures)
		: startNextChange(grant, budgetRow, context, failures);
};

/** Drops bills that another router has already written: the request is billed, and its tokens are free again. */
const dropDuplicates = (grant: BudgetGrant, change: GrantChange, failed: readonly number[], writes: readonly TableWrite[]): GrantStep => {
	const billedRequests = new Set(failed.map(index => writes[index]).filter(write => write?.table === 'once').map(write => write?.id));
	const duplicates = grant.unsettled.filter(bill => billedRequests.has(bill.request)).toArray();
	return {
		state: {...grant, unsettled: grant.unsettled.filter(bill => !billedRequests.has(bill.request))},
		effects: duplicates.length === 0
			? []
			: [{
				kind: 'bills-settled', budget: grant.budget, bills: [], duplicates,
			}],
	};
};

const receiveConflict = (grant: BudgetGrant, sync: GrantSync & {step: 'writing'}, failed: readonly number[], context: GrantContext): GrantStep => {
	const writes = buildWrites(grant, sync.change, undefined, context);
	const isFenced = failed.some(index => writes[index]?.table === 'router');
	if (isFenced) {
		return {state: {...grant, sync: {step: 'idle'}}, effects: [{kind: 'fenced', budget: grant.budget}]};
	}

	const withoutDuplicates = dropDuplicates(grant, sync.change, failed, writes);
	// With a duplicate bill the change can never be committed; otherwise an earlier attempt may have committed it.
	const change = withoutDuplicates.effects.length > 0 ? undefined : sync.change;
	const read = readGrant(withoutDuplicates.state, context, sync.failures + 1, change);
	return {state: read.state, effects: [...withoutDuplicates.effects, ...read.effects]};
};

const scheduleRetry = (grant: BudgetGrant, sync: Exclude<GrantSync, {step: 'idle'}>, now: number, random: number): GrantStep => ({
	state: {
		...grant,
		waitingTokens: 0,
		smallestWaitingTokens: 0,
		sync: {
			step: 'waiting', retryAtMs: now + computeBackoff(retryBackoff, sync.failures, random), failures: sync.failures + 1, change: sync.change,
		},
	},
	effects: grant.waitingTokens > 0 ? [{kind: 'pot-changed', budget: grant.budget, reason: 'unavailable'}] : [],
});

const receiveReply = (grant: BudgetGrant, reply: StoreReply, random: number, now: number, context: GrantContext): GrantStep => {
	const {sync} = grant;
	if (sync.step === 'idle' || sync.step === 'waiting') {
		return keepState(grant);
	}

	if (reply.kind === 'lost') {
		return scheduleRetry(grant, sync, now, random);
	}

	if (sync.step === 'reading') {
		return reply.kind === 'rows' ? receiveRows(grant, sync, reply.rows, context) : scheduleRetry(grant, sync, now, random);
	}

	return reply.kind === 'conflict' ? receiveConflict(grant, sync, reply.failed, context) : applyChange(grant, sync.change, context);
};

const isReturnDue = (grant: BudgetGrant, now: number): boolean =>
	now - grant.usedAt >= ((grant.ungranted ?? 0) < grant.granted * scarcityFactor ? scarceReturnDelayMs : idleReturnDelayMs);

const isSyncDue = (grant: BudgetGrant, now: number, context: GrantContext): boolean => {
	const hasOldBills = grant.unsettled.size > 0 && now - grant.settledAt >= context.settleIntervalMs;
	const isIdle = grant.granted > 0 && isReturnDue(grant, now) && countFreeTokens(grant) > 0;
	return hasOldBills || isIdle || (context.canDraw && isBelowThreshold(grant, context.policy));
};

const receiveTick: EventHandler<GrantEvent & {kind: 'tick'}> = (grant, _event, now, context) => {
	const {sync} = grant;
	if (sync.step === 'waiting') {
		return now >= sync.retryAtMs ? readGrant(grant, context, sync.failures, sync.change) : keepState(grant);
	}

	if (sync.step !== 'idle' || !isSyncDue(grant, now, context)) {
		return keepState(grant);
	}

	const grantAtTick = isReturnDue(grant, now) ? {...grant, demand: 0} : grant;
	return startSync({...grantAtTick, settledAt: now}, context);
};

const requestDraw: EventHandler<GrantEvent & {kind: 'draw-wanted'}> = (grant, event, _now, context) => {
	const withWaiting = {...grant, waitingTokens: event.tokens, smallestWaitingTokens: event.least};
	if (!context.canDraw) {
		return {state: grant, effects: [{kind: 'pot-changed', budget: grant.budget, reason: 'unavailable'}]};
	}

	// While the store is not answering, the request is refused at once instead of waiting for a retry.
	return grant.sync.step === 'waiting'
		? {state: grant, effects: [{kind: 'pot-changed', budget: grant.budget, reason: 'unavailable'}]}
		: startSync(withWaiting, context);
};

const forgetAttempts: EventHandler<GrantEvent & {kind: 'attempts-forgotten'}> = (grant, event) => {
	const forgottenAttempts = new Set(event.attempts);
	const recent = grant.recent
		.map(locations => locations.filter(location => !forgottenAttempts.has(location.attempt)))
		.filter(locations => locations.length > 0);
	return keepState({...grant, recent});
};

const handlers: Readonly<{[Kind in GrantEvent['kind']]: EventHandler<GrantEvent & {kind: Kind}>}> = {
	'draw-wanted': requestDraw,
	'store-replied': (grant, event, now, context) => receiveReply(grant, event.reply, event.random, now, context),
	'attempts-forgotten': forgetAttempts,
	tick: receiveTick,
	'return-wanted': (grant, _event, _now, context) => startSync({
		...grant, demand: 0, waitingTokens: 0, smallestWaitingTokens: 0,
	}, context),
};

/**
Handles an event of a budget grant.

A grant row is changed by one transaction at a time, which settles bills and
draws or returns tokens together. After a lost reply the row is read back, and
the change is retried unaltered until it is committed or can no longer be.

@param grant - The grant.
@param event - The event.
@param now - The time in ms.
@param context - Further input to the decision.
@returns The updated grant and its effects.
*/
export const handleGrantEvent = (grant: BudgetGrant, event: GrantEvent, now: number, context: GrantContext): GrantStep => {
	const handleEvent = handlers[event.kind] as EventHandler<GrantEvent>;
	return handleEvent(grant, event, now, context);
};

/**
Reserves tokens for an attempt.

@param grant - The grant.
@param tokens - The maximum cost of the attempt.
@returns The updated grant, or undefined if it has too few free tokens.
*/
export const reserveTokens = (grant: BudgetGrant, tokens: number): BudgetGrant | undefined =>
	countFreeTokens(grant) < tokens ? undefined : {...grant, reserved: grant.reserved + tokens};

/**
Releases a reservation without adding a bill.

@param grant - The grant.
@param tokens - The reserved tokens.
@returns The updated grant.
*/
export const releaseTokens = (grant: BudgetGrant, tokens: number): BudgetGrant => ({...grant, reserved: grant.reserved - tokens});

/**
Adds a bill to those to be settled. If the request already has an unsettled bill,
only the new attempts are added to it.

@param grant - The grant.
@param bill - The bill, which a reservation must have covered.
@returns The updated grant.
*/
export const addBill = (grant: BudgetGrant, bill: Bill): BudgetGrant => {
	const index = grant.unsettled.findIndex(other => other.request === bill.request);
	return {
		...grant,
		unsettled: index === -1
			? grant.unsettled.push(bill)
			: grant.unsettled.update(index, bill, first => ({...first, attempts: [...first.attempts, ...bill.attempts]})),
	};
};

/**
Checks whether a grant is empty: everything settled and returned.

@param grant - The grant.
@returns True if the router can shut down without losing tokens of this grant.
*/
export const isGrantEmpty = (grant: BudgetGrant): boolean =>
	grant.reserved === 0 && grant.unsettled.isEmpty() && grant.granted === 0 && grant.sync.step === 'idle';

