import {Map} from 'immutable';
import type {Set} from 'immutable';
import type {StoreWrite} from '../store/index.js';
import {getBudgetTotals, getPeerTotals} from './peer-totals.js';

/**
Upper bound on what a router may have spent of a hold since its row was planned.
It is stored in the row, so that the next process on the host can recover the
rest. Durations are measured with monotonic clocks, never with the time of day.
*/
export type SpendBound = Readonly<{
	/** Tokens that may be spent immediately. */
	window: number;
	/** Tokens per second that may be spent in addition, once `delay` has passed. */
	rate: number;
	/** Milliseconds after `plannedAt`. A row that is written again within this time never releases more than the window. */
	delay: number;
	/** Tokens per second that may be spent on top, once `laterDelay` has passed, so that a long store outage does not stop requests. */
	laterRate: number;
	/** Milliseconds after `plannedAt`. */
	laterDelay: number;
	/** When the row was planned, in ms. */
	plannedAt: number;
}>;

/** The tokens that a router holds of one organisation's budget. */
export type BudgetHold = Readonly<{
	/** Tokens held according to the router's row. */
	held: number;
	/** Limits what may be spent before the row is written again. */
	bound: SpendBound;
	/** Tokens spent but not yet subtracted from the row. */
	charged: number;
	/** Maximum tokens that in-flight requests may still cost, without `receivedReserved`. */
	reserved: number;
	/** Free tokens that peers have granted. They have been charged there, so they are in no row, and are lost with this process. */
	received: number;
	/** Received tokens that in-flight requests may still cost. */
	receivedReserved: number;
	/** Tokens that peers have asked for and that the spend bound does not allow to be granted yet. */
	promised: number;
	/** Tokens that all waiting requests need together. */
	waitingTokens: number;
	/** Tokens that the smallest waiting request needs. */
	smallestWaitingTokens: number;
	/** Tokens charged, or newly needed by waiting requests, since the last tick. */
	usedSinceTick: number;
	/** Tokens used per second, as a moving average over a few seconds. */
	demand: number;
	/** Tokens that one request reserves, as a moving average over recent requests. */
	typicalReservation: number;
	/** When tokens were last drawn. */
	drawnAtMs: number;
}>;

/** A budget's row as last read; `taken` counts the tokens that routers have drawn and not returned. */
export type BudgetRow = Readonly<{
	version: number;
	taken: number;
	/** Smallest count since the reading before the latest reading of the rows. */
	previousTaken: number;
}>;

/** A transaction sent to the store, and its effect on each hold once it is committed. */
export type PendingChange = Readonly<{
	id: string;
	writes: readonly StoreWrite[];
	/** Spent tokens to subtract from each hold. */
	settled: Map<string, number>;
	/** Tokens drawn, or returned if negative. */
	drawn: Map<string, number>;
	/** Tokens taken of each budget after the change. */
	taken: Map<string, number>;
	/** Spend bounds in the router's row after the change, by organisation. */
	bounds: Map<string, SpendBound>;
	/** Tokens taken over from the previous process. */
	inherited: Map<string, number>;
	/** Tokens that the previous process may have spent, which count as spent. */
	writtenOff: Map<string, number>;
	/** True if the change takes over the row of an earlier process. */
	isTakeover: boolean;
	/** Eras in which the live routers had written their rows when a takeover was planned; empty for other changes. */
	peerEras: Map<string, number | undefined>;
	/** Era of the store in which it was planned. In another one, the versions that it requires may be those of other rows. */
	era: number | undefined;
}>;

/** Another router, as described by its row. */
export type PeerRouter = Readonly<{
	/** Address at which peers reach the router. */
	peerAddress: string;
	/** Data centre of the router; empty if its row names none, as those of older routers do. */
	dataCentre: string;
	/** True if the router wrote its row recently. */
	isLive: boolean;
	/** Era of the store in which the row was written; undefined if the store named none. */
	era: number | undefined;
	/** Held tokens, and demand in tokens per second, by organisation. */
	holds: Map<string, Readonly<{held: number; demand: number}>>;
}>;

/** A committed change that drew or returned tokens. */
export type Transfer = Readonly<{
	/** Number of the change. */
	change: number;
	atMs: number;
	/** Tokens drawn, or returned if negative, by organisation. */
	drawn: Map<string, number>;
}>;

/** What is left to do after the store came back from an older copy. */
export type Restoration = Readonly<{
	/** When that was noticed. */
	noticedAtMs: number;
	/** How far this router has restored its row. */
	ownRow: 'unread' | 'read' | 'written';
	/** Tokens by organisation that the budgets' rows do not count any more; negative for returned ones that they count again. */
	lostDraws: Map<string, number>;
	/** Live routers that have not written their rows in the new era. Their draws may be lost, too. */
	awaitedPeers: Set<string>;
}>;

/** State of the synchronisation with the store. */
export type SyncState =
	| Readonly<{step: 'idle'}>
	/** The holds of all routers are read first, then the budgets. */
	| Readonly<{step: 'reading'; table: 'holds' | 'budgets'}>
	/** Reads whether a change whose reply was lost was committed, and in which era the store is now. */
	| Readonly<{step: 'checking'; change: PendingChange; failures: number}>
	| Readonly<{step: 'writing'; change: PendingChange; failures: number}>
	/** The store did not answer or refused; the call is retried at `retryAtMs`. */
	| Readonly<{step: 'waiting'; retryAtMs: number; change: PendingChange | undefined; failures: number}>
	/** Another process has taken over the row, so nothing may be spent any more. */
	| Readonly<{step: 'fenced'}>;

/**
The tokens that this router may spend locally of each organisation's budget.

Invariants: for each organisation, `charged + reserved` is at most `held`, and at
most what the spend bound allows of every version of the row that may be in the
store. Tokens granted to peers are part of `charged`, and those received from them
of neither. The budget's row counts at least what all routers' rows hold plus what was
settled.
*/
export type LocalQuota = Readonly<{
	router: string;
	/** True once this process has taken over the row of an earlier process. */
	hasTakenOver: boolean;
	/** Version of this router's row. */
	version: number;
	/** Number of changes so far, from which the next change's id is built. */
	changes: number;
	/** Identifies this process among those that have used the same row. */
	incarnation: string;
	/** When this process started. Any earlier process with this row had ended by then. */
	startedAtMs: number;
	holds: Map<string, BudgetHold>;
	budgets: Map<string, BudgetRow>;
	/** The other routers, by the keys of their rows. */
	peers: Map<string, PeerRouter>;
	/** Address at which peers reach this router; empty if there is none. */
	peerAddress: string;
	/** Data centre of this router; empty if it is not known. */
	dataCentre: string;
	sync: SyncState;
	/** When spending was last settled. */
	settledAtMs: number;
	/** When all rows were last read. */
	readAtMs: number;
	/** When the last tick was handled, in ms. */
	tickedAtMs: number;
	/** A reading of the store's monotonic clock, and when it was received. */
	storeClock: Readonly<{timeMs: number; receivedAtMs: number}>;
	/** True once the process is shutting down: all free tokens are returned. */
	isLeaving: boolean;
	/** Latest era that the store has named. */
	era: number | undefined;
	/** Incarnations of the processes that had this router's row before, the latest first. */
	predecessors: readonly string[];
	/** The latest transfers, as long as the store may come back from a copy without them. */
	transfers: readonly Transfer[];
	/** Undefined unless the store has come back from an older copy, during this process or shortly before it. */
	restoration: Restoration | undefined;
}>;

/** Weight of the latest request in the moving average of reservations, which covers about the last 20 requests. */
const typicalReservationWeight = 0.05;

/** A hold without tokens. */
export const emptyBudgetHold: BudgetHold = {
	held: 0, bound: {
		window: 0, rate: 0, delay: 0, laterRate: 0, laterDelay: 0, plannedAt: 0,
	}, charged: 0, reserved: 0, received: 0, receivedReserved: 0, promised: 0,
	waitingTokens: 0, smallestWaitingTokens: 0, usedSinceTick: 0, demand: 0, typicalReservation: 0, drawnAtMs: Number.NEGATIVE_INFINITY,
};

/**
Creates the local quota of a process that has just started.

@param router - Key of the router's row: the same for every process on this host.
@param incarnation - Identifies this process.
@param startedAtMs - When the process started, in ms of the clock that gives `now` elsewhere.
@param peerAddress - Address at which peers reach this router; empty if there is none.
@param dataCentre - Data centre of this router; empty if it is not known.
@returns The quota, which must take over its row before it has any tokens.
*/
export const createLocalQuota = (router: string, incarnation: string, startedAtMs: number, peerAddress = '', dataCentre = ''): LocalQuota => ({
	router,
	startedAtMs,
	hasTakenOver: false,
	version: 0,
	changes: 0,
	incarnation,
	peerAddress,
	dataCentre,
	holds: Map(),
	budgets: Map(),
	peers: Map(),
	sync: {step: 'idle'},
	settledAtMs: 0,
	readAtMs: Number.NEGATIVE_INFINITY,
	tickedAtMs: 0,
	storeClock: {timeMs: 0, receivedAtMs: 0},
	isLeaving: false,
	era: undefined,
	predecessors: [],
	transfers: [],
	restoration: undefined,
});

/**
Gets the tokens held of an organisation's budget.

@param quota - The local quota.
@param organisation - The organisation that owns the budget.
@returns The hold; an empty one if nothing is held.
*/
export const getBudgetHold = (quota: LocalQuota, organisation: string): BudgetHold => quota.holds.get(organisation) ?? emptyBudgetHold;

/**
Updates fields of an organisation's hold.

@param quota - The local quota.
@param organisation - The organisation that owns the budget.
@param fields - The new values.
@returns The updated quota.
*/
export const updateBudgetHold = (quota: LocalQuota, organisation: string, fields: Partial<BudgetHold>): LocalQuota =>
	({...quota, holds: quota.holds.set(organisation, {...getBudgetHold(quota, organisation), ...fields})});

/**
Counts the tokens of a hold that are neither charged nor reserved, without those received from peers.

@param hold - The hold.
@returns Tokens.
*/
export const countFreeTokens = (hold: BudgetHold): number => hold.held - hold.charged - hold.reserved;

/**
Counts the tokens that are neither charged nor reserved, with those received from peers.

@param hold - The hold.
@returns Tokens.
*/
export const countAvailableTokens = (hold: BudgetHold): number => countFreeTokens(hold) + hold.received;

/**
Computes the maximum that may have been spent of a hold.

@param bound - The bound stored in the row.
@param elapsed - Milliseconds since the row was planned.
@returns Tokens.
*/
export const computeReleased = ({window, rate, delay, laterRate, laterDelay}: Omit<SpendBound, 'plannedAt'>, elapsed: number): number =>
	window + (((rate * Math.max(0, elapsed - delay)) + (laterRate * Math.max(0, elapsed - laterDelay))) / 1000);

const computeReleasedNow = (bound: SpendBound, now: number): number => computeReleased(bound, now - bound.plannedAt);

/** Gets the change that may be committed already, or may still be. */
const getUnconfirmedChange = (sync: SyncState): PendingChange | undefined =>
	sync.step === 'writing' || sync.step === 'checking' || sync.step === 'waiting' ? sync.change : undefined;

/** Counts the tokens of this router's row that may be spent now: free ones, as far as the bounds of the confirmed row and of an unconfirmed change allow. */
const countSpendableRowTokens = (quota: LocalQuota, organisation: string, now: number): number => {
	const hold = getBudgetHold(quota, organisation);
	const committed = hold.charged + hold.reserved;
	const confirmedLimit = computeReleasedNow(hold.bound, now) - committed;
	const change = getUnconfirmedChange(quota.sync);
	const bound = change?.bounds.get(organisation);
	const unconfirmedLimit = change === undefined
		? confirmedLimit
		: (bound === undefined ? 0 : computeReleasedNow(bound, now)) - committed + (change.settled.get(organisation) ?? 0);
	// Tokens that a change returns must not be spent while it may have been committed.
	const returningTokens = Math.max(0, -(change?.drawn.get(organisation) ?? 0));
	return Math.max(0, Math.min(countFreeTokens(hold) - returningTokens, confirmedLimit, unconfirmedLimit));
};

/**
Counts the tokens that may be reserved now: those received from peers, and of this router's row what its spend bound allows.

@param quota - The local quota.
@param organisation - The organisation that owns the budget.
@param now - The time in ms.
@returns Tokens.
*/
export const countSpendableTokens = (quota: LocalQuota, organisation: string, now: number): number =>
	countSpendableRowTokens(quota, organisation, now) + getBudgetHold(quota, organisation).received;

/**
Reserves tokens for a request. Those received from peers are used first, since they are lost if the process ends.

@param quota - The local quota.
@param organisation - The organisation that pays.
@param tokens - The maximum cost of the request.
@param now - The time in ms.
@returns The updated quota; undefined if too few tokens may be spent now.
*/
export const reserveTokens = (quota: LocalQuota, organisation: string, tokens: number, now: number): LocalQuota | undefined => {
	if (quota.sync.step === 'fenced' || countSpendableTokens(quota, organisation, now) < tokens) {
		return undefined;
	}

	const hold = getBudgetHold(quota, organisation);
	const received = Math.min(hold.received, tokens);
	return updateBudgetHold(quota, organisation, {
		received: hold.received - received,
		receivedReserved: hold.receivedReserved + received,
		reserved: hold.reserved + tokens - received,
		typicalReservation: hold.typicalReservation === 0 ? tokens : hold.typicalReservation + ((tokens - hold.typicalReservation) * typicalReservationWeight),
	});
};

/**
Ends a reservation and charges the cost of its request.

Which request reserved the received tokens does not matter: the reservations of all in-flight requests together are always
`reserved + receivedReserved`, so the first one to end may be charged to the received tokens.

@param quota - The local quota.
@param organisation - The organisation that pays.
@param reserved - The reserved tokens.
@param charged - The cost of the request in tokens; charged up to `reserved`.
@returns The updated quota.
*/
export const chargeTokens = (quota: LocalQuota, organisation: string, reserved: number, charged: number): LocalQuota => {
	const hold = getBudgetHold(quota, organisation);
	const chargedTokens = Math.min(charged, reserved);
	const received = Math.min(hold.receivedReserved, reserved);
	const chargedToReceived = Math.min(chargedTokens, received);
	return updateBudgetHold(quota, organisation, {
		received: hold.received + received - chargedToReceived,
		receivedReserved: hold.receivedReserved - received,
		reserved: hold.reserved - (reserved - received),
		charged: hold.charged + chargedTokens - chargedToReceived,
		usedSinceTick: hold.usedSinceTick + chargedTokens,
	});
};

/** Seconds of its own demand that a router keeps when it grants tokens to a peer. */
const keptDemandSeconds = 0.5;

/**
Estimates the tokens that a router can do without.

@param available - Tokens that it has.
@param demand - Its demand in tokens per second.
@returns Tokens, at least 0.
*/
export const estimateSpareTokens = (available: number, demand: number): number => Math.max(0, Math.floor(available - (demand * keptDemandSeconds)));

/**
Counts the tokens that this router can do without, whether or not its spend bound allows to grant them now.

@param quota - The local quota.
@param organisation - The organisation that owns the budget.
@returns Tokens.
*/
export const countSpareTokens = (quota: LocalQuota, organisation: string): number => {
	const hold = getBudgetHold(quota, organisation);
	return quota.hasTakenOver && quota.sync.step !== 'fenced' ? estimateSpareTokens(countAvailableTokens(hold) - hold.waitingTokens, hold.demand) : 0;
};

/**
Counts the tokens that may be granted to a peer now.

@param quota - The local quota.
@param organisation - The organisation that owns the budget.
@param now - The time in ms.
@returns Tokens.
*/
export const countGrantableTokens = (quota: LocalQuota, organisation: string, now: number): number =>
	Math.floor(Math.min(countSpareTokens(quota, organisation), countSpendableTokens(quota, organisation, now)));

/**
Takes tokens for a peer. They count as spent before anything is sent: as charged, they stay within the spend bound of each version
of the row that may be in the store, so that no successor takes them back.

@param quota - The local quota.
@param organisation - The organisation that owns the budget.
@param tokens - The tokens.
@param now - The time in ms.
@returns The updated quota; undefined if they may not be granted now.
*/
export const grantTokens = (quota: LocalQuota, organisation: string, tokens: number, now: number): LocalQuota | undefined => {
	if (countGrantableTokens(quota, organisation, now) < tokens) {
		return undefined;
	}

	const hold = getBudgetHold(quota, organisation);
	const received = Math.min(hold.received, tokens);
	return updateBudgetHold(quota, organisation, {received: hold.received - received, charged: hold.charged + tokens - received});
};

/**
Adds tokens that a peer has granted. They never enter this router's row.

@param quota - The local quota.
@param organisation - The organisation that owns the budget.
@param tokens - The tokens.
@returns The updated quota.
*/
export const receiveTokens = (quota: LocalQuota, organisation: string, tokens: number): LocalQuota =>
	updateBudgetHold(quota, organisation, {received: getBudgetHold(quota, organisation).received + tokens});

/**
Records how many tokens are to be granted once the spend bound allows it; the next change of the row widens the bound.

@param quota - The local quota.
@param organisation - The organisation that owns the budget.
@param tokens - Tokens that peers have asked for.
@returns The updated quota.
*/
export const setPromisedTokens = (quota: LocalQuota, organisation: string, tokens: number): LocalQuota =>
	getBudgetHold(quota, organisation).promised === tokens ? quota : updateBudgetHold(quota, organisation, {promised: tokens});

/**
Records how many tokens waiting requests need.

@param quota - The local quota.
@param organisation - The organisation that pays.
@param tokens - Tokens that all waiting requests need together.
@param smallest - Tokens that the smallest of them needs.
@returns The updated quota.
*/
export const setWaitingTokens = (quota: LocalQuota, organisation: string, tokens: number, smallest: number): LocalQuota => {
	const hold = getBudgetHold(quota, organisation);
	// Waiting requests count as demand; otherwise a router that holds no tokens would never get its share.
	return updateBudgetHold(quota, organisation, {waitingTokens: tokens, smallestWaitingTokens: smallest, usedSinceTick: hold.usedSinceTick + Math.max(0, tokens - hold.waitingTokens)});
};

/**
Records that a request was rejected because other routers hold the tokens that it needs. It
counts as demand, as one that waits does, so that they return some.

@param quota - The local quota.
@param organisation - The organisation that pays.
@param tokens - Tokens that the request needs.
@returns The updated quota.
*/
export const recordUnmetDemand = (quota: LocalQuota, organisation: string, tokens: number): LocalQuota =>
	updateBudgetHold(quota, organisation, {usedSinceTick: getBudgetHold(quota, organisation).usedSinceTick + tokens});

/**
Lists the routers that share budgets and are live by their rows, including this one.

@param quota - The local quota.
@returns The keys of their rows.
*/
export const listLiveRouters = (quota: LocalQuota): readonly string[] => [quota.router, ...getPeerTotals(quota.peers).liveRouters];

/**
Counts the routers that share budgets and are live by their rows, including this one.

@param quota - The local quota.
@returns Their number, at least 1.
*/
export const countLiveRouters = (quota: LocalQuota): number => 1 + getPeerTotals(quota.peers).liveRouters.length;

/**
Routers up to which rows are written, and tokens drawn ahead of need, whenever that helps. The store has no room for
that in a larger fleet, and each router there has too few requests of an organisation to know its demand.
*/
const maxEagerRouters = 6;

/**
Tells whether many routers share the budgets: shares then follow the demand of data centres, and peers are asked for tokens directly.

@param quota - The local quota.
@returns False for up to 6 live routers.
*/
export const isLargeFleet = (quota: LocalQuota): boolean => countLiveRouters(quota) > maxEagerRouters;

/** Time between readings of the rows, in ms. */
export const readIntervalMs = 1000;

/** Changes with transfers ahead of need, of all routers together, per second: few enough that they seldom meet at one row. */
const maxTransfersPerSecond = 40;

/**
Computes how often this router draws or returns tokens ahead of need.

@param quota - The local quota.
@returns The interval in ms.
*/
export const computeTransferIntervalMs = (quota: LocalQuota): number => countLiveRouters(quota) * 1000 / maxTransfersPerSecond;

/**
Estimates when tokens that other routers hold reach this one by the store: they read of its demand, and return what exceeds their shares.

@param quota - The local quota.
@returns Time from now, in ms.
*/
export const estimateReturnMs = (quota: LocalQuota): number => readIntervalMs + computeTransferIntervalMs(quota);

/** Why tokens are short: the budget is exhausted, other routers hold tokens that may be returned, or the store is unavailable. */
export type Shortage = 'exhausted' | 'held-elsewhere' | 'unavailable';

/**
Explains why tokens cannot be reserved for a request.

@param quota - The local quota.
@param organisation - The organisation that pays.
@param tokens - Tokens that the request needs.
@param limit - The organisation's budget, in tokens.
@returns The reason; undefined while a store call may still bring enough tokens.
*/
export const explainShortage = (quota: LocalQuota, organisation: string, tokens: number, limit: number): Shortage | undefined => {
	if (!quota.hasTakenOver || quota.sync.step === 'waiting' || quota.sync.step === 'fenced') {
		return 'unavailable';
	}

	const row = quota.budgets.get(organisation);
	const hold = getBudgetHold(quota, organisation);
	if (quota.restoration !== undefined && countAvailableTokens(hold) < tokens) {
		return 'unavailable';
	}

	if (limit - (row?.taken ?? 0) + countAvailableTokens(hold) >= tokens) {
		return undefined;
	}

	const {held: peerHeldTokens} = getBudgetTotals(quota.peers, organisation);
	// Reservations of in-flight requests on this router may release unused tokens.
	const ownTokens = countAvailableTokens(hold) + hold.reserved + hold.receivedReserved;
	// What a peer has drawn since its row was read is in none of the sums, but was in the budget when that was read before.
	return limit - Math.min(row?.taken ?? 0, row?.previousTaken ?? 0) + ownTokens + peerHeldTokens >= tokens ? 'held-elsewhere' : 'exhausted';
};
