import {Buffer} from 'node:buffer';
import {createServer, request} from 'node:http';
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {expect, test} from 'vitest';
import {startRouter} from './edge-system.js';

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

const bodyBytes = 100_000;
const count = 300;

/** Sends a request, and leaves as soon as its response has begun, or after a while. */
const sendAndLeave = async (port: number, key: string): Promise<void> => new Promise(resolve => {
	const outgoing = request({
		host: '127.0.0.1', port, method: 'POST', agent: false, headers: {
			host: 'h', 'attempt-id': key, 'request-deadline-ms': '6000', 'content-length': bodyBytes,
		},
	}, () => {
		outgoing.destroy();
	});
	outgoing.setTimeout(300, () => {
		outgoing.destroy();
	});
	outgoing.on('error', () => undefined);
	outgoing.on('close', resolve);
	outgoing.end(Buffer.alloc(bodyBytes, 'x'));
});

// Guards against bodies that are kept after their clients have left, until a router runs out of memory.
test.each([
	['before a response', ''],
	['in the middle of a stream', 'data: first\n\n'],
])('requests whose clients left %s are not kept in memory', async (_, events) => {
	const endpoint = createServer((incoming, response) => {
		incoming.resume();
		if (events !== '') {
			response.writeHead(200, {'content-type': 'text/event-stream', 'response-seal': 's', 'attempt-id': String(incoming.headers['attempt-id'])});
			response.write(events);
		}
	});
	const {port} = await startRouter({endpoints: [{server: endpoint}], route: {kind: 'streaming'}});
	collectGarbage();
	const before = process.memoryUsage().arrayBuffers;
	for (let sent = 0; sent < count; sent += 20) {
		await Promise.all(Array.from({length: 20}, async (__, index) => sendAndLeave(port, `left-${sent + index}`)));
	}

	await expect.poll(() => {
		collectGarbage();
		return process.memoryUsage().arrayBuffers - before;
	}).toBeLessThan(count * bodyBytes / 4);
}, 30_000);
