import {List, Map, Set} from 'immutable';
import type {Attempt, FenceAnswer} from '../attempt/index.js';
import {sumBills, buildBillWrites} from '../bill/index.js';
import type {Bill} from '../bill/index.js';
import type {BudgetBody, GrantBody} from '../budget/index.js';
import {decodeClaim, encodeStoredAnswer, buildClaimWrite} from '../claim/index.js';
import {keepState} from '../loop/index.js';
import type {Step} from '../loop/index.js';
import type {RouterRowBody} from '../registration/index.js';
import {deleteRow, putRow, rowKeys} from '../table/index.js';
import type {
	JsonValue, Row, StoreCall, StoreReply, TableWrite,
} from '../table/index.js';

/**
Reclaims the grants of a router that has stopped sending heartbeats, without
relying on any clock.

The router's row goes from `active` to `fencing`. Every agent listed in the row
then agrees to refuse the router's requests and reports the attempts that it ran
for it. Missing bills and claims are written, unused tokens are returned to the
budgets, and the row becomes `closed`. Every step is a compare-and-set or
idempotent, so concurrent reclaimers, or one that crashes part-way, are safe.
*/
export type Reclaim = Readonly<{
	/** Incarnation of the router whose grants are reclaimed. */
	router: string;
	/** Incarnation of the router that runs the reclaim. */
	reclaimer: string;
	step: 'reading' | 'probing' | 'fencing' | 'collecting' | 'resolving' | 'listing' | 'settling' | 'claiming' | 'closing' | 'done' | 'given-up';
	/** Version of the router's row as last read. */
	version: number;
	body: RouterRowBody | undefined;
	/** Agents that have fenced the router, with the attempts that they ran for it. */
	usages: Map<string, readonly Attempt[]>;
	/** Agents that answered the probe that they no longer hear from the router. */
	confirmedSilent: Map<string, boolean>;
	/** Agent incarnations that an operator has declared permanently gone. */
	resolved: readonly string[];
	/** True once the row is in state `fencing`. */
	isFencing: boolean;
	/** Budgets whose grants to the router are still to be settled. */
	pendingGrants: List<string>;
	/** Attempts of kind `act` whose claim is still to be completed. */
	pendingClaims: List<Attempt>;
	/** Requests with an idempotency key that are known to be billed through another router. */
	billedRequests: Set<string>;
	/** For each part of the last write, by position: the request whose bill it makes unique, or an empty string. */
	guardedRequests: readonly string[];
	/** When the step is retried, in ms. */
	retryAt: number;
}>;

/** Events that advance a reclaim. */
export type ReclaimEvent =
	| Readonly<{kind: 'begin'}>
	| Readonly<{kind: 'store-replied'; reply: StoreReply; random: number}>
	| Readonly<{kind: 'fence-answered'; agent: string; answer: FenceAnswer}>
	| Readonly<{kind: 'tick'}>;

/** Effects that a reclaim requests. */
export type ReclaimEffect =
	| Readonly<{kind: 'store'; router: string; call: StoreCall}>
	| Readonly<{kind: 'ask-fence'; router: string; agent: string; probe: boolean}>
	| Readonly<{kind: 'close-router'; router: string; agents: readonly string[]}>
	| Readonly<{kind: 'reclaimed'; router: string}>
	| Readonly<{kind: 'reclaim-stopped'; router: string}>;

type ReclaimStep = Step<Reclaim, ReclaimEffect>;
/** A safety rule to disable; used only by the model checker. */
type DisabledRule = string | undefined;

const retryIntervalMs = 1000;
const maxGrantsPerQuery = 100;
const maxBillsPerWrite = 60;

/**
Creates the reclaim of a router that has stopped sending heartbeats.

@param router - The incarnation of that router.
@param reclaimer - The incarnation of the router that reclaims its grants.
@returns The reclaim, before its first step.
*/
export const createReclaim = (router: string, reclaimer: string): Reclaim => ({
	router,
	reclaimer,
	step: 'reading',
	version: 0,
	body: undefined,
	usages: Map(),
	confirmedSilent: Map(),
	resolved: [],
	isFencing: false,
	pendingGrants: List(),
	pendingClaims: List(),
	billedRequests: Set(),
	guardedRequests: [],
	retryAt: 0,
});

const callStore = (reclaim: Reclaim, call: StoreCall): ReclaimStep => ({state: reclaim, effects: [{kind: 'store', router: reclaim.router, call}]});

const readRouterRow = (reclaim: Reclaim): ReclaimStep =>
	callStore({...reclaim, step: 'reading'}, {kind: 'read', keys: [rowKeys.router(reclaim.router)]});

const writeRouterState = (reclaim: Reclaim, step: Reclaim['step'], state: string): ReclaimStep =>
	callStore({...reclaim, step}, {kind: 'write', writes: [putRow(rowKeys.router(reclaim.router), reclaim.version, reclaim.body as JsonValue, state)]});

const listUnresolvedAgents = (reclaim: Reclaim): readonly string[] =>
	(reclaim.body?.reach ?? []).filter(agent => !reclaim.resolved.includes(agent));

const sendFenceRequests = (reclaim: Reclaim, isProbe: boolean, now: number): ReclaimStep => {
	const missing = listUnresolvedAgents(reclaim).filter(agent => !(isProbe ? reclaim.confirmedSilent : reclaim.usages).has(agent));
	return {
		state: {...reclaim, retryAt: now + retryIntervalMs},
		effects: missing.map(agent => ({
			kind: 'ask-fence', router: reclaim.router, agent, probe: isProbe,
		})),
	};
};

const probeAgents = (reclaim: Reclaim, now: number): ReclaimStep =>
	listUnresolvedAgents(reclaim).every(agent => reclaim.confirmedSilent.has(agent))
		? writeRouterState(reclaim, 'fencing', 'fencing')
		: sendFenceRequests({...reclaim, step: 'probing'}, true, now);

const queryGrants = (reclaim: Reclaim): ReclaimStep =>
	callStore({...reclaim, step: 'listing'}, {
		kind: 'query', table: 'grant', prefix: `${reclaim.router}/`, limit: maxGrantsPerQuery,
	});

const collectUsages = (reclaim: Reclaim, now: number, disabledRule: DisabledRule): ReclaimStep =>
	listUnresolvedAgents(reclaim).every(agent => reclaim.usages.has(agent)) || disabledRule === 'fence-before-return'
		? queryGrants(reclaim)
		: sendFenceRequests({...reclaim, step: 'collecting'}, false, now);

/** Reads which agents an operator has declared gone, before the agents that have not answered are asked again. */
const readResolvedAgents = (reclaim: Reclaim): ReclaimStep => {
	const keys = (reclaim.body?.reach ?? []).map(agent => rowKeys.resolved(agent)).slice(0, maxGrantsPerQuery);
	return callStore({...reclaim, step: 'resolving', retryAt: Number.POSITIVE_INFINITY}, {kind: 'read', keys});
};

/** Continues with the agents that are not declared gone. */
const receiveResolvedAgents = (reclaim: Reclaim, rows: ReadonlyArray<Row | undefined>, now: number, disabledRule: DisabledRule): ReclaimStep => {
	const next = {...reclaim, resolved: rows.flatMap(row => row === undefined ? [] : [row.id])};
	return next.isFencing ? collectUsages(next, now, disabledRule) : probeAgents(next, now);
};

const receiveRouterRow = (reclaim: Reclaim, row: Row | undefined, now: number, disabledRule: DisabledRule): ReclaimStep => {
	if (row === undefined) {
		return endReclaim(reclaim, false);
	}

	const read: Reclaim = {
		...reclaim, version: row.version, body: row.body as RouterRowBody, isFencing: row.state === 'fencing',
	};
	if (row.state === 'closed') {
		return endReclaim(read, true);
	}

	return row.state === 'fencing' ? collectUsages(read, now, disabledRule) : probeAgents({...read, confirmedSilent: Map()}, now);
};

const endReclaim = (reclaim: Reclaim, isClosed: boolean): ReclaimStep => isClosed
	? {
		state: {...reclaim, step: 'done'},
		effects: [
			{kind: 'close-router', router: reclaim.router, agents: reclaim.body?.reach ?? []},
			{kind: 'reclaimed', router: reclaim.router},
		],
	}
	: {state: {...reclaim, step: 'given-up'}, effects: [{kind: 'reclaim-stopped', router: reclaim.router}]};

/** Reads the next grant. After the last one it queries the table again, since the size of a query is limited. */
const readNextGrant = (reclaim: Reclaim): ReclaimStep => {
	const budget = reclaim.pendingGrants.first();
	return budget === undefined
		? queryGrants(reclaim)
		: callStore({...reclaim, step: 'settling'}, {kind: 'read', keys: [rowKeys.budget(budget), rowKeys.grant(reclaim.router, budget)]});
};

const listClaimedAttempts = (reclaim: Reclaim): List<Attempt> =>
	List(reclaim.usages.valueSeq().toArray().flat()).filter(attempt => attempt.claimKey !== undefined);

const readNextClaim = (reclaim: Reclaim): ReclaimStep => {
	const claimed = reclaim.pendingClaims.first();
	return claimed?.claimKey === undefined
		? writeRouterState(reclaim, 'closing', 'closed')
		: callStore({...reclaim, step: 'claiming'}, {kind: 'read', keys: [rowKeys.claim(claimed.organisation, claimed.claimKey)]});
};

const receiveGrants = (reclaim: Reclaim, rows: ReadonlyArray<Row | undefined>): ReclaimStep => {
	const budgets = rows.flatMap(row => row === undefined ? [] : [(row.body as GrantBody).budget]);
	return budgets.length === 0
		? readNextClaim({...reclaim, pendingClaims: listClaimedAttempts(reclaim)})
		: readNextGrant({...reclaim, pendingGrants: List(budgets)});
};

/** Finds the bills that the router did not write: one per request, for the last attempt of the request. */
const findMissingBills = (reclaim: Reclaim, grant: GrantBody): readonly Bill[] => {
	const settled = reclaim.billedRequests.union(grant.recent);
	const attempts = reclaim.usages.valueSeq().toArray().flat()
		.filter(attempt => attempt.budget === grant.budget && !settled.has(attempt.request));
	return List(attempts)
		.groupBy(attempt => attempt.request)
		.valueSeq()
		.toArray()
		.map(group => group.maxBy(attempt => Number(attempt.attempt.split('.').at(-1))))
		.flatMap(attempt => attempt === undefined
			? []
			: [{
				request: attempt.request, organisation: attempt.organisation, tokens: attempt.tokens, keyed: attempt.keyed, attempts: [],
			}]);
};

const buildSettlement = (reclaim: Reclaim, budgetRow: Row | undefined, grantRow: Row, disabledRule: DisabledRule): readonly TableWrite[] => {
	const grant = grantRow.body as GrantBody;
	const missing = findMissingBills(reclaim, disabledRule === 'recent-filter' ? {...grant, recent: []} : grant);
	const bills = missing.slice(0, maxBillsPerWrite);
	const remainingTokens = Math.max(0, grant.tokens - sumBills(bills));
	// The usage of an agent that is permanently gone is unknown, so the remaining tokens count as spent.
	const returnedTokens = reclaim.resolved.length > 0 ? 0 : remainingTokens;
	const changeId = `${reclaim.reclaimer}.reclaim.${reclaim.router}.${grantRow.version}`;
	const key = rowKeys.grant(reclaim.router, grant.budget);
	if (missing.length > bills.length) {
		const recent = [...grant.recent, ...bills.map(bill => bill.request)];
		return [
			putRow(key, grantRow.version, {
				...grant, tokens: remainingTokens, change: changeId, recent,
			}),
			...buildBillWrites(grant.budget, reclaim.router, changeId, bills),
		];
	}

	const budget = budgetRow?.body as BudgetBody | undefined;
	return [
		deleteRow(key, grantRow.version),
		...(budgetRow === undefined || budget === undefined ? [] : [putRow(rowKeys.budget(grant.budget), budgetRow.version, {...budget, granted: budget.granted - returnedTokens})]),
		...buildBillWrites(grant.budget, reclaim.router, changeId, bills),
	];
};

const receiveGrant = (reclaim: Reclaim, rows: ReadonlyArray<Row | undefined>, disabledRule: DisabledRule): ReclaimStep => {
	const [budgetRow, grantRow] = rows;
	if (grantRow === undefined) {
		return readNextGrant({...reclaim, pendingGrants: reclaim.pendingGrants.shift()});
	}

	const writes = buildSettlement(reclaim, budgetRow, grantRow, disabledRule);
	const guardedRequests = writes.map(write => write.table === 'once' ? write.id : '');
	return callStore({...reclaim, guardedRequests}, {kind: 'write', writes});
};

/** Records requests whose bill exists already: they were billed through another router. */
const addBilledRequests = (reclaim: Reclaim, failed: readonly number[]): Reclaim =>
	({...reclaim, billedRequests: reclaim.billedRequests.union(failed.map(index => reclaim.guardedRequests[index] ?? '').filter(request => request !== ''))});

const completeClaim = (reclaim: Reclaim, row: Row | undefined): ReclaimStep => {
	const claim = decodeClaim(row);
	const claimed = reclaim.pendingClaims.first();
	if (claimed?.claimKey === undefined || claim?.state !== 'sent' || claim.body.attempt !== claimed.attempt || claimed.outcome === 'not-run') {
		return readNextClaim({...reclaim, pendingClaims: reclaim.pendingClaims.shift()});
	}

	const storedAnswer = claimed.answer === undefined ? undefined : encodeStoredAnswer(claimed.answer);
	const state = claimed.outcome === 'done' ? 'done' : 'unknown';
	const body = {...claim.body, ...(storedAnswer !== undefined && {answer: storedAnswer})};
	return callStore(reclaim, {kind: 'write', writes: [buildClaimWrite(claimed.organisation, claimed.claimKey, claim.version, state, body)]});
};

type RowsHandler = (reclaim: Reclaim, rows: ReadonlyArray<Row | undefined>, now: number, disabledRule: DisabledRule) => ReclaimStep;

const rowsHandlers: Readonly<Partial<Record<Reclaim['step'], RowsHandler>>> = {
	reading: (reclaim, rows, now, disabledRule) => receiveRouterRow(reclaim, rows[0], now, disabledRule),
	resolving: receiveResolvedAgents,
	listing: receiveGrants,
	settling: (reclaim, rows, _now, disabledRule) => receiveGrant(reclaim, rows, disabledRule),
	claiming: (reclaim, rows) => completeClaim(reclaim, rows[0]),
};

/** The step that follows a write that was applied or that conflicted with a newer row: both read again. */
const writeContinuations: Readonly<Partial<Record<Reclaim['step'], (reclaim: Reclaim, now: number, disabledRule: DisabledRule) => ReclaimStep>>> = {
	fencing: reclaim => readRouterRow(reclaim),
	settling: reclaim => readNextGrant(reclaim),
	claiming: reclaim => readNextClaim(reclaim),
	closing: reclaim => readRouterRow(reclaim),
};

const receiveReply = (reclaim: Reclaim, event: ReclaimEvent & {kind: 'store-replied'}, now: number, disabledRule: DisabledRule): ReclaimStep => {
	const {reply} = event;
	if (reply.kind === 'lost') {
		return keepState({...reclaim, step: 'reading', retryAt: now + (retryIntervalMs * (1 + event.random))});
	}

	if (reply.kind === 'rows') {
		return rowsHandlers[reclaim.step]?.(reclaim, reply.rows, now, disabledRule) ?? keepState(reclaim);
	}

	const updated = reply.kind === 'conflict' && reclaim.step === 'settling' ? addBilledRequests(reclaim, reply.failed) : reclaim;
	return writeContinuations[updated.step]?.(updated, now, disabledRule) ?? keepState(updated);
};

const receiveFenceAnswer = (reclaim: Reclaim, {agent, answer}: ReclaimEvent & {kind: 'fence-answered'}, now: number, disabledRule: DisabledRule): ReclaimStep => {
	if (!reclaim.isFencing) {
		if (answer.state === 'serving') {
			return reclaim.step === 'probing' || reclaim.step === 'resolving' ? endReclaim(reclaim, false) : keepState(reclaim);
		}

		const next = {...reclaim, confirmedSilent: reclaim.confirmedSilent.set(agent, true)};
		return next.step === 'probing' && listUnresolvedAgents(next).every(other => next.confirmedSilent.has(other)) ? probeAgents(next, now) : keepState(next);
	}

	if (answer.state !== 'fenced') {
		return keepState(reclaim);
	}

	const next = {...reclaim, usages: reclaim.usages.set(agent, answer.usages)};
	return next.step === 'collecting' && listUnresolvedAgents(next).every(other => next.usages.has(other)) ? collectUsages(next, now, disabledRule) : keepState(next);
};

type EventHandler<Event> = (reclaim: Reclaim, event: Event, now: number, disabledRule: DisabledRule) => ReclaimStep;

const retryHandlers: Readonly<Partial<Record<Reclaim['step'], EventHandler<ReclaimEvent>>>> = {
	reading: reclaim => readRouterRow({...reclaim, retryAt: Number.POSITIVE_INFINITY}),
	probing: reclaim => readResolvedAgents(reclaim),
	collecting: reclaim => readResolvedAgents(reclaim),
};

const handlers: Readonly<{[Kind in ReclaimEvent['kind']]: EventHandler<ReclaimEvent & {kind: Kind}>}> = {
	begin: reclaim => readRouterRow({...reclaim, retryAt: Number.POSITIVE_INFINITY}),
	'store-replied': receiveReply,
	'fence-answered': receiveFenceAnswer,
	tick: (reclaim, event, now, disabledRule) => now >= reclaim.retryAt ? retryHandlers[reclaim.step]?.(reclaim, event, now, disabledRule) ?? keepState(reclaim) : keepState(reclaim),
};

/**
Applies an event to a reclaim.

@param reclaim - The reclaim.
@param event - The event.
@param now - The time in ms.
@param disabledRule - A safety rule to disable; used only by the model checker.
@returns The new reclaim and the effects that it requests.
*/
export const handleReclaim = (reclaim: Reclaim, event: ReclaimEvent, now: number, disabledRule?: DisabledRule): ReclaimStep => {
	const handleEvent = handlers[event.kind] as EventHandler<ReclaimEvent>;
	return handleEvent(reclaim, event, now, disabledRule);
};
