import {Map} from 'immutable';
import {expect, test} from 'vitest';
import {succeed} from '../errors/index.js';
import {createRandom} from '../random/index.js';
import type {StoredRow, StoreReply, StoreWrite} from '../store/index.js';
import {
	chargeTokens, createLocalQuota, handleQuotaEvent, reserveTokens, setWaitingTokens,
} from './index.js';
import type {LocalQuota, QuotaStoreCall} from './index.js';

/** A fleet whose routers share a store that applies one transaction after the other. */
type Load = Readonly<{routers: number; organisations: number; requestsPerSecond: number; tokensPerRequest: number}>;

const transactionMs = 5;
const tickMs = 5;
const syncIntervalMs = 60;
/** A transaction is turned away if more than this is waiting. */
const maxBacklogMs = 1000;
/** Time after which a request stops waiting for tokens. */
const maxWaitMs = 300;
const runMs = 400;
const warmUpMs = 8000;
const budgetSeconds = 120;

type Waiting = Readonly<{organisation: string; tokens: number; since: number}>;

/** Plays a load. Returns what became of the requests after the warm-up, and how many tokens the store counts as taken. */
const playLoad = ({routers, organisations, requestsPerSecond, tokensPerRequest}: Load, seed: number, durationMs: number) => {
	const random = createRandom(seed);
	const names = Array.from({length: routers}, (_, index) => `r${index}`);
	const tenants = Array.from({length: organisations}, (_, index) => `o${index}`);
	// A few organisations send most of the requests.
	const computeShare = (index: number) => Math.sqrt((index + 1) / organisations) - Math.sqrt(index / organisations);
	const total = requestsPerSecond * tokensPerRequest * budgetSeconds;
	const context = {budgets: Map(tenants.map((tenant, index) => [tenant, Math.round(total * computeShare(index))] as const))};
	let quotas = Map(names.map(name => [name, createLocalQuota(name, `${name}#1`, 0)] as const));
	let waiting = Map(names.map(name => [name, [] as readonly Waiting[]] as const));
	let rows = Map<string, StoredRow>();
	let version = 0;
	let busyUntil = 0;
	let now = 0;
	let events: ReadonlyArray<Readonly<{at: number; run: () => void}>> = [];
	let waits: readonly number[] = [];
	let refused = 0;
	let transactions = 0;

	const schedule = (at: number, run: () => void) => {
		events = [...events, {at, run}];
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

	const callStore = (name: string, call: QuotaStoreCall) => {
		const respond = (reply: StoreReply) => {
			apply(name, {kind: 'replied', reply, random: random.draw()});
		};

		if (call.kind === 'read') {
			schedule(now + transactionMs, () => {
				respond({
					kind: 'done', rows: rows.valueSeq().toArray().filter(row => row.table === call.table), version, now, era: succeed(1),
				});
			});
		} else if (busyUntil - now > maxBacklogMs) {
			schedule(now + tickMs, () => {
				respond({kind: 'refused', reason: 'busy'});
			});
		} else {
			transactions += 1;
			busyUntil = Math.max(now, busyUntil) + transactionMs;
			schedule(busyUntil, () => {
				respond(transact(call.writes));
			});
		}
	};

	const apply = (name: string, event: Parameters<typeof handleQuotaEvent>[1]) => {
		const step = handleQuotaEvent(quotas.get(name)!, event, now, context);
		quotas = quotas.set(name, step.state);
		step.effects.forEach(effect => {
			if (effect.kind === 'store') {
				callStore(name, effect.call);
			}
		});
		if (step.effects.some(({kind}) => kind === 'changed')) {
			serveWaiting(name);
		}
	};

	const recordWait = (since: number) => {
		if (since >= warmUpMs) {
			waits = [...waits, now - since];
		}
	};

	const serve = (name: string, request: Waiting): boolean => {
		const reserved = reserveTokens(quotas.get(name)!, request.organisation, request.tokens, now);
		if (reserved === undefined) {
			return false;
		}

		quotas = quotas.set(name, reserved);
		recordWait(request.since);
		schedule(now + runMs, () => {
			quotas = quotas.set(name, chargeTokens(quotas.get(name)!, request.organisation, request.tokens, Math.floor(request.tokens * 0.8)));
		});
		return true;
	};

	const setWaiting = (name: string, requests: readonly Waiting[]) => {
		waiting = waiting.set(name, requests);
		quotas = quotas.set(name, tenants.reduce<LocalQuota>((quota, tenant) => {
			const tokens = requests.filter(({organisation}) => organisation === tenant).map(request => request.tokens);
			return setWaitingTokens(quota, tenant, tokens.reduce((sum, each) => sum + each, 0), tokens.length === 0 ? 0 : Math.min(...tokens));
		}, quotas.get(name)!));
	};

	const serveWaiting = (name: string) => {
		setWaiting(name, waiting.get(name)!.filter(request => !serve(name, request)));
	};

	const arrive = () => {
		const name = names[random.pick(routers)]!;
		const organisation = tenants[Math.floor((random.draw() ** 2) * organisations)]!;
		const request = {organisation, tokens: Math.round(tokensPerRequest * (0.3 + (1.4 * random.draw()))), since: now};
		if (!serve(name, request)) {
			setWaiting(name, [...waiting.get(name)!, request]);
			apply(name, {kind: 'wanted'});
		}
	};

	Array.from({length: durationMs / tickMs}).forEach((_, index) => {
		now += tickMs;
		const due = events.filter(({at}) => at <= now).toSorted((a, b) => a.at - b.at);
		events = events.filter(({at}) => at > now);
		due.forEach(({run}) => {
			run();
		});
		names.forEach((name, offset) => {
			const late = waiting.get(name)!.filter(({since}) => now - since >= maxWaitMs);
			if (late.length > 0) {
				refused += late.filter(({since}) => since >= warmUpMs).length;
				setWaiting(name, waiting.get(name)!.filter(request => !late.includes(request)));
			}

			if ((index + offset) % (syncIntervalMs / tickMs) === 0) {
				apply(name, {kind: 'tick'});
			}
		});
		if (now >= warmUpMs - 1000) {
			const count = requestsPerSecond * tickMs / 1000;
			Array.from({length: Math.floor(count) + (random.draw() < count % 1 ? 1 : 0)}).forEach(() => {
				arrive();
			});
		}
	});
	return {
		refusedFraction: refused / (refused + waits.length),
		waitedFraction: waits.filter(wait => wait > 2 * tickMs).length / waits.length,
		transactionsPerSecond: transactions * 1000 / durationMs,
	};
};

test.each<[string, Load]>([
	['4 routers', {
		routers: 4, organisations: 10, requestsPerSecond: 93, tokensPerRequest: 5000,
	}],
	['11 routers', {
		routers: 11, organisations: 24, requestsPerSecond: 330, tokensPerRequest: 4500,
	}],
	['27 routers', {
		routers: 27, organisations: 40, requestsPerSecond: 465, tokensPerRequest: 5500,
	}],
])('requests get tokens of ample budgets without waiting for the store: %s', (_, load) => {
	const {refusedFraction, waitedFraction, transactionsPerSecond} = playLoad(load, 1, 15_000);
	expect(refusedFraction, 'refused').toBeLessThan(0.01);
	expect(waitedFraction, 'waited').toBeLessThan(0.2);
	expect(transactionsPerSecond, 'transactions').toBeLessThan(180);
}, 120_000);
