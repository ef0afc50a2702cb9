import {Buffer} from 'node:buffer';
import {request} from 'node:http';
import type {
	Agent, ClientRequest, IncomingMessage, OutgoingHttpHeaders, ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import {createByteBuffer} from '../byte-buffer/index.js';
import type {ByteBuffer} from '../byte-buffer/index.js';
import {
	createAllowance, findPieceExcess, isAllowanceLow, takePiece,
} from '../byte-buffer/pieces.js';
import type {PieceAllowance} from '../byte-buffer/pieces.js';
import type {ResponseTime} from '../endpoint-performance/index.js';
import {
	createErrorResponse, createFault, fail, succeed,
} from '../errors/index.js';
import type {Fault, Result} from '../errors/index.js';
import {checkFinalHead} from '../http-head/index.js';
import type {FinalHead} from '../http-head/index.js';
import type {ResponseHead, RequestHead} from '../in-flight/index.js';
import type {Incarnation} from '../registry/index.js';
import {runInBackground} from '../loop/background.js';
import {startTimeout} from '../loop/timeout.js';
import {decodeResponse, encodeRequestHeaders} from '../platform/index.js';
import {parseAddress} from '../server/address.js';
import {watchDisconnect} from '../server/disconnects.js';
import {
	createAgent, limitResponses, pauseReading, resumeReading, takeTurns,
} from '../server/http-client.js';
import {awaitPeerEnd} from '../server/resets.js';
import {findBufferExcess, smallBytes} from './buffer-limits.js';
import {openClientResponse, writeHead} from './client-response.js';
import type {ClientResponse, StreamResponse} from './client-response.js';
import {canEndAfter, createEventSplitter} from './event-stream.js';
import type {CompleteEvents, EventSplitter} from './event-stream.js';
import type {
	EdgeEffect, EdgeEvent, FailureStage, Framing,
} from './messages.js';
import {createRefusalHistory} from './refusal-history.js';

/** Time within which a request must have a connection, new or freed by another request, in ms. Well above a round trip, and below the retransmission of a lost SYN, which takes seconds. */
const connectTimeoutMs = 500;

/** Time that a live endpoint has to end a cancelled request, in ms. The connection is closed afterwards. */
const cancelTimeoutMs = 150;

/** Time that an idle connection is kept, in ms. An endpoint may announce a shorter keep-alive time. */
const idleTimeoutMs = 20_000;

/** Bytes that are read from an endpoint at a time. Most responses take one read; a smaller one takes more processor time, and a larger one has more pieces. */
const endpointReadBytes = 4096;

type SendEffect = EdgeEffect & {kind: 'send'};

/** A client request whose response is not complete. */
type ActiveRequest = {
	readonly head: RequestHead;
	readonly hostHeader: string;
	readonly body: Buffer;
	client: ClientResponse;
	/** True once the client has disconnected: nothing but the end of its attempt is left to do. */
	hasLeft: boolean;
	/** The in-flight request to the endpoint. */
	upstream: Upstream | undefined;
};

/** A response of an endpoint whose head has been read, and the head that its client gets. */
type EndpointResponse = Readonly<{head: ResponseHead; forwarded: FinalHead; incoming: IncomingMessage}>;

type Upstream = {
	readonly attempt: number;
	readonly endpoint: Incarnation;
	/** Key of the request. */
	readonly key: string;
	readonly outgoing: ClientRequest;
	isFinished: boolean;
	/** When it was written to its connection, in ms; undefined before. */
	writtenAt: number | undefined;
	/** Bytes received on the connection before the request was sent. */
	initialBytesRead: number;
	response: EndpointResponse | undefined;
	/** Pieces of its response that may still come. */
	allowance: PieceAllowance;
	/** Body of a response that is not a stream. */
	readonly body: ByteBuffer;
	/** True if the request asks for the rest of a stream, which may be empty. */
	readonly isResumed: boolean;
	readonly splitter: EventSplitter;
	eventCount: number;
	lastEventId: string | undefined;
	/** For a response without a length: resolves to true if the connection was closed normally, and to false if it was reset. */
	completion: Promise<boolean> | undefined;
};

/** Forwards requests to endpoints and responses to clients. Routing decisions are made by the event handler, not here. */
export type HttpProxy = Readonly<{
	accept: (requestId: number, head: RequestHead, hostHeader: string, body: Buffer, response: ServerResponse) => void;
	send: (effect: SendEffect) => void;
	/** Aborts the current attempt, and forgets the request if its client has left. */
	abort: (requestId: number) => void;
	/** Cancels the request at the endpoint, and posts whether it is known not to have run. */
	cancel: (requestId: number) => void;
	deliver: (requestId: number) => void;
	streamResponse: (requestId: number) => void;
	reject: (requestId: number, fault: Fault) => void;
	closeClient: (requestId: number) => void;
	/** Forgets a request that has not been handled yet if its client has disconnected; returns whether it has. */
	forgetLeft: (requestId: number) => boolean;
	/** Closes the client's connection after a failure of this process; forgets the request if nothing else is to come of it. */
	fail: (requestId: number, isEnded: boolean) => void;
	/** Closes the idle connections to an address. */
	closeIdleConnections: (address: string) => void;
	/** Closes idle connections while there are more connections to endpoints than this. */
	limitConnections: (maxConnections: number) => void;
	close: () => void;
}>;

type HttpProxyOptions = Readonly<{
	post: (event: EdgeEvent) => void;
	/** Decides as the head of a response is written whether it closes the client's connection, as it does during a graceful shutdown so that clients use another router. */
	isLastResponse: (response: ServerResponse) => boolean;
	random: () => number;
	/** The current time in ms. */
	clock: () => number;
	/** Takes into account what a request holds, in bytes, and whether its client reads it; returns false if there is no room for more. */
	hold?: (requestId: number, kind: 'running' | 'unread', bytes: number) => boolean;
	/** Counts bytes that were read from endpoints in pieces. */
	addRead?: (bytes: number) => void;
	/** Called when a client is given up that has stopped reading. */
	onStall?: (key: string) => void;
	/** Returns the longest time for which what is read now may have waited, in ms. */
	getReadDelay?: () => number;
	/** Runs what handles a part of a response, and measures its time. */
	measure?: (requestId: number, run: () => void) => void;
}>;

const formatErrorResponse = (fault: Fault): Readonly<{head: FinalHead; body: Buffer}> => {
	const {status, headers, problem} = createErrorResponse(fault);
	return {head: checkFinalHead(status, Object.entries(headers).flat()).unwrap(), body: Buffer.from(JSON.stringify(problem))};
};

/**
Writes an error response to a client, and leaves it open.

@param response - The response to the client.
@param fault - The error.
@param shouldClose - True to ask the client to close its connection.
*/
export const writeErrorResponse = (response: ServerResponse, fault: Fault, shouldClose: boolean): void => {
	const {head, body} = formatErrorResponse(fault);
	writeHead(response, head, ['Content-Length', String(body.length)], shouldClose);
	response.write(body);
};

/**
Sends an error response to a client.

@param response - The response to the client.
@param fault - The error.
@param shouldClose - True to ask the client to close its connection.
*/
export const sendErrorResponse = (response: ServerResponse, fault: Fault, shouldClose: boolean): void => {
	writeErrorResponse(response, fault, shouldClose);
	response.end();
};

/** Returns how far a request has progressed at an endpoint. */
const getStage = (upstream: Upstream): FailureStage => {
	if (upstream.writtenAt === undefined) {
		return 'unsent';
	}

	return upstream.response?.head.isStream === true && upstream.response.head.status === 200 ? 'streaming' : 'sent';
};

/** A response without a body ends with its head, whatever its headers say. */
const hasNoBody = (method: string, status: number | undefined): boolean => method === 'HEAD' || status === 204 || status === 304;

const getFraming = (method: string, {headers, statusCode}: IncomingMessage): Framing => {
	if (hasNoBody(method, statusCode)) {
		return 'length';
	}

	return headers['transfer-encoding'] === undefined ? (headers['content-length'] === undefined ? 'close' : 'length') : 'chunked';
};

/** Returns how a stream shows that it was broken off although its body has ended normally; undefined if it does not. */
const findBreak = (upstream: Upstream, framing: Framing): string | undefined => {
	if (!canEndAfter(upstream.splitter.getPartialEvent())) {
		return `stream with ${framing} framing ended inside an event`;
	}

	return framing === 'close' && upstream.eventCount === 0 && !upstream.isResumed ? 'stream ended with its connection before its first event' : undefined;
};

const countSockets = (sockets: Agent['freeSockets']): number => Object.values(sockets).reduce((sum, list) => sum + (list?.length ?? 0), 0);

const pauseResponse = (incoming: IncomingMessage): void => {
	incoming.pause();
	// The connection of a complete response may carry another one.
	if (!incoming.complete) {
		pauseReading(incoming.socket);
	}
};

const resumeResponse = (incoming: IncomingMessage): void => {
	incoming.resume();
	if (!incoming.complete) {
		resumeReading(incoming.socket);
	}
};

/**
Opens a proxy between clients and endpoints.

@param options - Event sink, shutdown state and random source.
@returns The proxy.
*/
export const openHttpProxy = (options: HttpProxyOptions): HttpProxy => {
	const {
		post, random, clock, hold = () => true, addRead = () => undefined, onStall = () => undefined, getReadDelay = () => 0, measure = (_requestId, run) => {
			run();
		},
	} = options;
	const activeRequests = new Map<number, ActiveRequest>();
	const agents = new Map<string, Agent>();
	const refusals = createRefusalHistory();

	const getAgent = (address: string, maxConnections: number): Agent => {
		const existing = agents.get(address);
		if (existing !== undefined) {
			existing.maxSockets = maxConnections;
			return existing;
		}

		const agent = createAgent({
			keepAlive: true, maxSockets: maxConnections, timeout: idleTimeoutMs, scheduling: 'lifo',
		}, endpointReadBytes);
		agents.set(address, agent);
		return agent;
	};

	/**
	Selects the connections that a request may use. It uses none that has carried a refusal of it: whether another
	refusal there is a copy of that one could not be told.
	*/
	const selectAgent = ({endpoint, maxConnections}: SendEffect, key: string): Agent | false => {
		const agent = getAgent(endpoint.address, maxConnections);
		const idle = Object.values(agent.freeSockets).flatMap(sockets => sockets ?? []);
		return idle.some(socket => refusals.has(socket, key)) ? false : agent;
	};

	/** Returns why a head cannot count as that of the endpoint's response to a request; undefined if it can. */
	const findInvalidHead = (head: ResponseHead, {key, initialBytesRead}: Upstream, socket: Socket): string | undefined => {
		if (head.key !== undefined && head.key !== key) {
			return `response is for request ${head.key}`;
		}

		if (head.key === undefined && initialBytesRead > 0) {
			return 'response does not name its request, and its connection has carried others';
		}

		if (head.hasNotRun && refusals.has(socket, key)) {
			return 'refusal may be a copy of an earlier one on its connection';
		}

		return head.status < 300 && !head.isSigned ? 'response is not signed' : undefined;
	};

	/** Called only when memory has grown: counting for each chunk would take long if the chunks are small. */
	const countBufferedBytes = (): number => [...activeRequests.values()].flatMap(({upstream}) => upstream ?? [])
		.reduce((sum, {body, splitter}) => sum + body.countMemory() + splitter.countMemory(), 0);

	/** Explains why the rest of a response cannot be kept beside what else is held. Small responses always can. */
	const findMemoryExcess = (requestId: number, upstream: Upstream): string | undefined => {
		const bytes = upstream.body.countMemory();
		const hasRoom = hold(requestId, 'running', (activeRequests.get(requestId)?.body.length ?? 0) + bytes);
		return hasRoom || bytes <= smallBytes ? undefined : 'there is no memory left for the response';
	};

	/** Charges a response for a piece; returns why it may not go on, if so. */
	const chargePiece = (upstream: Upstream, {socket}: IncomingMessage, bytes: number): string | undefined => {
		addRead(bytes);
		upstream.allowance = takePiece(upstream.allowance, bytes, clock());
		if (isAllowanceLow(upstream.allowance)) {
			takeTurns(socket);
		}

		return findPieceExcess(upstream.allowance);
	};

	const destroyUpstream = (upstream: Upstream): void => {
		upstream.isFinished = true;
		upstream.body.clear();
		upstream.splitter.clear();
		upstream.outgoing.destroy();
	};

	const failAttempt = (requestId: number, upstream: Upstream, stage: FailureStage, reason: string): void => {
		if (upstream.isFinished) {
			return;
		}

		destroyUpstream(upstream);
		post({
			kind: 'endpoint-failed', call: requestId, attempt: upstream.attempt, stage, reason, events: upstream.eventCount, lastEventId: upstream.lastEventId, random: random(),
		});
	};

	/** Measures the time until what is read now. */
	const measureTime = ({writtenAt}: Upstream): ResponseTime => {
		const maxMs = clock() - (writtenAt ?? clock());
		return {minMs: Math.max(0, maxMs - getReadDelay()), maxMs};
	};

	const reportResponse = (requestId: number, upstream: Upstream, head: ResponseHead): void => {
		upstream.isFinished = true;
		post({
			kind: 'endpoint-answered', call: requestId, attempt: upstream.attempt, head, time: measureTime(upstream), random: random(),
		});
	};

	/** A response without a length ends when its connection closes, and is complete unless that was a reset. */
	const detectReset = (upstream: Upstream, method: string, incoming: IncomingMessage): void => {
		if (getFraming(method, incoming) === 'close') {
			upstream.completion = awaitPeerEnd(incoming.socket);
		}
	};

	/** Continues once it is known whether a response that has ended is complete. */
	const awaitCompletion = (upstream: Upstream, onComplete: () => void, onReset: () => void): void => {
		if (upstream.completion === undefined) {
			onComplete();
			return;
		}

		runInBackground(async () => {
			(await upstream.completion ? onComplete : onReset)();
		});
	};

	const collectResponse = (requestId: number, upstream: Upstream, {head, incoming}: EndpointResponse): void => {
		incoming.on('data', (chunk: Buffer) => {
			if (upstream.isFinished) {
				return;
			}

			const hasGrown = upstream.body.add(chunk);
			const excess = findBufferExcess('response', upstream.body.countBytes(), hasGrown ? countBufferedBytes : () => 0)
				?? chargePiece(upstream, incoming, chunk.length)
				?? (hasGrown ? findMemoryExcess(requestId, upstream) : undefined);
			if (excess !== undefined) {
				failAttempt(requestId, upstream, 'sent', excess);
			}
		});
		incoming.on('end', () => {
			if (!incoming.complete) {
				failAttempt(requestId, upstream, 'sent', 'connection closed before the response was complete');
				return;
			}

			awaitCompletion(upstream, () => {
				if (!upstream.isFinished) {
					reportResponse(requestId, upstream, head);
				}
			}, () => {
				failAttempt(requestId, upstream, 'sent', 'connection reset at the end of the response');
			});
		});
		incoming.on('error', error => {
			if (!incoming.complete) {
				failAttempt(requestId, upstream, 'sent', `connection closed before the response was complete: ${error.message}`);
			}
		});
	};

	const receiveResponseHead = (requestId: number, upstream: Upstream, incoming: IncomingMessage): void => {
		const activeRequest = activeRequests.get(requestId);
		const head = decodeResponse(incoming);
		const reason = findInvalidHead(head, upstream, incoming.socket);
		const checked = reason === undefined ? head.forwarded.mapErr(({detail}) => detail) : fail(reason);
		post({
			kind: 'response-began', endpoint: upstream.endpoint, head, isDoubted: checked.err,
		});
		if (head.hasNotRun && !refusals.record(incoming.socket, upstream.key)) {
			upstream.outgoing.shouldKeepAlive = false;
		}

		if (activeRequest === undefined || upstream.isFinished) {
			incoming.on('error', () => undefined);
			upstream.outgoing.destroy();
			return;
		}

		if (checked.err) {
			failAttempt(requestId, upstream, 'sent', checked.val);
			return;
		}

		const response = {head, forwarded: checked.val, incoming};
		upstream.response = response;
		detectReset(upstream, activeRequest.head.method, incoming);
		if (head.isStream && head.status === 200) {
			incoming.on('error', () => undefined);
			pauseResponse(incoming);
			post({
				kind: 'endpoint-answered', call: requestId, attempt: upstream.attempt, head, random: random(),
			});
		} else {
			collectResponse(requestId, upstream, response);
		}
	};

	/**
	Writes a request once its connection is open. When a new one opens, the other sockets that are ready are read first: the
	client may have disconnected meanwhile.
	*/
	const writeWhenConnected = (requestId: number, upstream: Upstream, body: Buffer): void => {
		const write = () => {
			if (!upstream.isFinished) {
				upstream.writtenAt = clock();
				upstream.outgoing.end(body);
			}
		};

		const cancelTimeout = startTimeout(() => {
			failAttempt(requestId, upstream, 'unsent', `no connection within ${connectTimeoutMs} ms`);
		}, connectTimeoutMs);
		upstream.outgoing.on('close', cancelTimeout);
		upstream.outgoing.on('socket', socket => {
			if (!socket.connecting) {
				upstream.initialBytesRead = socket.bytesRead;
				cancelTimeout();
				write();
				return;
			}

			socket.once('connect', () => {
				cancelTimeout();
				setImmediate(write);
			});
		});
	};

	/** Creates a request to an endpoint; fails if a header cannot hold its value, which Node.js reports by an exception. */
	const openRequest = (effect: SendEffect, {head, hostHeader, body}: ActiveRequest): Result<ClientRequest> => {
		const {host, port} = parseAddress(effect.endpoint.address);
		try {
			return succeed(request({
				agent: selectAgent(effect, head.key),
				host,
				port,
				method: head.method,
				path: head.url,
				// Raw name and value pairs, which the type definitions of Node.js do not include.
				headers: encodeRequestHeaders(head, effect.metadata, hostHeader, body.length) as unknown as OutgoingHttpHeaders,
			}));
		} catch (error) {
			return fail(createFault('internal', `the request cannot be written: ${error instanceof Error ? error.message : String(error)}`));
		}
	};

	const send = (effect: SendEffect): void => {
		const activeRequest = activeRequests.get(effect.call);
		if (activeRequest === undefined || activeRequest.hasLeft) {
			return;
		}

		const opened = openRequest(effect, activeRequest);
		if (opened.err) {
			post({
				kind: 'endpoint-failed', call: effect.call, attempt: effect.attempt, stage: 'unsent', reason: opened.val.detail, events: 0, lastEventId: undefined, random: random(),
			});
			return;
		}

		const outgoing = opened.val;
		const upstream: Upstream = {
			attempt: effect.attempt,
			endpoint: effect.endpoint,
			key: activeRequest.head.key,
			outgoing,
			isFinished: false,
			writtenAt: undefined,
			initialBytesRead: 0,
			response: undefined,
			allowance: createAllowance(clock()),
			body: createByteBuffer(),
			isResumed: effect.metadata.resumeAfter !== undefined,
			splitter: createEventSplitter(),
			eventCount: 0,
			lastEventId: undefined,
			completion: undefined,
		};
		activeRequest.upstream = upstream;
		writeWhenConnected(effect.call, upstream, activeRequest.body);
		limitResponses(outgoing, reason => {
			failAttempt(effect.call, upstream, 'sent', reason);
		});
		outgoing.on('response', incoming => {
			measure(effect.call, () => {
				receiveResponseHead(effect.call, upstream, incoming);
			});
		});
		outgoing.on('error', error => {
			// Surplus bytes after a complete response are a parse error that concerns no request.
			if (upstream.response?.incoming.complete !== true) {
				failAttempt(effect.call, upstream, getStage(upstream), error.message);
			}
		});
		outgoing.on('close', () => {
			// Node.js reports no error if it closes the connection because of a switch to another protocol.
			if (upstream.response === undefined) {
				failAttempt(effect.call, upstream, getStage(upstream), 'connection closed before a response');
			}
		});
	};

	/**
	Cancels a request by closing only the sending side of its connection. An endpoint that has produced no output then
	closes its side without sending anything, and output sent before it read the close still arrives. In any other case
	it is unknown whether the request has run.
	*/
	const cancel = (requestId: number): void => {
		const upstream = removeRequest(requestId)?.upstream;
		if (upstream === undefined) {
			return;
		}

		const {outgoing, attempt} = upstream;
		const {socket} = outgoing;
		upstream.isFinished = true;
		let isReported = false;
		const report = (hasNotRun: boolean) => {
			if (!isReported) {
				isReported = true;
				cancelTimeout();
				outgoing.destroy();
				post({
					kind: 'call-withdrawn', call: requestId, attempt, hasNotRun,
				});
			}
		};

		const cancelTimeout = startTimeout(() => {
			report(false);
		}, cancelTimeoutMs);
		if (upstream.writtenAt === undefined || socket === null) {
			report(true);
			return;
		}

		if (upstream.response !== undefined || socket.bytesRead > upstream.initialBytesRead) {
			report(false);
			return;
		}

		socket.once('end', () => {
			report(socket.bytesRead === upstream.initialBytesRead);
		});
		socket.once('error', () => {
			report(false);
		});
		socket.once('close', () => {
			report(false);
		});
		socket.end();
	};

	const removeRequest = (requestId: number): ActiveRequest | undefined => {
		const activeRequest = activeRequests.get(requestId);
		activeRequests.delete(requestId);
		return activeRequest;
	};

	/** Sends the head together with the first event, so that a stream without events can be retried at another endpoint. */
	const beginClientStream = (activeRequest: ActiveRequest, {forwarded}: EndpointResponse): StreamResponse => {
		const {client} = activeRequest;
		if (client.state === 'streaming') {
			return client;
		}

		const stream = client.begin(forwarded);
		activeRequest.client = stream;
		return stream;
	};

	const forwardEvents = (requestId: number, activeRequest: ActiveRequest, upstream: Upstream, response: EndpointResponse, events: CompleteEvents): void => {
		const isFirst = upstream.eventCount === 0;
		const stream = beginClientStream(activeRequest, response);
		upstream.eventCount += events.count;
		upstream.lastEventId = events.lastEventId ?? upstream.lastEventId;
		if (!stream.write(events.bytes)) {
			pauseResponse(response.incoming);
			hold(requestId, 'unread', activeRequest.body.length + events.bytes.length);
		}

		if (isFirst) {
			post({
				kind: 'stream-began', call: requestId, attempt: upstream.attempt, time: measureTime(upstream),
			});
		}
	};

	const receiveChunk = (requestId: number, activeRequest: ActiveRequest, upstream: Upstream, response: EndpointResponse, chunk: Buffer): void => {
		const {events, hasGrown} = upstream.splitter.add(chunk);
		const excess = findBufferExcess('event', upstream.splitter.getPartialEvent().length, hasGrown ? countBufferedBytes : () => 0) ?? chargePiece(upstream, response.incoming, chunk.length);
		if (events !== undefined) {
			forwardEvents(requestId, activeRequest, upstream, response, events);
		}

		if (excess !== undefined) {
			failAttempt(requestId, upstream, 'streaming', excess);
		}
	};

	const endStream = (requestId: number, activeRequest: ActiveRequest, upstream: Upstream, response: EndpointResponse): void => {
		const framing = getFraming(activeRequest.head.method, response.incoming);
		const reason = findBreak(upstream, framing);
		if (reason !== undefined) {
			failAttempt(requestId, upstream, 'streaming', reason);
			return;
		}

		upstream.isFinished = true;
		removeRequest(requestId);
		beginClientStream(activeRequest, response).end(upstream.splitter.getPartialEvent());
		post({
			kind: 'stream-ended', call: requestId, attempt: upstream.attempt, events: upstream.eventCount, framing,
		});
	};

	const streamResponse = (requestId: number): void => {
		const activeRequest = activeRequests.get(requestId);
		const upstream = activeRequest?.upstream;
		const response = upstream?.response;
		if (activeRequest === undefined || upstream === undefined || response === undefined) {
			return;
		}

		const {incoming} = response;
		incoming.on('data', (chunk: Buffer) => {
			if (!upstream.isFinished) {
				measure(requestId, () => {
					receiveChunk(requestId, activeRequest, upstream, response, chunk);
				});
			}
		});
		incoming.on('end', () => {
			if (incoming.complete) {
				awaitCompletion(upstream, () => {
					if (!upstream.isFinished) {
						endStream(requestId, activeRequest, upstream, response);
					}
				}, () => {
					failAttempt(requestId, upstream, 'streaming', 'connection reset at the end of the stream');
				});
			}
		});
		incoming.on('close', () => {
			if (!incoming.complete) {
				failAttempt(requestId, upstream, 'streaming', 'connection closed before the stream was complete');
			}
		});
		resumeResponse(incoming);
	};

	return {
		accept(requestId, head, hostHeader, body, response) {
			// The functions below live as long as the response, which its connection keeps while it is idle: none of them may hold the body.
			const bodyBytes = body.length;
			activeRequests.set(requestId, {
				head,
				hostHeader,
				body,
				client: openClientResponse(response, () => {
					const incoming = activeRequests.get(requestId)?.upstream?.response?.incoming;
					hold(requestId, 'running', bodyBytes);
					if (incoming !== undefined) {
						resumeResponse(incoming);
					}
				}, () => options.isLastResponse(response), () => {
					onStall(head.key);
				}),
				hasLeft: false,
				upstream: undefined,
			});
			watchDisconnect(response, () => {
				const activeRequest = activeRequests.get(requestId);
				if (activeRequest !== undefined) {
					activeRequest.hasLeft = true;
					post({
						kind: 'caller-left', call: requestId, events: activeRequest.upstream?.eventCount ?? 0, readAt: clock(),
					});
				}
			});
		},
		send,
		abort(requestId) {
			const activeRequest = activeRequests.get(requestId);
			const upstream = activeRequest?.upstream;
			if (upstream !== undefined && !upstream.isFinished) {
				destroyUpstream(upstream);
			}

			if (activeRequest?.hasLeft === true) {
				activeRequests.delete(requestId);
			}
		},
		cancel,
		deliver(requestId) {
			const activeRequest = activeRequests.get(requestId);
			const upstream = activeRequest?.upstream;
			if (activeRequest !== undefined && upstream?.response !== undefined) {
				const body = upstream.body.getBytes();
				answerOrBreak(activeRequest.client, upstream.response.forwarded, body);
				hold(requestId, 'unread', body.length);
			}

			activeRequests.delete(requestId);
		},
		streamResponse,
		reject(requestId, fault) {
			const activeRequest = activeRequests.get(requestId);
			if (activeRequest !== undefined) {
				const {head, body} = formatErrorResponse(fault);
				answerOrBreak(activeRequest.client, head, body);
			}

			activeRequests.delete(requestId);
		},
		closeClient(requestId) {
			removeRequest(requestId)?.client.break();
		},
		forgetLeft(requestId) {
			return activeRequests.get(requestId)?.hasLeft === true && activeRequests.delete(requestId);
		},
		fail(requestId, isEnded) {
			// The close of a request that has not ended is posted, and ends it.
			(isEnded ? removeRequest(requestId) : activeRequests.get(requestId))?.client.break();
		},
		closeIdleConnections(address) {
			Object.values(agents.get(address)?.freeSockets ?? {}).flatMap(sockets => sockets ?? []).forEach(socket => {
				socket.destroy();
			});
		},
		limitConnections(maxConnections) {
			const sumOpen = [...agents.values()].reduce((sum, agent) => sum + countSockets(agent.sockets) + countSockets(agent.freeSockets), 0);
			[...agents.values()].flatMap(agent => Object.values(agent.freeSockets).flatMap(sockets => sockets ?? []))
				.slice(0, Math.max(0, sumOpen - maxConnections))
				.forEach(socket => {
					socket.destroy();
				});
		},
		close() {
			agents.forEach(agent => {
				agent.destroy();
			});
		},
	};
};

/** Sends a whole response, or breaks a stream that has begun, which nothing but its own events can follow. */
const answerOrBreak = (client: ClientResponse, head: FinalHead, body: Buffer): void => {
	if (client.state === 'open') {
		client.answer(head, body);
	} else {
		client.break();
	}
};
