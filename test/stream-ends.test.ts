import {connect, createServer} from 'node:net';
import type {Socket} from 'node:net';
import {expect, test} from 'vitest';
import {startRouter} from './edge-system.js';

const readAttemptId = (head: string): string => /attempt-id: (?<id>\S+)/iv.exec(head)?.groups?.id ?? '';

/** Encodes one chunk of a chunked body. */
const encodeChunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;

const createEvents = (from: number, count: number): string => Array.from({length: count}, (_, index) => `id: ${from + index}\ndata: e${from + index}\n\n`).join('');

const streamHead = (id: string): string => `HTTP/1.1 200 OK\r\nResponse-Seal: s\r\nAttempt-Id: ${id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`;

/** Sends three events of a stream, and breaks it off. */
const breakStream = (socket: Socket, id: string): void => {
	socket.write(`${streamHead(id)}${encodeChunk(createEvents(1, 3))}`, () => {
		setTimeout(() => {
			socket.resetAndDestroy();
		}, 30);
	});
};

/** Starts an endpoint that answers its requests, one after the other, with the given responders, which all endpoints share. */
const createEndpoint = (responders: Array<(socket: Socket, id: string) => void>) => createServer(socket => {
	socket.on('error', () => undefined);
	socket.on('data', bytes => {
		responders.shift()?.(socket, readAttemptId(String(bytes)));
	});
});

/** Returns all that a client receives until its connection is closed, and whether it was reset. */
const readRaw = async (port: number, version: string): Promise<Readonly<{received: string; isReset: boolean}>> => new Promise(resolve => {
	let received = '';
	let isReset = false;
	const socket = connect(port, '127.0.0.1');
	socket.on('data', bytes => {
		received += String(bytes);
		if (received.endsWith('\r\n0\r\n\r\n')) {
			socket.destroy();
		}
	});
	socket.on('error', () => {
		isReset = true;
	});
	socket.on('close', () => {
		resolve({received, isReset});
	});
	socket.write(`GET /a HTTP/${version}\r\nHost: h\r\nAttempt-Id: a\r\nRequest-Deadline-Ms: 5000\r\n\r\n`);
});

const answer = (head: string, body: string) => (socket: Socket, id: string): void => {
	socket.write(`HTTP/1.1 ${head}\r\nAttempt-Id: ${id}\r\nContent-Length: ${body.length}\r\n\r\n${body}`);
};

const laterAnswers: ReadonlyArray<readonly [string, (socket: Socket, id: string) => void]> = [
	['500', answer('500 Internal Server Error\r\nResponse-Seal: s', 'the error text')],
	['500 without a seal', answer('500 Internal Server Error', 'the error text')],
	['502', answer('502 Bad Gateway\r\nResponse-Seal: s', 'the error text')],
	['400', answer('400 Bad Request\r\nResponse-Seal: s', 'the error text')],
	['404', answer('404 Not Found\r\nResponse-Seal: s', 'the error text')],
	['503 that may have run', answer('503 Service Unavailable\r\nResponse-Seal: s', 'the error text')],
	['503 that was not run', answer('503 Service Unavailable\r\nNot-Executed: 1', 'the error text')],
	['421', answer('421 Misdirected Request', 'the error text')],
	['200 without a stream', answer('200 OK\r\nResponse-Seal: s', 'the error text')],
	['200 with an empty body', answer('200 OK\r\nResponse-Seal: s', '')],
	['204', (socket, id) => {
		socket.write(`HTTP/1.1 204 No Content\r\nResponse-Seal: s\r\nAttempt-Id: ${id}\r\n\r\n`);
	}],
	['304', (socket, id) => {
		socket.write(`HTTP/1.1 304 Not Modified\r\nResponse-Seal: s\r\nAttempt-Id: ${id}\r\n\r\n`);
	}],
	['500 whose body is a stream', (socket, id) => {
		socket.write(`${streamHead(id).replace('200 OK', '500 Internal Server Error')}${encodeChunk(createEvents(4, 1))}0\r\n\r\n`);
	}],
	['500 in chunks', (socket, id) => {
		socket.write(`HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: ${id}\r\nTransfer-Encoding: chunked\r\n\r\n${encodeChunk('the error text')}0\r\n\r\n`);
	}],
	['500 that ends with its connection', (socket, id) => {
		socket.end(`HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: ${id}\r\n\r\nthe error text`);
	}],
];

/** Starts a router with two endpoints. Returns its port. */
const startPair = async (responders: Array<(socket: Socket, id: string) => void>): Promise<number> => {
	const {port} = await startRouter({
		endpoints: [{server: createEndpoint(responders)}, {server: createEndpoint(responders)}],
		route: {kind: 'streaming', resumable: true, maxAttempts: 2},
	});
	return port;
};

test.each(laterAnswers)('a stream that broke off ends visibly, after its last event, if the next endpoint answers %s', async (_, respond) => {
	const port = await startPair([breakStream, respond, (socket, id) => {
		socket.write(`${streamHead(id)}${encodeChunk(createEvents(1, 1))}0\r\n\r\n`);
	}]);
	const {received} = await readRaw(port, '1.1');
	expect(received.split('\r\n\r\n')[0]).toContain('200 OK');
	expect(received.slice(received.indexOf('\r\n\r\n') + 4)).toBe(encodeChunk(createEvents(1, 3)));
	// The router serves other requests as before.
	const next = await readRaw(port, '1.1');
	expect(next.received).toContain(`${encodeChunk(createEvents(1, 1))}0\r\n\r\n`);
}, 10_000);

test('a stream that broke off goes on at the next endpoint after its last event', async () => {
	const port = await startPair([breakStream, (socket, id) => {
		socket.write(`${streamHead(id)}${encodeChunk(createEvents(4, 2))}0\r\n\r\n`);
	}]);
	const {received} = await readRaw(port, '1.1');
	expect(received).toContain(`${encodeChunk(createEvents(1, 3))}${encodeChunk(createEvents(4, 2))}0\r\n\r\n`);
}, 10_000);

test('a stream that broke off is reset for a client to which its end would look like a whole response', async () => {
	const port = await startPair([breakStream, answer('500 Internal Server Error', '')]);
	const {received, isReset} = await readRaw(port, '1.0');
	expect(received.endsWith(createEvents(1, 3))).toBe(true);
	expect(isReset).toBe(true);
}, 10_000);
