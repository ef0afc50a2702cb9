import {Buffer} from 'node:buffer';
import {Agent, request} from 'node:http';
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {Worker} from 'node:worker_threads';
import {
	expect, onTestFinished, test,
} from 'vitest';
import {startSystem} from './edge-system.js';

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** An endpoint in a thread of its own, which writes a head for each request, and then the same bytes without end; and its clients, told the port of the router. */
const flooder = `
	const {createServer} = require('node:net');
	const {request} = require('node:http');
	const {parentPort, workerData} = require('node:worker_threads');
	const bytes = Buffer.from(workerData.piece.repeat(20_000));
	const server = createServer(socket => {
		socket.on('error', () => undefined);
		socket.on('data', request => {
			const key = /attempt-id: (\\S+)/i.exec(request.toString('latin1'))[1];
			socket.write(workerData.head.replaceAll('KEY', key));
			const write = () => {
				while (!socket.destroyed && socket.write(bytes));
			};
			socket.on('drain', write);
			write();
		});
	});
	const send = (port, index) => new Promise(resolve => {
		request({
			host: '127.0.0.1', port, path: '/flood', agent: false, headers: {host: 'h', 'attempt-id': 'flood-' + index, 'request-deadline-ms': '4000'},
		}, incoming => {
			incoming.resume();
			incoming.on('error', () => undefined);
			incoming.on('close', resolve);
		}).on('error', resolve).end();
	});
	parentPort.on('message', async port => {
		await Promise.all(Array.from({length: workerData.count}, (_, index) => send(port, index)));
		parentPort.postMessage('ended');
	});
	server.listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port));
`;

const floodCount = 60;

const startFlooder = (head: string, piece: string): Worker => {
	const worker = new Worker(flooder, {eval: true, workerData: {head, piece, count: floodCount}});
	onTestFinished(async () => {
		await worker.terminate();
	});
	return worker;
};

const awaitMessage = async (worker: Worker): Promise<unknown> => new Promise(resolve => {
	worker.once('message', resolve);
});

/** Sends a request. Returns its status and how long it took, in ms. */
const send = async (port: number, path: string, key: string, agent: Agent): Promise<Readonly<{status: number | undefined; elapsedMs: number}>> => new Promise(resolve => {
	const sentAt = performance.now();
	const finish = (status: number | undefined) => {
		resolve({status, elapsedMs: performance.now() - sentAt});
	};

	request({
		host: '127.0.0.1', port, path, agent, headers: {host: 'h', 'attempt-id': key, 'request-deadline-ms': '4000'},
	}, incoming => {
		incoming.resume();
		incoming.on('error', () => undefined);
		incoming.on('close', () => {
			finish(incoming.statusCode);
		});
	}).on('error', () => {
		finish(undefined);
	}).end();
});

const head = 'HTTP/1.1 200 OK\r\nAttempt-Id: KEY\r\nResponse-Seal: s\r\n';
const streamHead = `${head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`;

/** By how much a flood may fill the heap, in bytes. */
const maxHeapGrowth = 64 * 1024 * 1024;

/** Returns the bytes of the heap in use; above the limit without garbage, which V8 leaves there for long in a process with a large heap. */
const measureHeap = (limit: number): number => {
	if (process.memoryUsage().heapUsed > limit) {
		collectGarbage();
	}

	return process.memoryUsage().heapUsed;
};

// Guards against bytes without end that keep a router from its other requests, or fill its memory.
test.each([
	['an event in chunks of a byte', streamHead, '1\r\na\r\n'],
	['events without text in chunks of a byte', streamHead, '1\r\n\n\r\n'],
	['a body in chunks of a byte', `${head}Transfer-Encoding: chunked\r\n\r\n`, '1\r\na\r\n'],
	['interim responses', '', 'HTTP/1.1 100 Continue\r\n\r\n'],
	['other interim responses', '', 'HTTP/1.1 103 Early Hints\r\n\r\n'],
	['responses after a complete one', `${head}Content-Length: 0\r\n\r\n`, 'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'],
])('%s without end from an endpoint delay no other request, and fill no memory', async (_, floodHead, piece) => {
	const worker = startFlooder(floodHead, piece);
	const floodPort = Number(await awaitMessage(worker));
	const {port, store} = await startSystem(Buffer.from('sound'));
	const config = JSON.parse(store.get('op', 'config')!) as {routes: ReadonlyArray<Record<string, unknown>>; services: ReadonlyArray<Record<string, unknown>>};
	store.put('servers', 'i-flood', {
		service: 'flood', address: `127.0.0.1:${floodPort}`, zone: 'z', version: 'v1', slots: 64, state: 'ready', born: 1,
	});
	store.put('op', 'config', {
		...config,
		version: 2,
		routes: [...config.routes, {
			...config.routes[0], name: 'flood', prefix: '/flood', kind: 'streaming', service: 'flood',
		}],
		services: [...config.services, {name: 'flood', maxConnections: 200}],
	});
	const agent = new Agent({keepAlive: true});
	onTestFinished(() => {
		agent.destroy();
	});
	await expect.poll(async () => {
		const {status} = await send(port, '/flood', 'first', agent);
		return status;
	}).not.toBe(404);
	// An ejection that followed from the first request is over.
	await new Promise(resolve => {
		setTimeout(resolve, 1500);
	});
	collectGarbage();
	const heapLimit = process.memoryUsage().heapUsed + maxHeapGrowth;
	let heapPeak = 0;
	const floodsEnded = awaitMessage(worker);
	worker.postMessage(port);
	const sound: Array<Awaited<ReturnType<typeof send>>> = [];
	const until = performance.now() + 2000;
	while (performance.now() < until) {
		sound.push(...await Promise.all(Array.from({length: 4}, async (__, index) => send(port, '/x', `x-${sound.length}-${index}`, agent))));
		heapPeak = Math.max(heapPeak, measureHeap(heapLimit));
	}

	await floodsEnded;
	expect(new Set(sound.map(({status}) => status))).toEqual(new Set([200]));
	expect(Math.max(...sound.map(({elapsedMs}) => elapsedMs))).toBeLessThan(500);
	expect(heapPeak).toBeLessThan(heapLimit);
}, 30_000);
