import {Buffer} from 'node:buffer';
import {connect} from 'node:net';
import type {Socket} from 'node:net';
import {expect, test} from 'vitest';
import {startSystem} from './edge-system.js';
import {writeWithoutEnd} from './endless.js';

/** Sends a request whose body does not end, and returns what the client receives until its connection is closed. */
const sendUnfinished = async (port: number, headers: readonly string[], writeBody: (socket: Socket) => void): Promise<string> => new Promise(resolve => {
	let received = '';
	const socket = connect(port, '127.0.0.1');
	socket.on('data', bytes => {
		received += String(bytes);
	});
	socket.on('error', () => undefined);
	socket.on('close', () => {
		resolve(received);
	});
	socket.write(['POST / HTTP/1.1', 'Host: h', 'Attempt-Id: a', ...headers, '', ''].join('\r\n'));
	writeBody(socket);
});

test.each<[string, number, readonly string[], (socket: Socket) => void]>([
	['stops in the middle', 408, ['Request-Deadline-Ms: 300', 'Content-Length: 9'], socket => {
		socket.write('part');
	}],
	['has no end', 413, ['Request-Deadline-Ms: 6000', 'Transfer-Encoding: chunked'], socket => {
		writeWithoutEnd(socket, Buffer.from(`ea60\r\n${'x'.repeat(60_000)}\r\n`));
	}],
	// Guards against a client whose pieces keep a router from all else.
	['has no end, in chunks of a byte', 413, ['Request-Deadline-Ms: 6000', 'Transfer-Encoding: chunked'], socket => {
		writeWithoutEnd(socket, Buffer.from('1\r\na\r\n'.repeat(1000)));
	}],
])('a request whose body %s is answered %i, and its connection is closed', async (_, status, headers, writeBody) => {
	const {port} = await startSystem(Buffer.alloc(1));
	const received = await sendUnfinished(port, headers, writeBody);
	expect(received).toMatch(new RegExp(`^HTTP/1.1 ${status} `, 'v'));
	expect(received.toLowerCase()).toContain('connection: close');
}, 10_000);
