import {Buffer} from 'node:buffer';
import {createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';
import {
	afterEach, describe, expect, test,
} from 'vitest';
import {writeWithoutEnd} from '../../test/endless.js';
import {createOperatorClient} from '../operator-client/client.js';
import {createTableClient} from './client.js';

let server: Server | undefined;
const sockets = new Set<Socket>();

afterEach(() => {
	sockets.forEach(socket => socket.destroy());
	server?.close();
});

/** Starts a service that responds with a body that never ends, and returns its address and a counter of the bytes written. */
const startEndless = async (): Promise<Readonly<{address: string; countWritten: () => number}>> => {
	let countWritten = () => 0;
	const started = createServer(socket => {
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.once('data', () => {
			socket.write('HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"');
			countWritten = writeWithoutEnd(socket, Buffer.alloc(60_000, 'x'));
		});
	});
	server = started;
	await new Promise<void>(resolve => {
		started.listen(0, '127.0.0.1', resolve);
	});
	return {address: `http://127.0.0.1:${(started.address() as AddressInfo).port}`, countWritten: () => countWritten()};
};

const maxBytes = 64 * 1024 * 1024;

describe('a reply without end', () => {
	test('of the table service counts as lost', async () => {
		const {address, countWritten} = await startEndless();
		const client = createTableClient({address, tableName: 't', timeout: 10_000});
		expect(await client.call({
			kind: 'query', table: 't', prefix: 'p', limit: 10,
		})).toEqual({kind: 'lost'});
		expect(countWritten()).toBeLessThan(maxBytes);
		await client.close();
	}, 8000);

	test('of a router fails the operator\'s call', async () => {
		const {address, countWritten} = await startEndless();
		await expect(createOperatorClient(address, 'k').call('GET', '/v1/status')).rejects.toThrow();
		expect(countWritten()).toBeLessThan(maxBytes);
	}, 8000);
});
