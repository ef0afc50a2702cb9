import {List, Map, Set} from 'immutable';
import type {Attempt, FenceAnswer} from '../attempt/index.js';
import {sumBills, writeBills} from '../bill/index.js';
import type {Bill} from '../bill/index.js';
import type {BudgetBody, GrantBody} from '../budget/index.js';
import {readClaim, storeAnswer, writeClaim} from '../claim/index.js';
import {stay} from '../loop/index.js';
import type {Step} from '../loop/index.js';
import type {RouterBody} from '../reach/index.js';
import {deleteRow, putRow, rowKeys} from '../table/index.js';
import type {
	Json, Row, StoreCall, StoreReply, Write,
} from '../table/index.js';

/**
Taking back what a silent router holds, without trusting any clock.

The router's row goes from `active` to `fencing`, every agent of its reach
promises to refuse it and names what it ran for it, missing bills and claims are
written, what is left returns to the budgets, and the row becomes `closed`. Every
step is a compare-and-set or can be done twice, so several reclaimers, or one that
dies half-way, do no harm.
*/
export type Reclaim = Readonly<{
	/** The silent router. */
	router: string;
	reclaimer: string;
	step: 'reading' | 'probing' | 'fencing' | 'collecting' | 'resolving' | 'listing' | 'settling' | 'claiming' | 'closing' | 'done' | 'given-up';
	version: number;
	body: RouterBody | undefined;
	/** Agents that have promised, with what they ran. */
	usages: Map<string, readonly Attempt[]>;
	/** Agents that have answered the probe. */
	silent: Map<string, boolean>;
	/** Agent incarnations that an operator has declared gone. */
	resolved: readonly string[];
	/** True once the row is in state `fencing`. */
	isFencing: boolean;
	/** Budgets of grants that are still to be taken back. */
	grants: List<string>;
	/** Acts whose claim is still to be finished. */
	acts: List<Attempt>;
	/** Keyed requests that are known to be billed through another router. */
	billed: Set<string>;
	/** The request that each part of the last write guards, by position; empty for other parts. */
	guarded: readonly string[];
	/** When the step is tried again, in ms. */
	retryAt: number;
}>;

/** What happens to a reclaim. */
export type ReclaimEvent =
	| Readonly<{kind: 'begin'}>
	| Readonly<{kind: 'store-replied'; reply: StoreReply; random: number}>
	| Readonly<{kind: 'fence-answered'; agent: string; answer: FenceAnswer}>
	| Readonly<{kind: 'tick'}>;

/** What a reclaim asks for. */
export type ReclaimEffect =
	| Readonly<{kind: 'store'; router: string; call: StoreCall}>
	| Readonly<{kind: 'ask-fence'; router: string; agent: string; probe: boolean}>
	| Readonly<{kind: 'close-router'; router: string; agents: readonly string[]}>
	| Readonly<{kind: 'reclaimed'; router: string}>
	| Readonly<{kind: 'reclaim-stopped'; router: string}>;

type ReclaimStep = Step<Reclaim, ReclaimEffect>;
/** A safety rule to switch off; for the model check alone. */
type Broken = string | undefined;

const retryInterval = 1000; // Milliseconds
const maxGrantsPerQuery = 100;
const maxBillsPerWrite = 60;

/**
Creates the reclaim of a silent router.

@param router - The silent router's incarnation.
@param reclaimer - The incarnation that takes its grants back.
@returns The reclaim, before its first step.
*/
export const createReclaim = (router: string, reclaimer: string): Reclaim => ({
	router,
	reclaimer,
	step: 'reading',
	version: 0,
	body: undefined,
	usages: Map(),
	silent: Map(),
	resolved: [],
	isFencing: false,
	grants: List(),
	acts: List(),
	billed: Set(),
	guarded: [],
	retryAt: 0,
});

const askStore = (reclaim: Reclaim, call: StoreCall): ReclaimStep => ({state: reclaim, effects: [{kind: 'store', router: reclaim.router, call}]});

const readRouter = (reclaim: Reclaim): ReclaimStep =>
	askStore({...reclaim, step: 'reading'}, {kind: 'read', keys: [rowKeys.router(reclaim.router)]});

const writeState = (reclaim: Reclaim, step: Reclaim['step'], state: string): ReclaimStep =>
	askStore({...reclaim, step}, {kind: 'write', writes: [putRow(rowKeys.router(reclaim.router), reclaim.version, reclaim.body as Json, state)]});

const listReach = (reclaim: Reclaim): readonly string[] =>
	(reclaim.body?.reach ?? []).filter(agent => !reclaim.resolved.includes(agent));

const askAgents = (reclaim: Reclaim, probe: boolean, now: number): ReclaimStep => {
	const missing = listReach(reclaim).filter(agent => !(probe ? reclaim.silent : reclaim.usages).has(agent));
	return {
		state: {...reclaim, retryAt: now + retryInterval},
		effects: missing.map(agent => ({
			kind: 'ask-fence', router: reclaim.router, agent, probe,
		})),
	};
};

const probeAgents = (reclaim: Reclaim, now: number): ReclaimStep =>
	listReach(reclaim).every(agent => reclaim.silent.has(agent))
		? writeState(reclaim, 'fencing', 'fencing')
		: askAgents({...reclaim, step: 'probing'}, true, now);

const listGrants = (reclaim: Reclaim): ReclaimStep =>
	askStore({...reclaim, step: 'listing'}, {
		kind: 'query', table: 'grant', prefix: `${reclaim.router}/`, limit: maxGrantsPerQuery,
	});

const collectUsages = (reclaim: Reclaim, now: number, broken: Broken): ReclaimStep =>
	listReach(reclaim).every(agent => reclaim.usages.has(agent)) || broken === 'fence-before-return'
		? listGrants(reclaim)
		: askAgents({...reclaim, step: 'collecting'}, false, now);

/** Before agents are asked again: has an operator declared those gone that do not answer? */
const readResolved = (reclaim: Reclaim): ReclaimStep => {
	const keys = (reclaim.body?.reach ?? []).map(agent => rowKeys.resolved(agent)).slice(0, maxGrantsPerQuery);
	return askStore({...reclaim, step: 'resolving', retryAt: Number.POSITIVE_INFINITY}, {kind: 'read', keys});
};

/** Goes on with asking, less the agents that are gone for good. */
const receiveResolved = (reclaim: Reclaim, rows: ReadonlyArray<Row | undefined>, now: number, broken: Broken): ReclaimStep => {
	const next = {...reclaim, resolved: rows.flatMap(row => row === undefined ? [] : [row.id])};
	return next.isFencing ? collectUsages(next, now, broken) : probeAgents(next, now);
};

const receiveRouter = (reclaim: Reclaim, row: Row | undefined, now: number, broken: Broken): ReclaimStep => {
	if (row === undefined) {
		return stop(reclaim, false);
	}

	const read: Reclaim = {
		...reclaim, version: row.version, body: row.body as RouterBody, isFencing: row.state === 'fencing',
	};
	if (row.state === 'closed') {
		return stop(read, true);
	}

	return row.state === 'fencing' ? collectUsages(read, now, broken) : probeAgents({...read, silent: Map()}, now);
};

const stop = (reclaim: Reclaim, isClosed: boolean): ReclaimStep => isClosed
	? {
		state: {...reclaim, step: 'done'},
		effects: [
			{kind: 'close-router', router: reclaim.router, agents: reclaim.body?.reach ?? []},
			{kind: 'reclaimed', router: reclaim.router},
		],
	}
	: {state: {...reclaim, step: 'given-up'}, effects: [{kind: 'reclaim-stopped', router: reclaim.router}]};

/** Reads the next grant; after the last one the table is asked again, since one query has a limit. */
const readGrant = (reclaim: Reclaim): ReclaimStep => {
	const budget = reclaim.grants.first();
	return budget === undefined
		? listGrants(reclaim)
		: askStore({...reclaim, step: 'settling'}, {kind: 'read', keys: [rowKeys.budget(budget), rowKeys.grant(reclaim.router, budget)]});
};

const collectActs = (reclaim: Reclaim): List<Attempt> =>
	List(reclaim.usages.valueSeq().toArray().flat()).filter(attempt => attempt.claimKey !== undefined);

const readClaims = (reclaim: Reclaim): ReclaimStep => {
	const act = reclaim.acts.first();
	return act?.claimKey === undefined
		? writeState(reclaim, 'closing', 'closed')
		: askStore({...reclaim, step: 'claiming'}, {kind: 'read', keys: [rowKeys.claim(act.organisation, act.claimKey)]});
};

const receiveGrants = (reclaim: Reclaim, rows: ReadonlyArray<Row | undefined>): ReclaimStep => {
	const grants = rows.flatMap(row => row === undefined ? [] : [(row.body as GrantBody).budget]);
	return grants.length === 0
		? readClaims({...reclaim, acts: collectActs(reclaim)})
		: readGrant({...reclaim, grants: List(grants)});
};

/** Finds the bills that the router did not write: one a request, of its last attempt. */
const findMissing = (reclaim: Reclaim, grant: GrantBody): readonly Bill[] => {
	const settled = reclaim.billed.union(grant.recent);
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

const buildSettlement = (reclaim: Reclaim, budgetRow: Row | undefined, grantRow: Row, broken: Broken): readonly Write[] => {
	const grant = grantRow.body as GrantBody;
	const missing = findMissing(reclaim, broken === 'recent-filter' ? {...grant, recent: []} : grant);
	const bills = missing.slice(0, maxBillsPerWrite);
	const rest = Math.max(0, grant.tokens - sumBills(bills));
	// What an agent that is gone ran can't be known, so the rest counts as spent.
	const returned = reclaim.resolved.length > 0 ? 0 : rest;
	const change = `${reclaim.reclaimer}.reclaim.${reclaim.router}.${grantRow.version}`;
	const key = rowKeys.grant(reclaim.router, grant.budget);
	if (missing.length > bills.length) {
		const recent = [...grant.recent, ...bills.map(bill => bill.request)];
		return [
			putRow(key, grantRow.version, {
				...grant, tokens: rest, change, recent,
			}),
			...writeBills(grant.budget, reclaim.router, change, bills),
		];
	}

	const budget = budgetRow?.body as BudgetBody | undefined;
	return [
		deleteRow(key, grantRow.version),
		...(budgetRow === undefined || budget === undefined ? [] : [putRow(rowKeys.budget(grant.budget), budgetRow.version, {...budget, granted: budget.granted - returned})]),
		...writeBills(grant.budget, reclaim.router, change, bills),
	];
};

const receiveGrant = (reclaim: Reclaim, rows: ReadonlyArray<Row | undefined>, broken: Broken): ReclaimStep => {
	const [budgetRow, grantRow] = rows;
	if (grantRow === undefined) {
		return readGrant({...reclaim, grants: reclaim.grants.shift()});
	}

	const writes = buildSettlement(reclaim, budgetRow, grantRow, broken);
	const guarded = writes.map(write => write.table === 'once' ? write.id : '');
	return askStore({...reclaim, guarded}, {kind: 'write', writes});
};

/** Notes bills that exist already: the request was billed through another router. */
const noteBilled = (reclaim: Reclaim, failed: readonly number[]): Reclaim =>
	({...reclaim, billed: reclaim.billed.union(failed.map(index => reclaim.guarded[index] ?? '').filter(request => request !== ''))});

const finishClaim = (reclaim: Reclaim, row: Row | undefined): ReclaimStep => {
	const claim = readClaim(row);
	const act = reclaim.acts.first();
	if (act?.claimKey === undefined || claim?.state !== 'sent' || claim.body.attempt !== act.attempt || act.outcome === 'not-run') {
		return readClaims({...reclaim, acts: reclaim.acts.shift()});
	}

	const stored = act.answer === undefined ? undefined : storeAnswer(act.answer);
	const state = act.outcome === 'done' ? 'done' : 'unknown';
	const body = {...claim.body, ...(stored !== undefined && {answer: stored})};
	return askStore(reclaim, {kind: 'write', writes: [writeClaim(act.organisation, act.claimKey, claim.version, state, body)]});
};

type Receive = (reclaim: Reclaim, rows: ReadonlyArray<Row | undefined>, now: number, broken: Broken) => ReclaimStep;

const receiveRows: Readonly<Partial<Record<Reclaim['step'], Receive>>> = {
	reading: (reclaim, rows, now, broken) => receiveRouter(reclaim, rows[0], now, broken),
	resolving: receiveResolved,
	listing: receiveGrants,
	settling: (reclaim, rows, _now, broken) => receiveGrant(reclaim, rows, broken),
	claiming: (reclaim, rows) => finishClaim(reclaim, rows[0]),
};

/** What canFollow a write that took effect, or one that met a newer row: both read again. */
const proceed: Readonly<Partial<Record<Reclaim['step'], (reclaim: Reclaim, now: number, broken: Broken) => ReclaimStep>>> = {
	fencing: reclaim => readRouter(reclaim),
	settling: reclaim => readGrant(reclaim),
	claiming: reclaim => readClaims(reclaim),
	closing: reclaim => readRouter(reclaim),
};

const receiveReply = (reclaim: Reclaim, event: ReclaimEvent & {kind: 'store-replied'}, now: number, broken: Broken): ReclaimStep => {
	const {reply} = event;
	if (reply.kind === 'lost') {
		return stay({...reclaim, step: 'reading', retryAt: now + (retryInterval * (1 + event.random))});
	}

	if (reply.kind === 'rows') {
		return receiveRows[reclaim.step]?.(reclaim, reply.rows, now, broken) ?? stay(reclaim);
	}

	const noted = reply.kind === 'conflict' && reclaim.step === 'settling' ? noteBilled(reclaim, reply.failed) : reclaim;
	return proceed[noted.step]?.(noted, now, broken) ?? stay(noted);
};

const receiveFence = (reclaim: Reclaim, {agent, answer}: ReclaimEvent & {kind: 'fence-answered'}, now: number, broken: Broken): ReclaimStep => {
	if (!reclaim.isFencing) {
		if (answer.state === 'serving') {
			return reclaim.step === 'probing' || reclaim.step === 'resolving' ? stop(reclaim, false) : stay(reclaim);
		}

		const next = {...reclaim, silent: reclaim.silent.set(agent, true)};
		return next.step === 'probing' && listReach(next).every(other => next.silent.has(other)) ? probeAgents(next, now) : stay(next);
	}

	if (answer.state !== 'fenced') {
		return stay(reclaim);
	}

	const next = {...reclaim, usages: reclaim.usages.set(agent, answer.usages)};
	return next.step === 'collecting' && listReach(next).every(other => next.usages.has(other)) ? collectUsages(next, now, broken) : stay(next);
};

type Decide<Event> = (reclaim: Reclaim, event: Event, now: number, broken: Broken) => ReclaimStep;

const retry: Readonly<Partial<Record<Reclaim['step'], Decide<ReclaimEvent>>>> = {
	reading: reclaim => readRouter({...reclaim, retryAt: Number.POSITIVE_INFINITY}),
	probing: reclaim => readResolved(reclaim),
	collecting: reclaim => readResolved(reclaim),
};

const handlers: Readonly<{[Kind in ReclaimEvent['kind']]: Decide<ReclaimEvent & {kind: Kind}>}> = {
	begin: reclaim => readRouter({...reclaim, retryAt: Number.POSITIVE_INFINITY}),
	'store-replied': receiveReply,
	'fence-answered': receiveFence,
	tick: (reclaim, event, now, broken) => now >= reclaim.retryAt ? retry[reclaim.step]?.(reclaim, event, now, broken) ?? stay(reclaim) : stay(reclaim),
};

/**
Decides what a reclaim does next.

@param reclaim - The reclaim.
@param event - What happened.
@param now - The time in ms.
@param broken - A safety rule to switch off; for the model check alone.
@returns The reclaim and what it asks for.
*/
export const handleReclaim = (reclaim: Reclaim, event: ReclaimEvent, now: number, broken?: Broken): ReclaimStep => {
	const decide = handlers[event.kind] as Decide<ReclaimEvent>;
	return decide(reclaim, event, now, broken);
};
