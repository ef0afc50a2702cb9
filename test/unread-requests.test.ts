import {once} from 'node:events';
import {createServer} from 'node:http';
import {performance} from 'node:perf_hooks';
import {Worker} from 'node:worker_threads';
import {expect, onTestFinished, test} from 'vitest';
import {startRouter} from './edge-system.js';

const timeoutMs = 1200;

/** Time after a route's timeout within which a client must have its final response, in ms. */
const marginMs = 500;

const blockFor = (milliseconds: number): void => {
	const end = performance.now() + milliseconds;
	while (performance.now() < end) {
		// The event loop stands still.
	}
};

/** Starts a router whose endpoint answers one path only, and clients in another thread. */
const startPlay = async (count: number, isKept: boolean) => {
	const endpoint = createServer((incoming, response) => {
		if (incoming.url === '/fast') {
			response.writeHead(200, {'response-seal': 's', 'attempt-id': String(incoming.headers['attempt-id'])}).end('whole');
		}
	});
	const {port} = await startRouter({endpoints: [{server: endpoint}], route: {timeoutMs}});
	const clients = new Worker(new URL('late-clients.js', import.meta.url), {workerData: {port, count, isKept}});
	onTestFinished(async () => {
		await clients.terminate();
	});
	await once(clients, 'message');
	return {
		send() {
			clients.postMessage('send');
		},
		async listTimes(): Promise<readonly number[]> {
			const [times] = await once(clients, 'message') as [readonly number[]];
			return times;
		},
	};
};

const listLate = (times: readonly number[]): readonly number[] => times.filter(time => time > timeoutMs + marginMs).map(time => Math.round(time));

test.each([['kept', true], ['new', false]])('requests that %s connections bring while the router stands still end at their route\'s timeout', async (_, isKept) => {
	const play = await startPlay(20, isKept);
	play.send();
	blockFor(1000);
	const times = await play.listTimes();
	expect(times.length).toBe(20);
	expect(listLate(times)).toEqual([]);
});

test.each([
	[20, 100, false], [60, 40, false], [20, 100, true], [60, 40, true],
])('while iterations of the event loop take %i ms, %i requests at once end at their route\'s timeout (kept connections: %s)', async (iterationMs, count, isKept) => {
	const play = await startPlay(count, isKept);
	const end = performance.now() + 3000;
	let areAllDone = false;
	const iterate = () => {
		if (performance.now() < end && !areAllDone) {
			blockFor(iterationMs);
			setImmediate(iterate);
		}
	};

	iterate();
	play.send();
	const times = await play.listTimes();
	areAllDone = true;
	expect(times.length).toBe(count);
	expect(listLate(times)).toEqual([]);
});
