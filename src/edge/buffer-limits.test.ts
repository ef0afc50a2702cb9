import {describe, expect, test} from 'vitest';
import {findBufferExcess} from './buffer-limits.js';

const mebibyte = 1024 * 1024;

describe('a response in memory', () => {
	test.each<[string, number, number, boolean]>([
		['may go on while it is of usual size', 0.01, 0.01, true],
		['may go on while it is large and alone', 7, 7, true],
		['may not become larger than the limit', 9, 9, false],
		['may not grow while responses together exceed theirs', 3, 33, false],
		['may go on while others exceed the limit and it is small itself', 0.05, 40, true],
	])('%s', (_, own, total, mayGoOn) => {
		expect(findBufferExcess(own * mebibyte, () => total * mebibyte) === undefined).toBe(mayGoOn);
	});
});
