import {Buffer} from 'node:buffer';
import {Agent, request} from 'node:http';
import {connect, createServer} from 'node:net';
import {expect, test} from 'vitest';
import {createRandom} from '../src/random/index.js';
import {startRouter} from './edge-system.js';

const contentType: Readonly<Record<string, string>> = {streaming: 'text/event-stream', safe: 'text/plain'};

/** A complete event. */
const body = 'data: whole\n\n';

const formatHead = (kind: string, key: string, status = '200', line = ''): string =>
	`HTTP/1.1 ${status} OK\r\nAttempt-Id: ${key}\r\nResponse-Seal: s\r\nContent-Type: ${contentType[kind]}\r\n${line}Content-Length: ${body.length}\r\n\r\n`;

/** Starts an endpoint that answers most requests after a while, and those of the path `/odd` at once with a head that the test chooses. */
const startEndpoint = (kind: string, formatOddHead: (key: string) => string) => createServer(socket => {
	socket.on('error', () => undefined);
	socket.on('data', bytes => {
		const text = bytes.toString('latin1');
		const key = /attempt-id: (?<key>\S+)/iv.exec(text)?.groups?.key ?? '';
		if (text.startsWith('GET /odd')) {
			socket.write(Buffer.from(formatOddHead(key) + body, 'latin1'));
		} else {
			setTimeout(() => {
				socket.write(formatHead(kind, key) + body);
			}, 300);
		}
	});
});

/** Sends a request. Returns the status and body, or the error of the connection. */
const sendRequest = async (port: number, path: string, key: string, agent: Agent): Promise<string> => new Promise(resolve => {
	request({
		host: '127.0.0.1', port, path, agent, headers: {host: 'h', 'attempt-id': key, 'request-deadline-ms': '3000'},
	}, incoming => {
		let received = '';
		incoming.on('data', bytes => {
			received += String(bytes);
		});
		incoming.on('error', () => undefined);
		incoming.on('close', () => {
			resolve(`${incoming.statusCode} ${incoming.statusCode === 200 ? received : ''}`.trim());
		});
	}).on('error', error => {
		resolve(error.message);
	}).end();
});

const send = async (port: number, path: string, key: string): Promise<string> => {
	const agent = new Agent({keepAlive: true});
	const outcome = await sendRequest(port, path, key, agent);
	agent.destroy();
	return outcome;
};

const unwritableHeads: ReadonlyArray<[string, string, string]> = [
	['a name with a blank', '200', 'Replica Load: 1,0,64\r\n'],
	['an empty name', '200', ': 1,0,64\r\n'],
	['the status 000', '000', ''],
	['the status 099', '099', ''],
	['a switch of protocols', '101', ''],
	['a switch of protocols that names one', '101', 'Connection: Upgrade\r\nUpgrade: x\r\n'],
	['the status 700', '700', ''],
];

// Guards against a router that ends, with the requests of all its clients, at a head that Node.js reads and does not write.
test.each(['safe', 'streaming'].flatMap(kind => unwritableHeads.map(head => [kind, ...head] as const)))('%s: a head with %s fails its own request only', async (kind, _, status, line) => {
	const {port} = await startRouter({
		endpoints: [{server: startEndpoint(kind, key => formatHead(kind, key, status, line))}], route: {kind, maxAttempts: 1},
	});
	const others = Array.from({length: 12}, async (__, index) => send(port, '/x', `x-${index}`));
	const [odd, ...rest] = await Promise.all([send(port, '/odd', 'odd'), ...others]);
	expect(odd).toBe('502');
	expect(new Set(rest)).toEqual(new Set([`200 ${body.trim()}`]));
	expect(await send(port, '/x', 'later')).toBe(`200 ${body.trim()}`);
}, 20_000);

const wrongBytes = ['\0', '\t', ' ', '"', '(', ',', '/', ':', '@', '\u007F', '\u0080', 'ÿ', '\r', '\n', '0', '9'];

// Guards against the same for any wrong byte, of which the cases above are those that were known.
test.each(['safe', 'streaming'])('%s: no wrong byte in a head ends a router', async kind => {
	const random = createRandom(45);
	const {port} = await startRouter({
		endpoints: [{
			server: startEndpoint(kind, key => {
				const head = [...formatHead(kind, key, '200', 'Replica-Load: 1,0,64\r\n')];
				head[random.pick(head.length)] = wrongBytes[random.pick(wrongBytes.length)]!;
				return head.join('');
			}),
		}],
		route: {kind, maxAttempts: 1, timeoutMs: 300},
	});
	for (let batch = 0; batch < 20; batch += 1) {
		await Promise.all(Array.from({length: 10}, async (_, index) => send(port, '/odd', `odd-${batch}-${index}`)));
	}

	await expect.poll(async () => send(port, '/odd', 'last')).toMatch(/^\d{3}/v);
}, 60_000);

/** Sends a request with a raw header line. Returns the status line. */
const sendRaw = async (port: number, line: string): Promise<string> => new Promise(resolve => {
	const socket = connect(port, '127.0.0.1');
	socket.on('error', error => {
		resolve(error.message);
	});
	socket.on('data', bytes => {
		resolve(String(bytes).split('\r\n')[0]!);
		socket.destroy();
	});
	socket.write(`GET /x HTTP/1.1\r\nHost: h\r\nAttempt-Id: raw\r\n${line}\r\n\r\n`);
});

// Guards against a client's header, which cannot be written to any endpoint, that ejects one endpoint after the other.
test.each(['X Odd: 1', ': 1'])('a request with the header %j is rejected, and ejects no endpoint', async line => {
	const {port} = await startRouter({
		endpoints: [{server: startEndpoint('safe', key => formatHead('safe', key))}], route: {kind: 'safe', maxAttempts: 1},
	});
	const statuses = await Promise.all(Array.from({length: 4}, async () => sendRaw(port, line)));
	expect(new Set(statuses)).toEqual(new Set(['HTTP/1.1 400 Bad Request']));
	expect(await send(port, '/odd', 'sound')).toBe(`200 ${body.trim()}`);
}, 20_000);
