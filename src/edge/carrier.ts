import {Buffer} from 'node:buffer';
import {Agent, request} from 'node:http';
import type {
	ClientRequest, IncomingMessage, OutgoingHttpHeaders, ServerResponse,
} from 'node:http';
import {describeFault} from '../errors/index.js';
import type {Fault} from '../errors/index.js';
import type {AnswerHead, CallHead} from '../flight/index.js';
import {runInBackground} from '../loop/background.js';
import {decodeAnswer, encodeCall} from '../platform/index.js';
import {parseAddress} from '../server/address.js';
import {splitEvents} from './events.js';
import type {EdgeEffect, EdgeEvent, Stage} from './messages.js';

/** Milliseconds for a new connection: far above the way there and back, and below the seconds after which a lost opening packet is sent again. */
const connectTimeout = 500;

/** Milliseconds in which an endpoint that runs ends a call that was withdrawn; after that its connection is closed. */
const withdrawTimeout = 150;

/** Milliseconds that an unused connection is kept, unless the endpoint says less. */
const idleTimeout = 20_000;

/** The part of an endpoint's connections that one router may use: routers are counted in tens at most, and load is uneven. */
const connectionPart = 0.4;

type Send = EdgeEffect & {kind: 'send'};

/** One caller's request in the making of its answer. */
type Carried = {
	readonly head: CallHead;
	readonly hostHeader: string;
	readonly body: Buffer;
	readonly response: ServerResponse;
	/** The call to the endpoint that is under way. */
	upstream: Upstream | undefined;
};

type Upstream = {
	readonly attempt: number;
	readonly outgoing: ClientRequest;
	isOver: boolean;
	isOpen: boolean;
	/** Bytes that the connection had brought before the call was sent. */
	bytesBefore: number;
	answer: Readonly<{head: AnswerHead; incoming: IncomingMessage}> | undefined;
	chunks: readonly Buffer[];
	rest: Buffer;
	events: number;
	lastEvent: string | undefined;
	/** Of an answer without a length: true once it has ended whole. */
	proof: Promise<boolean> | undefined;
};

/** Carries requests to endpoints and answers to callers. It decides nothing. */
export type Carrier = Readonly<{
	accept: (call: number, head: CallHead, hostHeader: string, body: Buffer, response: ServerResponse) => void;
	send: (effect: Send) => void;
	abort: (call: number) => void;
	/** Ends the call at the endpoint, and posts whether it has not run. */
	withdraw: (call: number) => void;
	deliver: (call: number) => void;
	relay: (call: number) => void;
	refuse: (call: number, fault: Fault) => void;
	cut: (call: number) => void;
	/** Closes unused connections to an address. */
	forget: (address: string) => void;
	close: () => void;
}>;

type CarrierOptions = Readonly<{
	post: (event: EdgeEvent) => void;
	/** True once callers are asked to use another router. */
	isClosing: () => boolean;
	random: () => number;
}>;

/**
Answers a caller with an error.

@param response - The caller's response.
@param fault - The error.
@param isClosing - True to have the caller's connection closed afterwards.
*/
export const sendFault = (response: ServerResponse, fault: Fault, isClosing: boolean): void => {
	const {status, headers, problem} = describeFault(fault);
	const body = JSON.stringify(problem);
	response.writeHead(status, {...headers, 'content-length': Buffer.byteLength(body), ...(isClosing && {connection: 'close'})});
	response.end(body);
};

/** How far a call has got at an endpoint. */
const getStage = (upstream: Upstream): Stage => {
	if (!upstream.isOpen) {
		return 'unsent';
	}

	return upstream.answer?.head.isStream === true && upstream.answer.head.status === 200 ? 'streaming' : 'sent';
};

/**
Opens a carrier.

@param options - Where events go.
@returns The carrier.
*/
export const openCarrier = (options: CarrierOptions): Carrier => {
	const {post, random} = options;
	const carried = new Map<number, Carried>();
	const agents = new Map<string, Agent>();

	const getAgent = (address: string, maxConnections: number): Agent => {
		const known = agents.get(address);
		if (known !== undefined) {
			return known;
		}

		const agent = new Agent({
			keepAlive: true, maxSockets: Math.max(4, Math.floor(maxConnections * connectionPart)), timeout: idleTimeout, scheduling: 'lifo',
		});
		agents.set(address, agent);
		return agent;
	};

	const endUpstream = (upstream: Upstream): void => {
		upstream.isOver = true;
		upstream.outgoing.destroy();
	};

	const failAttempt = (call: number, upstream: Upstream, stage: Stage, reason: string): void => {
		if (upstream.isOver) {
			return;
		}

		endUpstream(upstream);
		post({
			kind: 'endpoint-failed', call, attempt: upstream.attempt, stage, reason, events: upstream.events, lastEvent: upstream.lastEvent, random: random(),
		});
	};

	const answerWhole = (call: number, upstream: Upstream, head: AnswerHead): void => {
		upstream.isOver = true;
		post({
			kind: 'endpoint-answered', call, attempt: upstream.attempt, head, random: random(),
		});
	};

	/**
	An answer without a length ends with its connection, and libuv reports a reset
	that arrives right after data as such an end. A write of no bytes fails on a
	connection that was reset, and sends nothing on any other.
	*/
	const watchEnd = (upstream: Upstream, incoming: IncomingMessage): void => {
		const {headers, socket} = incoming;
		if (headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined) {
			return;
		}

		upstream.proof = new Promise(resolve => {
			socket.prependOnceListener('end', () => {
				socket.write('', error => {
					resolve(error === undefined || error === null);
				});
			});
			socket.once('error', () => {
				resolve(false);
			});
		});
	};

	/** Goes on with an answer that has ended once it is known to be whole. */
	const awaitWhole = (upstream: Upstream, onWhole: () => void, onBroken: () => void): void => {
		if (upstream.proof === undefined) {
			onWhole();
			return;
		}

		runInBackground(async () => {
			(await upstream.proof ? onWhole : onBroken)();
		});
	};

	const collectAnswer = (call: number, upstream: Upstream, head: AnswerHead, incoming: IncomingMessage): void => {
		incoming.on('data', (chunk: Buffer) => {
			upstream.chunks = [...upstream.chunks, chunk];
		});
		incoming.on('end', () => {
			if (!incoming.complete) {
				failAttempt(call, upstream, 'sent', 'the answer broke off');
				return;
			}

			awaitWhole(upstream, () => {
				if (!upstream.isOver) {
					answerWhole(call, upstream, head);
				}
			}, () => {
				failAttempt(call, upstream, 'sent', 'the answer ended with a reset connection');
			});
		});
		incoming.on('error', error => {
			if (!incoming.complete) {
				failAttempt(call, upstream, 'sent', `the answer broke off: ${error.message}`);
			}
		});
	};

	const receiveHead = (call: number, upstream: Upstream, incoming: IncomingMessage): void => {
		const own = carried.get(call);
		const head = decodeAnswer(incoming);
		if (own === undefined || upstream.isOver) {
			incoming.on('error', () => undefined);
			upstream.outgoing.destroy();
			return;
		}

		upstream.answer = {head, incoming};
		watchEnd(upstream, incoming);
		if (head.key !== undefined && head.key !== own.head.key) {
			failAttempt(call, upstream, 'sent', `the answer belongs to ${head.key}`);
		} else if (head.status < 300 && !head.isSigned) {
			failAttempt(call, upstream, 'sent', 'the answer is not signed');
		} else if (head.isStream && head.status === 200) {
			incoming.on('error', () => undefined);
			post({
				kind: 'endpoint-answered', call, attempt: upstream.attempt, head, random: random(),
			});
		} else {
			collectAnswer(call, upstream, head, incoming);
		}
	};

	const watchOpening = (call: number, upstream: Upstream): void => {
		upstream.outgoing.on('socket', socket => {
			if (!socket.connecting) {
				upstream.isOpen = true;
				upstream.bytesBefore = socket.bytesRead;
				return;
			}

			const timer = setTimeout(() => {
				failAttempt(call, upstream, 'unsent', `no connection within ${connectTimeout} ms`);
			}, connectTimeout);
			socket.once('connect', () => {
				upstream.isOpen = true;
				clearTimeout(timer);
			});
			socket.once('close', () => {
				clearTimeout(timer);
			});
		});
	};

	const send = (effect: Send): void => {
		const own = carried.get(effect.call);
		if (own === undefined) {
			return;
		}

		const {host, port} = parseAddress(effect.address);
		const outgoing = request({
			agent: getAgent(effect.address, effect.maxConnections),
			host,
			port,
			method: own.head.method,
			path: own.head.url,
			// Raw pairs, which the types do not know.
			headers: encodeCall(own.head, effect.sending, own.hostHeader, own.body.length) as unknown as OutgoingHttpHeaders,
		});
		const upstream: Upstream = {
			attempt: effect.attempt, outgoing, isOver: false, isOpen: false, bytesBefore: 0, answer: undefined, chunks: [], rest: Buffer.alloc(0), events: 0, lastEvent: undefined, proof: undefined,
		};
		own.upstream = upstream;
		watchOpening(effect.call, upstream);
		outgoing.on('response', incoming => {
			receiveHead(effect.call, upstream, incoming);
		});
		outgoing.on('error', error => {
			// Bytes that follow a whole answer belong to no call.
			if (upstream.answer?.incoming.complete !== true) {
				failAttempt(effect.call, upstream, getStage(upstream), error.message);
			}
		});
		outgoing.end(own.body);
	};

	/**
	Ends a call with the connection's sending side alone. An endpoint that has given no output closes its side with
	nothing sent; an output that crosses the end still arrives. Anything else leaves open whether the call has run.
	*/
	const withdraw = (call: number): void => {
		const upstream = finish(call)?.upstream;
		if (upstream === undefined) {
			return;
		}

		const {outgoing, attempt} = upstream;
		const {socket} = outgoing;
		upstream.isOver = true;
		let isTold = false;
		const tell = (hasNotRun: boolean) => {
			if (!isTold) {
				isTold = true;
				clearTimeout(timer);
				outgoing.destroy();
				post({
					kind: 'call-withdrawn', call, attempt, hasNotRun,
				});
			}
		};

		const timer = setTimeout(tell, withdrawTimeout, false);
		if (!upstream.isOpen || socket === null) {
			tell(true);
			return;
		}

		if (upstream.answer !== undefined || socket.bytesRead > upstream.bytesBefore) {
			tell(false);
			return;
		}

		socket.once('end', () => {
			tell(socket.bytesRead === upstream.bytesBefore);
		});
		socket.once('error', () => {
			tell(false);
		});
		socket.once('close', () => {
			tell(false);
		});
		socket.end();
	};

	const finish = (call: number): Carried | undefined => {
		const own = carried.get(call);
		carried.delete(call);
		return own;
	};

	/** Sends the head with the first event, so that a stream without one can still go elsewhere. */
	const openStream = (own: Carried, upstream: Upstream): void => {
		if (own.response.headersSent || upstream.answer === undefined) {
			return;
		}

		const {head} = upstream.answer;
		own.response.writeHead(head.status, describeHead(head, options.isClosing()));
		own.response.on('drain', () => {
			own.upstream?.answer?.incoming.resume();
		});
	};

	const passEvents = (call: number, own: Carried, upstream: Upstream, chunk: Buffer): void => {
		const split = splitEvents(upstream.rest, chunk);
		upstream.rest = split.rest;
		if (split.count === 0) {
			return;
		}

		const isFirst = upstream.events === 0;
		openStream(own, upstream);
		upstream.events += split.count;
		upstream.lastEvent = split.lastId ?? upstream.lastEvent;
		if (!own.response.write(split.whole)) {
			upstream.answer?.incoming.pause();
		}

		if (isFirst) {
			post({kind: 'stream-began', call, attempt: upstream.attempt});
		}
	};

	const endStream = (call: number, own: Carried, upstream: Upstream): void => {
		upstream.isOver = true;
		finish(call);
		openStream(own, upstream);
		own.response.end(upstream.rest);
		post({
			kind: 'stream-ended', call, attempt: upstream.attempt, events: upstream.events,
		});
	};

	const relay = (call: number): void => {
		const own = carried.get(call);
		const upstream = own?.upstream;
		const answer = upstream?.answer;
		if (own === undefined || upstream === undefined || answer === undefined) {
			return;
		}

		const {incoming} = answer;
		incoming.on('data', (chunk: Buffer) => {
			if (!upstream.isOver) {
				passEvents(call, own, upstream, chunk);
			}
		});
		incoming.on('end', () => {
			if (incoming.complete) {
				awaitWhole(upstream, () => {
					if (!upstream.isOver) {
						endStream(call, own, upstream);
					}
				}, () => {
					failAttempt(call, upstream, 'streaming', 'the stream ended with a reset connection');
				});
			}
		});
		incoming.on('close', () => {
			if (!incoming.complete) {
				failAttempt(call, upstream, 'streaming', 'the stream broke off');
			}
		});
	};

	return {
		accept(call, head, hostHeader, body, response) {
			carried.set(call, {
				head, hostHeader, body, response, upstream: undefined,
			});
			response.on('close', () => {
				if (!response.writableFinished && carried.has(call)) {
					post({kind: 'caller-left', call, events: carried.get(call)?.upstream?.events ?? 0});
				}
			});
		},
		send,
		abort(call) {
			const upstream = carried.get(call)?.upstream;
			if (upstream !== undefined && !upstream.isOver) {
				endUpstream(upstream);
			}
		},
		withdraw,
		deliver(call) {
			const own = finish(call);
			const upstream = own?.upstream;
			if (own === undefined || upstream?.answer === undefined) {
				return;
			}

			const body = Buffer.concat(upstream.chunks);
			own.response.writeHead(upstream.answer.head.status, [...describeHead(upstream.answer.head, options.isClosing()), 'Content-Length', String(body.length)]);
			own.response.end(body);
		},
		relay,
		refuse(call, fault) {
			const own = finish(call);
			if (own !== undefined) {
				sendFault(own.response, fault, options.isClosing());
			}
		},
		cut(call) {
			finish(call)?.response.destroy();
		},
		forget(address) {
			Object.values(agents.get(address)?.freeSockets ?? {}).flatMap(sockets => sockets ?? []).forEach(socket => {
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

/** Raw headers of an answer. */
const describeHead = (head: AnswerHead, isClosing: boolean): string[] => [...head.passedOn, ...(isClosing ? ['Connection', 'close'] : [])];
