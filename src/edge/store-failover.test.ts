import {
	afterEach, expect, test, vi,
} from 'vitest';
import type {StoreOperations} from '../platform/index.js';
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

/** The reply by each path, and its delay in ms. */
type Replies = Readonly<Record<string, Readonly<{reply: StoreReply; delayMs: number}>>>;

const directAddress = '10.0.0.1:1';
const relayAddress = '10.0.0.2:2';

/** Opens a failover store with fake timers. */
const openStore = (replies: Replies) => {
	vi.useFakeTimers();
	const attempted: string[] = [];
	const changes: string[] = [];
	const replyFrom = async (address: string) => {
		attempted.push(address);
		const {reply, delayMs: after} = replies[address]!;
		await new Promise(resolve => {
			setTimeout(resolve, after);
		});
		return reply;
	};

	const operations = openFailoverStore({
		client: {
			forAddress(address): StoreOperations {
				const operate = async () => replyFrom(address);
				return {
					transact: operate, read: operate, readRow: operate, follow: operate,
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
		attempted, changes, operations,
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
