import {Map} from 'immutable';
import {
	countGrantableTokens, countSpareTokens, countSpendableTokens, estimateSpareTokens, getBudgetHold, grantTokens, isLargeFleet,
	receiveTokens, setPromisedTokens,
} from '../quota/index.js';
import type {LocalQuota} from '../quota/index.js';
import type {TransferMessage} from './messages.js';

/** A request for tokens that was sent to a peer. */
type Ask = Readonly<{giver: string; organisation: string; tokens: number; askedAtMs: number; isAwaited: boolean}>;

/** A grant that was sent. It is kept after its acknowledgement, so that a request that arrives twice is not granted twice. */
type Grant = Readonly<{address: string; organisation: string; tokens: number; grantedAtMs: number; sends: number; isAcknowledged: boolean}>;

/** A peer's request that waits until the row allows the grant. */
type PendingRequest = Readonly<{address: string; organisation: string; tokens: number; receivedAtMs: number}>;

/** Transfers of tokens between this router and its peers. */
export type TokenTransfers = Readonly<{
	/** Identifies this process in the ids of its requests. */
	incarnation: string;
	/** Number of requests sent, from which the next id is built. */
	count: number;
	/** Requests sent whose grants would still be accepted, by id. */
	asks: Map<string, Ask>;
	/** Grants sent, by id. */
	grants: Map<string, Grant>;
	/** By id. */
	pending: Map<string, PendingRequest>;
	/** When a peer may be asked again that could spare less than was asked for, by organisation and peer. */
	refusals: Map<string, Map<string, number>>;
	/** Since when waiting requests lack tokens, by organisation. */
	lackingSince: Map<string, number>;
}>;

/** A quota and its transfers, which change together. */
export type QuotaTransfers = Readonly<{quota: LocalQuota; transfers: TokenTransfers}>;

/** What a transfer asks for. */
export type TransferEffect =
	| Readonly<{kind: 'tell'; address: string; message: TransferMessage}>
	/** Tokens were granted to a peer. */
	| Readonly<{kind: 'granted'; organisation: string; tokens: number; id: string}>
	/** Tokens of a peer arrived: waiting requests must be checked again. */
	| Readonly<{kind: 'received'; organisation: string; tokens: number; id: string; giver: string}>
	/** The row must be written before a grant. */
	| Readonly<{kind: 'widen'}>
	/** A peer cannot help: waiting requests must be checked again. */
	| Readonly<{kind: 'refused'; organisation: string}>
	/** A grant was never acknowledged; its tokens count as spent. */
	| Readonly<{kind: 'given-up'; id: string; tokens: number}>;

/** New quota and transfers, and effects. */
export type TransferStep = Readonly<{state: QuotaTransfers; effects: readonly TransferEffect[]}>;

/** Time for which requests wait for a peer before others are asked, in ms: a round trip between data centres, and a write of the peer's row. */
const askTimeoutMs = 120;

/** Time for which a grant is still accepted after its request, in ms: longer than grants are repeated. */
const maxGrantAgeMs = 4000;

/** Times at which an unacknowledged grant is sent again, in ms after the first time. */
const repeatDelaysMs = [60, 180, 400, 800, 1600];

/** Time after which a grant is given up, in ms. */
const giveUpMs = 2400;

/** Time for which a peer's request may wait for a write of the row, in ms: the peer's own requests wait for 300 ms at most. */
const maxPendingMs = 200;

/** Time for which a peer that could not spare what it was asked for is not asked again, in ms: its row is read once a second. */
const refusalMs = 700;

/** Most peers that are asked at once for one organisation's tokens. */
const maxGivers = 3;

/** Smallest grant that is worth its messages, in tokens, if less than what was asked for. */
const minGrantTokens = 200;

/** Seconds of its demand that a router asks for ahead of need. What is left of it cannot be returned. */
const aheadSeconds = 0.25;

/**
Creates the state of a process that has just started.

@param incarnation - Identifies the process among all that have used its row.
@returns No transfers.
*/
export const createTokenTransfers = (incarnation: string): TokenTransfers => ({
	incarnation, count: 0, asks: Map(), grants: Map(), pending: Map(), refusals: Map(), lackingSince: Map(),
});

const keep = (state: QuotaTransfers): TransferStep => ({state, effects: []});

const chainTransfers = <Item>(state: QuotaTransfers, items: Iterable<Item>, apply: (state: QuotaTransfers, item: Item) => TransferStep): TransferStep =>
	[...items].reduce<TransferStep>((step, item) => {
		const next = apply(step.state, item);
		return {state: next.state, effects: [...step.effects, ...next.effects]};
	}, keep(state));

const isAwaitingFrom = ({asks}: TokenTransfers, organisation: string, giver?: string): boolean =>
	asks.some(ask => ask.isAwaited && ask.organisation === organisation && (giver === undefined || ask.giver === giver));

type Giver = Readonly<{router: string; address: string; spare: number; isLocal: boolean}>;

/** Lists the peers that may have spare tokens, those of this data centre first, then those with the most. */
const listGivers = ({quota, transfers}: QuotaTransfers, organisation: string, now: number): readonly Giver[] => {
	const refusals = transfers.refusals.get(organisation);
	return quota.peers.entrySeq().toArray().flatMap(([router, {peerAddress, isLive, dataCentre, holds}]): readonly Giver[] => {
		const hold = holds.get(organisation);
		const spare = hold === undefined ? 0 : estimateSpareTokens(hold.held, hold.demand);
		return isLive && peerAddress !== '' && spare >= minGrantTokens && (refusals?.get(router) ?? 0) <= now && !isAwaitingFrom(transfers, organisation, router)
			? [{
				router, address: peerAddress, spare, isLocal: dataCentre === quota.dataCentre,
			}]
			: [];
	}).toSorted((a, b) => a.isLocal === b.isLocal ? b.spare - a.spare : Number(b.isLocal) - Number(a.isLocal));
};

const canAsk = ({quota}: QuotaTransfers): boolean =>
	quota.hasTakenOver && !quota.isLeaving && quota.sync.step !== 'fenced' && quota.peerAddress !== '' && isLargeFleet(quota);

/**
Tells whether peers may send tokens that a request can wait for.

@param state - The quota and its transfers.
@param organisation - The organisation that pays.
@param now - The time in ms.
@returns True if a peer has been asked and may still answer, or if there is one to ask.
*/
export const canExpectTokens = (state: QuotaTransfers, organisation: string, now: number): boolean =>
	canAsk(state) && (isAwaitingFrom(state.transfers, organisation) || listGivers(state, organisation, now).length > 0);

/** Lets askers choose different givers: of those in the same place of the order, each starts elsewhere. */
const rotateGivers = (givers: readonly Giver[], random: number): readonly Giver[] => {
	const count = Math.min(givers.length, maxGivers * 2);
	const offset = Math.floor(random * count);
	return [...givers.slice(offset, count), ...givers.slice(0, offset)].toSorted((a, b) => Number(b.isLocal) - Number(a.isLocal)).slice(0, maxGivers);
};

const askGiver = (state: QuotaTransfers, organisation: string, {router, address}: Giver, tokens: number, now: number): TransferStep => {
	const {quota, transfers} = state;
	const id = `${transfers.incarnation}.${transfers.count + 1}`;
	const ask: Ask = {
		giver: router, organisation, tokens, askedAtMs: now, isAwaited: true,
	};
	return {
		state: {quota, transfers: {...transfers, count: transfers.count + 1, asks: transfers.asks.set(id, ask)}},
		effects: [{
			kind: 'tell', address, message: {
				kind: 'token-request', id, address: quota.peerAddress, organisation, tokens,
			},
		}],
	};
};

/**
Asks peers for the tokens that waiting requests lack.

Load pattern: the store is away for seconds, or slow, and the clients of an organisation come to other routers than before, or
send several times as much. Tokens that other routers hold reach them within a round trip.

@param state - The quota and its transfers.
@param organisation - The organisation that pays.
@param random - A random number in [0, 1).
@param now - The time in ms.
@returns The new state; messages to some peers if tokens are short and have not been asked for.
*/
export const askForTokens = (state: QuotaTransfers, organisation: string, random: number, now: number): TransferStep => {
	const hold = getBudgetHold(state.quota, organisation);
	const lacking = hold.waitingTokens - countSpendableTokens(state.quota, organisation, now);
	if (lacking <= 0 || !canAsk(state)) {
		return keep(state);
	}

	const asked = state.transfers.asks.valueSeq().filter(ask => ask.isAwaited && ask.organisation === organisation).reduce((sum, {tokens}) => sum + tokens, 0);
	if (asked >= lacking) {
		return keep(state);
	}

	const wanted = Math.ceil(lacking + (hold.demand * aheadSeconds) - asked);
	const givers = rotateGivers(listGivers(state, organisation, now), random);
	const shares = givers.reduce<ReadonlyArray<Readonly<{giver: Giver; tokens: number}>>>((chosen, giver) => {
		const rest = wanted - chosen.reduce((sum, {tokens}) => sum + tokens, 0);
		return rest <= 0 ? chosen : [...chosen, {giver, tokens: Math.min(rest, giver.spare)}];
	}, []);
	return chainTransfers(state, shares, (current, {giver, tokens}) => askGiver(current, organisation, giver, tokens, now));
};

const setPromises = (state: QuotaTransfers, organisation: string): QuotaTransfers => ({
	...state,
	quota: setPromisedTokens(state.quota, organisation, state.transfers.pending.valueSeq()
		.filter(request => request.organisation === organisation).reduce((sum, {tokens}) => sum + tokens, 0)),
});

const tellGrant = ({peerAddress}: LocalQuota, id: string, {address, organisation, tokens}: Grant): TransferEffect => ({
	kind: 'tell', address, message: {
		kind: 'token-grant', id, address: peerAddress, organisation, tokens,
	},
});

/** Grants tokens, or tells the peer that there are none. The tokens are charged before the message is sent. */
const answerRequest = (state: QuotaTransfers, id: string, {address, organisation, tokens: asked}: PendingRequest, now: number): TransferStep => {
	const grantable = Math.min(asked, countGrantableTokens(state.quota, organisation, now));
	const tokens = grantable >= Math.min(asked, minGrantTokens) ? grantable : 0;
	const quota = tokens === 0 ? undefined : grantTokens(state.quota, organisation, tokens, now);
	const granted = quota === undefined ? 0 : tokens;
	const grant: Grant = {
		address, organisation, tokens: granted, grantedAtMs: now, sends: 1, isAcknowledged: granted === 0,
	};
	const {transfers} = state;
	const answered = {quota: quota ?? state.quota, transfers: {...transfers, pending: transfers.pending.delete(id), grants: transfers.grants.set(id, grant)}};
	return {
		state: setPromises(answered, organisation),
		effects: [
			tellGrant(state.quota, id, grant),
			...(granted === 0
				? []
				: [{
					kind: 'granted', organisation, tokens: granted, id,
				} as const]),
		],
	};
};

/** Decides whether a write of the row may allow a larger grant soon. */
const canWiden = ({quota}: QuotaTransfers, {organisation, tokens, receivedAtMs}: PendingRequest, now: number): boolean =>
	quota.sync.step !== 'waiting' && quota.sync.step !== 'fenced' && !quota.isLeaving && now - receivedAtMs < maxPendingMs
	&& countGrantableTokens(quota, organisation, now) < Math.min(tokens, countSpareTokens(quota, organisation));

const receiveRequest = (state: QuotaTransfers, {id, address, organisation, tokens}: TransferMessage & {kind: 'token-request'}, now: number): TransferStep => {
	const {transfers} = state;
	const known = transfers.grants.get(id);
	if (known !== undefined) {
		return {state, effects: [tellGrant(state.quota, id, known)]};
	}

	if (transfers.pending.has(id)) {
		return keep(state);
	}

	const request: PendingRequest = {
		address, organisation, tokens, receivedAtMs: now,
	};
	return canWiden(state, request, now)
		? {state: setPromises({...state, transfers: {...transfers, pending: transfers.pending.set(id, request)}}, organisation), effects: [{kind: 'widen'}]}
		: answerRequest(state, id, request, now);
};

const addRefusal = (transfers: TokenTransfers, {organisation, giver}: Ask, until: number): TokenTransfers =>
	({...transfers, refusals: transfers.refusals.update(organisation, Map(), ofOrganisation => ofOrganisation.set(giver, until))});

/**
Accepts a grant at most once: only while its request, which names this incarnation, is open. One that arrives again is only
acknowledged again.
*/
const receiveGrant = (state: QuotaTransfers, message: TransferMessage & {kind: 'token-grant'}, now: number): TransferStep => {
	const {id, address, tokens} = message;
	const {quota, transfers} = state;
	const acknowledgement: TransferEffect = {kind: 'tell', address, message: {kind: 'token-ack', id}};
	const ask = transfers.asks.get(id);
	if (ask?.organisation !== message.organisation) {
		return {state, effects: tokens > 0 && id.startsWith(`${transfers.incarnation}.`) ? [acknowledgement] : []};
	}

	const closed = {...transfers, asks: transfers.asks.delete(id)};
	const updated = tokens < ask.tokens ? addRefusal(closed, ask, now + refusalMs) : closed;
	if (tokens === 0) {
		return {state: {quota, transfers: updated}, effects: [{kind: 'refused', organisation: ask.organisation}]};
	}

	const accepted = Math.min(tokens, ask.tokens);
	return {
		state: {quota: receiveTokens(quota, ask.organisation, accepted), transfers: updated},
		effects: [
			acknowledgement,
			{
				kind: 'received', organisation: ask.organisation, tokens: accepted, id, giver: ask.giver,
			},
		],
	};
};

const receiveAcknowledgement = (state: QuotaTransfers, {id}: TransferMessage & {kind: 'token-ack'}): TransferStep => {
	const {quota, transfers} = state;
	const grant = transfers.grants.get(id);
	return keep(grant === undefined ? state : {quota, transfers: {...transfers, grants: transfers.grants.set(id, {...grant, isAcknowledged: true})}});
};

const receivers: Readonly<{[Kind in TransferMessage['kind']]: (state: QuotaTransfers, message: TransferMessage & {kind: Kind}, now: number) => TransferStep}> = {
	'token-request': receiveRequest,
	'token-grant': receiveGrant,
	'token-ack': receiveAcknowledgement,
};

/**
Handles a message of a peer.

@param state - The quota and its transfers.
@param message - The message; it may be a duplicate, late, or meant for an earlier process.
@param now - The time in ms.
@returns The new state and the effects.
*/
export const receiveTransfer = (state: QuotaTransfers, message: TransferMessage, now: number): TransferStep => {
	const receive = receivers[message.kind] as (state: QuotaTransfers, message: TransferMessage, now: number) => TransferStep;
	return receive(state, message, now);
};

/** Answers the requests that the row now allows to be granted, and those that have waited too long. */
const answerPending = (state: QuotaTransfers, now: number): TransferStep =>
	chainTransfers(state, state.transfers.pending, (current, [id, request]) => canWiden(current, request, now) ? keep(current) : answerRequest(current, id, request, now));

const repeatGrants = (state: QuotaTransfers, now: number): TransferStep => {
	const {quota, transfers} = state;
	const isGivenUp = ({grantedAtMs, isAcknowledged}: Grant) => !isAcknowledged && now - grantedAtMs >= giveUpMs;
	const due = transfers.grants.filter(grant => !grant.isAcknowledged && !isGivenUp(grant) && now - grant.grantedAtMs >= (repeatDelaysMs[grant.sends - 1] ?? Number.POSITIVE_INFINITY));
	return {
		state: {
			quota, transfers: {
				...transfers,
				grants: transfers.grants.merge(due.map(grant => ({...grant, sends: grant.sends + 1})))
					.map(grant => isGivenUp(grant) ? {...grant, isAcknowledged: true} : grant)
					.filter(({grantedAtMs}) => now - grantedAtMs < maxGrantAgeMs),
			},
		},
		effects: [
			...due.entrySeq().toArray().map(([id, grant]) => tellGrant(quota, id, grant)),
			...transfers.grants.filter(grant => isGivenUp(grant)).entrySeq().toArray().map(([id, {tokens}]) => ({kind: 'given-up', id, tokens} as const)),
		],
	};
};

/** Stops waiting for peers that have not answered. Their grants are still accepted for a while. */
const expireAsks = ({quota, transfers}: QuotaTransfers, now: number): TransferStep => {
	const late = transfers.asks.filter(ask => ask.isAwaited && now - ask.askedAtMs >= askTimeoutMs);
	const asks = transfers.asks.merge(late.map(ask => ({...ask, isAwaited: false}))).filter(({askedAtMs}) => now - askedAtMs < maxGrantAgeMs);
	const refusals = transfers.refusals.map(ofOrganisation => ofOrganisation.filter(until => until > now)).filter(ofOrganisation => !ofOrganisation.isEmpty());
	return {
		state: {quota, transfers: late.valueSeq().reduce((current, ask) => addRefusal(current, ask, now + refusalMs), {...transfers, asks, refusals})},
		effects: [...new Set(late.valueSeq().map(({organisation}) => organisation))].map(organisation => ({kind: 'refused', organisation})),
	};
};

const isIdle = ({asks, grants, pending, refusals}: TokenTransfers): boolean => asks.isEmpty() && grants.isEmpty() && pending.isEmpty() && refusals.isEmpty();

/**
Continues the transfers: after each tick, and after each change of the row.

@param state - The quota and its transfers.
@param now - The time in ms.
@returns The new state; answers to requests, and repeated grants.
*/
export const continueTransfers = (state: QuotaTransfers, now: number): TransferStep => isIdle(state.transfers)
	? keep(state)
	: chainTransfers(state, [answerPending, repeatGrants, expireAsks], (current, perform) => perform(current, now));

/** Time for which requests wait for the store before peers are asked, in ms: a write that widens the bound usually takes a few ms. */
const storeFirstMs = 100;

const isLacking = (quota: LocalQuota, organisation: string, now: number): boolean => {
	const {waitingTokens} = getBudgetHold(quota, organisation);
	return waitingTokens > 0 && countSpendableTokens(quota, organisation, now) < waitingTokens;
};

/**
Asks peers for the tokens that requests have been waiting for, whatever the reason. Those that the store cannot bring are asked for
at once, by {@link askForTokens}.

@param state - The quota and its transfers.
@param random - A random number in [0, 1).
@param now - The time in ms.
@returns The new state; messages to some peers.
*/
export const askForDelayed = (state: QuotaTransfers, random: number, now: number): TransferStep => {
	const lacking = state.quota.holds.keySeq().toArray().filter(organisation => isLacking(state.quota, organisation, now));
	const lackingSince = Map(lacking.map(organisation => [organisation, state.transfers.lackingSince.get(organisation, now)] as const));
	return lackingSince.isEmpty() && state.transfers.lackingSince.isEmpty()
		? keep(state)
		: chainTransfers(
			{...state, transfers: {...state.transfers, lackingSince}},
			lacking.filter(organisation => now - lackingSince.get(organisation, now) >= storeFirstMs),
			(current, organisation) => askForTokens(current, organisation, random, now),
		);
};
