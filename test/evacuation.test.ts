import {Buffer} from 'node:buffer';
import {request} from 'node:http';
import {performance} from 'node:perf_hooks';
import {expect, test} from 'vitest';
import {sleep} from '../src/loop/sleep.js';
import {startSystem} from './edge-system.js';

/** Sends a request and returns the status of its response and the time after which the client may return. */
const send = async (port: number, key: string): Promise<Readonly<{status: number | undefined; retryAfter: string | undefined}>> => new Promise((resolve, reject) => {
	request({
		host: '127.0.0.1', port, method: 'POST', headers: {host: 'h', 'attempt-id': key, 'request-deadline-ms': '3000'},
	}, incoming => {
		incoming.resume();
		resolve({status: incoming.statusCode, retryAfter: incoming.headers['retry-after']});
	}).on('error', reject).end();
});

const getStatus = async (port: number, key: string): Promise<number | undefined> => {
	const {status} = await send(port, key);
	return status;
};

// Guards against an evacuation that is written to the store and does not reach the choice of endpoints, or does not end.
test('a router sends nothing to a data centre while the store has the row of its evacuation', async () => {
	const {port, store} = await startSystem(Buffer.alloc(1));
	expect(await send(port, 'a1')).toMatchObject({status: 200});
	const writtenAt = performance.now();
	store.put('op', 'evacuate/z', {});
	await expect.poll(async () => getStatus(port, 'a2'), {interval: 20, timeout: 5000}).toBe(503);
	expect(performance.now() - writtenAt).toBeLessThan(5000);
	const {retryAfter} = await send(port, 'a3');
	expect(Number(retryAfter)).toBeGreaterThanOrEqual(1);
	store.setUnavailable(true);
	await sleep(1200);
	expect(await send(port, 'a4')).toMatchObject({status: 503});
	store.setUnavailable(false);
	store.put('op', 'evacuate/z', undefined);
	await expect.poll(async () => getStatus(port, 'a5'), {interval: 20, timeout: 5000}).toBe(200);
}, 25_000);
