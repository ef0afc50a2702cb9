import {describe, expect, test} from 'vitest';
import {findBufferExcess} from './buffer-limits.js';
import type {BufferedKind} from './buffer-limits.js';

const mebibyte = 1024 * 1024;

describe.each<[BufferedKind, number]>([['response', 8], ['event', 1]])('%s in memory', (kind, max) => {
	test.each<[string, number, number, boolean]>([
		['may go on while it is of usual size', 0.01, 0.01, true],
		['may go on while it is large and alone', 0.9 * max, 0.9 * max, true],
		['may not become larger than the limit', 1.1 * max, 1.1 * max, false],
		['may not grow while all together exceed theirs', 0.4 * max, 33, false],
		['may go on while others exceed the limit and it is small itself', 0.05, 40, true],
	])('%s', (_, own, total, mayGoOn) => {
		expect(findBufferExcess(kind, own * mebibyte, () => total * mebibyte) === undefined).toBe(mayGoOn);
	});
});
