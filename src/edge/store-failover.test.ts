import {
	afterEach, expect, test, vi,
} from 'vitest';
import type {StoreOperations, StoreRequestOptions} from '../platform/index.js';
import type {StoreReply} from '../store/index.js';
import {openFailoverStore} from './store-failover.js';

const done: StoreReply = {
	kind: 'done', rows: [], version: 1, now: 1,
};
const refused: StoreReply = {kind: 'refused', reason: 'status 503'};
const lost: StoreReply = {kind: 'lost', reason: 'no answer within 1000 ms'};

afterEach(() => {
	vi.useRealTimers();
});

/** The reply by each path, when it begins and when it is complete, in ms; it begins with its end by default. */
type Replies = Readonly<Record<string, Readonly<{reply: StoreReply; delayMs: number; beginMs?: number}>>>;

const directAddress = '10.0.0.1:1';
const relayAddress = '10.0.0.2:2';

/** Opens a failover store with fake timers. */
const openStore = (replies: Replies) => {
	vi.useFakeTimers();
	const attempted: string[] = [];
	const received: string[] = [];
	const changes: string[] = [];
	const replyFrom = async (address: string, {onBegin, signal}: StoreRequestOptions = {}): Promise<StoreReply> => {
		attempted.push(address);
		const {reply, delayMs, beginMs = delayMs} = replies[address]!;
		return new Promise(resolve => {
			signal?.addEventListener('abort', () => {
				resolve({kind: 'lost', reason: 'no longer needed'});
			});
			setTimeout(() => {
				if (reply.kind === 'done') {
					onBegin?.();
				}
			}, beginMs);
			setTimeout(() => {
				if (signal?.aborted !== true) {
					received.push(address);
					resolve(reply);
				}
			}, delayMs);
		});
	};

	const operations = openFailoverStore({
		client: {
			forAddress(address): StoreOperations {
				const operate = async (_: unknown, options?: StoreRequestOptions) => replyFrom(address, options);
				return {
					transact: operate, read: operate, readRow: operate, follow: async () => replyFrom(address),
				};
			},
			close: () => undefined,
		},
		directAddress: {host: '10.0.0.1', port: 1},
		relayAddresses: [{host: '10.0.0.2', port: 2}],
		clock: () => Date.now(),
		onChange(from, to) {
			changes.push(`${from} > ${to}`);
		},
	});
	return {
		attempted, received, changes, operations,
		/** Sends a transaction and waits until both paths have replied. */
		async transact() {
			const reply = operations.transact([]);
			await vi.advanceTimersByTimeAsync(2500);
			return reply;
		},
	};
};

test('only the direct path is used while the store replies', async () => {
	const setup = openStore({[directAddress]: {reply: done, delayMs: 4}, [relayAddress]: {reply: done, delayMs: 6}});
	expect(await setup.transact()).toBe(done);
	expect(setup.attempted).toEqual([directAddress]);
});

test('a router that the store refuses fails over to a relay and reports the change once', async () => {
	const setup = openStore({[directAddress]: {reply: refused, delayMs: 1}, [relayAddress]: {reply: done, delayMs: 6}});
	expect(await setup.transact()).toBe(done);
	expect(setup.attempted).toEqual([directAddress, relayAddress]);
	expect(setup.changes).toEqual([`${directAddress} > ${relayAddress}`]);
});

test('a router that is cut off fails over before its request times out', async () => {
	const setup = openStore({[directAddress]: {reply: lost, delayMs: 1000}, [relayAddress]: {reply: done, delayMs: 6}});
	vi.setSystemTime(0);
	const measure = async () => {
		const reply = await setup.operations.transact([]);
		return {reply, at: Date.now()};
	};

	const measured = measure();
	await vi.advanceTimersByTimeAsync(1100);
	const {reply, at} = await measured;
	expect(reply).toBe(done);
	expect(at).toBeLessThan(200);
	expect(setup.changes).toEqual([`${directAddress} > ${relayAddress}`]);
	const next = setup.operations.transact([]);
	await vi.advanceTimersByTimeAsync(10);
	expect(await next).toBe(done);
	expect(setup.attempted).toEqual([directAddress, relayAddress, relayAddress]);
});

test('a slow store causes no failover', async () => {
	const setup = openStore({[directAddress]: {reply: done, delayMs: 300}, [relayAddress]: {reply: done, delayMs: 306}});
	expect(await setup.transact()).toBe(done);
	expect(setup.changes).toEqual([]);
});

test.each([
	['refused by both paths', refused, refused, 'refused'],
	['lost on the first path and refused by the second', lost, refused, 'lost'],
	['refused by the first path and lost on the second', refused, lost, 'lost'],
])('a request that is %s is reported as %s', async (_, first, second, kind) => {
	const setup = openStore({[directAddress]: {reply: first, delayMs: 1}, [relayAddress]: {reply: second, delayMs: 1}});
	expect(await setup.transact()).toMatchObject({kind});
});

test('a change feed that fails continues through a relay', async () => {
	const setup = openStore({[directAddress]: {reply: lost, delayMs: 1000}, [relayAddress]: {reply: done, delayMs: 6}});
	const first = setup.operations.follow('op', 1);
	await vi.advanceTimersByTimeAsync(1001);
	expect(await first).toBe(lost);
	const second = setup.operations.follow('op', 1);
	await vi.advanceTimersByTimeAsync(10);
	expect(await second).toBe(done);
});

// Guards against a large table whose two copies share a slow link until both are given up.
test.each([
	['is requested once if its reply begins in time', 20, 20, [directAddress], [directAddress]],
	['is received once if the reply to the hedged request begins first', 400, 20, [directAddress, relayAddress], [relayAddress]],
	['is received once if the first reply begins after all', 130, 200, [directAddress, relayAddress], [directAddress]],
])('a table that takes long to be sent %s', async (_, directBeginMs, relayBeginMs, attempted, received) => {
	const setup = openStore({
		[directAddress]: {reply: done, beginMs: directBeginMs, delayMs: 900},
		[relayAddress]: {reply: done, beginMs: relayBeginMs, delayMs: 900},
	});
	const reply = setup.operations.read('op');
	await vi.advanceTimersByTimeAsync(2500);
	expect(await reply).toBe(done);
	expect(setup.attempted).toEqual(attempted);
	expect(setup.received).toEqual(received);
});
