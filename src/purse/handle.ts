import {Map} from 'immutable';
import {z} from 'zod';
import {computeBackoff} from '../loop/backoff.js';
import {stay} from '../loop/step.js';
import type {Step} from '../loop/loop.js';
import type {StoredRow, StoreReply, StoreWrite} from '../store/index.js';
import type {PurseContext, PurseEffect, PurseEvent} from './messages.js';
import {
	computeReleased, countFree, countRouters, countSpendable, getHold,
} from './state.js';
import type {
	Bound, BudgetRow, Change, Hold, OtherRouter, Purse, Sync,
} from './state.js';

type PurseStep = Step<Purse, PurseEffect>;

/** Tables that the routers keep. */
const tables = {budgets: 'budgets', holds: 'holds'} as const;

/** The part of what is left of a budget that routers hold, so that an outage of the store is served through; the rest is for whoever needs more. */
const heldPart = 0.85;

/** Seconds of all routers' use below which a balance is scarce: then each call draws what it needs, and nothing is held ahead. */
const scarceHorizon = 3;

/** The part of what routers hold that is shared evenly, whatever their demand was: callers move from one to another. */
const evenPart = 0.1;

/** Tokens below which drawing ahead is not worth a call: a few short calls. */
const minimumDraw = 4000;

/** Milliseconds between settlements: what a successor must write off grows with it, and so do the calls with its inverse. */
const settleInterval = 150;

/** Milliseconds between writes of the row of a router that settles nothing: its peers see that it lives. */
const beatInterval = 4000;

/** Milliseconds after its last write within which a router counts as living: an outage of the store longer than that hides all alike. */
const liveTime = 12_000;

/** Milliseconds for which the window must do: settlements come more often. */
const releaseDelay = 300;

/** Seconds of average use that the window allows: somewhat more than the time for which it must do, since use varies. */
const windowHorizon = 0.55;

/** Tokens that may be spent at once in any case beside the average use: a short call. A longer one has the row written first, which takes a few ms while the store answers. */
const minimumWindow = 1000;

/** The part of a hold that may be spent at once in any case. */
const windowPart = 0.01;

/** How much faster than on average tokens may be spent while the store does not answer: first, when a dead process has a successor soon, and later. */
const outagePace = {first: 1, later: 1.6} as const;

/** Milliseconds after which the later pace holds: a process that died is back before. */
const laterDelay = 2000;

/** Seconds within which a whole hold may be spent in any case. */
const slowestRelease = 60;

/** Milliseconds, and a factor, by which a successor takes its predecessor's time for longer: clocks differ a little. */
const clockDoubt = {time: 20, factor: 1.02} as const;

/** Milliseconds between readings of all rows. */
const readInterval = 1000;

/** Milliseconds that drawn tokens stay before they may go back, so that they do not travel to and fro. */
const returnDelay = 500;

/** Milliseconds after the first failure, doubled with each further one, and at the most: calls wait for the store. */
const backoff = {first: 100, longest: 400} as const;

/** Time constant of the average demand, in ms. */
const demandTime = 3000;

const entrySchema = z.object({
	held: z.number(),
	/** Tokens used a second. */
	demand: z.number(),
	/** The most that may have been spent, as `Bound` says. */
	window: z.number(),
	rate: z.number(),
	delay: z.number(),
	laterRate: z.number().default(0),
	laterDelay: z.number().default(0),
});
const holdSchema = z.object({
	change: z.string(),
	/** When it was planned, by the store's steady clock or a little before, in ms. */
	at: z.number(),
	/** Where peers reach the router. */
	peer: z.string().default(''),
	holds: z.record(z.string(), entrySchema),
});

type Entry = z.output<typeof entrySchema>;
const budgetSchema = z.object({taken: z.number()});

const decodeValue = <Schema extends z.ZodType>(schema: Schema, text: string | undefined): z.output<Schema> | undefined => {
	if (text === undefined) {
		return undefined;
	}

	try {
		return schema.safeParse(JSON.parse(text)).data;
	} catch {
		// The caller treats the row as one that is of no use, and reports it.
		return undefined;
	}
};

/** What a row that cannot be read counts for: all of the budget has been taken. */
const unreadableTaken = Number.MAX_SAFE_INTEGER;

const decodeTaken = (row: StoredRow | undefined): number =>
	row?.value === undefined ? 0 : decodeValue(budgetSchema, row.value)?.taken ?? unreadableTaken;

/** One line for each row that cannot be read: it holds nothing that can be used, or has nothing left to draw. */
const logUnreadable = (rows: readonly StoredRow[], schema: z.ZodType): readonly PurseEffect[] => rows
	.filter(row => row.value !== undefined && decodeValue(schema, row.value) === undefined)
	.map(({table, key, version}) => ({
		kind: 'log', event: 'row-unreadable', isFailure: true, fields: {table, key, version},
	}));

const findRow = (rows: readonly StoredRow[], table: string, key: string): StoredRow | undefined =>
	rows.find(row => row.table === table && row.key === key);

/** What may be drawn of a budget. */
const countUntaken = (purse: Purse, organisation: string, context: PurseContext): number =>
	Math.max(0, (context.budgets.get(organisation) ?? 0) - (purse.budgets.get(organisation)?.taken ?? 0));

/** Tokens of a budget that routers hold or may draw, without those of calls under way. */
const countPool = (purse: Purse, organisation: string, context: PurseContext): number =>
	countUntaken(purse, organisation, context) + Math.max(0, countFree(getHold(purse, organisation)))
	+ purse.others.valueSeq().reduce((sum, {holds}) => sum + (holds.get(organisation)?.held ?? 0), 0);

/** The demand of the other routers for a budget, as their rows state it. Tokens a second. */
const countOtherDemand = (purse: Purse, organisation: string): number =>
	purse.others.valueSeq().filter(other => other.isLive).reduce((sum, {holds}) => sum + (holds.get(organisation)?.demand ?? 0), 0);

/** This router's fair part of what routers hold, 0 to 1: mostly by demand. */
const countPart = (purse: Purse, organisation: string): number => {
	const own = getHold(purse, organisation).demand;
	const all = own + countOtherDemand(purse, organisation);
	const even = 1 / countRouters(purse);
	return all < 1 ? even : (evenPart * even) + ((1 - evenPart) * own / all);
};

/** The free tokens that a router should have: its part of what is left, and none once that is scarce. */
const computeTarget = (purse: Purse, organisation: string, context: PurseContext): number => {
	const pool = countPool(purse, organisation, context);
	const demand = getHold(purse, organisation).demand + countOtherDemand(purse, organisation);
	return pool < demand * scarceHorizon ? 0 : pool * heldPart * countPart(purse, organisation);
};

/**
Decides how many tokens to draw: up to the target once half of it is gone, and
in any case what waiting calls need, if there is as much.
*/
const chooseDraw = (purse: Purse, organisation: string, context: PurseContext): number => {
	const hold = getHold(purse, organisation);
	const free = countFree(hold);
	const untaken = countUntaken(purse, organisation, context);
	const target = computeTarget(purse, organisation, context);
	const ahead = Math.min(target - free, untaken);
	const worthwhile = free < target / 2 && ahead >= minimumDraw ? ahead : 0;
	const needed = hold.wanted - free;
	const least = hold.least - free;
	if (needed <= 0) {
		return Math.floor(worthwhile);
	}

	if (needed <= untaken) {
		return Math.ceil(Math.max(needed, Math.min(ahead, untaken)));
	}

	return least > 0 && least <= untaken ? Math.floor(untaken) : 0;
};

/** Decides how many free tokens to give back: what is far above the target, once the others may need it. */
const chooseReturn = (purse: Purse, organisation: string, context: PurseContext, now: number): number => {
	const hold = getHold(purse, organisation);
	const free = Math.max(0, Math.floor(countFree(hold)));
	const target = Math.floor(computeTarget(purse, organisation, context));
	if (purse.isLeaving) {
		return free;
	}

	const isScarce = countUntaken(purse, organisation, context) < free;
	const isMuch = target === 0 ? free > 0 : free > (2 * target) + minimumDraw;
	return isScarce && isMuch && hold.wanted === 0 && now - hold.drawnAt >= returnDelay ? free - target : 0;
};

const countDelta = (purse: Purse, organisation: string, context: PurseContext, now: number): number => {
	const drawn = purse.isLeaving ? 0 : chooseDraw(purse, organisation, context);
	return drawn > 0 ? drawn : -chooseReturn(purse, organisation, context, now);
};

const writeRow = (table: string, key: string, version: number, value: unknown): StoreWrite =>
	({
		table, key, version, value: JSON.stringify(value),
	});

/** The store's time now, or a little before. */
const estimateStoreTime = (purse: Purse, now: number): number =>
	Math.floor(purse.storeClock.time + (now - purse.storeClock.heardAt));

/** Seconds of average use that one call may come to, beyond which it has the row written first: many small budgets would lose a call at each router with a power cut. */
const callHorizon = 0.5;

/** Average use until more is released, and a call besides: use comes in whole calls. */
const countWindow = ({demand, typical}: Hold): number =>
	(demand * windowHorizon) + Math.max(minimumWindow, Math.min(typical, demand * callHorizon));

/** What may be spent of a hold until its row is written again. Running calls stay reserved in the new row. */
const planBound = (hold: Hold, now: number): Bound => ({
	window: Math.ceil(hold.reserved + Math.max(countWindow(hold), hold.held * windowPart, hold.wanted)),
	rate: Math.ceil(Math.max(hold.demand * outagePace.first, hold.held / slowestRelease)),
	delay: releaseDelay,
	laterRate: Math.ceil(hold.demand * (outagePace.later - outagePace.first)),
	laterDelay,
	plannedAt: now,
});

const planChange = (purse: Purse, context: PurseContext, now: number): Change => {
	const organisations = [...new Set([...purse.holds.keys(), ...context.budgets.keys()])];
	const settled = purse.holds.map(hold => hold.charged);
	const drawn = Map(organisations.map(organisation => [organisation, countDelta(purse, organisation, context, now)] as const)).filter(delta => delta !== 0);
	const taken = drawn.map((delta, organisation) => (purse.budgets.get(organisation)?.taken ?? 0) + delta);
	const bounds = Map(organisations.map(organisation => [organisation, planBound(getHold(purse, organisation), now)] as const));
	const holds = Object.fromEntries(organisations
		.map(organisation => [organisation, {
			held: getHold(purse, organisation).held - (settled.get(organisation) ?? 0) + (drawn.get(organisation) ?? 0),
			demand: Math.round(getHold(purse, organisation).demand),
			window: bounds.get(organisation)!.window,
			rate: bounds.get(organisation)!.rate,
			delay: releaseDelay,
			laterRate: bounds.get(organisation)!.laterRate,
			laterDelay,
		}] as const)
		.filter(([, {held, demand}]) => held > 0 || demand > 0));
	const id = `${purse.incarnation}.${purse.changes + 1}`;
	return {
		id,
		writes: [
			writeRow(tables.holds, purse.router, purse.version, {
				change: id, at: estimateStoreTime(purse, now), peer: purse.peerAddress, holds,
			}),
			...taken.entrySeq().toArray().map(([organisation, total]) =>
				writeRow(tables.budgets, organisation, purse.budgets.get(organisation)?.version ?? 0, {taken: total})),
		],
		settled,
		drawn,
		taken,
		bounds,
		inherited: Map(),
		writtenOff: Map(),
		opens: false,
	};
};

const writeChange = (purse: Purse, change: Change, failures: number): PurseStep => ({
	state: {...purse, sync: {step: 'writing', change, failures}},
	effects: [{kind: 'store', call: {kind: 'transact', writes: change.writes}}],
});

const readRows = (purse: Purse, table: 'holds' | 'budgets'): PurseStep => ({
	state: {...purse, sync: {step: 'reading', table}},
	effects: [{kind: 'store', call: {kind: 'read', table: tables[table]}}],
});

/** Of what an earlier process here held, what it cannot have spent: it has ended, and its row says how fast it could spend. */
const inheritHold = (entry: Entry, elapsed: number): number =>
	Math.max(0, Math.floor(entry.held - computeReleased(entry, elapsed)));

/**
Takes over the row of a process that ran here before. That process ended before this one began, so that it cannot
have spent anything since.
*/
const planOpening = (purse: Purse, own: StoredRow | undefined, now: number): Change => {
	const id = `${purse.incarnation}.0`;
	const row = decodeValue(holdSchema, own?.value);
	const time = estimateStoreTime(purse, now);
	const age = now - purse.startedAt;
	const elapsed = row === undefined ? 0 : (Math.max(0, time - row.at - age) * clockDoubt.factor) + clockDoubt.time;
	const entries = Map(Object.entries(row?.holds ?? {}));
	const inherited = entries.map(entry => inheritHold(entry, elapsed)).filter(held => held > 0);
	const writtenOff = entries.map((entry, organisation) => entry.held - inherited.get(organisation, 0));
	const holds = inherited.map((held): Entry => ({
		held, demand: 0, window: 0, rate: 0, delay: 0, laterRate: 0, laterDelay: 0,
	})).toObject();
	return {
		id,
		writes: [writeRow(tables.holds, purse.router, own?.version ?? 0, {
			change: id, at: time, peer: purse.peerAddress, holds,
		})],
		settled: Map(),
		drawn: Map(),
		taken: Map(),
		bounds: Map(),
		inherited,
		writtenOff,
		opens: true,
	};
};

/** Whether waiting calls are kept from free tokens, or soon will be, until the row is written again. */
const isWindowShort = (purse: Purse, organisation: string, now: number): boolean => {
	const hold = getHold(purse, organisation);
	const wanted = hold.wanted > 0 ? hold.least : countWindow(hold) / 2;
	return countFree(hold) >= wanted && countSpendable(purse, organisation, now) < wanted;
};

const isSettlingDue = (purse: Purse, now: number): boolean =>
	(now - purse.settledAt >= settleInterval && purse.holds.some(hold => hold.charged > 0))
	|| (now - purse.settledAt >= beatInterval && !purse.isLeaving)
	|| purse.holds.keySeq().some(organisation => isWindowShort(purse, organisation, now));

const isMoving = (purse: Purse, context: PurseContext, now: number): boolean =>
	context.budgets.keySeq().some(organisation => countDelta(purse, organisation, context, now) !== 0);

/** Starts the next exchange with the store if one is due and none is under way. */
const startSync = (purse: Purse, context: PurseContext, now: number): PurseStep => {
	if (purse.sync.step !== 'idle') {
		return stay(purse);
	}

	if (!purse.isOpen) {
		return readRows(purse, 'holds');
	}

	const isHurried = purse.holds.some(hold => hold.wanted > 0);
	if (now - purse.readAt >= readInterval && !isHurried) {
		return readRows(purse, 'holds');
	}

	return isSettlingDue(purse, now) || isMoving(purse, context, now)
		? writeChange(purse, planChange(purse, context, now), 0)
		: stay(purse);
};

const sumTokens = (tokens: Map<string, number>): number => tokens.reduce((sum, each) => sum + each, 0);

const acceptOpening = (purse: Purse, change: Change): PurseStep => ({
	state: {...purse, isOpen: true},
	effects: [{
		kind: 'log', event: 'holds-opened', isFailure: false, fields: {
			version: purse.version, change: change.id, inherited: sumTokens(change.inherited), writtenOff: sumTokens(change.writtenOff),
		},
	}],
});

const acceptHolds = (purse: Purse, change: Change, now: number): Map<string, Hold> => {
	const touched = [...new Set([...change.settled.keys(), ...change.drawn.keys(), ...change.bounds.keys(), ...change.inherited.keys()])];
	return touched.reduce((holds, organisation) => {
		const hold = getHold({...purse, holds}, organisation);
		const settled = change.settled.get(organisation) ?? 0;
		const drawn = change.drawn.get(organisation) ?? 0;
		return holds.set(organisation, {
			...hold,
			held: hold.held - settled + drawn + (change.inherited.get(organisation) ?? 0),
			bound: change.bounds.get(organisation) ?? hold.bound,
			charged: hold.charged - settled,
			drawnAt: drawn > 0 ? now : hold.drawnAt,
		});
	}, purse.holds);
};

const logDraws = (change: Change): readonly PurseEffect[] => change.drawn.entrySeq().toArray().map(([organisation, tokens]) => ({
	kind: 'log', event: tokens > 0 ? 'tokens-drawn' : 'tokens-returned', isFailure: false, fields: {
		organisation, tokens: Math.abs(tokens), taken: change.taken.get(organisation) ?? 0, change: change.id,
	},
}));

/** Takes over a change that is known to have been made, at a version of the router's row. */
const acceptChange = (purse: Purse, change: Change, version: number, context: PurseContext, now: number): PurseStep => {
	const accepted: Purse = {
		...purse,
		version,
		changes: purse.changes + 1,
		holds: acceptHolds(purse, change, now),
		budgets: purse.budgets.merge(change.taken.map((taken): BudgetRow => ({version, taken}))),
		settledAt: change.opens ? purse.settledAt : now,
		sync: {step: 'idle'},
	};
	const opened = change.opens ? acceptOpening(accepted, change) : {state: accepted, effects: logDraws(change)};
	const next = startSync(opened.state, context, now);
	return {state: next.state, effects: [...opened.effects, {kind: 'changed'}, ...next.effects]};
};

/** The budgets' rows that a transaction named, as they are. */
const adoptBudgets = (purse: Purse, organisations: readonly string[], rows: readonly StoredRow[]): Purse => ({
	...purse,
	budgets: organisations.reduce((budgets, organisation) => {
		const row = findRow(rows, tables.budgets, organisation);
		return budgets.set(organisation, {version: row?.version ?? 0, taken: decodeTaken(row)});
	}, purse.budgets),
});

const fence = (purse: Purse): PurseStep => ({
	state: {...purse, isOpen: false, sync: {step: 'fenced'}},
	effects: [{
		kind: 'log', event: 'holds-fenced', isFailure: true, fields: {reason: 'another process has taken over this router\'s row', version: purse.version},
	}, {kind: 'changed'}],
});

/** A row had moved on: the change was made before, or can no longer be made. */
const receiveConflict = (purse: Purse, change: Change, rows: readonly StoredRow[], context: PurseContext, now: number): PurseStep => {
	const own = findRow(rows, tables.holds, purse.router);
	if (decodeValue(holdSchema, own?.value)?.change === change.id) {
		return acceptChange(purse, change, own?.version ?? 0, context, now);
	}

	if (change.opens) {
		return readRows({...purse, sync: {step: 'idle'}}, 'holds');
	}

	if ((own?.version ?? 0) !== purse.version) {
		return fence(purse);
	}

	const known = adoptBudgets({...purse, sync: {step: 'idle'}}, [...change.drawn.keys()], rows);
	const next = startSync(known, context, now);
	return {state: next.state, effects: [{kind: 'changed'}, ...next.effects]};
};

const describeOther = (row: StoredRow, time: number): OtherRouter => {
	const value = decodeValue(holdSchema, row.value);
	return {
		peerAddress: value?.peer ?? '',
		isLive: value !== undefined && time - value.at <= liveTime,
		holds: Map(Object.entries(value?.holds ?? {})),
	};
};

const receiveHolds = (purse: Purse, rows: readonly StoredRow[], now: number): PurseStep => {
	if (!purse.isOpen) {
		const own = findRow(rows, tables.holds, purse.router);
		const opening = writeChange(purse, planOpening(purse, own, now), 0);
		return {state: opening.state, effects: [...logUnreadable(own === undefined ? [] : [own], holdSchema), ...opening.effects]};
	}

	const time = estimateStoreTime(purse, now);
	const others = Map(rows.filter(row => row.key !== purse.router).map(row => [row.key, describeOther(row, time)] as const));
	return readRows({...purse, others}, 'budgets');
};

const receiveBudgets = (purse: Purse, rows: readonly StoredRow[], context: PurseContext, now: number): PurseStep => {
	const read = adoptBudgets({...purse, readAt: now, sync: {step: 'idle'}}, rows.map(row => row.key), rows);
	const next = startSync(read, context, now);
	return {state: next.state, effects: [...logUnreadable(rows, budgetSchema), {kind: 'changed'}, ...next.effects]};
};

const waitForRetry = (purse: Purse, reason: string, now: number, random: number): PurseStep => {
	const {sync} = purse;
	const failures = sync.step === 'writing' ? sync.failures : 0;
	const change = sync.step === 'writing' ? sync.change : undefined;
	return {
		state: {
			...purse,
			sync: {
				step: 'waiting', until: now + computeBackoff(backoff, failures, random), change, failures: failures + 1,
			},
		},
		effects: [
			...(failures === 0
				? [{
					kind: 'log', event: 'holds-store-lost', isFailure: true, fields: {reason, step: sync.step},
				} as const]
				: []),
			{kind: 'changed'},
		],
	};
};

type Answered<Step extends Sync['step']> = (purse: Purse, sync: Sync & {step: Step}, reply: StoreReply & {kind: 'done'}, context: PurseContext, now: number) => PurseStep;

const readers: Readonly<Record<'holds' | 'budgets', Answered<'reading'>>> = {
	holds: (purse, _sync, reply, _context, now) => receiveHolds(purse, reply.rows, now),
	budgets: (purse, _sync, reply, context, now) => receiveBudgets(purse, reply.rows, context, now),
};

const hearClock = (purse: Purse, reply: StoreReply, now: number): Purse =>
	'now' in reply ? {...purse, storeClock: {time: reply.now, heardAt: now}} : purse;

const receiveReply = (before: Purse, event: PurseEvent & {kind: 'replied'}, now: number, context: PurseContext): PurseStep => {
	const {reply} = event;
	const purse = hearClock(before, reply, now);
	const {sync} = purse;
	if (sync.step !== 'reading' && sync.step !== 'writing') {
		return stay(purse);
	}

	if (sync.step === 'writing' && reply.kind === 'conflict') {
		return receiveConflict(purse, sync.change, reply.rows, context, now);
	}

	if (reply.kind !== 'done') {
		return waitForRetry(purse, 'reason' in reply ? reply.reason : reply.kind, now, event.random);
	}

	return sync.step === 'reading'
		? readers[sync.table](purse, sync, reply, context, now)
		: acceptChange(purse, sync.change, reply.version, context, now);
};

const averageDemand = (purse: Purse, now: number): Purse => {
	const elapsed = now - purse.tickedAt;
	if (elapsed <= 0) {
		return purse;
	}

	const weight = 1 - Math.exp(-elapsed / demandTime);
	return {
		...purse,
		tickedAt: now,
		holds: purse.holds.map(hold => ({
			...hold, used: 0, demand: hold.demand + (((hold.used * 1000 / elapsed) - hold.demand) * weight),
		})),
	};
};

const receiveTick = (purse: Purse, now: number, context: PurseContext): PurseStep => {
	const averaged = averageDemand(purse, now);
	const {sync} = averaged;
	if (sync.step !== 'waiting') {
		return startSync(averaged, context, now);
	}

	if (now < sync.until) {
		return stay(averaged);
	}

	// The same change is sent again unaltered, so that at most one copy can be made.
	return sync.change === undefined
		? readRows(averaged, 'holds')
		: writeChange(averaged, sync.change, sync.failures);
};

const handlers: Readonly<{[Kind in PurseEvent['kind']]: (purse: Purse, event: PurseEvent & {kind: Kind}, now: number, context: PurseContext) => PurseStep}> = {
	tick: (purse, _event, now, context) => receiveTick(purse, now, context),
	wanted: (purse, _event, now, context) => startSync(purse, context, now),
	leave: (purse, _event, now, context) => startSync({...purse, isLeaving: true}, context, now),
	replied: receiveReply,
};

/**
Decides what a purse does next.

One call to the store is under way at a time. A change whose reply was lost is
sent again unaltered: all copies require the same version of the router's row,
so at most one is made.

@param purse - The purse.
@param event - What happened.
@param now - The time in ms.
@param context - What else the decision depends on.
@returns The purse and what it asks for.
*/
export const handlePurse = (purse: Purse, event: PurseEvent, now: number, context: PurseContext): PurseStep => {
	const handle = handlers[event.kind] as (purse: Purse, event: PurseEvent, now: number, context: PurseContext) => PurseStep;
	return handle(purse, event, now, context);
};

