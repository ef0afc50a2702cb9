import {Buffer} from 'node:buffer';
import type {IncomingHttpHeaders} from 'node:http';
import {createFault, fail, succeed} from '../errors/index.js';
import type {Result} from '../errors/index.js';
import {checkFinalHead, checkHeaders} from '../http-head/index.js';
import type {
	ResponseHead, RequestHead, ForwardingMetadata, ModelRequest,
} from '../in-flight/index.js';

/** Header names of the platform's protocol. */
const headerNames = {
	/** Id of one attempt by the client. A retry by the client has another id, a retry by the router the same one. */
	attemptId: 'attempt-id',
	/** The endpoint's signature of its response. */
	signature: 'response-seal',
	/** Time that the client waits for the response, in ms. */
	timeout: 'request-deadline-ms',
	model: 'model',
	/** Prompt tokens and maximum output tokens. */
	tokenCounts: 'token-counts',
	/** Parts of the prompt in order, each as ID:TOKENS. */
	promptParts: 'prompt-prefix',
	/** Id of the last stream event that the client received. */
	lastEventId: 'last-event-id',
	/** Id of the client's attempt that brought the first event of the stream that it resumes. */
	resumes: 'resumes',
	credentials: 'authorization',
	/** Name of the organisation, sent to the endpoint. */
	organisation: 'tenant',
	/** Intended incarnation of the endpoint. Any other incarnation refuses the request. */
	incarnation: 'expect-instance',
	/** Priority from 0, which is served first. The default is 5. */
	urgency: 'request-urgency',
	/** Present if the endpoint did not run the request. */
	notExecuted: 'not-executed',
	/** Running requests, waiting requests, slots, and how long work takes at this moment in percent of the usual time. Older endpoints omit the last one. */
	load: 'replica-load',
	/** Seconds for which an endpoint that turned a request away wants none from this router. */
	pushback: 'retry-after',
	/** 1 in all responses of an endpoint that is leaving. */
	leaving: 'server-leaving',
	/** Time for which the endpoint stays cold, in ms; 0 if it is warm. Responses to requests may lack it. */
	coldTime: 'cold-ms',
	/** Requests per second that the endpoint takes from all routers together. Present only while the limit applies. */
	rateLimit: 'server-limit',
} as const;

/** Headers that apply to a single connection or message, and are not copied from one request or response to the next. */
const hopByHopHeaders = ['connection', 'keep-alive', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect', 'content-length', 'host'];

/** Request headers that only the router may set. */
const routerSetHeaders = [
	headerNames.timeout,
	headerNames.credentials,
	headerNames.organisation,
	headerNames.incarnation,
	headerNames.urgency,
	headerNames.lastEventId,
	'hold',
	'pin-ms',
	'kv-backup',
	'kv-from',
	'kv-fetch',
	'expect-version',
];

const strippedFromRequests = new Set<string>([...hopByHopHeaders, ...routerSetHeaders]);
const strippedFromResponses = new Set<string>([...hopByHopHeaders.filter(name => name !== 'host'), headerNames.load, headerNames.notExecuted, 'replica-id']);

/** Omits headers from raw ones, which alternate names and values. */
const omitHeaders = (raw: readonly string[], omitted: ReadonlySet<string>): readonly string[] =>
	raw.filter((_, index) => !omitted.has(raw[index - (index % 2)]!.toLowerCase()));

const wholeNumberPattern = /^\d{1,12}$/v;

const readHeader = (headers: IncomingHttpHeaders, name: string): string | undefined => {
	const value = headers[name];
	return Array.isArray(value) ? value[0] : value;
};

const decodePromptParts = (text: string): ModelRequest['parts'] | undefined => {
	const parts = text.split(',').map(part => {
		const [id = '', tokens = ''] = part.trim().split(':');
		return {id, tokens: wholeNumberPattern.test(tokens) ? Number(tokens) : Number.NaN};
	});
	return parts.every(part => part.id !== '' && !Number.isNaN(part.tokens)) ? parts : undefined;
};

const decodeModelRequest = (headers: IncomingHttpHeaders): Result<ModelRequest | undefined> => {
	const tokens = readHeader(headers, headerNames.tokenCounts);
	if (tokens === undefined) {
		return succeed(undefined);
	}

	const [prompt = '', output = '', ...rest] = tokens.split(',').map(part => part.trim());
	if (!wholeNumberPattern.test(prompt) || !wholeNumberPattern.test(output) || rest.length > 0) {
		return fail(createFault('bad-request', `${headerNames.tokenCounts}: "${tokens}" is not two whole numbers`));
	}

	const text = readHeader(headers, headerNames.promptParts);
	const parts = text === undefined || text === '' ? [] : decodePromptParts(text);
	return parts === undefined
		? fail(createFault('bad-request', `${headerNames.promptParts}: "${text}" is not a list of id:tokens`))
		: succeed({
			model: readHeader(headers, headerNames.model), promptTokens: Number(prompt), maxOutputTokens: Number(output), parts,
		});
};

const decodeApiKey = (headers: IncomingHttpHeaders): string | undefined =>
	/^Token (?<key>\S+)$/v.exec(readHeader(headers, headerNames.credentials) ?? '')?.groups?.key;

/** A request without a time limit of its own has only that of its route. */
const decodeTimeout = (headers: IncomingHttpHeaders): Result<number | undefined> => {
	const text = readHeader(headers, headerNames.timeout);
	if (text === undefined) {
		return succeed(undefined);
	}

	return wholeNumberPattern.test(text) ? succeed(Number(text)) : fail(createFault('bad-request', `${headerNames.timeout}: "${text}" is not a whole number`));
};

/** Returns the host in lower case, without its port. */
const decodeHost = (headers: IncomingHttpHeaders): string => (headers.host ?? '').replace(/:\d+$/v, '').toLowerCase();

type IncomingRequest = Readonly<{method: string; url: string; headers: IncomingHttpHeaders; rawHeaders: readonly string[]}>;

/**
Decodes the head of a client request.

@param incoming - The request as received by Node.js.
@returns The decoded head, or a fault that names the invalid header.
*/
export const decodeRequest = (incoming: IncomingRequest): Result<RequestHead> => {
	const {headers} = incoming;
	const key = readHeader(headers, headerNames.attemptId);
	const timeout = decodeTimeout(headers);
	const modelRequest = decodeModelRequest(headers);
	const forwardedHeaders = checkHeaders(omitHeaders(incoming.rawHeaders, strippedFromRequests));
	if (key === undefined || key === '') {
		return fail(createFault('bad-request', `${headerNames.attemptId}: is missing`));
	}

	if (timeout.err) {
		return timeout;
	}

	if (modelRequest.err) {
		return modelRequest;
	}

	if (forwardedHeaders.err) {
		return forwardedHeaders;
	}

	return succeed({
		key,
		method: incoming.method,
		url: incoming.url,
		host: decodeHost(headers),
		apiKey: decodeApiKey(headers),
		clientTimeoutMs: timeout.val,
		modelRequest: modelRequest.val,
		resumeAfter: readHeader(headers, headerNames.lastEventId),
		resumedKey: readHeader(headers, headerNames.resumes),
		forwardedHeaders: forwardedHeaders.val,
	});
};

/** Header values are bytes, which Node.js takes as Latin-1; other text goes in UTF-8. */
const encodeHeaderText = (text: string): string => Buffer.from(text, 'utf8').toString('latin1');

/**
Encodes the headers of a request to an endpoint.

@param head - Head of the client request.
@param metadata - Values that the router adds.
@param hostHeader - The client's Host header, forwarded unchanged.
@param bodyLength - Length of the body in bytes.
@returns Raw headers, alternating names and values.
*/
export const encodeRequestHeaders = (head: RequestHead, metadata: ForwardingMetadata, hostHeader: string, bodyLength: number): readonly string[] => [
	'Host',
	hostHeader,
	...head.forwardedHeaders,
	...(bodyLength > 0 || head.method === 'POST' || head.method === 'PUT' ? ['Content-Length', String(bodyLength)] : []),
	'Request-Deadline-Ms',
	String(Math.max(1, Math.floor(metadata.remainingMs))),
	'Expect-Instance',
	metadata.endpoint,
	...(metadata.organisation === undefined ? [] : ['Tenant', encodeHeaderText(metadata.organisation)]),
	...(metadata.urgency === undefined ? [] : ['Request-Urgency', String(metadata.urgency)]),
	...(metadata.resumeAfter === undefined ? [] : ['Last-Event-Id', metadata.resumeAfter]),
];

const decimalPattern = /^\d{1,9}(?:\.\d{1,9})?$/v;

/** Decodes the figures of the load, each by itself: one that cannot be read does not hide the others. */
const decodeLoad = (headers: IncomingHttpHeaders): ResponseHead['load'] => {
	const text = readHeader(headers, headerNames.load);
	if (text === undefined) {
		return undefined;
	}

	const [running, waiting, slots, workPercent] = text.split(',').map(part => part.trim());
	const decodeCount = (part: string | undefined) => part !== undefined && wholeNumberPattern.test(part) ? Number(part) : undefined;
	const percent = workPercent !== undefined && decimalPattern.test(workPercent) ? Number(workPercent) : 0;
	return {
		running: decodeCount(running), waiting: decodeCount(waiting), slots: decodeCount(slots), workFactor: percent > 0 ? percent / 100 : undefined,
	};
};

const decodeDecimal = (headers: IncomingHttpHeaders, name: string): Result<number | undefined> => {
	const text = readHeader(headers, name)?.trim();
	if (text === undefined) {
		return succeed(undefined);
	}

	return decimalPattern.test(text) ? succeed(Number(text)) : fail(createFault('bad-request', `${name}: "${text}" is not a decimal number`));
};

type IncomingResponse = Readonly<{statusCode?: number; headers: IncomingHttpHeaders; rawHeaders: readonly string[]}>;

/** Longest time for which an endpoint can keep requests away, in ms: a day, as a router seldom runs longer. */
const maxPushbackMs = 86_400_000;

const secondsPattern = /^(?:\d+\.?\d*|\.\d+)$/v;

/** The date form of HTTP, as in RFC 9110, 5.6.7. */
const datePattern = /^[A-Z][a-z]{2}, \d{2} [A-Z][a-z]{2} \d{4} \d{2}:\d{2}:\d{2} GMT$/v;

const parseDate = (text: string | undefined): number => text !== undefined && datePattern.test(text) ? Date.parse(text) : Number.NaN;

/** Decodes seconds, or a date as seen by the endpoint's clock. */
const decodePushback = (headers: IncomingHttpHeaders): Result<number | undefined> => {
	const text = readHeader(headers, headerNames.pushback)?.trim();
	if (text === undefined) {
		return succeed(undefined);
	}

	const sentAt = parseDate(readHeader(headers, 'date'));
	const duration = secondsPattern.test(text) ? Number(text) * 1000 : parseDate(text) - (Number.isNaN(sentAt) ? Date.now() : sentAt);
	return Number.isNaN(duration)
		? fail(createFault('bad-request', `${headerNames.pushback}: "${text}" is neither seconds nor a date`))
		: succeed(Math.min(maxPushbackMs, Math.max(0, duration)));
};

/** Status of an endpoint that turns a request away. */
const unavailableStatus = 503;

/** Status of an endpoint whose incarnation is not the intended one. It does not run the request. */
const incarnationMismatchStatus = 421;

/**
Decodes the head of an endpoint's response.

@param incoming - The response as received by Node.js.
@returns The decoded head.
*/
export const decodeResponse = (incoming: IncomingResponse): ResponseHead => {
	const {headers} = incoming;
	const status = incoming.statusCode ?? 0;
	return {
		status,
		key: readHeader(headers, headerNames.attemptId),
		hasNotRun: headers[headerNames.notExecuted] !== undefined || status === incarnationMismatchStatus,
		isOtherIncarnation: status === incarnationMismatchStatus,
		isSigned: headers[headerNames.signature] !== undefined,
		load: decodeLoad(headers),
		rateLimit: decodeDecimal(headers, headerNames.rateLimit),
		coldMs: decodeDecimal(headers, headerNames.coldTime),
		pushbackMs: status === unavailableStatus ? decodePushback(headers) : succeed(undefined),
		isLeaving: readHeader(headers, headerNames.leaving)?.trim() === '1',
		isStream: (headers['content-type'] ?? '').startsWith('text/event-stream'),
		forwarded: checkFinalHead(status, omitHeaders(incoming.rawHeaders, strippedFromResponses)),
	};
};
