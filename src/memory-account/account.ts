import {Map} from 'immutable';
import type {AccountLimits} from './limits.js';

/** What something is held for. */
export type HoldingKind =
	/** A head or body that is not complete. */
	| 'reading'
	/** A response that its client does not read. */
	| 'unread'
	/** A connection without a request. */
	| 'idle'
	/** A complete request, or its connection. It is never given up. */
	| 'running';

/** Memory that is held for a client. */
export type Holding = Readonly<{
	kind: HoldingKind;
	bytes: number;
	/** When it became what it is, in ms. */
	since: number;
	/** True for a connection, which takes up a descriptor. */
	isConnection: boolean;
}>;

/** What a process holds for others, by a number that the process gives it. */
export type MemoryAccount = Readonly<{
	limits: AccountLimits;
	holdings: Map<number, Holding>;
	/** Sum of the bytes of all holdings. */
	bytes: number;
	/** Sum of the bytes of the large ones. */
	largeBytes: number;
	connections: number;
}>;

/** Decision on a request that is about to be read. */
export type Admission = Readonly<{isAdmitted: boolean; givenUp: readonly number[]}>;

/** Size above which a request is large, in bytes. The prompts of the design load are smaller. */
export const largeBytes = 65_536;

/** Age from which an incomplete request is given up for a large one, in ms. One of the largest size arrives within that time at 8 MB/s. */
const minAgeMs = 500;

/** In which order holdings are given up. */
const ranks: Readonly<Record<HoldingKind, number>> = {
	reading: 0, unread: 1, idle: 2, running: 3,
};

type Need = Readonly<{bytes: number; largeBytes: number; connections: number}>;

/**
Creates an account.

@param limits - Limits of what may be held.
@returns The account, of which nothing is used.
*/
export const createAccount = (limits: AccountLimits): MemoryAccount => ({
	limits, holdings: Map(), bytes: 0, largeBytes: 0, connections: 0,
});

const measureNeed = ({bytes, isConnection}: Pick<Holding, 'bytes' | 'isConnection'>): Need => ({bytes, largeBytes: bytes > largeBytes ? bytes : 0, connections: isConnection ? 1 : 0});

const addNeed = (a: Need, b: Need, sign: 1 | -1): Need => ({
	bytes: a.bytes + (sign * b.bytes), largeBytes: a.largeBytes + (sign * b.largeBytes), connections: a.connections + (sign * b.connections),
});

/**
Removes a holding.

@param account - The account.
@param id - Number of the holding; may be unknown.
@returns The account without it.
*/
export const removeHolding = (account: MemoryAccount, id: number): MemoryAccount => {
	const holding = account.holdings.get(id);
	return holding === undefined ? account : {...account, ...addNeed(account, measureNeed(holding), -1), holdings: account.holdings.delete(id)};
};

/**
Adds a holding, or changes it.

@param account - The account.
@param id - Number of the holding.
@param holding - The holding.
@returns The account with it, which may exceed its limits; see `listExcess`.
*/
export const setHolding = (account: MemoryAccount, id: number, holding: Holding): MemoryAccount => {
	const rest = removeHolding(account, id);
	return {...rest, ...addNeed(rest, measureNeed(holding), 1), holdings: rest.holdings.set(id, holding)};
};

const fits = (need: Need, limits: AccountLimits): boolean => need.bytes <= limits.bytes && need.largeBytes <= limits.largeBytes && need.connections <= limits.connections;

/** Tells whether giving up a holding brings a need closer to the limits. */
const helps = ({bytes, isConnection}: Holding, need: Need, limits: AccountLimits): boolean =>
	(isConnection && need.connections > limits.connections)
	|| need.bytes > limits.bytes
	|| (bytes > largeBytes && need.largeBytes > limits.largeBytes);

const getSizeClass = (bytes: number): number => Math.floor(Math.log2(Math.max(1, bytes)));

/** The largest come first, and of those of about the same size the oldest. */
const compareHoldings = (a: Holding, b: Holding): number =>
	(ranks[a.kind] - ranks[b.kind]) || (getSizeClass(b.bytes) - getSizeClass(a.bytes)) || (a.since - b.since);

type Choice = Readonly<{need: Need; givenUp: readonly number[]}>;

const chooseGivenUp = (account: MemoryAccount, need: Need, mayGiveUp: (holding: Holding) => boolean): Choice => account.holdings
	.toArray()
	.filter(([, holding]) => holding.kind !== 'running' && mayGiveUp(holding))
	.toSorted(([, a], [, b]) => compareHoldings(a, b))
	.reduce<Choice>((choice, [id, holding]) => helps(holding, choice.need, account.limits)
		? {need: addNeed(choice.need, measureNeed(holding), -1), givenUp: [...choice.givenUp, id]}
		: choice, {need, givenUp: []});

/**
Lists what must be given up so that the rest is within the limits.

Load pattern: many clients send all but the end of large requests, or do not read their responses.

@param account - The account.
@returns Numbers of the holdings; empty if none may be given up although the account is full.
*/
export const listExcess = (account: MemoryAccount): readonly number[] => fits(account, account.limits) ? [] : chooseGivenUp(account, account, () => true).givenUp;

/**
Tells whether an account is within its limits.

@param account - The account.
@returns False if it is full.
*/
export const canKeepAll = (account: MemoryAccount): boolean => fits(account, account.limits);

/**
Decides whether a request is read, by the size that it announces. A large one replaces incomplete ones that have had time
to arrive, a small one any that is not smaller: ordinary requests are small, and arrive whole.

@param account - The account.
@param bytes - Memory that the request will take up.
@param now - The current time in ms.
@returns What to give up for it; if it is not admitted, nothing.
*/
export const admitRequest = (account: MemoryAccount, bytes: number, now: number): Admission => {
	const need = addNeed(account, measureNeed({bytes, isConnection: false}), 1);
	if (fits(need, account.limits)) {
		return {isAdmitted: true, givenUp: []};
	}

	const isSmall = bytes <= largeBytes;
	const choice = chooseGivenUp(account, need, holding => holding.kind !== 'idle' && (now - holding.since >= minAgeMs || (isSmall && holding.bytes >= bytes)));
	return fits(choice.need, account.limits) ? {isAdmitted: true, givenUp: choice.givenUp} : {isAdmitted: false, givenUp: []};
};
