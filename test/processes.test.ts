import {
	afterAll, beforeAll, describe, expect, test,
} from 'vitest';
import {expectAnswer} from '../src/standin/index.js';
import {startProcesses, stopPrograms} from './processes.js';
import type {ProcessFleet} from './processes.js';

const ask = (content: string, fields: Readonly<Record<string, unknown>> = {}) => ({model: 'stone-advice', messages: [{role: 'user', content}], ...fields});

type Event = Readonly<{choices?: ReadonlyArray<Readonly<{delta?: Readonly<{content?: string}>}>>}>;

const readStream = (text: string) => {
	const data = text.split('\n').filter(line => line.startsWith('data: ')).map(line => line.slice(6));
	const events = data.filter(line => line !== '[DONE]').map(line => JSON.parse(line) as Event);
	return {
		isDone: data.at(-1) === '[DONE]',
		content: events.map(event => event.choices?.[0]?.delta?.content ?? '').join(''),
	};
};

describe('the whole path, as separate processes', () => {
	let fleet: ProcessFleet;

	beforeAll(async () => {
		fleet = await startProcesses(1);
	});

	afterAll(() => {
		stopPrograms();
	});

	test('streams a chat completion from caller to engine and back', async () => {
		const [router] = fleet.routers;
		const response = await fleet.call(router!, '/v1/chat/completions', ask('which stone?', {stream: true}));
		const stream = readStream(await response.text());
		expect(response.status).toBe(200);
		expect(stream.isDone).toBe(true);
		expect(stream.content).toBe(expectAnswer([{role: 'user', content: 'which stone?'}], 128));
	});

	test('carries out an act once, however often it is sent', async () => {
		const [router] = fleet.routers;
		const headers = {'idempotency-key': 'ring-1'};
		const first = await fleet.call(router!, '/v1/services/shop/orders', {ring: 1}, headers);
		const second = await fleet.call(router!, '/v1/services/shop/orders', {ring: 1}, headers);
		const executions = await fetch(`http://${fleet.service.started.address}/_executions`);
		expect(first.status).toBe(201);
		expect(await second.text()).toBe(await first.text());
		expect(await executions.json()).toHaveLength(1);
	});
});
