import {Buffer} from 'node:buffer';
import {describe, expect, test} from 'vitest';
import {applyRevision, emptyConfig, splitConfig} from '../config/index.js';
import {describeConfig, studio} from '../local/deployments.js';
import type {ErrorKind} from '../errors/index.js';
import {checkCall} from './front.js';
import type {Call} from './front.js';

const config = applyRevision(emptyConfig, {
	revision: 1,
	isSnapshot: true,
	changes: splitConfig(describeConfig(studio)).entrySeq().toArray().map(([name, value]) => ({name, value})),
});

const chatPath = '/v1/chat/completions';
const key = {authorization: 'Bearer key-studio-1'};
const question = {model: 'stone-advice', messages: [{role: 'user', content: 'hello'}]};

const call = (fields: Partial<Call> & Readonly<{json?: unknown}> = {}): Call => ({
	id: 'q-1',
	method: 'POST',
	path: chatPath,
	headers: key,
	body: Buffer.from(JSON.stringify(fields.json ?? question)),
	isForwarded: false,
	...fields,
});

const chat = (fields: Readonly<Record<string, unknown>>): Call => call({json: {...question, ...fields}});
const order = (headers: Readonly<Record<string, string>>, method = 'POST'): Call => call({path: '/v1/services/shop/orders', headers: {...key, ...headers}, method});

const malformed: ReadonlyArray<Readonly<{name: string; call: Call; kind: ErrorKind; field: string}>> = [
	{
		name: 'no key', call: call({headers: {}}), kind: 'unauthorised', field: 'Authorization',
	},
	{
		name: 'an unknown key', call: call({headers: {authorization: 'Bearer nobody'}}), kind: 'unauthorised', field: 'Authorization',
	},
	{
		name: 'an unknown path', call: call({path: '/v2/chat'}), kind: 'not-found', field: 'path',
	},
	{
		name: 'another method', call: call({method: 'DELETE'}), kind: 'method-not-allowed', field: 'method',
	},
	{
		name: 'a body that is not JSON', call: call({body: Buffer.from('{')}), kind: 'bad-request', field: 'body',
	},
	{
		name: 'a body that is not UTF-8', call: call({body: Buffer.from([0x7B, 0xFF])}), kind: 'bad-request', field: 'body',
	},
	{
		name: 'an array as body', call: call({json: []}), kind: 'bad-request', field: 'body',
	},
	{
		name: 'no messages', call: chat({messages: []}), kind: 'bad-request', field: 'messages',
	},
	{
		name: 'a message without a role', call: chat({messages: [{content: 'x'}]}), kind: 'bad-request', field: 'messages.0.role',
	},
	{
		name: 'a model that is no string', call: chat({model: 7}), kind: 'bad-request', field: 'model',
	},
	{
		name: 'a stream flag that is no boolean', call: chat({stream: 'yes'}), kind: 'bad-request', field: 'stream',
	},
	{
		name: 'a negative cap', call: chat({max_tokens: -1}), kind: 'bad-request', field: 'max_tokens',
	},
	{
		name: 'a fractional cap', call: chat({max_completion_tokens: 1.5}), kind: 'bad-request', field: 'max_completion_tokens',
	},
	{
		name: 'too many choices', call: chat({n: 1000}), kind: 'bad-request', field: 'n',
	},
	{
		name: 'an unknown class', call: call({headers: {...key, 'galena-class': 'nothing'}}), kind: 'unknown-class', field: 'Galena-Class',
	},
	{
		name: 'a class of another kind', call: call({headers: {...key, 'galena-class': 'shop-order'}}), kind: 'bad-request', field: 'Galena-Class',
	},
	{
		name: 'a key with a space', call: order({'idempotency-key': 'a b'}), kind: 'bad-request', field: 'Idempotency-Key',
	},
	{
		name: 'a key that is too long', call: order({'idempotency-key': 'k'.repeat(300)}), kind: 'bad-request', field: 'Idempotency-Key',
	},
	{
		name: 'an act without a key', call: order({}), kind: 'key-required', field: 'Idempotency-Key',
	},
	{
		name: 'an act by GET', call: order({'idempotency-key': 'k'}, 'GET'), kind: 'method-not-allowed', field: 'method',
	},
	{
		name: 'an act under a repeatable class', call: order({'idempotency-key': 'k', 'galena-class': 'shop-lookup'}), kind: 'unknown-class', field: 'Galena-Class',
	},
	{
		name: 'a path that no class covers', call: call({path: '/v1/services/shop/elsewhere'}), kind: 'unknown-class', field: 'Galena-Class',
	},
	{
		name: 'a pool of somebody else', call: call({path: '/v1/services/filing-desk/lodgings'}), kind: 'unknown-class', field: 'Galena-Class',
	},
];

describe('checkCall', () => {
	test.each(malformed)('refuses $name', row => {
		const checked = checkCall(config, row.call);
		expect(checked.err).toBe(true);
		expect(checked.val).toMatchObject({kind: row.kind});
		expect((checked.val as {detail: string}).detail).toMatch(row.field);
	});

	test('refuses everything before a configuration is in force', () => {
		expect(checkCall(emptyConfig, call()).val).toMatchObject({kind: 'not-ready'});
	});

	test('reserves the whole prompt and every choice', () => {
		const {order: small} = checkCall(config, chat({max_tokens: 10})).unwrap();
		const {order: large} = checkCall(config, chat({max_tokens: 10, n: 3})).unwrap();
		expect(small.cap).toBeGreaterThan(JSON.stringify(question).length + 10);
		expect(large.outputCap).toBe(30);
	});

	test('caps the output by the class', () => {
		expect(checkCall(config, chat({max_tokens: 100_000})).unwrap().order.outputCap).toBe(128);
	});

	test('derives the request id of an act from organisation and key alone', () => {
		const send = (json: unknown) => checkCall(config, call({path: '/v1/services/shop/orders', headers: {...key, 'idempotency-key': 'k'}, json})).unwrap().order;
		expect(send({ring: 1}).billId).toBe(send({ring: 2}).billId);
		expect(send({ring: 1}).digest).not.toBe(send({ring: 2}).digest);
	});
});
