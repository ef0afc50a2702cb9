import {Map} from 'immutable';
import {succeed} from '../src/errors/index.js';
import {
	chargeTokens, createLocalQuota, explainShortage, handleQuotaEvent, recordUnmetDemand, reserveTokens, setWaitingTokens,
} from '../src/quota/index.js';
import type {LocalQuota, QuotaEvent, QuotaStoreCall} from '../src/quota/index.js';
import {createRandom} from '../src/random/index.js';
import type {Random} from '../src/random/index.js';
import type {StoredRow, StoreReply, StoreWrite} from '../src/store/index.js';

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
	endMs: number;
	/** Chooses the data centre that a request comes to. */
	chooseDataCentre: (random: Random, now: number) => number;
	/** Requests of an organisation as a multiple of the usual; the first organisation is the smallest. */
	getRateFactor?: (organisation: number, now: number) => number;
	isStoreReachable?: (now: number) => boolean;
}>;

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
	const names = routers.map(({name}) => name);
	const tenants = Array.from({length: load.organisations}, (_, index) => `o${index}`);
	// A few organisations send most of the requests.
	const computeShare = (index: number) => Math.sqrt((index + 1) / load.organisations) - Math.sqrt(index / load.organisations);
	const total = load.requestsPerSecond * load.tokensPerRequest * load.budgetSeconds;
	const context = {budgets: Map(tenants.map((tenant, index) => [tenant, Math.round(total * computeShare(index))] as const))};
	const quotas: Record<string, LocalQuota> = Object.fromEntries(routers.map(({name, dataCentre}) => [name, createLocalQuota(name, `${name}#1`, 0, `${name}:1`, `z${dataCentre}`)]));
	const waiting: Record<string, readonly Waiting[]> = Object.fromEntries(names.map(name => [name, []]));
	const spent: Record<string, number> = {};
	const due: Array<ReadonlyArray<() => void> | undefined> = [];
	let rows = Map<string, StoredRow>();
	let version = 0;
	let busyUntil = 0;
	let now = 0;
	let waitCount = 0;
	const counts = {
		served: 0, refused: 0, exhausted: 0, transactions: 0,
	};

	const schedule = (at: number, run: () => void): void => {
		const slot = Math.max(Math.ceil(at / stepMs), (now / stepMs) + 1);
		due[slot] = [...due[slot] ?? [], run];
	};

	const transact = (writes: readonly StoreWrite[]): StoreReply => {
		const find = ({table, key}: StoreWrite) => rows.get(`${table}/${key}`);
		if (writes.some(write => write.version !== undefined && (find(write)?.version ?? 0) !== write.version)) {
			return {
				kind: 'conflict', rows: writes.flatMap(write => find(write) ?? []), now, era: succeed(1),
			};
		}

		version += 1;
		writes.forEach(write => {
			rows = rows.set(`${write.table}/${write.key}`, {...write, version});
		});
		return {
			kind: 'done', rows: [], version, now, era: succeed(1),
		};
	};

	const callStore = (name: string, call: QuotaStoreCall): void => {
		const respond = (reply: StoreReply) => {
			apply(name, {kind: 'replied', reply, random: random.draw()});
		};

		if (load.isStoreReachable?.(now) === false) {
			schedule(now + stepMs, () => {
				respond({kind: 'lost', reason: 'no answer'});
			});
		} else if (call.kind === 'read') {
			schedule(now + storeMs, () => {
				respond({
					kind: 'done', rows: rows.valueSeq().toArray().filter(row => row.table === call.table), version, now, era: succeed(1),
				});
			});
		} else if (busyUntil - now > maxBacklogMs) {
			schedule(now + stepMs, () => {
				respond({kind: 'refused', reason: 'busy'});
			});
		} else {
			counts.transactions += 1;
			busyUntil = Math.max(now, busyUntil) + storeMs;
			schedule(busyUntil, () => {
				respond(transact(call.writes));
			});
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
		if (step.effects.some(({kind}) => kind === 'changed')) {
			setWaiting(name, waiting[name]!.filter(request => !tryServe(name, request)));
		}
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
			spent[organisation] = (spent[organisation] ?? 0) + cost;
			schedule(now + runMs, () => {
				quotas[name] = chargeTokens(quotas[name]!, organisation, tokens, cost);
			});
			return true;
		}

		const shortage = explainShortage(quotas[name]!, organisation, tokens, context.budgets.get(organisation, 0));
		if (shortage === undefined) {
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
		const request = {organisation, tokens: Math.round(load.tokensPerRequest * (0.3 + (1.4 * random.draw()))), since: now};
		if (!tryServe(name, request)) {
			setWaiting(name, [...waiting[name]!, request]);
			apply(name, {kind: 'wanted'});
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

	Array.from({length: load.endMs / stepMs}).forEach((_, index) => {
		now += stepMs;
		due[index + 1]?.forEach(run => {
			run();
		});
		due[index + 1] = undefined;
		names.forEach((name, offset) => {
			expire(name);
			if ((index + offset) % (syncIntervalMs / stepMs) === 0) {
				apply(name, {kind: 'tick'});
			}
		});
		// The routers know the demand before requests are counted.
		if (now >= load.warmUpMs - 4000) {
			tenants.forEach((tenant, position) => {
				const expected = load.requestsPerSecond * computeShare(position) * (load.getRateFactor?.(position, now) ?? 1) * stepMs / 1000;
				Array.from({length: Math.floor(expected) + (random.draw() < expected % 1 ? 1 : 0)}).forEach(() => {
					arrive(tenant);
				});
			});
		}
	});
	const {served, refused, exhausted} = counts;
	return {
		served,
		refused,
		exhausted,
		refusedFraction: (refused + exhausted) / Math.max(1, served + refused + exhausted),
		waitedFraction: waitCount / Math.max(1, served),
		transactionsPerSecond: counts.transactions * 1000 / load.endMs,
		budgets: tenants.map(tenant => ({
			limit: context.budgets.get(tenant)!,
			spent: spent[tenant] ?? 0,
			taken: (JSON.parse(rows.get(`budgets/${tenant}`)?.value ?? '{"taken":0}') as {taken: number}).taken,
		})),
	};
};
