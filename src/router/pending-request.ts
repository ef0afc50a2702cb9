import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {Answer} from '../attempt/index.js';
import {createErrorResponse, createFault} from '../errors/index.js';
import type {Fault} from '../errors/index.js';
import {checkFinalHead} from '../http-head/index.js';
import type {CheckedRequest} from './validate-request.js';

/** The destination of a response: an HTTP response, or the stream to a peer that forwarded the request. */
export type ResponseSink = Readonly<{
	writeHead: (status: number, headers: Readonly<Record<string, string>>) => void;
	/** Writes a part of the body. Returns false if the caller should wait for `onDrain` before it writes more. */
	write: (data: string | Uint8Array) => boolean;
	end: () => void;
	/** Calls back when the written data has been read, possibly more than once. */
	onDrain: (resume: () => void) => void;
}>;

/** Progress of the current attempt's response. */
export type DeliveryProgress = Readonly<{
	/** Sequence number of the next chunk; chunks out of order are dropped. */
	nextSequence: number;
	/** Bytes written to the sink for which no flow-control credit has been returned to the agent. */
	uncreditedBytes: number;
}>;

/**
A client request whose response is not complete. Routing decisions are kept in
the router's state; this holds the request and response data, which is not.
*/
export type PendingRequest = {
	readonly checked: CheckedRequest;
	readonly body: Buffer;
	readonly method: string;
	readonly contentType: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly path: string;
	readonly sink: ResponseSink;
	readonly arrivedAt: number;
	/** Id of the attempt whose chunks are sent to the client; those of any other attempt are dropped. */
	attempt: string | undefined;
	/** Incarnation of the agent that runs the attempt. */
	agent: string | undefined;
	delivery: DeliveryProgress;
	/** Chunks of a response that is not streamed, and is sent only once it is complete. */
	bufferedParts: Uint8Array[];
	/** Number of stream events delivered to the client. */
	delivered: number;
	/** Text of the delivered events, from which another attempt can resume. */
	deliveredText: string;
	/** True while the delivered events contain only text, no finish reason, and at most `maxDeliveredTextLength` of it. */
	isTextOnly: boolean;
	/** True once the status and headers have been sent. */
	hasSentHead: boolean;
	isEnded: boolean;
	/** True while the client reads too slowly; no credit is returned to the agent until the sink has drained. */
	isAwaitingDrain: boolean;
	/** Completion id of the stream's first event, which a resumed stream keeps. */
	streamId: string | undefined;
	/** True if the current attempt resumes the stream of an earlier one. */
	isResumed: boolean;
};

/** Maximum length of a stream's text that can be resumed, in UTF-16 code units. */
const maxDeliveredTextLength = 1024 * 1024;

/**
Creates a sink that writes to an HTTP response.

@param response - The HTTP response.
@returns The sink.
*/
export const createHttpSink = (response: ServerResponse): ResponseSink => ({
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

const writeEvent = (pending: PendingRequest, data: string): boolean => pending.sink.write(`data: ${data}\n\n`);

const startStream = (pending: PendingRequest) => {
	if (!pending.hasSentHead) {
		pending.hasSentHead = true;
		pending.sink.writeHead(200, {
			'content-type': 'text/event-stream', 'cache-control': 'no-store', 'galena-request-id': pending.checked.spec.billId,
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

/** Gives an event of a resumed stream the first attempt's completion id, and removes the role, which the client already has. */
const rewriteResumedEvent = (pending: PendingRequest, event: StreamEvent): string => {
	const choices = event.choices?.map(choice => {
		const {role: _role, ...delta} = choice.delta ?? {};
		return {...choice, delta};
	});
	return JSON.stringify({...event, ...(pending.streamId !== undefined && {id: pending.streamId}), ...(choices !== undefined && {choices})});
};

const isTextDelta = (delta: Delta): boolean =>
	Object.entries(delta).every(([name, value]) => name === 'role' || (name === 'content' && typeof value === 'string') || value === null);

/** Records what a later attempt needs to resume the stream: the text, and whether the event contains anything else. */
const recordEvent = (pending: PendingRequest, event: StreamEvent) => {
	const [choice] = event.choices ?? [];
	const delta: Delta = choice?.delta ?? {};
	const isFinal = choice?.finish_reason !== undefined && choice.finish_reason !== null;
	pending.streamId ??= event.id;
	pending.delivered += 1;
	pending.deliveredText += typeof delta.content === 'string' ? delta.content : '';
	pending.isTextOnly &&= isTextDelta(delta) && !isFinal && pending.deliveredText.length <= maxDeliveredTextLength;
};

/**
Sends an event of a stream to the client.

@param pending - The request.
@param data - Data of the event: a JSON completion chunk.
@returns False while the client reads too slowly.
*/
export const forwardEvent = (pending: PendingRequest, data: string): boolean => {
	startStream(pending);
	const event = parseEvent(data);
	recordEvent(pending, event);
	return writeEvent(pending, pending.isResumed ? rewriteResumedEvent(pending, event) : data);
};

/**
Tells whether another attempt can resume an interrupted stream. Only text with a
single choice can be resumed, before its finish reason has been sent.

@param pending - The request.
@returns True if the stream can be resumed.
*/
export const canResume = (pending: PendingRequest): boolean => pending.checked.choiceCount === 1 && pending.isTextOnly;

/**
Builds the request body for an attempt. If it resumes a stream, the text delivered
so far is added as the start of the assistant's message, which vLLM's
`continue_final_message` extends.

@param pending - The request.
@returns The body.
*/
export const buildAttemptBody = (pending: PendingRequest): Buffer => {
	if (!pending.isResumed || pending.deliveredText === '') {
		return pending.body;
	}

	const body = JSON.parse(pending.body.toString('utf8')) as {messages: readonly unknown[]};
	const messages = [...body.messages, {role: 'assistant', content: pending.deliveredText}];
	return Buffer.from(JSON.stringify({
		...body, messages, continue_final_message: true, add_generation_prompt: false,
	}));
};

/**
Ends a complete stream with an event that reports the outcome, and `[DONE]`.

@param pending - The request.
*/
export const endStream = (pending: PendingRequest): void => {
	startStream(pending);
	const outcomeEvent = {
		id: pending.streamId ?? pending.checked.spec.billId, object: 'chat.completion.chunk', created: 0, model: pending.checked.spec.model, choices: [], galena: {outcome: 'complete'},
	};
	writeEvent(pending, JSON.stringify(outcomeEvent));
	writeEvent(pending, '[DONE]');
	pending.isEnded = true;
	pending.sink.end();
};

/**
Sends a complete response; an error response if it has a head that cannot be written, as a faulty endpoint or agent may send it.

@param pending - The request.
@param answer - The endpoint's response.
*/
export const sendAnswer = (pending: PendingRequest, answer: Answer): void => {
	const contentType = answer.contentType || 'application/octet-stream';
	const head = checkFinalHead(answer.status, ['content-type', contentType]);
	pending.isEnded = true;
	if (head.err) {
		sendFault(pending.sink, createFault('endpoint-failed', head.val.detail), pending.hasSentHead, pending.checked.spec.billId);
		return;
	}

	pending.hasSentHead = true;
	pending.sink.writeHead(answer.status, {
		'content-type': contentType,
		'content-length': String(answer.body.byteLength),
		'galena-request-id': pending.checked.spec.billId,
		'galena-outcome': 'complete',
	});
	pending.sink.write(answer.body);
	pending.sink.end();
};

/**
Sends an error response: a problem document, or an error event if the headers of
a stream have already been sent.

@param sink - The destination of the response.
@param fault - The fault.
@param hasSentHead - True if the status and headers have been sent.
@param requestId - The request's id, if it has been assigned.
*/
export const sendFault = (sink: ResponseSink, fault: Fault, hasSentHead: boolean, requestId?: string): void => {
	const {status, headers, problem} = createErrorResponse(fault);
	if (hasSentHead) {
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
