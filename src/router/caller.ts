import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {Answer} from '../attempt/index.js';
import {describeFault} from '../errors/index.js';
import type {Fault} from '../errors/index.js';
import type {CheckedCall} from './front.js';

/** Where a caller's answer goes: an HTTP response, or a peer that forwarded the request. */
export type Sink = Readonly<{
	writeHead: (status: number, headers: Readonly<Record<string, string>>) => void;
	/** Returns false while the reader is too slow. */
	write: (data: string | Uint8Array) => boolean;
	end: () => void;
	onDrain: (resume: () => void) => void;
}>;

/** How one attempt's answer comes in. */
export type Delivery = Readonly<{
	/** The next part's number; parts come in order or not at all. */
	next: number;
	/** Bytes handed on for which the agent has got no new credit. */
	owed: number;
}>;

/**
A caller who waits, with what it has got so far. The router's decisions live in
its state; this holds the data that passes through.
*/
export type Caller = {
	readonly checked: CheckedCall;
	readonly body: Buffer;
	readonly method: string;
	readonly contentType: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly path: string;
	readonly sink: Sink;
	readonly arrivedAt: number;
	/** The attempt whose parts are handed on; parts of any other are dropped. */
	attempt: string | undefined;
	agent: string | undefined;
	delivery: Delivery;
	/** Parts of an answer that is handed on only when it is whole. */
	whole: Uint8Array[];
	/** Events of a stream that were handed on. */
	delivered: number;
	/** Their text, for a resumption. */
	text: string;
	/** True while the stream is nothing but text, and short enough to be kept. */
	isPlain: boolean;
	hasHead: boolean;
	isEnded: boolean;
	isBlocked: boolean;
	/** The id of the stream's first event: a resumed stream goes on under it. */
	streamId: string | undefined;
	resumes: boolean;
};

/** Characters of a stream that are kept for a resumption. */
const maxText = 1024 * 1024;

/**
Makes an HTTP response the place where an answer goes.

@param response - The response.
@returns The sink.
*/
export const createHttpSink = (response: ServerResponse): Sink => ({
	writeHead(status, headers) {
		response.writeHead(status, headers);
	},
	write: data => response.write(data),
	end() {
		response.end();
	},
	onDrain(resume) {
		response.once('drain', resume);
	},
});

const writeEvent = (caller: Caller, data: string): boolean => caller.sink.write(`data: ${data}\n\n`);

const startStream = (caller: Caller) => {
	if (!caller.hasHead) {
		caller.hasHead = true;
		caller.sink.writeHead(200, {
			'content-type': 'text/event-stream', 'cache-control': 'no-store', 'galena-request-id': caller.checked.order.billId,
		});
	}
};

type StreamEvent = Readonly<{id?: string; model?: string; choices?: ReadonlyArray<Readonly<{delta?: Readonly<Record<string, unknown>>; finish_reason?: string | null}>>}>;

const parseEvent = (data: string): StreamEvent => {
	try {
		return JSON.parse(data) as StreamEvent;
	} catch {
		return {};
	}
};

type Delta = Readonly<Record<string, unknown>>;

/** A resumed stream keeps the first attempt's id, and does not name its role again. */
const rewriteEvent = (caller: Caller, event: StreamEvent): string => {
	const choices = event.choices?.map(choice => {
		const {role: _role, ...delta} = choice.delta ?? {};
		return {...choice, delta};
	});
	return JSON.stringify({...event, ...(caller.streamId !== undefined && {id: caller.streamId}), ...(choices !== undefined && {choices})});
};

const isPlainDelta = (delta: Delta): boolean =>
	Object.entries(delta).every(([name, value]) => name === 'role' || (name === 'content' && typeof value === 'string') || value === null);

/** Keeps of an event what a resumption needs: its text, and whether there is more to it than text. */
const noteEvent = (caller: Caller, event: StreamEvent) => {
	const [choice] = event.choices ?? [];
	const delta: Delta = choice?.delta ?? {};
	const isFinal = choice?.finish_reason !== undefined && choice.finish_reason !== null;
	caller.streamId ??= event.id;
	caller.delivered += 1;
	caller.text += typeof delta.content === 'string' ? delta.content : '';
	caller.isPlain &&= isPlainDelta(delta) && !isFinal && caller.text.length <= maxText;
};

/**
Hands an event of a stream on.

@param caller - The caller.
@param data - The event's data.
@returns False while the caller reads too slowly.
*/
export const passEvent = (caller: Caller, data: string): boolean => {
	startStream(caller);
	const event = parseEvent(data);
	noteEvent(caller, event);
	return writeEvent(caller, caller.resumes ? rewriteEvent(caller, event) : data);
};

/**
Tells whether another attempt can go on where this stream broke off: it must be
plain text with one choice, and not be at its end.

@param caller - The caller.
@returns True if it can.
*/
export const canResume = (caller: Caller): boolean => caller.checked.choices === 1 && caller.isPlain;

/**
Builds the body for an attempt that goes on where the last one broke off: the
text so far becomes the beginning of the assistant's message, as in vLLM's
`continue_final_message`.

@param caller - The caller.
@returns The body.
*/
export const buildBody = (caller: Caller): Buffer => {
	if (!caller.resumes || caller.text === '') {
		return caller.body;
	}

	const body = JSON.parse(caller.body.toString('utf8')) as {messages: readonly unknown[]};
	const messages = [...body.messages, {role: 'assistant', content: caller.text}];
	return Buffer.from(JSON.stringify({
		...body, messages, continue_final_message: true, add_generation_prompt: false,
	}));
};

/**
Ends a stream that is whole.

@param caller - The caller.
*/
export const endStream = (caller: Caller): void => {
	startStream(caller);
	const outcome = {
		id: caller.streamId ?? caller.checked.order.billId, object: 'chat.completion.chunk', created: 0, model: caller.checked.order.model, choices: [], galena: {outcome: 'complete'},
	};
	writeEvent(caller, JSON.stringify(outcome));
	writeEvent(caller, '[DONE]');
	caller.isEnded = true;
	caller.sink.end();
};

/**
Gives a caller an answer that is whole.

@param caller - The caller.
@param answer - The answer.
*/
export const sendAnswer = (caller: Caller, answer: Answer): void => {
	caller.isEnded = true;
	caller.hasHead = true;
	caller.sink.writeHead(answer.status, {
		'content-type': answer.contentType || 'application/octet-stream',
		'content-length': String(answer.body.byteLength),
		'galena-request-id': caller.checked.order.billId,
		'galena-outcome': 'complete',
	});
	caller.sink.write(answer.body);
	caller.sink.end();
};

/**
Answers with a fault: a problem document, or the error event of a stream that
has begun.

@param sink - Where to.
@param fault - The fault.
@param hasHead - Whether a stream has begun.
@param requestId - The request's id, once it has one.
*/
export const sendFault = (sink: Sink, fault: Fault, hasHead: boolean, requestId?: string): void => {
	const {status, headers, problem} = describeFault(fault);
	if (hasHead) {
		const error = {
			message: `${problem.title}: ${problem.detail}`, type: problem.kind, code: problem.kind, outcome: 'unknown',
		};
		sink.write(`event: error\ndata: ${JSON.stringify({error, galena: {outcome: 'unknown'}})}\n\n`);
		sink.end();
		return;
	}

	sink.writeHead(status, {...headers, ...(requestId !== undefined && {'galena-request-id': requestId})});
	sink.write(JSON.stringify(problem));
	sink.end();
};
