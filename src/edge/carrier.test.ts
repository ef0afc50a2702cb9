import {Buffer} from 'node:buffer';
import {createServer as createHttpServer, request} from 'node:http';
import {createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';
import {
	afterEach, describe, expect, test,
} from 'vitest';
import {runInBackground} from '../loop/background.js';
import {decodeCall} from '../platform/index.js';
import {openCarrier} from './carrier.js';
import {splitEvents} from './events.js';
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

/** An endpoint that writes raw bytes once it has read a request. */
const startEndpoint = async (answer: (socket: Socket) => void, allowHalfOpen = false): Promise<number> => listen(createServer({allowHalfOpen}, socket => {
	socket.on('error', () => undefined);
	socket.once('data', () => {
		answer(socket);
	});
}));

const signed = 'HTTP/1.1 200 OK\r\nResponse-Seal: s\r\nAttempt-Id: call-1\r\n';

/** A front that hands one call to a carrier, for an endpoint at a port. */
const createFront = (carrier: ReturnType<typeof openCarrier>, endpoint: number) => createHttpServer((incoming, response) => {
	incoming.resume();
	incoming.on('end', () => {
		const head = decodeCall({
			method: 'GET', url: '/', headers: incoming.headers, rawHeaders: incoming.rawHeaders,
		}).unwrap();
		carrier.accept(1, head, 'h', Buffer.alloc(0), response);
		carrier.send({
			kind: 'send', call: 1, attempt: 1, address: `127.0.0.1:${endpoint}`, maxConnections: 10, sending: {
				endpoint: 'i-1', remaining: 1000, organisation: undefined, urgency: undefined, resumeAfter: undefined,
			},
		});
	});
});

type Played = Readonly<{event: EdgeEvent; status: number | undefined; body: string; isWhole: boolean}>;

/** Sends one call through a carrier; gives the first event of its attempt, and what the caller got. */
const play = async (answer: (socket: Socket) => void, react: (event: EdgeEvent, carrier: ReturnType<typeof openCarrier>) => boolean): Promise<Played> => {
	const endpoint = await startEndpoint(answer);
	return new Promise(resolve => {
		let decisive: EdgeEvent | undefined;
		const carrier = openCarrier({
			post(event) {
				if (decisive === undefined && react(event, carrier)) {
					decisive = event;
				}
			},
			isClosing: () => false,
			random: () => 0,
		});
		const front = createFront(carrier, endpoint);
		const call = async () => {
			const port = await listen(front);
			const outgoing = request({port, host: '127.0.0.1', headers: {'attempt-id': 'call-1'}});
			const done = (status: number | undefined, body: string, isWhole: boolean) => {
				front.closeAllConnections();
				carrier.close();
				resolve({
					event: decisive!, status, body, isWhole,
				});
			};

			outgoing.on('error', () => {
				done(undefined, '', false);
			});
			outgoing.on('response', incoming => {
				let body = '';
				incoming.on('data', chunk => {
					body += String(chunk);
				});
				incoming.on('error', () => undefined);
				incoming.on('close', () => {
					done(incoming.statusCode, body, incoming.complete);
				});
			});
			outgoing.end();
		};

		call(); // eslint-disable-line @typescript-eslint/no-floating-promises -- Settles the promise around it.
	});
};

/** Delivers a whole answer, and cuts the caller off where the attempt failed. */
const deliverOrCut = (event: EdgeEvent, carrier: ReturnType<typeof openCarrier>): boolean => {
	if (event.kind === 'endpoint-answered') {
		carrier.deliver(1);
	} else {
		carrier.cut(1);
	}

	return true;
};

describe('an answer that is not a stream', () => {
	test.each<[string, (socket: Socket) => void, string]>([
		['is whole with a length', socket => {
			socket.write(`${signed}Content-Length: 5\r\n\r\nwhole`);
		}, 'endpoint-answered'],
		['is whole where it ends with its connection', socket => {
			socket.end(`${signed}\r\nwhole`);
		}, 'endpoint-answered'],
		['is broken where its connection is reset in the middle', socket => {
			socket.write(`${signed}\r\nwho`, () => {
				socket.resetAndDestroy();
			});
		}, 'endpoint-failed'],
		['is broken where it is shorter than its length', socket => {
			socket.end(`${signed}Content-Length: 9\r\n\r\nwhole`);
		}, 'endpoint-failed'],
		['is broken without a signature', socket => {
			socket.write('HTTP/1.1 200 OK\r\nAttempt-Id: call-1\r\nContent-Length: 5\r\n\r\nwhole');
		}, 'endpoint-failed'],
		['is broken where it belongs to another call', socket => {
			socket.write('HTTP/1.1 200 OK\r\nResponse-Seal: s\r\nAttempt-Id: call-0\r\nContent-Length: 5\r\n\r\nwhole');
		}, 'endpoint-failed'],
		['is broken where it is no HTTP', socket => {
			socket.write('nonsense\r\n\r\n');
		}, 'endpoint-failed'],
		['is whole although bytes that belong to no call follow it', socket => {
			socket.write(`${signed}Content-Length: 5\r\n\r\nwhole${signed}Content-Length: 5\r\n\r\nother`);
		}, 'endpoint-answered'],
	])('%s', async (_, answer, kind) => {
		const played = await play(answer, deliverOrCut);
		expect(played.event.kind).toBe(kind);
		expect(played.isWhole && played.body === 'whole').toBe(kind === 'endpoint-answered');
	});

	test('that nobody takes up was never sent', async () => {
		const played = await play(socket => {
			socket.destroy();
		}, deliverOrCut);
		expect(played.event).toMatchObject({kind: 'endpoint-failed', stage: 'sent'});
	});
});

const stream = `${signed}Content-Type: text/event-stream\r\n`;

/** Relays a stream, and cuts the caller off where it broke. */
const relayOrCut = (event: EdgeEvent, carrier: ReturnType<typeof openCarrier>): boolean => {
	if (event.kind === 'endpoint-answered') {
		carrier.relay(1);
		return false;
	}

	if (event.kind === 'endpoint-failed') {
		carrier.cut(1);
	}

	return event.kind !== 'stream-began';
};

describe('a stream', () => {
	test('is passed on event by event', async () => {
		const played = await play(socket => {
			socket.write(`${stream}Content-Length: 24\r\n\r\nid: 1\ndata: a\n\nid: 2\nda`);
			socket.write('ta: b\n\n');
		}, relayOrCut);
		expect(played).toMatchObject({status: 200});
	});

	test('that breaks off ends after a whole event, and does not look complete', async () => {
		const played = await play(socket => {
			socket.write(`${stream}Transfer-Encoding: chunked\r\n\r\n17\r\nid: 1\ndata: a\n\nid: 2\nda\r\n`, () => {
				socket.destroy();
			});
		}, relayOrCut);
		expect(played.event).toMatchObject({
			kind: 'endpoint-failed', stage: 'streaming', events: 1, lastEvent: '1',
		});
		expect(played.body).toBe('id: 1\ndata: a\n\n');
		expect(played.isWhole).toBe(false);
	});
});

test('a stream that turns into nonsense has failed as a stream', async () => {
	const played = await play(socket => {
		socket.write(`${stream}Transfer-Encoding: chunked\r\n\r\n3\r\nid: 1\ndata: a\n\n`);
	}, relayOrCut);
	expect(played.event).toMatchObject({kind: 'endpoint-failed', stage: 'streaming'});
	expect(played.isWhole).toBe(false);
});

describe('events', () => {
	test.each([
		['a part of one', {
			whole: '', count: 0, lastId: undefined, rest: 'id: 1\ndata',
		}],
		['one and a part', {
			whole: 'id: 1\ndata: x\n\n', count: 1, lastId: '1', rest: 'id: 2',
		}],
		['two', {
			whole: 'id: 1\ndata: x\n\nid: 2\ndata: y\n\n', count: 2, lastId: '2', rest: '',
		}],
		['one without an id', {
			whole: 'data: x\n\n', count: 1, lastId: undefined, rest: '',
		}],
		['one with carriage returns', {
			whole: 'id: 7\r\ndata: x\r\n\r\n', count: 1, lastId: '7', rest: '',
		}],
	])('%s', (_, expected) => {
		const split = splitEvents(Buffer.alloc(0), Buffer.from(expected.whole + expected.rest));
		expect({...split, whole: split.whole.toString(), rest: split.rest.toString()}).toEqual(expected);
	});

	test('are the same however the bytes are cut', () => {
		const text = Buffer.from('id: 1\ndata: é\n\nid: 2\ndata: 世界\n\nid: 3\ndata: z');
		const parts = Array.from(text, byte => Buffer.from([byte]));
		const end = parts.reduce<{whole: readonly Buffer[]; rest: Buffer}>((state, part) => {
			const split = splitEvents(state.rest, part);
			return {whole: [...state.whole, split.whole], rest: split.rest};
		}, {whole: [], rest: Buffer.alloc(0)});
		expect(Buffer.concat(end.whole).toString()).toBe('id: 1\ndata: é\n\nid: 2\ndata: 世界\n\n');
	});
});

describe('a call that is withdrawn', () => {
	/** Sends a call, withdraws it once the endpoint has it, and tells what was posted. */
	const withdraw = async (answer: (socket: Socket) => void): Promise<EdgeEvent> => {
		let take: () => void = () => undefined;
		const taken = new Promise<void>(resolve => {
			take = resolve;
		});
		const endpoint = await startEndpoint(socket => {
			answer(socket);
			setImmediate(take);
		}, true);
		const told = new Promise<EdgeEvent>(resolve => {
			const carrier = openCarrier({
				post(event) {
					if (event.kind === 'call-withdrawn') {
						resolve(event);
					}
				},
				isClosing: () => false,
				random: () => 0,
			});
			const front = createFront(carrier, endpoint);
			const call = async () => {
				const port = await listen(front);
				request({port, host: '127.0.0.1', headers: {'attempt-id': 'call-1'}}).on('error', () => undefined).end();
				await taken;
				setTimeout(() => {
					carrier.withdraw(1);
					front.closeAllConnections();
				}, 20);
			};

			runInBackground(call);
		});
		return told;
	};

	test.each<[string, boolean, (socket: Socket) => void]>([
		['an endpoint that closes without a byte has not run it', true, socket => {
			socket.on('end', () => {
				socket.end();
			});
		}],
		['an endpoint that was in the middle of a stream may have run it', false, socket => {
			socket.write(`${signed}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`);
		}],
		['an endpoint whose output crossed the end may have run it', false, socket => {
			socket.on('end', () => {
				socket.end(`${signed}Content-Length: 2\r\n\r\nok`);
			});
		}],
		['an endpoint that resets the connection may have run it', false, socket => {
			socket.on('end', () => {
				socket.resetAndDestroy();
			});
		}],
		['an endpoint that goes on may have run it', false, () => undefined],
	])('%s', async (_, hasNotRun, answer) => {
		expect(await withdraw(answer)).toEqual({
			kind: 'call-withdrawn', call: 1, attempt: 1, hasNotRun,
		});
	});
});
