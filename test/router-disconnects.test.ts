import {Buffer} from 'node:buffer';
import {connect} from 'node:net';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect, onTestFinished, test} from 'vitest';
import {studio} from '../src/local/deployments.js';
import {startFleet} from '../src/local/fleet.js';
import {silentLog} from './silent-log.js';

/** Time after a client's close within which its work must have ended, in ms. */
const leftMs = 500;

const formatRequest = (content: string): string => {
	const body = JSON.stringify({model: 'stone-advice', stream: true, messages: [{role: 'user', content}]});
	return [
		'POST /v1/chat/completions HTTP/1.1', 'Host: h', `Authorization: Bearer ${studio.organisations[0]!.key}`, `Content-Length: ${Buffer.byteLength(body)}`, '', body,
	].join('\r\n');
};

const pieceBytes = 200_000;

// Guards against a rejected upload whose client meets a closed connection before it has read the response.
test('a client that goes on with an upload which is too large gets the response', async () => {
	const fleet = await startFleet({deployment: studio, log: silentLog});
	onTestFinished(async () => fleet.stop());
	const [host, port] = fleet.routers[0]!.address.split(':');
	let received = '';
	const errors: string[] = [];
	const socket = connect(Number(port), host).on('error', error => {
		errors.push(error.message);
	}).on('data', bytes => {
		received += String(bytes);
	}).pause();
	socket.write(`POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nContent-Length: ${100 * pieceBytes}\r\n\r\n`);
	for (let sent = 0; sent < 4; sent += 1) {
		socket.write(Buffer.alloc(pieceBytes));
		await sleep(20);
	}

	socket.resume();
	await sleep(100);
	expect(errors).toEqual([]);
	expect(received).toMatch(/^HTTP\/1\.1 413 /v);
});

// Guards against GONE at galena-router: further requests of a connection that go on after it has closed.
test('all requests that a connection has brought end when it closes', async () => {
	const fleet = await startFleet({deployment: studio, log: silentLog});
	onTestFinished(async () => fleet.stop());
	const engines = fleet.replicas.flatMap(({engine}) => engine ?? []);
	const countRunning = () => engines.reduce((sum, engine) => sum + engine.counts().running, 0);
	engines.forEach(engine => {
		engine.faults.set({slowness: 50});
	});
	const [host, port] = fleet.routers[0]!.address.split(':');
	const socket = connect(Number(port), host).on('error', () => undefined);
	socket.write(['one', 'two', 'three'].map(content => formatRequest(content)).join(''));
	await expect.poll(countRunning).toBe(3);
	socket.destroy();
	const closedAt = performance.now();
	await expect.poll(countRunning, {interval: 20, timeout: 5000}).toBe(0);
	expect(performance.now() - closedAt).toBeLessThan(leftMs);
});
