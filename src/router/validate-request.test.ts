import {Buffer} from 'node:buffer';
import {describe, expect, test} from 'vitest';
import {applyRevision, emptyConfig, listEntries} from '../config/index.js';
import {buildConfigDocument, studio} from '../local/deployments.js';
import type {ErrorKind} from '../errors/index.js';
import {checkRequest} from './validate-request.js';
import type {IncomingRequest} from './validate-request.js';

const config = applyRevision(emptyConfig, {
	revision: 1,
	isSnapshot: true,
	changes: listEntries(buildConfigDocument(studio)).entrySeq().toArray().map(([name, value]) => ({name, value})),
});

const chatPath = '/v1/chat/completions';
const credentials = {authorization: 'Bearer key-studio-1'};
const chatBody = {model: 'stone-advice', messages: [{role: 'user', content: 'hello'}]};

const createRequest = (fields: Partial<IncomingRequest> & Readonly<{json?: unknown}> = {}): IncomingRequest => ({
	id: 'q-1',
	method: 'POST',
	path: chatPath,
	headers: credentials,
	body: Buffer.from(JSON.stringify(fields.json ?? chatBody)),
	isForwarded: false,
	...fields,
});

const createChatRequest = (fields: Readonly<Record<string, unknown>>): IncomingRequest => createRequest({json: {...chatBody, ...fields}});
const createShopOrder = (headers: Readonly<Record<string, string>>, method = 'POST'): IncomingRequest =>
	createRequest({path: '/v1/services/shop/orders', headers: {...credentials, ...headers}, method});

const invalidRequests: ReadonlyArray<Readonly<{name: string; request: IncomingRequest; kind: ErrorKind; field: string}>> = [
	{
		name: 'no API key', request: createRequest({headers: {}}), kind: 'unauthorised', field: 'Authorization',
	},
	{
		name: 'an unknown API key', request: createRequest({headers: {authorization: 'Bearer nobody'}}), kind: 'unauthorised', field: 'Authorization',
	},
	{
		name: 'an unknown path', request: createRequest({path: '/v2/chat'}), kind: 'not-found', field: 'path',
	},
	{
		name: 'a method that is not allowed', request: createRequest({method: 'DELETE'}), kind: 'method-not-allowed', field: 'method',
	},
	{
		name: 'a body that is not JSON', request: createRequest({body: Buffer.from('{')}), kind: 'bad-request', field: 'body',
	},
	{
		name: 'a body that is not UTF-8', request: createRequest({body: Buffer.from([0x7B, 0xFF])}), kind: 'bad-request', field: 'body',
	},
	{
		name: 'an array as body', request: createRequest({json: []}), kind: 'bad-request', field: 'body',
	},
	{
		name: 'no messages', request: createChatRequest({messages: []}), kind: 'bad-request', field: 'messages',
	},
	{
		name: 'a message without a role', request: createChatRequest({messages: [{content: 'x'}]}), kind: 'bad-request', field: 'messages.0.role',
	},
	{
		name: 'a model that is not a string', request: createChatRequest({model: 7}), kind: 'bad-request', field: 'model',
	},
	{
		name: 'a stream flag that is not a boolean', request: createChatRequest({stream: 'yes'}), kind: 'bad-request', field: 'stream',
	},
	{
		name: 'a negative token limit', request: createChatRequest({max_tokens: -1}), kind: 'bad-request', field: 'max_tokens',
	},
	{
		name: 'a fractional token limit', request: createChatRequest({max_completion_tokens: 1.5}), kind: 'bad-request', field: 'max_completion_tokens',
	},
	{
		name: 'too many choices', request: createChatRequest({n: 1000}), kind: 'bad-request', field: 'n',
	},
	{
		name: 'an unknown class', request: createRequest({headers: {...credentials, 'galena-class': 'nothing'}}), kind: 'unknown-class', field: 'Galena-Class',
	},
	{
		name: 'a class of another kind', request: createRequest({headers: {...credentials, 'galena-class': 'shop-order'}}), kind: 'bad-request', field: 'Galena-Class',
	},
	{
		name: 'an idempotency key with a space', request: createShopOrder({'idempotency-key': 'a b'}), kind: 'bad-request', field: 'Idempotency-Key',
	},
	{
		name: 'an idempotency key that is too long', request: createShopOrder({'idempotency-key': 'k'.repeat(300)}), kind: 'bad-request', field: 'Idempotency-Key',
	},
	{
		name: 'an at-most-once request without an idempotency key', request: createShopOrder({}), kind: 'key-required', field: 'Idempotency-Key',
	},
	{
		name: 'an at-most-once request by GET', request: createShopOrder({'idempotency-key': 'k'}, 'GET'), kind: 'method-not-allowed', field: 'method',
	},
	{
		name: 'an at-most-once request that names a repeatable class', request: createShopOrder({'idempotency-key': 'k', 'galena-class': 'shop-lookup'}), kind: 'unknown-class', field: 'Galena-Class',
	},
	{
		name: 'a path that no class matches', request: createRequest({path: '/v1/services/shop/elsewhere'}), kind: 'unknown-class', field: 'Galena-Class',
	},
	{
		name: 'a pool of another organisation', request: createRequest({path: '/v1/services/filing-desk/lodgings'}), kind: 'unknown-class', field: 'Galena-Class',
	},
];

describe('checkCall', () => {
	test.each(invalidRequests)('refuses $name', testCase => {
		const checked = checkRequest(config, testCase.request);
		expect(checked.err).toBe(true);
		expect(checked.val).toMatchObject({kind: testCase.kind});
		expect((checked.val as {detail: string}).detail).toMatch(testCase.field);
	});

	test('refuses all requests before a configuration is in force', () => {
		expect(checkRequest(emptyConfig, createRequest()).val).toMatchObject({kind: 'not-ready'});
	});

	test('reserves tokens for the whole prompt and for every choice', () => {
		const {spec: small} = checkRequest(config, createChatRequest({max_tokens: 10})).unwrap();
		const {spec: large} = checkRequest(config, createChatRequest({max_tokens: 10, n: 3})).unwrap();
		expect(small.cap).toBeGreaterThan(JSON.stringify(chatBody).length + 10);
		expect(large.outputCap).toBe(30);
	});

	test('limits the output tokens to those of the class', () => {
		expect(checkRequest(config, createChatRequest({max_tokens: 100_000})).unwrap().spec.outputCap).toBe(128);
	});

	test('derives the request id of an at-most-once request from the organisation and the key alone', () => {
		const send = (json: unknown) => checkRequest(config, createRequest({path: '/v1/services/shop/orders', headers: {...credentials, 'idempotency-key': 'k'}, json})).unwrap().spec;
		expect(send({ring: 1}).billId).toBe(send({ring: 2}).billId);
		expect(send({ring: 1}).digest).not.toBe(send({ring: 2}).digest);
	});
});
