import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, beforeEach} from 'vitest';

/** Duration of a test after which its worker waits for its parent, and for how long, in ms. */
const longTestMs = 1000;
const waitMs = 250;

let startedAt = 0;

beforeEach(() => {
	startedAt = performance.now();
});

const awaitPoll = async (): Promise<void> => new Promise(resolve => {
	setImmediate(resolve);
});

// Long synchronous tests in a row would keep a worker from sending its calls to its parent, and from reading the replies, which time out after 60 s.
afterEach(async () => {
	const isLong = performance.now() - startedAt > longTestMs;
	await (isLong ? sleep(waitMs) : awaitPoll());
});
