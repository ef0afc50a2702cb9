import {subscribe, unsubscribe} from 'node:diagnostics_channel';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {connect} from 'node:net';
import type {Socket} from 'node:net';
import {expect, onTestFinished, test} from 'vitest';
import {startRouter} from './edge-system.js';

const sleep = async (milliseconds: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, milliseconds);
});

const slowMs = 4500;

/** Time that each path takes at the endpoint, in ms. */
const durations: Readonly<Record<string, number>> = {'/slow': slowMs, '/fast': 300, '/never': 60_000};

type Connection = Readonly<{write: (text: string) => void; listStatuses: () => readonly string[]; awaitClose: Promise<void>}>;

/** Starts a router with an endpoint, and the means to open connections and to end the process as its host does. */
const startPlay = async () => {
	const runs: string[] = [];
	const endpoint = createServer((incoming, response) => {
		incoming.resume();
		runs.push(String(incoming.headers['attempt-id']));
		const timer = setTimeout(() => {
			response.writeHead(200, {'response-seal': 's', 'attempt-id': String(incoming.headers['attempt-id'])}).end('whole');
		}, durations[incoming.url ?? ''] ?? 0);
		response.on('close', () => {
			clearTimeout(timer);
		});
	});
	const {edge, port} = await startRouter({endpoints: [{server: endpoint}], route: {timeoutMs: 20_000}});
	const accepted = new Set<Socket>();
	const add = (message: unknown) => {
		accepted.add((message as Readonly<{socket: Socket}>).socket);
	};

	subscribe('net.server.socket', add);
	onTestFinished(() => {
		unsubscribe('net.server.socket', add);
	});

	const open = async (): Promise<Connection> => {
		let received = '';
		const socket = connect(port, '127.0.0.1').on('error', () => undefined).on('data', bytes => {
			received += String(bytes);
		});
		const awaitClose = new Promise<void>(resolve => {
			socket.on('close', () => {
				resolve();
			});
		});
		await once(socket, 'connect');
		return {
			awaitClose,
			write(text) {
				socket.write(text);
			},
			listStatuses: () => [...received.matchAll(/HTTP\/1\.1 (?<status>\d+) /gv)].map(match => match.groups!.status!),
		};
	};

	return {
		runs, open,
		/** Stops the router, and closes all connections once it says that it has ended. */
		async stop() {
			await edge.stop();
			accepted.forEach(socket => {
				if (socket.localPort === port) {
					socket.destroy();
				}
			});
		},
	};
};

/** Formats a request; `end` is left out of its body. */
const formatRequest = (id: string, path: string, end = ''): string =>
	`POST ${path} HTTP/1.1\r\nHost: h\r\nAttempt-Id: ${id}\r\nRequest-Deadline-Ms: 6000\r\nContent-Length: ${4 + end.length}\r\n\r\nbody`;

test('in a planned stop every request that is read gets an answer, and a refused one has not run', async () => {
	const {open, runs, stop} = await startPlay();
	const [early, kept, unused, slowBody, endlessBody, silent, pipelined] = await Promise.all(Array.from({length: 7}, open));
	kept!.write(formatRequest('kept-first', '/fast'));
	await sleep(500);
	endlessBody!.write(formatRequest('endless-body', '/slow', 'end').replace('6000', '9000'));
	silent!.write(formatRequest('silent', '/never'));
	const stopped = stop();
	await sleep(1000);
	early!.write(formatRequest('early', '/slow').replace('6000', '5000'));
	slowBody!.write(formatRequest('slow-body', '/slow', 'end'));
	pipelined!.write(formatRequest('pipelined-1', '/fast').replace('6000', '3000') + formatRequest('pipelined-2', '/fast').replace('6000', '3000'));
	await sleep(1700);
	const late = await open();
	late.write(formatRequest('late', '/slow'));
	kept!.write(formatRequest('kept', '/slow'));
	const lateFast = await open();
	lateFast.write(formatRequest('late-fast', '/fast').replace('6000', '1000'));
	await sleep(2800);
	unused!.write(formatRequest('unused', '/slow'));
	slowBody!.write('end');
	const connections = [early!, kept!, unused!, slowBody!, endlessBody!, silent!, pipelined!, late, lateFast];
	await Promise.all([stopped, ...connections.map(async ({awaitClose}) => awaitClose)]);
	expect(Object.fromEntries(['early', 'kept', 'unused', 'slowBody', 'endlessBody', 'silent', 'pipelined', 'late', 'lateFast']
		.map((name, index) => [name, connections[index]!.listStatuses().join(' ')]))).toEqual({
		early: '200', kept: '200 503', unused: '503', slowBody: '503', endlessBody: '408', silent: '504', pipelined: '200 200', late: '503', lateFast: '200',
	});
	expect(runs.toSorted()).toEqual(['early', 'kept-first', 'late-fast', 'pipelined-1', 'pipelined-2', 'silent']);
}, 20_000);
