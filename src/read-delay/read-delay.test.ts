import {expect, test} from 'vitest';
import {
	boundWait, createReadDelay, decideQueueAction, recordAcceptance, recordLag, recordPoll, recordProbe, recordProbeSent, recordQueuePoll,
} from './index.js';
import type {ReadDelay} from './index.js';

type Connection = Readonly<{openedAt: number; isProbe: boolean}>;

/** An accept queue of which one connection is taken in each iteration, and what is known of it. */
type Play = Readonly<{
	delay: ReadDelay;
	queue: readonly Connection[];
	/** Actual wait and its bound, of each accepted connection. */
	waits: ReadonlyArray<Readonly<{actual: number; bound: number}>>;
	resetWaits: readonly number[];
}>;

const acceptNext = (play: Play, now: number): Play => {
	const [next, ...queue] = play.queue;
	if (next === undefined) {
		return play;
	}

	const {delay, acceptance} = recordAcceptance(play.delay, now);
	return next.isProbe
		? {...play, queue, delay: recordProbe(delay, next.openedAt)}
		: {
			...play, queue, delay, waits: [...play.waits, {actual: now - next.openedAt, bound: boundWait(delay, acceptance, now)}],
		};
};

/** Plays iterations of a length until the time, with connections opened at the given times. */
const play = (openedAt: readonly number[], iterationMs: number, untilMs: number): Play =>
	Array.from({length: untilMs / iterationMs}, (_, index) => (index + 1) * iterationMs).reduce<Play>((before, now) => {
		const opened = openedAt.filter(at => at > now - iterationMs && at <= now).map(at => ({openedAt: at, isProbe: false}));
		// The timers fire first, then the sockets are polled.
		const late = {...before, delay: recordLag(before.delay, iterationMs - 20), queue: [...before.queue, ...opened]};
		const accepted = acceptNext(late, now);
		const delay = recordQueuePoll(recordPoll(accepted.delay));
		const action = decideQueueAction(delay, now);
		if (action === 'reset') {
			const resetWaits = accepted.queue.filter(({isProbe}) => !isProbe).map(({openedAt: at}) => now - at);
			return {
				...accepted, delay: {...createReadDelay(), polls: delay.polls}, queue: [], resetWaits: [...accepted.resetWaits, ...resetWaits],
			};
		}

		return action === 'probe'
			? {...accepted, delay: recordProbeSent(delay, now), queue: [...accepted.queue, {openedAt: now, isProbe: true}]}
			: {...accepted, delay};
	}, {
		delay: createReadDelay(), queue: [], waits: [], resetWaits: [],
	});

/** How much less than the actual wait a bound may be, in ms: a timer is due 20 ms after the last poll, and its lag counts from then. */
const timerMs = 20;

test.each([[1, 100], [5, 100], [20, 40], [60, 10]])('with iterations of %i ms, the bound of a wait in the accept queue is never below it, and not far above', (iterationMs, count) => {
	const {waits} = play(Array.from({length: count}, (_, index) => 500 + (index * 3)), iterationMs, 3000);
	expect(waits.length).toBe(count);
	expect(waits.filter(({actual, bound}) => bound < actual - timerMs)).toEqual([]);
	expect(Math.max(...waits.map(({actual, bound}) => bound - actual))).toBeLessThan(400);
});

test('a queue that is never empty, but short, is not reset', () => {
	const {waits, resetWaits} = play(Array.from({length: 1000}, (_, index) => index * 10), 10, 10_000);
	expect(resetWaits).toEqual([]);
	expect(waits.length).toBeGreaterThan(850);
	expect(Math.max(...waits.map(({bound}) => bound))).toBeLessThan(1000);
});

test('connections that have waited for one and a half seconds are reset, and none waits for much longer', () => {
	const {waits, resetWaits} = play(Array.from({length: 300}, (_, index) => 500 + index), 20, 6000);
	expect(resetWaits.length).toBeGreaterThan(50);
	expect(Math.max(...resetWaits, ...waits.map(({actual}) => actual))).toBeLessThan(1700);
	expect(waits.length + resetWaits.length).toBe(300);
});

test('a request on a kept connection has waited for as long as the sockets were not polled', () => {
	const stalled = recordLag(createReadDelay(), 900);
	expect(boundWait(stalled, undefined, 5000)).toBe(900);
	expect(boundWait(recordPoll(stalled), undefined, 5000)).toBe(0);
});

test('a request that comes later than its connection has not waited with it', () => {
	const {delay, acceptance} = recordAcceptance(recordLag(createReadDelay(), 900), 5000);
	const polled = recordQueuePoll(recordPoll(delay));
	expect(boundWait(polled, acceptance, 5010)).toBe(910);
	expect(boundWait(recordQueuePoll(polled), acceptance, 5020)).toBe(0);
});
