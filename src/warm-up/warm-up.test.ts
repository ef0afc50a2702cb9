import process from 'node:process';
import {expect, test} from 'vitest';
import {edgeSettings} from '../edge/settings.js';
import {createMemoryStore} from './memory-store.js';
import {warmUp} from './index.js';

const settings = edgeSettings.parse({
	host: {name: 'r', address: '127.0.0.1', 'data-centre': 'z'},
	listen: {
		callers: '127.0.0.1:1', ready: '127.0.0.1:2', metrics: '127.0.0.1:3', peers: '127.0.0.1:4',
	},
	store: {address: '127.0.0.1:5'},
	bounds: {grace: '7s', 'repeat-ratio': '0.2', 'repeat-slack': '50'},
});

const countHandles = () => process.getActiveResourcesInfo().filter(kind => kind.startsWith('TCP') || kind.startsWith('UDP')).length;

test('samples are served inside the process, and leave no socket open', async () => {
	const before = countHandles();
	const {requests} = await warmUp(settings, {maxRequests: 200, maxMs: 20_000, signal: new AbortController().signal});
	expect(requests).toBe(200);
	await expect.poll(countHandles).toBe(before);
});

test.each([
	['is aborted', {maxMs: 20_000, abortMs: 200}],
	['has used up its time', {maxMs: 200, abortMs: 20_000}],
])('ends soon once it %s', async (_, {maxMs, abortMs}) => {
	const controller = new AbortController();
	const timer = setTimeout(() => {
		controller.abort();
	}, abortMs);
	const {requests, elapsedMs} = await warmUp(settings, {maxRequests: 1_000_000, maxMs, signal: controller.signal});
	clearTimeout(timer);
	expect(requests).toBeGreaterThan(0);
	expect(elapsedMs).toBeLessThan(10_000);
});

test('a transaction on another version of a row is not applied', async () => {
	const store = createMemoryStore([]);
	const write = {
		table: 'holds', key: 'a', version: 0, value: 'x',
	} as const;
	const first = await store.transact([write]);
	const second = await store.transact([{...write, value: 'y'}]);
	const reply = await store.readRow({table: 'holds', key: 'a'});
	expect([first.kind, second.kind, reply.kind === 'done' && reply.rows[0]?.value]).toEqual(['done', 'conflict', 'x']);
});
