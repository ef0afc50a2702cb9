import {afterEach, expect, test} from 'vitest';
import {parseAddress} from '../server/index.js';
import type {ListeningServer} from '../server/index.js';
import {defaultEngineProfile, startEngine, startService} from './index.js';

const at = parseAddress('127.0.0.1:0');
const started: ListeningServer[] = [];

afterEach(async () => {
	await Promise.all(started.splice(0).map(async server => server.close()));
});

const post = async (server: ListeningServer, path: string, body: string): Promise<number> => {
	const response = await fetch(`http://${server.address}${path}`, {method: 'POST', body});
	await response.text();
	return response.status;
};

const createChat = (content: string): string => JSON.stringify({model: 'm', messages: [{role: 'user', content}], max_tokens: 1});

test.each([
	['the path', '/acts/kill', 'sound'],
	['the body', '/acts/1', 'kill'],
])('a service crashes on requests with a text in %s', async (_, path, body) => {
	const service = await startService(at);
	started.push(service);
	service.faults.set({crashOn: 'kill', downMs: 60_000});
	expect(await post(service, '/acts/2', 'sound')).toBe(201);
	await expect(post(service, path, body)).rejects.toThrow('fetch failed');
	await expect(post(service, '/acts/3', 'sound')).rejects.toThrow('fetch failed');
	expect(service.executions().map(execution => execution.path)).toEqual(['/acts/2', path]);
});

test('a crashed engine serves again after a while', async () => {
	const engine = await startEngine({at, model: 'm', size: defaultEngineProfile});
	started.push(engine);
	engine.faults.set({crashOn: 'kill', downMs: 0});
	await expect(post(engine, '/v1/chat/completions', createChat('kill'))).rejects.toThrow('fetch failed');
	await expect.poll(async () => post(engine, '/v1/chat/completions', createChat('sound'))).toBe(200);
});

test('a service and an engine turn requests away and ask for a rest', async () => {
	const service = await startService(at);
	const engine = await startEngine({at, model: 'm', size: defaultEngineProfile});
	started.push(service, engine);
	const faults = {turnAway: 1, retryAfter: '1.5'};
	service.faults.set(faults);
	engine.faults.set(faults);
	const rejections = await Promise.all([
		fetch(`http://${service.address}/acts/1`, {method: 'POST', body: 'a'}),
		fetch(`http://${engine.address}/v1/chat/completions`, {method: 'POST', body: createChat('a')}),
	]);
	expect(rejections.map(({status, headers}) => [status, headers.get('retry-after')])).toEqual([[503, '1.5'], [503, '1.5']]);
	expect(service.executions()).toEqual([]);
	expect([await post(service, '/acts/1', 'a'), await post(engine, '/v1/chat/completions', createChat('a'))]).toEqual([201, 200]);
});
