import {connect} from 'node:net';
import {
	afterAll, beforeAll, describe, expect, test,
} from 'vitest';
import {buildConfigDocument, studio} from '../src/local/deployments.js';
import {waitFor} from '../src/local/fleet.js';
import {computeExpectedAnswer} from '../src/standin/index.js';
import {
	runProgram, startProcesses, stopPrograms, waitForAgents, writeSettings,
} from '../src/bench/processes.js';
import type {ProcessFleet, Program, RouterStatus} from '../src/bench/processes.js';

const createChatBody = (content: string, fields: Readonly<Record<string, unknown>> = {}) => ({model: 'stone-advice', messages: [{role: 'user', content}], ...fields});

type Event = Readonly<{choices?: ReadonlyArray<Readonly<{delta?: Readonly<{content?: string}>}>>}>;

const parseStream = (text: string) => {
	const data = text.split('\n').filter(line => line.startsWith('data: ')).map(line => line.slice(6));
	const events = data.filter(line => line !== '[DONE]').map(line => JSON.parse(line) as Event);
	return {
		isDone: data.at(-1) === '[DONE]',
		content: events.map(event => event.choices?.[0]?.delta?.content ?? '').join(''),
	};
};

describe('the request path through separate processes', () => {
	let fleet: ProcessFleet;

	beforeAll(async () => {
		fleet = await startProcesses(1);
	});

	afterAll(() => {
		stopPrograms();
	});

	test('streams a chat completion from the client to the engine and back', async () => {
		const [router] = fleet.routers;
		const response = await fleet.call(router!, '/v1/chat/completions', createChatBody('which stone?', {stream: true}));
		const stream = parseStream(await response.text());
		expect(response.status).toBe(200);
		expect(stream.isDone).toBe(true);
		expect(stream.content).toBe(computeExpectedAnswer([{role: 'user', content: 'which stone?'}], 128));
	});

	test('executes a non-idempotent request once, however often it is sent', async () => {
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

const orderHeaders = {'idempotency-key': 'k'};
const ordersPath = '/v1/services/shop/orders';
const chatPath = '/v1/chat/completions';

const listExecutions = async (fleet: ProcessFleet) => {
	const response = await fetch(`http://${fleet.service.started.address}/_executions`);
	return await response.json() as readonly unknown[];
};

const readEngineCounts = async (fleet: ProcessFleet) => {
	const response = await fetch(`http://${fleet.engine.started.address}/_counts`);
	return await response.json() as Readonly<{started: number; cancelled: number; running: number}>;
};

const readStatus = async (fleet: ProcessFleet, router: Program) => {
	const response = await fleet.callOperatorApi(router, 'GET', '/operator/v1/status');
	return await response.json() as RouterStatus;
};

const readBudget = async (fleet: ProcessFleet, router: Program) => {
	const response = await fleet.callOperatorApi(router, 'GET', '/operator/v1/budgets/studio-1');
	return await response.json() as Readonly<{limit: number; granted: number; ungranted: number}>;
};

/** Sends bytes that an HTTP client library would refuse to send, and returns what the server sends until it closes the connection. */
const sendRaw = async (address: string, text: string) => new Promise<string>(resolve => {
	const [host, port] = address.split(':');
	const socket = connect(Number(port), host, () => {
		socket.write(text);
	});
	let response = '';
	socket.on('data', data => {
		response += data.toString();
	});
	socket.on('error', () => undefined);
	socket.on('close', () => {
		resolve(response);
	});
	socket.setTimeout(5000, () => socket.destroy());
});

describe('failures that need separate processes', () => {
	let fleet: ProcessFleet;

	beforeAll(async () => {
		fleet = await startProcesses(2);
	});

	afterAll(() => {
		stopPrograms();
	});

	test('malformed requests get error responses while other requests continue', async () => {
		const [router] = fleet.routers;
		const address = router!.started.address!;
		const running = fleet.call(router!, chatPath, createChatBody('goes on', {stream: true}));
		const large = await fleet.call(router!, chatPath, createChatBody('x'.repeat(5_000_000)));
		const headers = await sendRaw(address, `GET / HTTP/1.1\r\nhost: x\r\nlong: ${'x'.repeat(40_000)}\r\n\r\n`);
		const garbage = await sendRaw(address, 'this is not HTTP\r\n\r\n');
		expect(await large.json()).toMatchObject({kind: 'too-large', status: 413});
		expect(headers).toMatch(/^HTTP\/1\.1 431 .*"kind":"headers-too-large"/sv);
		expect(garbage).toMatch(/^HTTP\/1\.1 400 .*"kind":"bad-request"/sv);
		const others = await running;
		expect(parseStream(await others.text()).isDone).toBe(true);
	});

	test('a client that disconnects cancels the work at the engine', async () => {
		await fleet.setFaults(fleet.engine, {slowness: 50});
		const before = await readEngineCounts(fleet);
		const abort = new AbortController();
		const response = await fetch(`http://${fleet.routers[0]!.started.address}${chatPath}`, {
			method: 'POST', headers: {authorization: 'Bearer key-studio-1'}, body: JSON.stringify(createChatBody('leaves', {stream: true})), signal: abort.signal,
		});
		await response.body!.getReader().read();
		abort.abort();
		await waitFor('the engine to receive the cancellation', async () => {
			const now = await readEngineCounts(fleet);
			return now.cancelled > before.cancelled;
		});
		await fleet.setFaults(fleet.engine, {slowness: 1});
	});

	test('a non-idempotent request runs once if its claim was written but the store\'s reply was lost', async () => {
		const [first, second] = fleet.routers;
		await fleet.setFaults(fleet.table, {loseReplies: 1});
		const lost = await fleet.call(first!, ordersPath, {ring: 2}, orderHeaders);
		await fleet.setFaults(fleet.table, {loseReplies: 0});
		expect(lost.headers.get('galena-outcome')).not.toBe('complete');
		expect(await listExecutions(fleet)).toHaveLength(0);
		await waitFor('the retry to be executed', async () => {
			const retry = await fleet.call(second!, ordersPath, {ring: 2}, orderHeaders);
			return retry.status === 201;
		});
		expect(await listExecutions(fleet)).toHaveLength(1);
	});

	test('a different request with the same idempotency key is rejected', async () => {
		const response = await fleet.call(fleet.routers[0]!, ordersPath, {ring: 3}, orderHeaders);
		expect(await response.json()).toMatchObject({kind: 'key-conflict'});
		expect(await listExecutions(fleet)).toHaveLength(1);
	});

	test('a top-up sent twice concurrently, and once more to another router, is applied once', async () => {
		const [first, second] = fleet.routers;
		const before = await readBudget(fleet, first!);
		const body = {change: 'twice', add: 1000};
		const sent = await Promise.all([first!, first!, second!].map(async router => fleet.callOperatorApi(router, 'POST', '/operator/v1/budgets/studio-1', body)));
		const after = await readBudget(fleet, second!);
		const other = await fleet.callOperatorApi(second!, 'POST', '/operator/v1/budgets/studio-1', {...body, add: 5});
		expect(sent.map(response => response.status)).toEqual([200, 200, 200]);
		expect(after.limit - before.limit).toBe(1000);
		expect(await other.json()).toMatchObject({kind: 'key-conflict'});
	});

	test('of two concurrent configuration changes, one is rejected and names the entry that differs', async () => {
		const [first, second] = fleet.routers;
		const put = async (router: Program, price: number) => {
			const config = buildConfigDocument(studio);
			return fleet.callOperatorApi(router, 'PUT', '/operator/v1/config?why=race', {
				...config, classes: {...config.classes, 'shop-lookup': {...config.classes['shop-lookup'], price}},
			}, {'if-match': '1'});
		};

		const sent = await Promise.all([put(first!, 2), put(second!, 3)]);
		expect(new Set(sent.map(response => response.status))).toEqual(new Set([200, 412]));
		await waitFor('the revision to be in force everywhere', async () => {
			const statuses = await Promise.all([readStatus(fleet, first!), readStatus(fleet, second!)]);
			return statuses.every(status => status.revision === 2 && status.agents.every(agent => agent.revision === 2));
		});
		const late = await put(first!, 4);
		expect(await late.json()).toMatchObject({kind: 'revision-conflict', detail: expect.stringContaining('class/shop-lookup') as string});
		const audit = await fleet.callOperatorApi(first!, 'GET', '/operator/v1/audit');
		const {changes} = await audit.json() as Readonly<{changes: ReadonlyArray<Readonly<{kind: string; who: string; why: string}>>}>;
		expect(changes.filter(change => change.why === 'race')).toMatchObject([{kind: 'config', who: 'tester'}]);
	});

	test('while the store is down, chat is served from the grant and non-idempotent requests are rejected at once', async () => {
		const [router] = fleet.routers;
		await fleet.setFaults(fleet.table, {isDown: true});
		const chat = await fleet.call(router!, chatPath, createChatBody('store down'));
		const act = await fleet.call(router!, ordersPath, {ring: 4}, {'idempotency-key': 'down'});
		await fleet.setFaults(fleet.table, {isDown: false});
		expect(chat.status).toBe(200);
		expect(act.status).toBe(503);
		expect(act.headers.get('retry-after')).not.toBeNull();
		expect(await listExecutions(fleet)).toHaveLength(1);
	});

	test('after a router dies mid-stream, a retry at its peer succeeds and the tokens that it held are returned', async () => {
		const [first, second] = fleet.routers;
		await fleet.setFaults(fleet.engine, {slowness: 20});
		const headers = {'idempotency-key': 'mid-stream'};
		const chatBody = createChatBody('dies', {stream: true});
		const response = await fleet.call(first!, chatPath, chatBody, headers);
		await response.body!.getReader().read();
		first!.child.kill('SIGKILL');
		await fleet.setFaults(fleet.engine, {slowness: 1});
		const retry = await fleet.call(second!, chatPath, chatBody, headers);
		expect(parseStream(await retry.text())).toEqual({isDone: true, content: computeExpectedAnswer([{role: 'user', content: 'dies'}], 128)});
		await waitFor('the dead router to be reclaimed', () => second!.lines().some(line => line.includes('event=router-reclaimed')), 40_000);
		const third = await fleet.startRouter();
		await waitForAgents(third, fleet.callOperatorApi, 2);
		const status = await readStatus(fleet, second!);
		const grant = status.pots.find(pot => pot.budget === 'studio-1')!;
		const budget = await readBudget(fleet, second!);
		expect(budget.granted).toBeLessThan(grant.granted + 5000);
	});

	test('on SIGTERM a router completes open streams and returns its grants', async () => {
		const [, router] = fleet.routers;
		await fleet.setFaults(fleet.engine, {slowness: 10});
		const streams = await Promise.all([1, 2, 3].map(async index => fleet.call(router!, chatPath, createChatBody(`shutdown ${index}`, {stream: true}))));
		router!.child.kill('SIGTERM');
		const texts = await Promise.all(streams.map(async response => response.text()));
		await fleet.setFaults(fleet.engine, {slowness: 1});
		expect(texts.map(text => parseStream(text).isDone)).toEqual([true, true, true]);
		expect(await router!.exited).toBe(0);
		expect(router!.lines().some(line => line.includes('event=router-closed'))).toBe(true);
	});

	test('on SIGTERM an agent completes its work, accepts no more, and exits', async () => {
		const router = await fleet.startRouter();
		await waitForAgents(router, fleet.callOperatorApi, 2);
		await fleet.setFaults(fleet.engine, {slowness: 10});
		const response = await fleet.call(router, chatPath, createChatBody('leaving', {stream: true}));
		fleet.engineAgent.child.kill('SIGTERM');
		const text = await response.text();
		await fleet.setFaults(fleet.engine, {slowness: 1});
		const refused = await fleet.call(router, chatPath, createChatBody('too late'));
		expect(parseStream(text).isDone).toBe(true);
		expect(await refused.json()).toMatchObject({kind: 'not-ready', outcome: 'not-run'});
		expect(await fleet.engineAgent.exited).toBe(0);
	});

	test('a program with invalid settings starts nothing and exits with code 2', async () => {
		const bad = await runProgram('galena-router', ['--settings', writeSettings('[router]\nlisten = here\n')]);
		const check = await runProgram('galena-agent', ['--check', '--settings', writeSettings('[agent]\n')]);
		expect(bad).toMatchObject({code: 2});
		expect(bad.output).toMatch(/:2: \[router\] listen: must be an IP number/v);
		expect(check.code).toBe(2);
	});
});
