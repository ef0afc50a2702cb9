import {Buffer} from 'node:buffer';
import {createParser} from 'eventsource-parser';
import {request as httpRequest} from 'undici';
import type {AttemptOutcome} from '../attempt/index.js';
import {createByteBuffer} from '../byte-buffer/index.js';
import type {Credit} from '../flow-control/index.js';
import {
	boundPromptTokens, hasChoices, prepareChat, readUsage,
} from './chat.js';
import type {Usage} from './chat.js';
import {openConnectionPool} from './connection-pool.js';

/** A request that the agent sends to its endpoint. */
export type EndpointRequest = Readonly<{
	path: string;
	method: string;
	contentType: string;
	body: Uint8Array;
	isChat: boolean;
	isStream: boolean;
	/** True if the request must not be repeated. */
	isAct: boolean;
	/** Maximum output tokens over all choices. */
	outputCap: number;
	/** Higher values are served first. */
	priority: number;
	/** Maximum cost of the request, in tokens. */
	cap: number;
	/** Time until the client's deadline. */
	remainingMs: number;
}>;

/** The outcome of a request to an endpoint. */
export type EndpointResult = Readonly<{
	outcome: AttemptOutcome;
	tokens: number;
	status: number;
	contentType: string;
	/** Number of chunks passed to the sink. */
	chunkCount: number;
	/** The complete response body of a request that must not be repeated; otherwise undefined. */
	body: Uint8Array | undefined;
	/** True if the endpoint reported its token usage. */
	isUsageStated: boolean;
}>;

/** Receives an endpoint's response, subject to flow control. */
export type ResponseSink = Readonly<{
	/** Takes the data of one event of a stream. */
	pushEvent: (data: Uint8Array) => void;
	/** Takes a part of a response that is not a stream. */
	pushBody: (data: Uint8Array) => void;
	credit: Credit;
	signal: AbortSignal;
}>;

/** The HTTP client of an endpoint. All requests to the endpoint go through it. */
export type EndpointClient = Readonly<{
	run: (request: EndpointRequest, sink: ResponseSink) => Promise<EndpointResult>;
	listModels: () => Promise<readonly string[]>;
	close: () => Promise<void>;
}>;

const chunkSizeBytes = 64 * 1024;
const maxResponseBytes = 16 * 1024 * 1024;
/** Largest event of a stream. */
const maxEventCharacters = 1024 * 1024;
const connectTimeoutMs = 2000;
/** Timeout of requests that must not be repeated. They are not aborted at the client's deadline. */
const actTimeoutMs = 300_000;
/** Error codes of failures before a connection was established. */
const notSentErrorCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

const buildResult = (outcome: AttemptOutcome, fields: Partial<EndpointResult> = {}): EndpointResult => ({
	outcome, tokens: 0, status: 0, contentType: '', chunkCount: 0, body: undefined, isUsageStated: false, ...fields,
});

const getErrorCode = (error: unknown): string => (error as {code?: string}).code ?? '';

/** Maps an error to an outcome. `not-run` is certain only if no connection was established. */
const classifyError = (request: EndpointRequest, sink: ResponseSink, error: unknown): AttemptOutcome => {
	if (notSentErrorCodes.has(getErrorCode(error))) {
		return 'not-run';
	}

	if (request.isAct) {
		return 'unknown';
	}

	return sink.signal.aborted ? 'cancelled' : 'failed';
};

/** Running totals of an event stream. */
type StreamProgress = Readonly<{chunkCount: number; outputEventCount: number; usage: Usage | undefined; isDone: boolean}>;

/**
Returns the tokens to charge for a stream. Without a usage block, the prompt is bounded by its length in bytes, and each
event with output counts as one token.
*/
const computeTokens = (request: EndpointRequest, progress: StreamProgress): number => Math.min(request.cap, progress.usage === undefined
	? (progress.outputEventCount === 0 ? 0 : boundPromptTokens(request.body) + progress.outputEventCount)
	: progress.usage.prompt + progress.usage.output);

const parseJson = (text: string): unknown => {
	try {
		return JSON.parse(text) as unknown;
	} catch {
		return undefined;
	}
};

/** Adds one event of the engine's stream to the totals. A usage event is forwarded only if the client requested it. */
const recordEvent = (progress: StreamProgress, data: string, needsUsage: boolean): Readonly<{progress: StreamProgress; shouldForward: boolean}> => {
	if (data === '[DONE]') {
		return {progress: {...progress, isDone: true}, shouldForward: false};
	}

	const value = parseJson(data);
	const shouldForward = hasChoices(value) || needsUsage;
	return {
		progress: {
			...progress,
			usage: readUsage(value) ?? progress.usage,
			outputEventCount: progress.outputEventCount + (hasChoices(value) ? 1 : 0),
			chunkCount: progress.chunkCount + (shouldForward ? 1 : 0),
		},
		shouldForward,
	};
};

type Body = AsyncIterable<Buffer>;

const forwardStream = async (request: EndpointRequest, sink: ResponseSink, body: Body, needsUsage: boolean): Promise<EndpointResult> => {
	const decoder = new TextDecoder();
	let progress: StreamProgress = {
		chunkCount: 0, outputEventCount: 0, usage: undefined, isDone: false,
	};
	let parsedEvents: string[] = [];
	const parser = createParser({
		// Beyond it the parser throws, which fails the attempt.
		maxBufferSize: maxEventCharacters,
		onEvent(event) {
			parsedEvents.push(event.data);
		},
	});

	const buildStreamResult = (outcome: AttemptOutcome): EndpointResult => buildResult(outcome, {
		tokens: computeTokens(request, progress), status: 200, contentType: 'text/event-stream', chunkCount: progress.chunkCount, isUsageStated: progress.usage !== undefined,
	});

	try {
		for await (const chunk of body) {
			parser.feed(decoder.decode(chunk, {stream: true}));
			const events = parsedEvents;
			parsedEvents = [];
			for (const data of events) {
				const recorded = recordEvent(progress, data, needsUsage);
				progress = recorded.progress;
				if (recorded.shouldForward) {
					const bytes = Buffer.from(data);
					await sink.credit.take(bytes.byteLength);
					sink.pushEvent(bytes);
				}
			}

			// Aborts an engine that exceeds the output cap, with a margin of 8 events.
			if (progress.outputEventCount > request.outputCap + 8) {
				return buildStreamResult('failed');
			}
		}
	} catch {
		return buildStreamResult(sink.signal.aborted ? 'cancelled' : 'failed');
	}

	return buildStreamResult(progress.isDone ? 'done' : 'failed');
};

const readBody = async (body: Body): Promise<Buffer> => {
	const buffer = createByteBuffer();
	for await (const chunk of body) {
		if (buffer.countBytes() + chunk.byteLength > maxResponseBytes) {
			throw new Error(`response body exceeds ${maxResponseBytes} bytes`);
		}

		buffer.add(chunk);
	}

	return buffer.getBytes();
};

const splitChunks = (body: Buffer): readonly Buffer[] =>
	Array.from({length: Math.ceil(body.byteLength / chunkSizeBytes)}, (_, index) => body.subarray(index * chunkSizeBytes, (index + 1) * chunkSizeBytes));

const isRetriable = (request: EndpointRequest, status: number): boolean => !request.isAct && (status >= 500 || status === 429);

const forwardBody = async (request: EndpointRequest, sink: ResponseSink, head: Readonly<{status: number; contentType: string}>, stream: Body): Promise<EndpointResult> => {
	const body = await readBody(stream);
	if (isRetriable(request, head.status)) {
		return buildResult('failed', head);
	}

	const chunks = splitChunks(body);
	for (const chunk of chunks) {
		await sink.credit.take(chunk.byteLength);
		sink.pushBody(chunk);
	}

	const usage = request.isChat ? readUsage(parseJson(body.toString('utf8'))) : undefined;
	const isCharged = !request.isChat || head.status < 400;
	const fallbackTokens = request.isChat ? boundPromptTokens(request.body) + request.outputCap : request.cap;
	return buildResult('done', {
		...head,
		chunkCount: chunks.length,
		tokens: isCharged ? Math.min(request.cap, usage === undefined ? fallbackTokens : usage.prompt + usage.output) : 0,
		body: request.isAct ? body : undefined,
		isUsageStated: usage !== undefined,
	});
};

/**
Creates the HTTP client of an endpoint.

@param endpointAddress - For example `http://127.0.0.1:9000`.
@param maxConnections - Maximum number of open connections.
@returns The client.
*/
export const openEndpoint = (endpointAddress: string, maxConnections: number): EndpointClient => {
	const dispatcher = openConnectionPool(endpointAddress, maxConnections, connectTimeoutMs);

	const sendRequest = async (request: EndpointRequest, sink: ResponseSink): Promise<EndpointResult> => {
		const chat = request.isChat ? prepareChat(request.body, request) : undefined;
		const timeoutMs = request.isAct ? actTimeoutMs : request.remainingMs;
		const response = await httpRequest(`${endpointAddress}${request.path}`, {
			method: request.method,
			dispatcher,
			headers: request.contentType === '' ? {} : {'content-type': request.contentType},
			// The HTTP client rejects a GET request with a body.
			...(request.method !== 'GET' && {body: chat?.body ?? Buffer.from(request.body)}),
			headersTimeout: timeoutMs,
			bodyTimeout: timeoutMs,
			// The timeouts above start anew with each byte.
			signal: AbortSignal.any([sink.signal, AbortSignal.timeout(timeoutMs)]),
			// Keeps the HTTP client from sending a request twice, as it may have side effects.
			idempotent: false,
		});
		const head = {status: response.statusCode, contentType: String(response.headers['content-type'] ?? 'application/octet-stream')};
		return request.isStream && head.status === 200
			? forwardStream(request, sink, response.body, chat?.needsUsage ?? false)
			: forwardBody(request, sink, head, response.body);
	};

	return {
		async run(request, sink) {
			try {
				return await sendRequest(request, sink);
			} catch (error) {
				return buildResult(classifyError(request, sink, error));
			}
		},
		async listModels() {
			const response = await httpRequest(`${endpointAddress}/v1/models`, {dispatcher, headersTimeout: connectTimeoutMs});
			const bytes = await readBody(response.body);
			const body = JSON.parse(bytes.toString('utf8')) as {data?: ReadonlyArray<Readonly<{id: string}>>};
			return (body.data ?? []).map(model => model.id);
		},
		async close() {
			await dispatcher.destroy();
		},
	};
};
