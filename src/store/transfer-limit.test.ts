import {expect, test} from 'vitest';
import {computeTransferWait} from './transfer-limit.js';

test.each([
	['has just begun', 0, 0, 1000],
	['is sent at 7 Mbit/s', 450_000, 520, 1000],
	['is sent at 1 Mbit/s', 250_000, 2000, 1000],
	['brings a few bytes at a time', 600, 900, 118.75],
	['was too slow on the whole', 3200, 1200, 0],
])('a reply that %s may pause for as long as its rate allows', (_, bytes, elapsedMs, waitMs) => {
	expect(computeTransferWait(bytes, elapsedMs)).toBe(waitMs);
});
