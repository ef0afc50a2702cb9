import {Map} from 'immutable';
import {z} from 'zod';
import {computeBackoff} from '../loop/backoff.js';
import {keepState} from '../loop/step.js';
import type {Step} from '../loop/loop.js';
import {isRemoteAddress} from '../server/address.js';
import {getEra, rejectOutdated} from '../store/index.js';
import type {StoredRow, StoreReply, StoreWrite} from '../store/index.js';
import type {QuotaContext, QuotaEffect, QuotaEvent} from './messages.js';
import {getBudgetTotals, getPeerTotals} from './peer-totals.js';
import {computeDemandShare} from './share.js';
import {
	computeReleased, computeTransferIntervalMs, countAvailableTokens, countFreeTokens, countLiveRouters, countSpendableTokens, getBudgetHold, isLargeFleet, readIntervalMs,
} from './state.js';
import type {
	BudgetHold, BudgetRow, PeerRouter, PendingChange, LocalQuota, Restoration, SpendBound, SyncState, Transfer,
} from './state.js';

type QuotaStep = Step<LocalQuota, QuotaEffect>;

/** Store tables that the routers read and write. */
const tables = {budgets: 'budgets', holds: 'holds'} as const;

/** Fraction of a budget's remaining tokens that all routers hold together, to keep serving during a store outage. The rest stays available to routers that need more. */
const heldFraction = 0.85;

/** A balance that covers fewer seconds of all routers' demand is scarce: tokens are then drawn per request, never ahead of need. */
const scarceHorizonSeconds = 3;

/** Fraction of the held tokens that is shared evenly, whatever the past demand, because clients move between routers. */
const evenShareFraction = 0.1;

/** Smallest draw ahead of need that is worth a store call, in tokens: a few short requests. */
const minimumDrawTokens = 4000;

/** Interval between settlements. A longer one increases what a successor process writes off, a shorter one the number of store calls. */
const minSettleIntervalMs = 150;

/** Settlements of all routers together, per second: less than half of what the store applies to one part, which also takes what requests wait for. */
const maxSettlementsPerSecond = 80;

/** Interval at which a router with nothing to settle still writes its row, as a heartbeat for its peers. */
const heartbeatIntervalMs = 4000;

/** Time since its last write after which a router counts as dead. A longer store outage makes all peers look dead alike. */
const livenessTimeoutMs = 12_000;

/** Time that the spend window alone must cover; settlements are more frequent. */
const releaseDelayMs = 300;

/** Seconds of average demand that the spend window covers: more than `releaseDelayMs`, because demand varies. */
const windowHorizonSeconds = 0.55;

/** Minimum that the spend window adds to average demand for one request. A request that needs more waits for the row to be written, which takes a few ms while the store answers. */
const minimumWindowTokens = 1000;

/** Fraction of a hold that the spend window covers at least. */
const windowFraction = 0.01;

/** Spend rate as a multiple of average demand while the store does not answer: at first, when a process that died is soon replaced, and after `laterDelayMs`. */
const outageSpendFactor = {first: 1, later: 1.6} as const;

/** Time after which the later spend rate applies; a process that died has been replaced by then. */
const laterDelayMs = 2000;

/** Time within which a whole hold may be spent, however low the demand. */
const fullReleaseSeconds = 60;

/** Margin by which a successor process overestimates the time that its predecessor had for spending, because clocks differ slightly. */
const clockErrorMargin = {ms: 20, factor: 1.02} as const;

/** Time for which drawn tokens are kept before they may be returned, so that they do not oscillate between routers. */
const returnDelayMs = 500;

/** Exponential back-off after failed store calls, in ms. Short, because requests wait for the store. */
const retryBackoff = {first: 100, longest: 400} as const;

/** Age up to which the store's copies are expected, in ms: they are some seconds old. */
const maxCopyAgeMs = 60_000;

/** Time constant of the exponential moving average of demand. */
const demandTimeConstantMs = 3000;

const holdEntrySchema = z.object({
	held: z.number(),
	/** Tokens used per second. */
	demand: z.number(),
	/** This and the next fields limit what may have been spent, as in `SpendBound`. */
	window: z.number(),
	rate: z.number(),
	delay: z.number(),
	laterRate: z.number().default(0),
	laterDelay: z.number().default(0),
});
const holdsRowSchema = z.object({
	change: z.string(),
	/** When the change was planned, in ms of the store's monotonic clock; may be slightly early. */
	at: z.number(),
	/** Address at which peers reach the router. */
	peer: z.string().default(''),
	/** Data centre of the router. Older routers write none. */
	zone: z.string().default(''),
	/** Era of the store in which the row was written. */
	era: z.number().optional(),
	/** Incarnations that wrote the row before, the latest first. Older routers write none. */
	predecessors: z.array(z.string()).default([]),
	holds: z.record(z.string(), holdEntrySchema),
});

type HoldEntry = z.output<typeof holdEntrySchema>;
const budgetRowSchema = z.object({taken: z.number()});

const decodeRowValue = <Schema extends z.ZodType>(schema: Schema, text: string | undefined): z.output<Schema> | undefined => {
	if (text === undefined) {
		return undefined;
	}

	try {
		return schema.safeParse(JSON.parse(text)).data;
	} catch {
		// The caller treats the row as unreadable and logs it.
		return undefined;
	}
};

/** An unreadable budget row counts as a fully taken budget. */
const unreadableTakenTokens = Number.MAX_SAFE_INTEGER;

const decodeTakenTokens = (row: StoredRow | undefined): number =>
	row?.value === undefined ? 0 : decodeRowValue(budgetRowSchema, row.value)?.taken ?? unreadableTakenTokens;

/** Logs each unreadable row. Such a holds row counts as empty, such a budget row as fully taken. */
const logUnreadableRows = (rows: readonly StoredRow[], schema: z.ZodType): readonly QuotaEffect[] => rows
	.filter(row => row.value !== undefined && decodeRowValue(schema, row.value) === undefined)
	.map(({table, key, version}) => ({
		kind: 'log', event: 'row-unreadable', isFailure: true, fields: {table, key, version},
	}));

const findRow = (rows: readonly StoredRow[], table: string, key: string): StoredRow | undefined =>
	rows.find(row => row.table === table && row.key === key);

/** Counts the tokens of a budget that no router has taken. */
const countUnallocatedTokens = (quota: LocalQuota, organisation: string, context: QuotaContext): number =>
	Math.max(0, (context.budgets.get(organisation) ?? 0) - (quota.budgets.get(organisation)?.taken ?? 0));

/** Counts the tokens of a budget that routers hold or may draw, without this router's in-flight requests. */
const countPoolTokens = (quota: LocalQuota, organisation: string, context: QuotaContext): number =>
	countUnallocatedTokens(quota, organisation, context) + Math.max(0, countFreeTokens(getBudgetHold(quota, organisation)))
	+ getBudgetTotals(quota.peers, organisation).held;

/** Sums the other live routers' demand for a budget, as stated in their rows, in tokens per second. */
const sumPeerDemand = (quota: LocalQuota, organisation: string): number => getBudgetTotals(quota.peers, organisation).demand;

/** Tokens that a request is taken to reserve at a router that has seen none yet. */
const defaultReservationTokens = 4000;

const computeLargeFleetShare = (quota: LocalQuota, organisation: string): number => {
	const {demand: own, typicalReservation} = getBudgetHold(quota, organisation);
	const {routersByDataCentre} = getPeerTotals(quota.peers);
	const {demand, demandByDataCentre} = getBudgetTotals(quota.peers, organisation);
	return computeDemandShare({
		own,
		dataCentre: own + demandByDataCentre.get(quota.dataCentre, 0),
		total: own + demand,
		routersInDataCentre: 1 + routersByDataCentre.get(quota.dataCentre, 0),
		routers: countLiveRouters(quota),
		dataCentres: routersByDataCentre.size + (routersByDataCentre.has(quota.dataCentre) ? 0 : 1),
		typicalReservation: typicalReservation === 0 ? defaultReservationTokens : typicalReservation,
	});
};

/** Computes this router's fair fraction of the held tokens: mostly in proportion to demand, of its data centre in a large fleet. */
const computeShareFraction = (quota: LocalQuota, organisation: string): number => {
	if (isLargeFleet(quota)) {
		return computeLargeFleetShare(quota, organisation);
	}

	const ownDemand = getBudgetHold(quota, organisation).demand;
	const totalDemand = ownDemand + sumPeerDemand(quota, organisation);
	const evenFraction = 1 / countLiveRouters(quota);
	return totalDemand < 1 ? evenFraction : (evenShareFraction * evenFraction) + ((1 - evenShareFraction) * ownDemand / totalDemand);
};

/** Computes how many free tokens this router should hold: its share of the pool, or none once the pool is scarce. */
const computeTargetTokens = (quota: LocalQuota, organisation: string, context: QuotaContext): number => {
	const pool = countPoolTokens(quota, organisation, context);
	const demand = getBudgetHold(quota, organisation).demand + sumPeerDemand(quota, organisation);
	return pool < demand * scarceHorizonSeconds ? 0 : pool * heldFraction * computeShareFraction(quota, organisation);
};

/**
Decides how many tokens to draw: up to the target once less than half of it is
free, and always what waiting requests need, if that much is available.
*/
const computeDrawTokens = (quota: LocalQuota, organisation: string, context: QuotaContext): number => {
	const hold = getBudgetHold(quota, organisation);
	const free = countAvailableTokens(hold);
	const unallocated = countUnallocatedTokens(quota, organisation, context);
	const target = computeTargetTokens(quota, organisation, context);
	const prefetch = Math.min(target - free, unallocated);
	const worthwhilePrefetch = free < target / 2 && prefetch >= minimumDrawTokens ? prefetch : 0;
	const shortfall = hold.waitingTokens - free;
	const smallestShortfall = hold.smallestWaitingTokens - free;
	if (shortfall <= 0) {
		return Math.floor(worthwhilePrefetch);
	}

	if (shortfall <= unallocated) {
		return Math.ceil(Math.max(shortfall, Math.min(prefetch, unallocated)));
	}

	return smallestShortfall > 0 && smallestShortfall <= unallocated ? Math.floor(unallocated) : 0;
};

/** Multiple of its target above which a router in a large fleet returns tokens: demand that moves must be followed within about two seconds. */
const largeFleetExcessFactor = 1.25;

/** Decides how many free tokens to return: those above the target, if they exceed it by far and other routers may need them. */
const computeReturnTokens = (quota: LocalQuota, organisation: string, context: QuotaContext, now: number): number => {
	const hold = getBudgetHold(quota, organisation);
	const free = Math.max(0, Math.floor(countFreeTokens(hold)));
	const target = Math.floor(computeTargetTokens(quota, organisation, context));
	if (quota.isLeaving) {
		return free;
	}

	// Each of many routers holds less than what is unallocated, so that this tells nothing of the need of the others.
	const isNeeded = isLargeFleet(quota) || countUnallocatedTokens(quota, organisation, context) < free;
	const hasExcess = target === 0 ? free > 0 : free > (target * (isLargeFleet(quota) ? largeFleetExcessFactor : 2)) + minimumDrawTokens;
	return isNeeded && hasExcess && hold.waitingTokens === 0 && now - hold.drawnAtMs >= returnDelayMs ? free - target : 0;
};

/** Computes the tokens to draw, or to return if negative. */
const computeTransferTokens = (quota: LocalQuota, organisation: string, context: QuotaContext, now: number): number => {
	const drawn = quota.isLeaving || quota.restoration !== undefined ? 0 : computeDrawTokens(quota, organisation, context);
	return drawn > 0 ? drawn : -computeReturnTokens(quota, organisation, context, now);
};

const buildRowWrite = (table: StoreWrite['table'], key: string, version: number, value: unknown): StoreWrite =>
	({
		table, key, version, value: JSON.stringify(value),
	});

/** Describes the router in its row. Empty fields are left out, which readers of any version understand. */
const describeWriter = ({peerAddress, dataCentre, era, predecessors}: LocalQuota) => ({
	peer: peerAddress, ...(dataCentre !== '' && {zone: dataCentre}), era, ...(predecessors.length > 0 && {predecessors}),
});

/** Estimates the store's current time in ms; the estimate may be slightly early. */
const estimateStoreTime = (quota: LocalQuota, now: number): number =>
	Math.floor(quota.storeClock.timeMs + (now - quota.storeClock.receivedAtMs));

/**
How many typical requests the spend window covers, but no more than these seconds of average demand: a larger request
waits for the row to be written. A power cut costs each budget that much per router.
*/
type RequestAllowance = Readonly<{requests: number; seconds: number}>;

const eagerAllowance: RequestAllowance = {requests: 1, seconds: 0.5};

/** Rows of many routers are written less often, and each router has a smaller part of the demand. */
const createLargeFleetAllowance = (routerCount: number): RequestAllowance => ({requests: 2, seconds: Math.min(8, routerCount / 4)});

/** Computes the spend window: average demand until more is released, plus some requests, because tokens are reserved per request. */
const computeSpendWindow = ({demand, typicalReservation}: BudgetHold, {requests, seconds}: RequestAllowance): number =>
	(demand * windowHorizonSeconds) + Math.max(minimumWindowTokens, Math.min(requests * typicalReservation, demand * seconds));

const getAllowance = (quota: LocalQuota): RequestAllowance => isLargeFleet(quota) ? createLargeFleetAllowance(countLiveRouters(quota)) : eagerAllowance;

/** Plans what may be spent of a hold until its row is written again. In-flight requests stay reserved in the new row. */
const planSpendBound = (hold: BudgetHold, allowance: RequestAllowance, now: number): SpendBound => ({
	window: Math.ceil(hold.reserved + Math.max(computeSpendWindow(hold, allowance), hold.held * windowFraction, hold.waitingTokens) + hold.promised),
	rate: Math.ceil(Math.max(hold.demand * outageSpendFactor.first, hold.held / fullReleaseSeconds)),
	delay: releaseDelayMs,
	laterRate: Math.ceil(hold.demand * (outageSpendFactor.later - outageSpendFactor.first)),
	laterDelay: laterDelayMs,
	plannedAt: now,
});

/** Which transfers a change of the row brings along. */
type TransferScope =
	/** Those that waiting requests need. */
	| 'needed'
	| 'all';

/**
Tells whether a transfer belongs to a change.

Load pattern: many routers change the rows of the same budgets, and a change that brings transfers is likely to meet
a row that another router has just changed. It is then planned again, and requests that wait only for this
router's own row would wait for that, too.
*/
const isInScope = (quota: LocalQuota, organisation: string, scope: TransferScope): boolean => {
	const hold = getBudgetHold(quota, organisation);
	return scope === 'all' || quota.isLeaving || hold.waitingTokens > countAvailableTokens(hold);
};

const planChange = (quota: LocalQuota, context: QuotaContext, scope: TransferScope, now: number): PendingChange => {
	const organisations = [...new Set([...quota.holds.keys(), ...context.budgets.keys()])];
	const allowance = getAllowance(quota);
	const settled = quota.holds.map(hold => hold.charged);
	const drawn = Map(organisations
		.filter(organisation => isInScope(quota, organisation, scope))
		.map(organisation => [organisation, computeTransferTokens(quota, organisation, context, now)] as const)).filter(delta => delta !== 0);
	const lostDraws = quota.restoration?.lostDraws ?? Map<string, number>();
	const taken = drawn.mergeWith((delta, lost) => delta + lost, lostDraws)
		.map((delta, organisation) => Math.max(0, (quota.budgets.get(organisation)?.taken ?? 0) + delta));
	const bounds = Map(organisations.map(organisation => [organisation, planSpendBound(getBudgetHold(quota, organisation), allowance, now)] as const));
	const holds = Object.fromEntries(organisations
		.map(organisation => [organisation, {
			held: getBudgetHold(quota, organisation).held - (settled.get(organisation) ?? 0) + (drawn.get(organisation) ?? 0),
			demand: Math.round(getBudgetHold(quota, organisation).demand),
			window: bounds.get(organisation)!.window,
			rate: bounds.get(organisation)!.rate,
			delay: releaseDelayMs,
			laterRate: bounds.get(organisation)!.laterRate,
			laterDelay: laterDelayMs,
		}] as const)
		.filter(([, {held, demand}]) => held > 0 || demand > 0));
	const id = `${quota.incarnation}.${quota.changes + 1}`;
	return {
		id,
		writes: [
			buildRowWrite(tables.holds, quota.router, quota.version, {
				...describeWriter(quota), change: id, at: estimateStoreTime(quota, now), holds,
			}),
			...taken.entrySeq().toArray().map(([organisation, total]) =>
				buildRowWrite(tables.budgets, organisation, quota.budgets.get(organisation)?.version ?? 0, {taken: total})),
		],
		settled,
		drawn,
		taken,
		bounds,
		inherited: Map(),
		writtenOff: Map(),
		isTakeover: false,
		peerEras: Map(),
		era: quota.era,
	};
};

const writeChange = (quota: LocalQuota, change: PendingChange, failures: number): QuotaStep => ({
	state: {...quota, sync: {step: 'writing', change, failures}},
	effects: [{kind: 'store', call: {kind: 'transact', writes: change.writes}}],
});

const readRows = (quota: LocalQuota, table: 'holds' | 'budgets'): QuotaStep => ({
	state: {...quota, sync: {step: 'reading', table}},
	effects: [{kind: 'store', call: {kind: 'read', table: tables[table]}}],
});

/** Computes the tokens that an earlier process with this row cannot have spent, given the spend rate that its row allows. */
const computeInheritedTokens = (entry: HoldEntry, elapsed: number): number =>
	Math.max(0, Math.floor(entry.held - computeReleased(entry, elapsed)));

/** Splits the id of a change into the incarnation that made it and its number. */
const parseChangeId = (id: string): Readonly<{incarnation: string; change: number}> => {
	const end = id.lastIndexOf('.');
	return {incarnation: id.slice(0, end), change: Number(id.slice(end + 1))};
};

/** Limit of the predecessors that a row names: more than a host starts processes within the age of a copy of the store. */
const maxPredecessors = 16;

/** Lists the processes that had a row before the one that takes it over. */
const listPredecessors = (row: StoredRow | undefined): readonly string[] => {
	const value = decodeRowValue(holdsRowSchema, row?.value);
	return value === undefined ? [] : [parseChangeId(value.change).incarnation, ...value.predecessors].slice(0, maxPredecessors);
};

/**
Plans the takeover of this router's row from an earlier process. That process ended before this one started, so it
cannot have spent anything since then.
*/
const planTakeover = (quota: LocalQuota, ownRow: StoredRow | undefined, peerEras: Map<string, number | undefined>, now: number): PendingChange => {
	const id = `${quota.incarnation}.0`;
	const row = decodeRowValue(holdsRowSchema, ownRow?.value);
	const time = estimateStoreTime(quota, now);
	const age = now - quota.startedAtMs;
	const elapsed = row === undefined ? 0 : (Math.max(0, time - row.at - age) * clockErrorMargin.factor) + clockErrorMargin.ms;
	const entries = Map(Object.entries(row?.holds ?? {}));
	// A row of an earlier era may be older than what its process wrote last, and tells nothing about what that process has spent.
	const inherited = entries.map(entry => row?.era === quota.era ? computeInheritedTokens(entry, elapsed) : 0).filter(held => held > 0);
	const writtenOff = entries.map((entry, organisation) => entry.held - inherited.get(organisation, 0));
	const holds = inherited.map((held): HoldEntry => ({
		held, demand: 0, window: 0, rate: 0, delay: 0, laterRate: 0, laterDelay: 0,
	})).toObject();
	return {
		id,
		writes: [buildRowWrite(tables.holds, quota.router, ownRow?.version ?? 0, {
			...describeWriter(quota), change: id, at: time, holds,
		})],
		settled: Map(),
		drawn: Map(),
		taken: Map(),
		bounds: Map(),
		inherited,
		writtenOff,
		isTakeover: true,
		peerEras,
		era: quota.era,
	};
};

/** Checks whether the spend window keeps tokens that are free from requests that need this many. */
const isWindowLimiting = (quota: LocalQuota, organisation: string, neededTokens: number, now: number): boolean =>
	countAvailableTokens(getBudgetHold(quota, organisation)) >= neededTokens && countSpendableTokens(quota, organisation, now) < neededTokens;

/** Checks whether requests wait only for the row to be written. */
const isWindowAwaited = (quota: LocalQuota, organisation: string, now: number): boolean => {
	const {waitingTokens, smallestWaitingTokens} = getBudgetHold(quota, organisation);
	return waitingTokens > 0 && isWindowLimiting(quota, organisation, smallestWaitingTokens, now);
};

/** Checks whether the spend window will keep requests waiting soon. */
const isWindowUsedUp = (quota: LocalQuota, organisation: string, now: number): boolean => {
	const hold = getBudgetHold(quota, organisation);
	return hold.waitingTokens === 0 && isWindowLimiting(quota, organisation, computeSpendWindow(hold, getAllowance(quota)) / 2, now);
};

/** Checks whether tokens that peers have asked for wait only for the row to be written. */
const isGrantAwaited = (quota: LocalQuota, organisation: string, now: number): boolean => {
	const {promised} = getBudgetHold(quota, organisation);
	return promised > 0 && isWindowLimiting(quota, organisation, promised, now);
};

const computeSettleIntervalMs = (quota: LocalQuota): number => Math.max(minSettleIntervalMs, countLiveRouters(quota) * 1000 / maxSettlementsPerSecond);

const isSettlementDue = (quota: LocalQuota, now: number): boolean => {
	const isIntervalOver = now - quota.settledAtMs >= computeSettleIntervalMs(quota);
	return quota.restoration?.ownRow === 'read'
		|| (isIntervalOver && quota.holds.some(hold => hold.charged > 0))
		|| (now - quota.settledAtMs >= heartbeatIntervalMs && !quota.isLeaving)
		|| quota.holds.keySeq().some(organisation => isWindowAwaited(quota, organisation, now))
		|| (now - quota.settledAtMs >= minSettleIntervalMs && quota.holds.keySeq().some(organisation => isGrantAwaited(quota, organisation, now)))
		|| ((isIntervalOver || !isLargeFleet(quota)) && quota.holds.keySeq().some(organisation => isWindowUsedUp(quota, organisation, now)));
};

/** Time after its start for which a router draws no tokens ahead of need: only then has it read the rows of all routers that start along with it. */
const settlingInMs = 2000;

/** Decides which transfers are due: those ahead of need are paced, and give way to requests that wait for the row alone. */
const chooseTransferScope = (quota: LocalQuota, now: number): TransferScope => {
	const isIntervalOver = now - (quota.transfers.at(-1)?.atMs ?? Number.NEGATIVE_INFINITY) >= computeTransferIntervalMs(quota);
	if (now - quota.startedAtMs < settlingInMs) {
		return 'needed';
	}

	return !isLargeFleet(quota) || (isIntervalOver && !quota.holds.keySeq().some(organisation => isWindowAwaited(quota, organisation, now))) ? 'all' : 'needed';
};

const needsTransfer = (quota: LocalQuota, context: QuotaContext, scope: TransferScope, now: number): boolean =>
	context.budgets.keySeq().some(organisation => isInScope(quota, organisation, scope) && computeTransferTokens(quota, organisation, context, now) !== 0);

/** Ends a restoration once every live router has written its row in the new era, or must be dead. */
const endRestoration = (quota: LocalQuota, now: number): LocalQuota => {
	const {restoration} = quota;
	return restoration?.ownRow === 'written' && (restoration.awaitedPeers.isEmpty() || now - restoration.noticedAtMs >= livenessTimeoutMs)
		? {...quota, restoration: undefined}
		: quota;
};

/** Tells whether requests wait for tokens that the next write of the row brings. They take precedence over a read. */
const canServeWaiting = (quota: LocalQuota, context: QuotaContext, now: number): boolean => quota.restoration === undefined
	&& quota.holds.some((hold, organisation) => hold.waitingTokens > 0 && (computeDrawTokens(quota, organisation, context) > 0 || isWindowAwaited(quota, organisation, now)));

/** Starts the next store call if one is due and none is in flight. */
const startSync = (before: LocalQuota, context: QuotaContext, now: number): QuotaStep => {
	const quota = endRestoration(before, now);
	if (quota.sync.step !== 'idle') {
		return keepState(quota);
	}

	if (!quota.hasTakenOver) {
		return readRows(quota, 'holds');
	}

	if (quota.restoration?.ownRow === 'unread') {
		return readRows(quota, 'holds');
	}

	if (now - quota.readAtMs >= readIntervalMs && !canServeWaiting(quota, context, now)) {
		return readRows(quota, 'holds');
	}

	const scope = chooseTransferScope(quota, now);
	return isSettlementDue(quota, now) || needsTransfer(quota, context, scope, now)
		? writeChange(quota, planChange(quota, context, scope, now), 0)
		: keepState(quota);
};

const sumTokens = (tokens: Map<string, number>): number => tokens.reduce((sum, each) => sum + each, 0);

/** Awaits the live routers that have not written their rows in this era: what they have drawn since the copy may be missing in the budgets' rows. */
const awaitOutdatedPeers = (quota: LocalQuota, peerEras: PendingChange['peerEras'], now: number): Restoration | undefined => {
	const awaitedPeers = peerEras.filter(era => era !== quota.era).keySeq().toSet();
	return awaitedPeers.isEmpty()
		? undefined
		: {
			noticedAtMs: now, ownRow: 'written', lostDraws: Map(), awaitedPeers,
		};
};

const applyTakeover = (quota: LocalQuota, change: PendingChange, now: number): QuotaStep => ({
	state: {...quota, hasTakenOver: true, restoration: awaitOutdatedPeers(quota, change.peerEras, now)},
	effects: [{
		kind: 'log', event: 'holds-opened', isFailure: false, fields: {
			version: quota.version, change: change.id, inherited: sumTokens(change.inherited), writtenOff: sumTokens(change.writtenOff),
		},
	}],
});

const applyChangeToHolds = (quota: LocalQuota, change: PendingChange, now: number): Map<string, BudgetHold> => {
	const organisations = [...new Set([...change.settled.keys(), ...change.drawn.keys(), ...change.bounds.keys(), ...change.inherited.keys()])];
	return organisations.reduce((holds, organisation) => {
		const hold = getBudgetHold({...quota, holds}, organisation);
		const settled = change.settled.get(organisation) ?? 0;
		const drawn = change.drawn.get(organisation) ?? 0;
		return holds.set(organisation, {
			...hold,
			held: hold.held - settled + drawn + (change.inherited.get(organisation) ?? 0),
			bound: change.bounds.get(organisation) ?? hold.bound,
			charged: hold.charged - settled,
			drawnAtMs: drawn > 0 ? now : hold.drawnAtMs,
		});
	}, quota.holds);
};

const logTransfers = (change: PendingChange): readonly QuotaEffect[] => change.drawn.entrySeq().toArray().map(([organisation, tokens]) => ({
	kind: 'log', event: tokens > 0 ? 'tokens-drawn' : 'tokens-returned', isFailure: false, fields: {
		organisation, tokens: Math.abs(tokens), taken: change.taken.get(organisation) ?? 0, change: change.id,
	},
}));

const recordTransfer = (transfers: readonly Transfer[], {id, drawn}: PendingChange, now: number): readonly Transfer[] => drawn.isEmpty()
	? transfers
	: [...transfers.filter(transfer => now - transfer.atMs <= maxCopyAgeMs), {change: parseChangeId(id).change, atMs: now, drawn}];

/** Gets the smallest count of a budget's taken tokens that was known since the last but one reading of the rows. */
const getSmallestTaken = ({budgets}: LocalQuota, organisation: string): number => {
	const row = budgets.get(organisation);
	return row === undefined ? 0 : Math.min(row.taken, row.previousTaken);
};

/** Applies a change that is known to be committed, with the resulting version of the router's row. */
const applyChange = (quota: LocalQuota, change: PendingChange, version: number, context: QuotaContext, now: number): QuotaStep => {
	const updated: LocalQuota = {
		...quota,
		version,
		changes: quota.changes + 1,
		holds: applyChangeToHolds(quota, change, now),
		budgets: quota.budgets.merge(change.taken.map((taken, organisation): BudgetRow => ({version, taken, previousTaken: getSmallestTaken(quota, organisation)}))),
		settledAtMs: change.isTakeover ? quota.settledAtMs : now,
		transfers: recordTransfer(quota.transfers, change, now),
		restoration: quota.restoration?.ownRow === 'read' ? {...quota.restoration, ownRow: 'written', lostDraws: Map()} : quota.restoration,
		sync: {step: 'idle'},
	};
	const takenOver = change.isTakeover ? applyTakeover(updated, change, now) : {state: updated, effects: logTransfers(change)};
	const next = startSync(takenOver.state, context, now);
	return {state: next.state, effects: [...takenOver.effects, {kind: 'changed'}, ...next.effects]};
};

/** Updates the known budgets of some organisations from rows; a missing row counts as nothing taken. */
const updateBudgets = (quota: LocalQuota, organisations: readonly string[], rows: readonly StoredRow[], getPreviousTaken: (organisation: string) => number): LocalQuota => ({
	...quota,
	budgets: organisations.reduce((budgets, organisation) => {
		const row = findRow(rows, tables.budgets, organisation);
		return budgets.set(organisation, {version: row?.version ?? 0, taken: decodeTakenTokens(row), previousTaken: getPreviousTaken(organisation)});
	}, quota.budgets),
});

const fence = (quota: LocalQuota): QuotaStep => ({
	state: {...quota, hasTakenOver: false, sync: {step: 'fenced'}},
	effects: [{
		kind: 'log', event: 'holds-fenced', isFailure: true, fields: {reason: 'another process has taken over this router\'s row', version: quota.version},
	}, {kind: 'changed'}],
});

/** Handles a version conflict: either the change was committed by an earlier attempt, or it can no longer be committed. */
const receiveConflict = (quota: LocalQuota, change: PendingChange, rows: readonly StoredRow[], context: QuotaContext, now: number): QuotaStep => {
	const ownRow = findRow(rows, tables.holds, quota.router);
	if (decodeRowValue(holdsRowSchema, ownRow?.value)?.change === change.id) {
		return applyChange(quota, change, ownRow?.version ?? 0, context, now);
	}

	if (change.isTakeover) {
		return readRows({...quota, sync: {step: 'idle'}}, 'holds');
	}

	if (quota.restoration?.ownRow === 'unread') {
		// The change is planned anew, under another id.
		return readRows({...quota, changes: quota.changes + 1, sync: {step: 'idle'}}, 'holds');
	}

	if ((ownRow?.version ?? 0) !== quota.version) {
		return fence(quota);
	}

	const refreshed = updateBudgets({...quota, sync: {step: 'idle'}}, [...change.taken.keys()], rows, organisation => getSmallestTaken(quota, organisation));
	const next = startSync(refreshed, context, now);
	return {state: next.state, effects: [{kind: 'changed'}, ...next.effects]};
};

const decodePeerRouter = (row: StoredRow, time: number): PeerRouter => {
	const value = decodeRowValue(holdsRowSchema, row.value);
	return {
		peerAddress: value !== undefined && isRemoteAddress(value.peer) ? value.peer : '',
		dataCentre: value?.zone ?? '',
		isLive: value !== undefined && time - value.at <= livenessTimeoutMs,
		era: value?.era,
		holds: Map(Object.entries(value?.holds ?? {})),
	};
};

/**
Compares the older row of this router with what it has drawn since. A row that neither this process nor any of its predecessors
has written is that of a process that has taken over.
*/
const restoreOwnRow = (quota: LocalQuota, restoration: Restoration, ownRow: StoredRow | undefined): LocalQuota | undefined => {
	const {incarnation, change} = parseChangeId(decodeRowValue(holdsRowSchema, ownRow?.value)?.change ?? '');
	const isOwn = incarnation === quota.incarnation;
	if (ownRow !== undefined && !isOwn && !quota.predecessors.includes(incarnation)) {
		return undefined;
	}

	const lost = quota.transfers.filter(transfer => !isOwn || transfer.change > change);
	return {
		...quota,
		version: ownRow?.version ?? 0,
		restoration: {
			...restoration,
			ownRow: 'read',
			lostDraws: lost.reduce((sum, {drawn}) => sum.mergeWith((a, b) => a + b, drawn), Map<string, number>()),
		},
	};
};

const receiveRestoredHolds = (quota: LocalQuota, restoration: Restoration, rows: readonly StoredRow[]): QuotaStep => {
	const restored = restoreOwnRow(quota, restoration, rows.find(row => row.key === quota.router));
	if (restored?.restoration === undefined) {
		return fence(quota);
	}

	const budgetsStep = readRows(restored, 'budgets');
	return {
		state: budgetsStep.state,
		effects: [{
			kind: 'log', event: 'holds-restored', isFailure: true, fields: {
				era: quota.era ?? 0, version: restored.version, lost: sumTokens(restored.restoration.lostDraws), awaited: restored.restoration.awaitedPeers.size,
			},
		}, ...budgetsStep.effects],
	};
};

/** Keeps waiting for the live routers that have not written their rows in the new era. */
const updateAwaitedPeers = (quota: LocalQuota, restoration: Restoration): Restoration => {
	const live = quota.peers.filter(peer => peer.isLive).keySeq();
	const awaited = restoration.ownRow === 'unread' ? restoration.awaitedPeers.union(live) : restoration.awaitedPeers;
	return {...restoration, awaitedPeers: awaited.filter(router => quota.peers.get(router)?.era !== quota.era)};
};

const receiveHolds = (quota: LocalQuota, rows: readonly StoredRow[], now: number): QuotaStep => {
	const time = estimateStoreTime(quota, now);
	const peerRouters = Map(rows.filter(row => row.key !== quota.router).map(row => [row.key, decodePeerRouter(row, time)] as const));
	if (!quota.hasTakenOver) {
		const ownRow = findRow(rows, tables.holds, quota.router);
		const succeeding = {...quota, predecessors: listPredecessors(ownRow)};
		const peerEras = peerRouters.filter(({isLive}) => isLive).map(({era}) => era);
		const takeover = writeChange(succeeding, planTakeover(succeeding, ownRow, peerEras, now), 0);
		return {state: takeover.state, effects: [...logUnreadableRows(ownRow === undefined ? [] : [ownRow], holdsRowSchema), ...takeover.effects]};
	}

	const updated = {...quota, peers: peerRouters};
	if (quota.restoration === undefined) {
		return readRows(updated, 'budgets');
	}

	const restoration = updateAwaitedPeers(updated, quota.restoration);
	return restoration.ownRow === 'unread' ? receiveRestoredHolds(updated, restoration, rows) : readRows({...updated, restoration}, 'budgets');
};

const receiveBudgets = (quota: LocalQuota, rows: readonly StoredRow[], context: QuotaContext, now: number): QuotaStep => {
	const getTakenBefore = (organisation: string) => quota.budgets.get(organisation)?.taken ?? decodeTakenTokens(findRow(rows, tables.budgets, organisation));
	const updated = updateBudgets({...quota, readAtMs: now, sync: {step: 'idle'}}, rows.map(row => row.key), rows, getTakenBefore);
	const next = startSync(updated, context, now);
	return {state: next.state, effects: [...logUnreadableRows(rows, budgetRowSchema), {kind: 'changed'}, ...next.effects]};
};

const scheduleRetry = (quota: LocalQuota, reason: string, now: number, random: number): QuotaStep => {
	const {sync} = quota;
	const {change, failures} = sync.step === 'writing' || sync.step === 'checking' ? sync : {change: undefined, failures: 0};
	return {
		state: {
			...quota,
			sync: {
				step: 'waiting', retryAtMs: now + computeBackoff(retryBackoff, failures, random), change, failures: failures + 1,
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

/** Handles the rows of all routers, read after the reply to a change was lost. */
const receiveCheck = (quota: LocalQuota, {change, failures}: SyncState & {step: 'checking'}, rows: readonly StoredRow[], context: QuotaContext, now: number): QuotaStep => {
	const ownRow = findRow(rows, tables.holds, quota.router);
	if (decodeRowValue(holdsRowSchema, ownRow?.value)?.change === change.id) {
		return applyChange(quota, change, ownRow?.version ?? 0, context, now);
	}

	// The same change is retried unaltered, so that at most one copy can be committed.
	return change.era === undefined || change.era === quota.era
		? writeChange(quota, change, failures)
		: receiveHolds({...quota, changes: quota.changes + 1}, rows, now);
};

type ReplyHandler<Step extends SyncState['step']> = (quota: LocalQuota, sync: SyncState & {step: Step}, reply: StoreReply & {kind: 'done'}, context: QuotaContext, now: number) => QuotaStep;

const readHandlers: Readonly<Record<'holds' | 'budgets', ReplyHandler<'reading'>>> = {
	holds: (quota, _sync, reply, _context, now) => receiveHolds(quota, reply.rows, now),
	budgets: (quota, _sync, reply, context, now) => receiveBudgets(quota, reply.rows, context, now),
};

const updateStoreClock = (quota: LocalQuota, reply: StoreReply, now: number): LocalQuota =>
	'now' in reply ? {...quota, storeClock: {timeMs: reply.now, receivedAtMs: now}} : quota;

/** Notices that the store has come back from an older copy, in which rows written last are missing. */
const noticeEra = (quota: LocalQuota, reply: StoreReply, now: number): LocalQuota => {
	const era = getEra(reply) ?? quota.era;
	if (era === quota.era) {
		return quota;
	}

	return {
		...quota,
		era,
		restoration: quota.era === undefined || !quota.hasTakenOver
			? undefined
			: {
				noticedAtMs: now, ownRow: 'unread', lostDraws: Map(), awaitedPeers: quota.peers.filter(peer => peer.isLive).keySeq().toSet(),
			},
	};
};

const receiveReply = (before: LocalQuota, event: QuotaEvent & {kind: 'replied'}, now: number, context: QuotaContext): QuotaStep => {
	const reply = rejectOutdated(event.reply, before.era);
	const quota = noticeEra(updateStoreClock(before, reply, now), reply, now);
	const {sync} = quota;
	if (sync.step !== 'reading' && sync.step !== 'checking' && sync.step !== 'writing') {
		return keepState(quota);
	}

	if (sync.step === 'writing' && reply.kind === 'conflict') {
		return receiveConflict(quota, sync.change, reply.rows, context, now);
	}

	if (reply.kind !== 'done') {
		return scheduleRetry(quota, 'reason' in reply ? reply.reason : reply.kind, now, event.random);
	}

	if (sync.step === 'checking') {
		return receiveCheck(quota, sync, reply.rows, context, now);
	}

	return sync.step === 'reading'
		? readHandlers[sync.table](quota, sync, reply, context, now)
		: applyChange(quota, sync.change, reply.version, context, now);
};

const updateDemand = (quota: LocalQuota, now: number): LocalQuota => {
	const elapsed = now - quota.tickedAtMs;
	if (elapsed <= 0) {
		return quota;
	}

	const weight = 1 - Math.exp(-elapsed / demandTimeConstantMs);
	return {
		...quota,
		tickedAtMs: now,
		holds: quota.holds.map(hold => ({
			...hold, usedSinceTick: 0, demand: hold.demand + (((hold.usedSinceTick * 1000 / elapsed) - hold.demand) * weight),
		})),
	};
};

const receiveTick = (quota: LocalQuota, now: number, context: QuotaContext): QuotaStep => {
	const withDemand = updateDemand(quota, now);
	const {sync} = withDemand;
	if (sync.step !== 'waiting') {
		return startSync(withDemand, context, now);
	}

	if (now < sync.retryAtMs) {
		return keepState(withDemand);
	}

	return sync.change === undefined
		? readRows(withDemand, 'holds')
		: {
			state: {...withDemand, sync: {step: 'checking', change: sync.change, failures: sync.failures}},
			effects: [{kind: 'store', call: {kind: 'read', table: tables.holds}}],
		};
};

const handlers: Readonly<{[Kind in QuotaEvent['kind']]: (quota: LocalQuota, event: QuotaEvent & {kind: Kind}, now: number, context: QuotaContext) => QuotaStep}> = {
	tick: (quota, _event, now, context) => receiveTick(quota, now, context),
	wanted: (quota, _event, now, context) => startSync(quota, context, now),
	leave: (quota, _event, now, context) => startSync({...quota, isLeaving: true}, context, now),
	replied: receiveReply,
};

/**
Handles an event of a router's local quota.

One store call is in flight at a time. A change whose reply was lost is retried
unaltered: all copies require the same version of the router's row, so at most
one is committed.

@param quota - The local quota.
@param event - The event.
@param now - The time in ms.
@param context - Budget limits.
@returns The updated quota and its effects.
*/
export const handleQuotaEvent = (quota: LocalQuota, event: QuotaEvent, now: number, context: QuotaContext): QuotaStep => {
	const handle = handlers[event.kind] as (quota: LocalQuota, event: QuotaEvent, now: number, context: QuotaContext) => QuotaStep;
	return handle(quota, event, now, context);
};

