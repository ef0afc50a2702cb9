import {Buffer} from 'node:buffer';
import {expect, test} from 'vitest';
import {createByteBuffer} from './index.js';

test.each([
	['no chunk', []],
	['one chunk', ['whole']],
	['chunks of different sizes', ['', 'a', 'bcd', '', 'e'.repeat(1000), 'f']],
])('%s: a buffer holds the bytes in order', (_, chunks) => {
	const buffer = createByteBuffer();
	chunks.forEach(chunk => {
		buffer.add(Buffer.from(chunk));
	});
	expect(buffer.getBytes().toString()).toBe(chunks.join(''));
	expect(buffer.countBytes()).toBe(chunks.join('').length);
});

test('a buffer does not change the chunks that it was given', () => {
	const chunk = Buffer.from('ab');
	const buffer = createByteBuffer();
	buffer.add(chunk.subarray(0, 1));
	buffer.add(Buffer.from('c'));
	expect([chunk.toString(), buffer.getBytes().toString()]).toEqual(['ab', 'ac']);
});

// Copying all bytes for each chunk would exceed the time limit of the test.
test('a mebibyte in chunks of a byte takes up at most two', () => {
	const mebibyte = 1024 * 1024;
	const buffer = createByteBuffer();
	const chunk = Buffer.from('x');
	const growths = Array.from({length: mebibyte}, () => buffer.add(chunk)).filter(Boolean);
	expect(buffer.countBytes()).toBe(mebibyte);
	expect(buffer.countMemory()).toBeLessThanOrEqual(2 * mebibyte);
	expect(growths.length).toBeLessThanOrEqual(21);
	buffer.clear();
	expect(buffer.countMemory()).toBe(0);
});
