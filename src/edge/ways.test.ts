import {
	afterEach, expect, test, vi,
} from 'vitest';
import type {StoreCalls} from '../platform/index.js';
import type {StoreReply} from '../store/index.js';
import {openWays} from './ways.js';

const done: StoreReply = {
	kind: 'done', rows: [], version: 1, now: 1,
};
const refused: StoreReply = {kind: 'refused', reason: 'status 503'};
const lost: StoreReply = {kind: 'lost', reason: 'no answer within 1000 ms'};

afterEach(() => {
	vi.useRealTimers();
});

/** What each way answers, and after how long, in ms. */
type Answers = Readonly<Record<string, Readonly<{reply: StoreReply; after: number}>>>;

const own = '10.0.0.1:1';
const relay = '10.0.0.2:2';

/** Opens ways under virtual time. */
const open = (answers: Answers) => {
	vi.useFakeTimers();
	const tried: string[] = [];
	const changes: string[] = [];
	const answer = async (address: string) => {
		tried.push(address);
		const {reply, after} = answers[address]!;
		await new Promise(resolve => {
			setTimeout(resolve, after);
		});
		return reply;
	};

	const ways = openWays({
		store: {
			at: (address): StoreCalls => ({transact: async () => answer(address), read: async () => answer(address), follow: async () => answer(address)}),
			close: () => undefined,
		},
		own: {host: '10.0.0.1', port: 1},
		relays: [{host: '10.0.0.2', port: 2}],
		clock: () => Date.now(),
		onChange(from, to) {
			changes.push(`${from} > ${to}`);
		},
	});
	return {
		tried, changes, ways,
		/** Makes a transaction and waits until both ways have answered. */
		async transact() {
			const reply = ways.transact([]);
			await vi.advanceTimersByTimeAsync(2500);
			return reply;
		},
	};
};

test('the store is called by its own address alone while it answers', async () => {
	const fleet = open({[own]: {reply: done, after: 4}, [relay]: {reply: done, after: 6}});
	expect(await fleet.transact()).toBe(done);
	expect(fleet.tried).toEqual([own]);
});

test('a router that the store turns away is served by a relay, and says so once', async () => {
	const fleet = open({[own]: {reply: refused, after: 1}, [relay]: {reply: done, after: 6}});
	expect(await fleet.transact()).toBe(done);
	expect(fleet.tried).toEqual([own, relay]);
	expect(fleet.changes).toEqual([`${own} > ${relay}`]);
});

test('a router that is cut off does not wait for the call to be lost', async () => {
	const fleet = open({[own]: {reply: lost, after: 1000}, [relay]: {reply: done, after: 6}});
	vi.setSystemTime(0);
	const measure = async () => {
		const reply = await fleet.ways.transact([]);
		return {reply, at: Date.now()};
	};

	const measured = measure();
	await vi.advanceTimersByTimeAsync(1100);
	const {reply, at} = await measured;
	expect(reply).toBe(done);
	expect(at).toBeLessThan(200);
	expect(fleet.changes).toEqual([`${own} > ${relay}`]);
	const next = fleet.ways.transact([]);
	await vi.advanceTimersByTimeAsync(10);
	expect(await next).toBe(done);
	expect(fleet.tried).toEqual([own, relay, relay]);
});

test('a slow store is waited for', async () => {
	const fleet = open({[own]: {reply: done, after: 300}, [relay]: {reply: done, after: 306}});
	expect(await fleet.transact()).toBe(done);
	expect(fleet.changes).toEqual([]);
});

test.each([
	['refused by both ways', refused, refused, 'refused'],
	['lost on one way and refused by the other', lost, refused, 'lost'],
	['refused by one way and lost on the other', refused, lost, 'lost'],
])('a call that is %s is %s', async (_, first, second, kind) => {
	const fleet = open({[own]: {reply: first, after: 1}, [relay]: {reply: second, after: 1}});
	expect(await fleet.transact()).toMatchObject({kind});
});

test('a feed that is lost goes on by a relay', async () => {
	const fleet = open({[own]: {reply: lost, after: 1000}, [relay]: {reply: done, after: 6}});
	const first = fleet.ways.follow('op', 1);
	await vi.advanceTimersByTimeAsync(1001);
	expect(await first).toBe(lost);
	const second = fleet.ways.follow('op', 1);
	await vi.advanceTimersByTimeAsync(10);
	expect(await second).toBe(done);
});
