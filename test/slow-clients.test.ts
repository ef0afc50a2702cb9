import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {connect} from 'node:net';
import {expect, onTestFinished, test} from 'vitest';
import {startRouter, startSystem} from './edge-system.js';
import {writeWithoutEnd} from './endless.js';

const formatHead = (...headers: readonly string[]): string => ['POST / HTTP/1.1', 'Host: h', 'Attempt-Id: a', 'Request-Deadline-Ms: 20000', ...headers, '', ''].join('\r\n');

// Guards against a stream that stays unread at its endpoint until the endpoint cuts it off.
test('a client that reads nothing of its stream is given up, and its endpoint\'s connection is closed', async () => {
	let closed = 0;
	const endpoint = createServer((incoming, response) => {
		incoming.resume();
		response.writeHead(200, {'response-seal': 's', 'attempt-id': 'a', 'content-type': 'text/event-stream'});
		writeWithoutEnd(response, Buffer.from(`data: ${'x'.repeat(60_000)}\n\n`));
		response.on('close', () => {
			closed += 1;
		});
	});
	const {port} = await startRouter({endpoints: [{server: endpoint}], route: {timeoutMs: 20_000}});
	const client = connect(port, '127.0.0.1').on('error', () => undefined);
	onTestFinished(() => {
		client.destroy();
	});
	client.write(formatHead('Content-Length: 0'));
	await expect.poll(() => closed, {timeout: 8000}).toBe(1);
}, 30_000);

// Guards against a body that is asked for and read although its announced size is refused.
test.each([
	['100001', /^HTTP\/1\.1 413 /v],
	['100000', /^HTTP\/1\.1 100 /v],
])('a client that announces %s bytes and waits to be asked for them gets its answer before it sends them', async (length, expected) => {
	const {port} = await startSystem(Buffer.alloc(1));
	const client = connect(port, '127.0.0.1').on('error', () => undefined);
	client.write(formatHead(`Content-Length: ${length}`, 'Expect: 100-continue'));
	const [received] = await once(client, 'data') as [Buffer];
	client.destroy();
	expect(String(received)).toMatch(expected);
}, 30_000);
