import {Map} from 'immutable';
import {succeed} from '../src/errors/index.js';
import {
	chargeTokens, countAvailableTokens, createLocalQuota, explainShortage, handleQuotaEvent, recordUnmetDemand, reserveTokens, setWaitingTokens,
} from '../src/quota/index.js';
import type {LocalQuota, QuotaEvent, QuotaStoreCall} from '../src/quota/index.js';
import {createRandom} from '../src/random/index.js';
import type {Random} from '../src/random/index.js';
import type {StoredRow, StoreReply, StoreWrite} from '../src/store/index.js';
import {
	askForDelayed, askForTokens, canExpectTokens, continueTransfers, createTokenTransfers, encodeTransfer, parseTransfer, receiveTransfer,
} from '../src/token-transfer/index.js';
import type {
	TokenTransfers, TransferEffect, TransferMessage, TransferStep,
} from '../src/token-transfer/index.js';

/** Routers of several data centres that share a store, and requests that reach them. Times are in ms. */
export type QuotaLoad = Readonly<{
	/** Number of routers in each data centre. */
	dataCentres: readonly number[];
	organisations: number;
	requestsPerSecond: number;
	tokensPerRequest: number;
	/** Seconds of the usual demand that all budgets together cover at the start. */
	budgetSeconds: number;
	warmUpMs: number;
	/** Time of the first requests; 4 s before the end of the warm-up by default, so that the routers know the demand. */
	requestsFromMs?: number;
	endMs: number;
	/** Chooses the data centre that a request comes to. */
	chooseDataCentre: (random: Random, now: number) => number;
	/** Requests of an organisation as a multiple of the usual; the first organisation is the smallest. */
	getRateFactor?: (organisation: number, now: number) => number;
	isStoreReachable?: (now: number) => boolean;
	/** What becomes of a transaction; a late one is applied seconds later, unseen by its sender. */
	chooseStoreFault?: (random: Random) => StoreFault;
	/** Kills of routers per second. A successor starts at once. */
	killsPerSecond?: number;
	/** Times for which a router stands still, per second, of up to 3 s each. */
	pausesPerSecond?: number;
	/** Times at which the store comes back from a copy that is up to 3 s old. */
	restoresAt?: readonly number[];
	/** Fraction of the datagrams that arrive again up to 6 s later. */
	repeatedFraction?: number;
	/** Bound of a datagram's delay beyond the shortest. */
	datagramJitterMs?: number;
	/** Fraction of the datagrams that are lost; 1 if routers do not reach each other. */
	lostFraction?: number;
}>;

export type StoreFault = 'none' | 'call-lost' | 'answer-lost' | 'late';

/** What became of the requests after the warm-up. */
export type QuotaOutcome = Readonly<{
	served: number;
	/** Refused because tokens were short. */
	refused: number;
	/** Refused as the budget was exhausted. */
	exhausted: number;
	refusedFraction: number;
	waitedFraction: number;
	transactionsPerSecond: number;
	/** Tokens that routers passed on directly. */
	granted: number;
	/** Datagrams about tokens per request. */
	datagramsPerRequest: number;
	/** First time at which some budget was exceeded, or more of it was spent or could still be than the store counts as taken; undefined if never. */
	overspentAt: number | undefined;
	/** Tokens that the requests cost, and those that the store counts as taken, of each budget. */
	budgets: ReadonlyArray<Readonly<{limit: number; spent: number; taken: number}>>;
}>;

const stepMs = 5;
const storeMs = 5;
const syncIntervalMs = 60;
/** A transaction is turned away if more than this is waiting. */
const maxBacklogMs = 1000;
/** Time after which a request stops waiting for tokens. */
const maxWaitMs = 300;
const runMs = 400;
/** Time that a datagram takes between two routers. */
const datagramMs = 10;

type Waiting = Readonly<{organisation: string; tokens: number; since: number}>;

/**
Plays a load in virtual time.

@param load - The routers and requests.
@param seed - Seed of the random numbers.
@returns What became of the requests.
*/
export const playQuotaLoad = (load: QuotaLoad, seed: number): QuotaOutcome => {
	const random = createRandom(seed);
	const routers = load.dataCentres.flatMap((count, dataCentre) => Array.from({length: count}, (_, index) => ({name: `z${dataCentre}-r${index}`, dataCentre})));
	const formatAddress = (name: string) => `127.0.0.1:${1 + routers.findIndex(router => router.name === name)}`;
	const names = routers.map(({name}) => name);
	const tenants = Array.from({length: load.organisations}, (_, index) => `o${index}`);
	// A few organisations send most of the requests.
	const computeShare = (index: number) => Math.sqrt((index + 1) / load.organisations) - Math.sqrt(index / load.organisations);
	const total = load.requestsPerSecond * load.tokensPerRequest * load.budgetSeconds;
	const context = {budgets: Map(tenants.map((tenant, index) => [tenant, Math.round(total * computeShare(index))] as const))};
	const quotas: Record<string, LocalQuota> = {};
	const transfers: Record<string, TokenTransfers> = {};
	const waiting: Record<string, readonly Waiting[]> = {};
	const pausedUntil: Record<string, number> = {};
	/** Tokens spent, with all that requests in flight may still cost. */
	const spent: Record<string, number> = {};
	const due: Array<ReadonlyArray<() => void> | undefined> = [];
	let rows = Map<string, StoredRow>();
	let version = 0;
	let busyUntil = 0;
	let now = 0;
	let waitCount = 0;
	let startCount = 0;
	let era = 1;
	let overspentAt: number | undefined;
	let copies: ReadonlyArray<Readonly<{rows: Map<string, StoredRow>; version: number}>> = [];
	const counts = {
		served: 0, refused: 0, exhausted: 0, transactions: 0, granted: 0, datagrams: 0,
	};

	const schedule = (at: number, run: () => void): void => {
		const slot = Math.max(Math.ceil(at / stepMs), (now / stepMs) + 1);
		due[slot] = [...due[slot] ?? [], run];
	};

	/** Hands something to a process, unless it has ended by then; one that stands still gets it later. */
	const deliver = (name: string, at: number, incarnation: string | undefined, run: () => void): void => {
		schedule(at, () => {
			if ((pausedUntil[name] ?? 0) > now) {
				deliver(name, pausedUntil[name]!, incarnation, run);
			} else if (incarnation === undefined || quotas[name]!.incarnation === incarnation) {
				run();
			}
		});
	};

	const start = ({name, dataCentre}: Readonly<{name: string; dataCentre: number}>): void => {
		startCount += 1;
		quotas[name] = createLocalQuota(name, `${name}#${startCount}`, now, formatAddress(name), `z${dataCentre}`);
		transfers[name] = createTokenTransfers(`${name}#${startCount}`);
		waiting[name] = [];
		pausedUntil[name] = 0;
	};

	const transact = (writes: readonly StoreWrite[]): StoreReply => {
		const find = ({table, key}: StoreWrite) => rows.get(`${table}/${key}`);
		if (writes.some(write => write.version !== undefined && (find(write)?.version ?? 0) !== write.version)) {
			return {
				kind: 'conflict', rows: writes.flatMap(write => find(write) ?? []), now, era: succeed(era),
			};
		}

		version += 1;
		writes.forEach(write => {
			rows = rows.set(`${write.table}/${write.key}`, {...write, version});
		});
		return {
			kind: 'done', rows: [], version, now, era: succeed(era),
		};
	};

	const callStore = (name: string, call: QuotaStoreCall): void => {
		const {incarnation} = quotas[name]!;
		const calledEra = era;
		const respond = (at: number, reply: StoreReply) => {
			deliver(name, at, incarnation, () => {
				apply(name, {kind: 'replied', reply, random: random.draw()});
			});
		};

		if (load.isStoreReachable?.(now) === false) {
			respond(now + stepMs, {kind: 'lost', reason: 'no answer'});
		} else if (call.kind === 'read') {
			schedule(now + storeMs, () => {
				respond(now, {
					kind: 'done', rows: rows.valueSeq().toArray().filter(row => row.table === call.table), version, now, era: succeed(era),
				});
			});
		} else if (busyUntil - now > maxBacklogMs) {
			respond(now + stepMs, {kind: 'refused', reason: 'busy'});
		} else {
			const fault = load.chooseStoreFault?.(random) ?? 'none';
			counts.transactions += 1;
			busyUntil = Math.max(now, busyUntil) + storeMs;
			schedule(fault === 'late' ? busyUntil + random.pick(4000) : busyUntil, () => {
				// A store that has come back from a copy gets no call that was sent before.
				const reply: StoreReply = fault === 'call-lost' || era !== calledEra ? {kind: 'lost', reason: 'no answer'} : transact(call.writes);
				if (fault === 'none') {
					respond(now, reply);
				}
			});
			if (fault !== 'none') {
				respond(now + stepMs, {kind: 'lost', reason: 'no answer'});
			}
		}
	};

	const apply = (name: string, event: QuotaEvent): void => {
		const step = handleQuotaEvent(quotas[name]!, event, now, context);
		quotas[name] = step.state;
		step.effects.forEach(effect => {
			if (effect.kind === 'store') {
				callStore(name, effect.call);
			}
		});
		const isChanged = step.effects.some(({kind}) => kind === 'changed');
		if (isChanged) {
			serveWaiting(name);
		}

		if (isChanged || event.kind === 'tick') {
			applyTransfer(name, continueTransfers(getTransfers(name), now));
		}

		if (event.kind === 'tick') {
			applyTransfer(name, askForDelayed(getTransfers(name), random.draw(), now));
		}
	};

	const serveWaiting = (name: string): void => {
		setWaiting(name, waiting[name]!.filter(request => !tryServe(name, request)));
	};

	const getTransfers = (name: string) => ({quota: quotas[name]!, transfers: transfers[name]!});

	const applyTransfer = (name: string, step: TransferStep): void => {
		quotas[name] = step.state.quota;
		transfers[name] = step.state.transfers;
		step.effects.forEach(effect => {
			(transferHandlers[effect.kind] as (name: string, effect: TransferEffect) => void)(name, effect);
		});
	};

	const sendDatagram = (address: string, message: TransferMessage): void => {
		const {name: receiver} = routers.find(router => formatAddress(router.name) === address)!;
		const text = encodeTransfer(message);
		const arrive = (at: number) => {
			// Whichever process has the address gets it.
			deliver(receiver, at, undefined, () => {
				applyTransfer(receiver, receiveTransfer(getTransfers(receiver), parseTransfer(text).unwrap(), now));
			});
		};

		counts.datagrams += 1;
		if (random.draw() >= (load.lostFraction ?? 0)) {
			arrive(now + datagramMs + (random.draw() * (load.datagramJitterMs ?? 0)));
		}

		if (random.draw() < (load.repeatedFraction ?? 0)) {
			arrive(now + (random.draw() * 6000));
		}
	};

	const serveAndAsk = (name: string, {organisation}: Readonly<{organisation: string}>): void => {
		serveWaiting(name);
		applyTransfer(name, askForTokens(getTransfers(name), organisation, random.draw(), now));
	};

	const transferHandlers: Readonly<{[Kind in TransferEffect['kind']]: (name: string, effect: TransferEffect & {kind: Kind}) => void}> = {
		tell(_name, {address, message}) {
			sendDatagram(address, message);
		},
		granted(_name, {tokens}) {
			counts.granted += tokens;
		},
		widen(name) {
			apply(name, {kind: 'wanted'});
		},
		received: serveAndAsk,
		refused: serveAndAsk,
		'given-up': () => undefined,
	};

	const countRequest = (request: Waiting, outcome: 'served' | 'refused' | 'exhausted'): void => {
		if (request.since >= load.warmUpMs) {
			counts[outcome] += 1;
			waitCount += outcome === 'served' && now - request.since > 2 * stepMs ? 1 : 0;
		}
	};

	/** Serves or refuses a request; returns false if it has to wait. */
	const tryServe = (name: string, request: Waiting): boolean => {
		const {organisation, tokens} = request;
		const reserved = reserveTokens(quotas[name]!, organisation, tokens, now);
		if (reserved !== undefined) {
			quotas[name] = reserved;
			countRequest(request, 'served');
			const cost = Math.floor(tokens * 0.8);
			spent[organisation] = (spent[organisation] ?? 0) + tokens;
			deliver(name, now + runMs, reserved.incarnation, () => {
				spent[organisation]! -= tokens - cost;
				quotas[name] = chargeTokens(quotas[name]!, organisation, tokens, cost);
			});
			return true;
		}

		const shortage = explainShortage(quotas[name]!, organisation, tokens, context.budgets.get(organisation, 0));
		if (shortage === undefined || (shortage !== 'exhausted' && canExpectTokens(getTransfers(name), organisation, now))) {
			return false;
		}

		if (shortage === 'held-elsewhere') {
			quotas[name] = recordUnmetDemand(quotas[name]!, organisation, tokens);
		}

		countRequest(request, shortage === 'exhausted' ? 'exhausted' : 'refused');
		return true;
	};

	const setWaiting = (name: string, requests: readonly Waiting[]): void => {
		const changed = new Set([...waiting[name]!, ...requests].map(({organisation}) => organisation));
		waiting[name] = requests;
		quotas[name] = [...changed].reduce((quota, tenant) => {
			const tokens = requests.filter(({organisation}) => organisation === tenant).map(request => request.tokens);
			return setWaitingTokens(quota, tenant, tokens.reduce((sum, each) => sum + each, 0), tokens.length === 0 ? 0 : Math.min(...tokens));
		}, quotas[name]!);
	};

	const arrive = (organisation: string): void => {
		const dataCentre = load.chooseDataCentre(random, now);
		const local = routers.filter(router => router.dataCentre === dataCentre);
		const {name} = local[random.pick(local.length)]!;
		if (pausedUntil[name]! > now) {
			return;
		}

		const request = {organisation, tokens: Math.round(load.tokensPerRequest * (0.3 + (1.4 * random.draw()))), since: now};
		if (!tryServe(name, request)) {
			setWaiting(name, [...waiting[name]!, request]);
			apply(name, {kind: 'wanted'});
			if (explainShortage(quotas[name]!, organisation, request.tokens, context.budgets.get(organisation, 0)) !== undefined) {
				applyTransfer(name, askForTokens(getTransfers(name), organisation, random.draw(), now));
			}
		}
	};

	const expire = (name: string): void => {
		const late = waiting[name]!.filter(({since}) => now - since >= maxWaitMs);
		if (late.length > 0) {
			late.forEach(request => {
				countRequest(request, 'refused');
			});
			setWaiting(name, waiting[name]!.filter(request => !late.includes(request)));
		}
	};

	const getTaken = (tenant: string): number => (JSON.parse(rows.get(`budgets/${tenant}`)?.value ?? '{"taken":0}') as {taken: number}).taken;

	/** Counts the tokens that a router may still spend: not those that a change returns, which may be committed. */
	const countRemaining = ({holds, sync}: LocalQuota, tenant: string): number => {
		const hold = holds.get(tenant);
		const returned = 'change' in sync ? Math.max(0, -(sync.change?.drawn.get(tenant) ?? 0)) : 0;
		return hold === undefined ? 0 : countAvailableTokens(hold) - returned;
	};

	/**
	Whether a budget is exceeded, or more of it has been spent or may be than the store counts as taken. The latter is not
	known of a restored store until routers have added again what its copy lacks.
	*/
	const isOverspent = (): boolean => tenants.some(tenant => {
		const used = spent[tenant] ?? 0;
		return used > context.budgets.get(tenant)!
			|| (load.restoresAt === undefined && used + names.reduce((sum, name) => sum + countRemaining(quotas[name]!, tenant), 0) > getTaken(tenant));
	});

	const breakRouters = (index: number): void => {
		if (random.draw() < (load.killsPerSecond ?? 0) * stepMs / 1000) {
			start(routers[random.pick(routers.length)]!);
		}

		if (random.draw() < (load.pausesPerSecond ?? 0) * stepMs / 1000) {
			pausedUntil[names[random.pick(names.length)]!] = now + random.pick(3000);
		}

		if (index % (500 / stepMs) === 0) {
			copies = [...copies, {rows, version}].slice(-6);
		}

		if (load.restoresAt?.includes(now) === true) {
			({rows, version} = copies[random.pick(copies.length)]!);
			copies = [];
			era += 1;
		}
	};

	routers.forEach(router => {
		start(router);
	});
	Array.from({length: load.endMs / stepMs}).forEach((_, index) => {
		now += stepMs;
		breakRouters(index);
		due[index + 1]?.forEach(run => {
			run();
		});
		due[index + 1] = undefined;
		names.filter(name => pausedUntil[name]! <= now).forEach((name, offset) => {
			expire(name);
			if ((index + offset) % (syncIntervalMs / stepMs) === 0) {
				apply(name, {kind: 'tick'});
			}
		});
		if (now >= (load.requestsFromMs ?? load.warmUpMs - 4000)) {
			tenants.forEach((tenant, position) => {
				const expected = load.requestsPerSecond * computeShare(position) * (load.getRateFactor?.(position, now) ?? 1) * stepMs / 1000;
				Array.from({length: Math.floor(expected) + (random.draw() < expected % 1 ? 1 : 0)}).forEach(() => {
					arrive(tenant);
				});
			});
		}

		if (index % 5 === 0) {
			overspentAt ??= isOverspent() ? now : undefined;
		}
	});
	const {served, refused, exhausted} = counts;
	return {
		served,
		refused,
		exhausted,
		refusedFraction: (refused + exhausted) / Math.max(1, served + refused + exhausted),
		waitedFraction: waitCount / Math.max(1, served),
		overspentAt,
		granted: counts.granted,
		datagramsPerRequest: counts.datagrams / Math.max(1, served + refused + exhausted),
		transactionsPerSecond: counts.transactions * 1000 / load.endMs,
		budgets: tenants.map(tenant => ({
			limit: context.budgets.get(tenant)!,
			spent: spent[tenant] ?? 0,
			taken: getTaken(tenant),
		})),
	};
};
