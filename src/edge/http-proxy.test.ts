import {Buffer} from 'node:buffer';
import {createServer as createHttpServer, request} from 'node:http';
import {createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';
import {
	afterEach, describe, expect, test,
} from 'vitest';
import {writeWithoutEnd} from '../../test/endless.js';
import {runInBackground} from '../loop/background.js';
import {decodeRequest} from '../platform/index.js';
import {openHttpProxy} from './http-proxy.js';
import {createEventSplitter} from './event-stream.js';
import type {EdgeEvent} from './messages.js';

const servers: Server[] = [];

afterEach(() => {
	servers.splice(0).forEach(server => {
		server.close();
	});
});

const listen = async <Kind extends Server>(server: Kind): Promise<number> => new Promise(resolve => {
	servers.push(server);
	server.listen(0, '127.0.0.1', () => {
		resolve((server.address() as AddressInfo).port);
	});
});

/** Starts an endpoint that writes raw bytes once it has received a request. */
const startEndpoint = async (respond: (socket: Socket) => void, allowHalfOpen = false): Promise<number> => listen(createServer({allowHalfOpen}, socket => {
	socket.on('error', () => undefined);
	socket.once('data', () => {
		respond(socket);
	});
}));

const signedHead = 'HTTP/1.1 200 OK\r\nResponse-Seal: s\r\nAttempt-Id: call-1\r\n';

const createIncarnation = (port: number) => ({
	id: 'i-1', startedAt: 1, address: `127.0.0.1:${port}`, service: 's',
});

/** Creates a client-facing server that forwards one request through the proxy to an endpoint at the given port. */
const createFrontServer = (proxy: ReturnType<typeof openHttpProxy>, endpoint: number, maxConnections = 100, resumeAfter?: string) => {
	let call = 0;
	return createHttpServer((incoming, response) => {
		incoming.resume();
		incoming.on('end', () => {
			call += 1;
			const head = decodeRequest({
				method: incoming.method ?? 'GET', url: '/', headers: incoming.headers, rawHeaders: incoming.rawHeaders,
			}).unwrap();
			proxy.accept(call, head, 'h', Buffer.alloc(0), response);
			proxy.send({
				kind: 'send', call, attempt: 1, endpoint: createIncarnation(endpoint), maxConnections, metadata: {
					endpoint: 'i-1', remainingMs: 1000, organisation: undefined, urgency: undefined, resumeAfter,
				},
			});
		});
	});
};

type ProxiedResponse = Readonly<{event: EdgeEvent; status: number | undefined; body: string; isComplete: boolean}>;

/** Sends one request through a proxy. Returns the event that `react` accepted, and what the client received. */
const proxyRequest = async (respond: (socket: Socket) => void, react: (event: EdgeEvent, proxy: ReturnType<typeof openHttpProxy>) => boolean, method = 'GET'): Promise<ProxiedResponse> => {
	const endpoint = await startEndpoint(respond);
	return new Promise(resolve => {
		let finalEvent: EdgeEvent | undefined;
		const proxy = openHttpProxy({
			post(event) {
				if (event.kind !== 'response-began' && finalEvent === undefined && react(event, proxy)) {
					finalEvent = event;
				}
			},
			isLastResponse: () => false,
			random: () => 0,
			clock: () => performance.now(),
		});
		const front = createFrontServer(proxy, endpoint);
		const sendRequest = async () => {
			const port = await listen(front);
			const outgoing = request({
				port, host: '127.0.0.1', method, headers: {'attempt-id': 'call-1'},
			});
			const finish = (status: number | undefined, body: string, isComplete: boolean) => {
				front.closeAllConnections();
				proxy.close();
				resolve({
					event: finalEvent!, status, body, isComplete,
				});
			};

			outgoing.on('error', () => {
				finish(undefined, '', false);
			});
			outgoing.on('response', incoming => {
				let body = '';
				incoming.on('data', chunk => {
					body += String(chunk);
				});
				incoming.on('error', () => undefined);
				incoming.on('close', () => {
					finish(incoming.statusCode, body, incoming.complete);
				});
			});
			outgoing.end();
		};

		sendRequest(); // eslint-disable-line @typescript-eslint/no-floating-promises -- The enclosing promise is settled by the request.
	});
};

/** Delivers a complete response, and closes the client's connection if the attempt failed. */
const deliverOrClose = (event: EdgeEvent, proxy: ReturnType<typeof openHttpProxy>): boolean => {
	if (event.kind === 'endpoint-answered') {
		proxy.deliver(event.call);
	} else if ('call' in event) {
		proxy.closeClient(event.call);
	}

	return true;
};

describe('a response that is not a stream', () => {
	test.each<[string, (socket: Socket) => void, string]>([
		['is complete if it has its stated length', socket => {
			socket.write(`${signedHead}Content-Length: 5\r\n\r\nwhole`);
		}, 'endpoint-answered'],
		['is complete if it has no length and its connection is closed', socket => {
			socket.end(`${signedHead}\r\nwhole`);
		}, 'endpoint-answered'],
		['fails if its connection is reset before the end', socket => {
			socket.write(`${signedHead}\r\nwho`, () => {
				socket.resetAndDestroy();
			});
		}, 'endpoint-failed'],
		['fails if it is shorter than its stated length', socket => {
			socket.end(`${signedHead}Content-Length: 9\r\n\r\nwhole`);
		}, 'endpoint-failed'],
		['fails without a signature', socket => {
			socket.write('HTTP/1.1 200 OK\r\nAttempt-Id: call-1\r\nContent-Length: 5\r\n\r\nwhole');
		}, 'endpoint-failed'],
		['fails if it is for another request', socket => {
			socket.write('HTTP/1.1 200 OK\r\nResponse-Seal: s\r\nAttempt-Id: call-0\r\nContent-Length: 5\r\n\r\nwhole');
		}, 'endpoint-failed'],
		['fails if it is not HTTP', socket => {
			socket.write('nonsense\r\n\r\n');
		}, 'endpoint-failed'],
		['is complete although surplus bytes follow it', socket => {
			socket.write(`${signedHead}Content-Length: 5\r\n\r\nwhole${signedHead}Content-Length: 5\r\n\r\nother`);
		}, 'endpoint-answered'],
	])('%s', async (_, respond, kind) => {
		const result = await proxyRequest(respond, deliverOrClose);
		expect(result.event.kind).toBe(kind);
		expect(result.isComplete && result.body === 'whole').toBe(kind === 'endpoint-answered');
	});

	test('fails as sent if the endpoint closes the connection without a response', async () => {
		const result = await proxyRequest(socket => {
			socket.destroy();
		}, deliverOrClose);
		expect(result.event).toMatchObject({kind: 'endpoint-failed', stage: 'sent'});
	});
});

describe('a response without a body is complete with its head', () => {
	test.each<[string, string, number, string]>([
		['to HEAD, whatever length it states', 'HEAD', 200, 'HTTP/1.1 200 OK\r\nResponse-Seal: s\r\nAttempt-Id: call-1\r\nContent-Length: 5\r\n\r\n'],
		['to HEAD, with chunks', 'HEAD', 200, 'HTTP/1.1 200 OK\r\nResponse-Seal: s\r\nAttempt-Id: call-1\r\nTransfer-Encoding: chunked\r\n\r\n'],
		['with status 204', 'GET', 204, 'HTTP/1.1 204 No Content\r\nResponse-Seal: s\r\nAttempt-Id: call-1\r\n\r\n'],
		['with status 304 and a length', 'GET', 304, 'HTTP/1.1 304 Not Modified\r\nResponse-Seal: s\r\nAttempt-Id: call-1\r\nContent-Length: 5\r\n\r\n'],
		['after an interim response', 'GET', 204, 'HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 204 No Content\r\nResponse-Seal: s\r\nAttempt-Id: call-1\r\n\r\n'],
	])('%s', async (_, method, status, head) => {
		const result = await proxyRequest(socket => {
			socket.write(head);
		}, deliverOrClose, method);
		expect(result).toMatchObject({
			event: {kind: 'endpoint-answered'}, status, body: '', isComplete: true,
		});
	});
});

const stream = `${signedHead}Content-Type: text/event-stream\r\n`;

/** Streams the response to the client, and closes the client's connection if the stream failed. */
const streamOrClose = (event: EdgeEvent, proxy: ReturnType<typeof openHttpProxy>): boolean => {
	if (event.kind === 'endpoint-answered') {
		proxy.streamResponse(1);
		return false;
	}

	if (event.kind === 'endpoint-failed') {
		proxy.closeClient(1);
	}

	return event.kind !== 'stream-began';
};

describe('a stream', () => {
	test('is forwarded event by event', async () => {
		const result = await proxyRequest(socket => {
			socket.write(`${stream}Content-Length: 30\r\n\r\nid: 1\ndata: a\n\nid: 2\nda`);
			socket.write('ta: b\n\n');
		}, streamOrClose);
		expect(result).toMatchObject({status: 200, body: 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n', isComplete: true});
	});

	test('that is interrupted ends after a complete event, and the client sees an incomplete response', async () => {
		const result = await proxyRequest(socket => {
			socket.write(`${stream}Transfer-Encoding: chunked\r\n\r\n17\r\nid: 1\ndata: a\n\nid: 2\nda\r\n`, () => {
				socket.destroy();
			});
		}, streamOrClose);
		expect(result.event).toMatchObject({
			kind: 'endpoint-failed', stage: 'streaming', events: 1, lastEventId: '1',
		});
		expect(result.body).toBe('id: 1\ndata: a\n\n');
		expect(result.isComplete).toBe(false);
	});
});

describe('a stream that ends inside an event is not delivered as complete', () => {
	const partial = 'id: 1\ndata: a\n\nid: 2\nda';

	test.each<[string, (socket: Socket) => void]>([
		['if its connection is closed', socket => {
			socket.end(`${stream}\r\n${partial}`);
		}],
		['if its connection is reset', socket => {
			socket.write(`${stream}\r\n${partial}`, () => {
				socket.resetAndDestroy();
			});
		}],
		['after its last chunk', socket => {
			socket.write(`${stream}Transfer-Encoding: chunked\r\n\r\n${partial.length.toString(16)}\r\n${partial}\r\n0\r\n\r\n`);
		}],
		['at its stated length', socket => {
			socket.write(`${stream}Content-Length: ${partial.length}\r\n\r\n${partial}`);
		}],
	])('%s', async (_, respond) => {
		const result = await proxyRequest(respond, streamOrClose);
		expect(result).toMatchObject({
			event: {
				kind: 'endpoint-failed', stage: 'streaming', events: 1, lastEventId: '1',
			}, body: 'id: 1\ndata: a\n\n', isComplete: false,
		});
	});
});

test('a stream that ends with its connection before its first event is not delivered as complete', async () => {
	const result = await proxyRequest(socket => {
		socket.end(`${stream}\r\n`);
	}, streamOrClose);
	expect(result).toMatchObject({event: {kind: 'endpoint-failed', stage: 'streaming', events: 0}, isComplete: false});
});

test.each([
	['an event', 'id: 1\ndata: a\n\n'],
	['further line ends', 'id: 1\r\ndata: a\r\n\r\n\r\n'],
])('a stream that ends with its connection after %s is complete', async (_, events) => {
	const result = await proxyRequest(socket => {
		socket.end(`${stream}\r\n${events}`);
	}, streamOrClose);
	expect(result).toMatchObject({event: {kind: 'stream-ended', events: 1}, body: events, isComplete: true});
});

test('events sent just before the client\'s connection is closed reach the client', async () => {
	const result = await proxyRequest(socket => {
		socket.write(`${stream}Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n`);
	}, (event, proxy) => {
		(event.kind === 'stream-began' ? proxy.closeClient : proxy.streamResponse)(1);
		return event.kind === 'stream-began';
	});
	expect(result).toMatchObject({body: 'id: 1\ndata: a\n\n', isComplete: false});
});

test('a stream with malformed chunks fails in the streaming stage', async () => {
	const result = await proxyRequest(socket => {
		socket.write(`${stream}Transfer-Encoding: chunked\r\n\r\n3\r\nid: 1\ndata: a\n\n`);
	}, streamOrClose);
	expect(result.event).toMatchObject({kind: 'endpoint-failed', stage: 'streaming'});
	expect(result.isComplete).toBe(false);
});

test('a second copy of a response that arrives late is not taken for the next response', async () => {
	const createResponse = (id: string) => `HTTP/1.1 200 OK\r\nResponse-Seal: s\r\nAttempt-Id: ${id}\r\nContent-Length: ${id.length}\r\n\r\n${id}`;
	const endpoint = await listen(createServer(socket => {
		let earlier = '';
		socket.on('error', () => undefined);
		socket.on('data', bytes => {
			const response = createResponse(/attempt-id: (?<id>\S+)/iv.exec(String(bytes))?.groups?.id ?? '');
			socket.write(earlier + response);
			earlier = response;
		});
	}));
	const finalEvents: EdgeEvent[] = [];
	const proxy = openHttpProxy({
		post(event) {
			if (event.kind !== 'response-began') {
				finalEvents.push(event);
				deliverOrClose(event, proxy);
			}
		},
		isLastResponse: () => false,
		random: () => 0,
		clock: () => performance.now(),
	});
	const port = await listen(createFrontServer(proxy, endpoint));
	const fetchBody = async (id: string): Promise<string> => new Promise(resolve => {
		let body = '';
		request({port, host: '127.0.0.1', headers: {'attempt-id': id}}, incoming => {
			incoming.on('data', chunk => {
				body += String(chunk);
			});
			incoming.on('end', () => {
				resolve(body);
			});
		}).on('error', () => {
			resolve('failed');
		}).end();
	});
	expect([await fetchBody('call-1'), await fetchBody('call-2'), await fetchBody('call-3')]).toEqual(['call-1', 'failed', 'call-3']);
	expect(finalEvents.map(({kind}) => kind)).toEqual(['endpoint-answered', 'endpoint-failed', 'endpoint-answered']);
	proxy.close();
});

describe('what a response states of its endpoint', () => {
	const leavingHead = `${signedHead}Server-Leaving: 1\r\nContent-Length: 5\r\n`;

	const busyHead = 'HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: call-1\r\nRetry-After: 3\r\nContent-Length: 5\r\n';

	type Statement = Readonly<{endpoint: string; isLeaving: boolean; pushbackMs: number | undefined}>;

	/** Sends one request, which is cancelled after a time if one is given, and returns what its responses stated. */
	const listStatements = async (respond: (socket: Socket) => void, cancelAfterMs?: number): Promise<readonly Statement[]> => {
		const endpoint = await startEndpoint(respond, true);
		const statements: Statement[] = [];
		const proxy = openHttpProxy({
			post(event) {
				if (event.kind === 'response-began') {
					statements.push({endpoint: event.endpoint.id, isLeaving: event.head.isLeaving, pushbackMs: event.head.pushbackMs.unwrap()});
				}
			},
			isLastResponse: () => false,
			random: () => 0,
			clock: () => performance.now(),
		});
		const port = await listen(createFrontServer(proxy, endpoint));
		const client = request({port, host: '127.0.0.1', headers: {'attempt-id': 'call-1'}}).on('error', () => undefined).end();
		if (cancelAfterMs !== undefined) {
			setTimeout(() => {
				proxy.cancel(1);
			}, cancelAfterMs);
		}

		await expect.poll(() => statements.length).toBeGreaterThan(0);
		proxy.close();
		client.destroy();
		return statements;
	};

	const cases: ReadonlyArray<readonly [string, string, Statement]> = [
		['that it is leaving', leavingHead, {endpoint: 'i-1', isLeaving: true, pushbackMs: undefined}],
		['that it wants no further request for a time', busyHead, {endpoint: 'i-1', isLeaving: false, pushbackMs: 3000}],
	];

	test.each(cases)('is known before its body has come: %s', async (_, head, statement) => {
		expect(await listStatements(socket => {
			socket.write(`${head}\r\nwho`);
		})).toEqual([statement]);
	});

	test('is known although the response may be that of another request', async () => {
		expect(await listStatements(socket => {
			socket.write(`${leavingHead.replace('call-1', 'call-0')}\r\nwhole`);
		})).toEqual([{endpoint: 'i-1', isLeaving: true, pushbackMs: undefined}]);
	});

	test.each(cases)('is known although its request was cancelled: %s', async (_, head, statement) => {
		expect(await listStatements(socket => {
			socket.once('end', () => {
				socket.write(`${head}\r\nwhole`);
			});
		}, 50)).toEqual([statement]);
	});
});

test('a request that no header can hold fails as not sent', async () => {
	const events: EdgeEvent[] = [];
	const proxy = openHttpProxy({
		post(event) {
			events.push(event);
		},
		isLastResponse: () => false,
		random: () => 0,
		clock: () => performance.now(),
	});
	const port = await listen(createFrontServer(proxy, await startEndpoint(() => undefined), 100, 'after an odd event \u0001'));
	const client = request({port, host: '127.0.0.1', headers: {'attempt-id': 'call-1'}}).on('error', () => undefined).end();
	await expect.poll(() => events).toMatchObject([{kind: 'endpoint-failed', stage: 'unsent', reason: expect.stringContaining('Last-Event-Id') as string}]);
	proxy.close();
	client.destroy();
});

test('a request that waits for a connection fails as not sent', async () => {
	const endpoint = await startEndpoint(() => undefined);
	const failures: EdgeEvent[] = [];
	const proxy = openHttpProxy({
		post(event) {
			failures.push(event);
		},
		isLastResponse: () => false,
		random: () => 0,
		clock: () => performance.now(),
	});
	const port = await listen(createFrontServer(proxy, endpoint, 1));
	const clients = [1, 2].map(() => request({port, host: '127.0.0.1', headers: {'attempt-id': 'call-1'}}).on('error', () => undefined).end());
	await expect.poll(() => failures, {timeout: 1500}).toMatchObject([{kind: 'endpoint-failed', stage: 'unsent'}]);
	proxy.close();
	clients.forEach(client => {
		client.destroy();
	});
});

// Guards against a failure of one effect that leaves its client waiting, or its request unended.
test.each([['has ended', true], ['has not ended', false]])('after a failure, the client of a request that %s is disconnected', async (_, isEnded) => {
	const events: string[] = [];
	const result = await proxyRequest(socket => {
		socket.write(`${signedHead}Content-Length: 5\r\n\r\nwhole`);
	}, (event, proxy) => {
		events.push(event.kind);
		if (event.kind === 'endpoint-answered' && 'call' in event) {
			proxy.fail(event.call, isEnded);
		}

		return isEnded || event.kind === 'caller-left';
	});
	expect(result).toMatchObject({status: undefined, isComplete: false});
	await expect.poll(() => events).toEqual(isEnded ? ['endpoint-answered'] : ['endpoint-answered', 'caller-left']);
});

describe('bytes without end from an endpoint', () => {
	const chunk = (bytes: Buffer): Buffer => Buffer.concat([Buffer.from(`${bytes.length.toString(16)}\r\n`), bytes, Buffer.from('\r\n')]);
	const filler = Buffer.alloc(60_000, 'x');

	test.each<[string, string, Buffer, typeof deliverOrClose]>([
		['in the head of a response', 'HTTP/1.1 200 OK\r\n', Buffer.from(`X-More: ${filler.toString()}\r\n`), deliverOrClose],
		['in a response with chunks', `${signedHead}Transfer-Encoding: chunked\r\n\r\n`, chunk(filler), deliverOrClose],
		['in a response without a length', `${signedHead}\r\n`, filler, deliverOrClose],
		['in a rejection', 'HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n\r\n', filler, deliverOrClose],
		['in an event', `${stream}\r\nid: 1\ndata: a\n\nid: 2\ndata: `, filler, streamOrClose],
		['in an event with chunks', `${stream}Transfer-Encoding: chunked\r\n\r\n`, chunk(filler), streamOrClose],
	])('%s fail the attempt', async (_, head, bytes, react) => {
		let countWritten = () => 0;
		const result = await proxyRequest(socket => {
			socket.write(head);
			countWritten = writeWithoutEnd(socket, bytes);
		}, react);
		expect(result).toMatchObject({event: {kind: 'endpoint-failed'}, isComplete: false});
		expect(countWritten()).toBeLessThan(32 * 1024 * 1024);
	}, 5000);
});

test('events without end of many streams together are bounded', async () => {
	const eventBytes = 900 * 1024;
	const endpoint = await startEndpoint(socket => {
		socket.write(`${stream}\r\ndata: ${'x'.repeat(eventBytes)}`);
	});
	const streamCount = 64;
	const maxKept = Math.floor(32 * 1024 * 1024 / eventBytes);
	const failures: EdgeEvent[] = [];
	const proxy = openHttpProxy({
		post(event) {
			if (event.kind === 'endpoint-answered') {
				proxy.streamResponse(event.call);
			} else if (event.kind !== 'response-began') {
				failures.push(event);
			}
		},
		isLastResponse: () => false,
		random: () => 0,
		clock: () => performance.now(),
	});
	const port = await listen(createFrontServer(proxy, endpoint));
	const clients = Array.from({length: streamCount}, () => request({port, host: '127.0.0.1', headers: {'attempt-id': 'call-1'}}).on('error', () => undefined).end());
	await expect.poll(() => failures.length).toBeGreaterThanOrEqual(streamCount - maxKept);
	expect(failures.every(event => event.kind === 'endpoint-failed' && event.reason.includes('in memory'))).toBe(true);
	proxy.close();
	clients.forEach(client => {
		client.destroy();
	});
});

describe('splitting an event stream', () => {
	const noEvents = {bytes: Buffer.alloc(0), count: 0, lastEventId: undefined};

	test.each([
		['a partial event', {
			completeEvents: '', count: 0, lastEventId: undefined, partialEvent: 'id: 1\ndata',
		}],
		['one event and a partial event', {
			completeEvents: 'id: 1\ndata: x\n\n', count: 1, lastEventId: '1', partialEvent: 'id: 2',
		}],
		['two events', {
			completeEvents: 'id: 1\ndata: x\n\nid: 2\ndata: y\n\n', count: 2, lastEventId: '2', partialEvent: '',
		}],
		['an event without an id', {
			completeEvents: 'data: x\n\n', count: 1, lastEventId: undefined, partialEvent: '',
		}],
		['an event with carriage returns', {
			completeEvents: 'id: 7\r\ndata: x\r\n\r\n', count: 1, lastEventId: '7', partialEvent: '',
		}],
	])('%s', (_, expected) => {
		const splitter = createEventSplitter();
		const {bytes, count, lastEventId} = splitter.add(Buffer.from(expected.completeEvents + expected.partialEvent)).events ?? noEvents;
		expect({
			completeEvents: bytes.toString(), count, lastEventId, partialEvent: splitter.getPartialEvent().toString(),
		}).toEqual(expected);
	});

	test('gives the same events wherever the bytes are split', () => {
		const text = Buffer.from('id: 1\ndata: é\n\nid: 2\ndata: 世界\n\nid: 3\ndata: z');
		const splitter = createEventSplitter();
		const completeEvents = Array.from(text, byte => splitter.add(Buffer.from([byte])).events?.bytes ?? Buffer.alloc(0));
		expect(Buffer.concat(completeEvents).toString()).toBe('id: 1\ndata: é\n\nid: 2\ndata: 世界\n\n');
	});

	test.each([
		'id: 1\ndata: x\n\n', 'data: id:5\n\n', 'id:3\nid: 4\ndata: x\n\nid: 5\ndata: y\n\n', ': id\n\n\n', '\n\n', 'data: x\nid:\n\n',
	])('gives the same events for a whole chunk as for its bytes: %j', text => {
		const whole = createEventSplitter();
		const split = createEventSplitter();
		const {bytes, count, lastEventId} = whole.add(Buffer.from(text)).events ?? noEvents;
		const parts = Array.from(text, byte => split.add(Buffer.from(byte)).events ?? noEvents);
		expect([bytes.toString(), count, lastEventId, whole.getPartialEvent().toString()]).toEqual([
			parts.map(part => part.bytes.toString()).join(''),
			parts.reduce((sum, part) => sum + part.count, 0),
			parts.findLast(part => part.lastEventId !== undefined)?.lastEventId,
			split.getPartialEvent().toString(),
		]);
	});

	test.each(['\n\n', '\r\n\r\n', '\n\r\n', '\r\n\n'])('finds a terminator wherever it is split: %j', terminator => {
		const text = `data: x${terminator}`;
		const counts = Array.from(text, (_, at) => {
			const splitter = createEventSplitter();
			return [text.slice(0, at), text.slice(at)].map(part => splitter.add(Buffer.from(part)).events?.count ?? 0).join(' ');
		});
		expect(new Set(counts)).toEqual(new Set(['0 1']));
	});

	// Searching the whole event again for each chunk would exceed the time limit of the test.
	test('takes an event of a quarter of a mebibyte in chunks of a byte', () => {
		const splitter = createEventSplitter();
		const chunk = Buffer.from('x');
		const length = 256 * 1024;
		const counts = Array.from({length}, () => splitter.add(chunk).events?.count ?? 0);
		expect(counts.every(count => count === 0)).toBe(true);
		expect(splitter.add(Buffer.from('\n\n')).events).toMatchObject({count: 1, bytes: {length: length + 2}});
	}, 5000);
});

describe('a cancelled request', () => {
	/** Sends a request, cancels it once the endpoint has received it, and returns the posted event. */
	const cancelRequest = async (respond: (socket: Socket) => void): Promise<EdgeEvent> => {
		let markReceived: () => void = () => undefined;
		const received = new Promise<void>(resolve => {
			markReceived = resolve;
		});
		const endpoint = await startEndpoint(socket => {
			respond(socket);
			setImmediate(markReceived);
		}, true);
		const cancelled = new Promise<EdgeEvent>(resolve => {
			const proxy = openHttpProxy({
				post(event) {
					if (event.kind === 'call-withdrawn') {
						resolve(event);
					}
				},
				isLastResponse: () => false,
				random: () => 0,
				clock: () => performance.now(),
			});
			const front = createFrontServer(proxy, endpoint);
			const sendRequest = async () => {
				const port = await listen(front);
				request({port, host: '127.0.0.1', headers: {'attempt-id': 'call-1'}}).on('error', () => undefined).end();
				await received;
				setTimeout(() => {
					proxy.cancel(1);
					front.closeAllConnections();
				}, 20);
			};

			runInBackground(sendRequest);
		});
		return cancelled;
	};

	test.each<[string, boolean, (socket: Socket) => void]>([
		['has not run if the endpoint closes without sending a byte', true, socket => {
			socket.on('end', () => {
				socket.end();
			});
		}],
		['may have run if the endpoint was streaming', false, socket => {
			socket.write(`${signedHead}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`);
		}],
		['may have run if the endpoint responds after the cancellation', false, socket => {
			socket.on('end', () => {
				socket.end(`${signedHead}Content-Length: 2\r\n\r\nok`);
			});
		}],
		['may have run if the endpoint resets the connection', false, socket => {
			socket.on('end', () => {
				socket.resetAndDestroy();
			});
		}],
		['may have run if the endpoint does not react', false, () => undefined],
	])('%s', async (_, hasNotRun, answer) => {
		expect(await cancelRequest(answer)).toEqual({
			kind: 'call-withdrawn', call: 1, attempt: 1, hasNotRun,
		});
	});
});
