import {Buffer} from 'node:buffer';
import {describe, expect, test} from 'vitest';
import {computeFingerprint, digestBody} from './index.js';
import type {RequestHead} from './index.js';

const head: RequestHead = {
	key: 'c1', method: 'POST', url: '/orders?shop=1', host: 'h', apiKey: 'k1', clientTimeoutMs: 3000, modelRequest: undefined,
	resumeAfter: undefined, resumedKey: undefined, forwardedHeaders: [],
};
const body = digestBody(Buffer.from('ring'));
const fingerprint = computeFingerprint(head, 'studio', body);

describe('the fingerprint of a request', () => {
	test('is the same for each repetition', () => {
		const repetition: RequestHead = {
			...head, key: 'c2', apiKey: 'k2', clientTimeoutMs: 500, forwardedHeaders: ['X', '1'],
		};
		expect(computeFingerprint(repetition, 'studio', digestBody(Buffer.from('ring')))).toBe(fingerprint);
	});

	test.each([
		['another path', computeFingerprint({...head, url: '/orders?shop=2'}, 'studio', body)],
		['another host', computeFingerprint({...head, host: 'i'}, 'studio', body)],
		['another method', computeFingerprint({...head, method: 'PUT'}, 'studio', body)],
		['another organisation', computeFingerprint(head, 'workshop', body)],
		['no organisation', computeFingerprint(head, undefined, body)],
		['another body', computeFingerprint(head, 'studio', digestBody(Buffer.from('Ring')))],
		['no body', computeFingerprint(head, 'studio', digestBody(Buffer.alloc(0)))],
	])('differs with %s', (_, other) => {
		expect(other).not.toBe(fingerprint);
	});

	test('differs with another prompt if there is no body', () => {
		const [a, b] = ['a', 'b'].map(id => computeFingerprint({
			...head, modelRequest: {
				model: 'm', promptTokens: 1, maxOutputTokens: 1, parts: [{id, tokens: 1}],
			},
		}, 'studio', undefined));
		expect(a).not.toBe(b);
	});
});
