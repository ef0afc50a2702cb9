import type {IncomingHttpHeaders} from 'node:http';
import {createFault, fail, succeed} from '../errors/index.js';
import type {Result} from '../errors/index.js';
import type {
	AnswerHead, CallHead, Sending, Work,
} from '../flight/index.js';

/** Header names of the platform, and what each says. */
const names = {
	/** Names one attempt of a caller, not of ours: a caller's own retry has another one. */
	call: 'attempt-id',
	/** The endpoint's signature over its answer. */
	signature: 'response-seal',
	/** How long the caller waits, in ms from now. */
	patience: 'request-deadline-ms',
	model: 'model',
	/** Prompt tokens, then the most output tokens. */
	tokens: 'token-counts',
	/** The prompt's parts in order, ID:TOKENS each. */
	parts: 'prompt-prefix',
	/** The id of the last event that the caller has. */
	resumeAfter: 'last-event-id',
	credentials: 'authorization',
	/** The organisation's name, for the endpoint. */
	organisation: 'tenant',
	/** The incarnation that the call is meant for; any other refuses it. */
	incarnation: 'expect-instance',
	/** 0 is served first; 5 unless set. */
	urgency: 'request-urgency',
	/** Says that the endpoint has not run the call. */
	notRun: 'not-executed',
	/** Running, waiting, slots. */
	load: 'replica-load',
} as const;

/** Headers that concern one connection only. */
const perConnection = ['connection', 'keep-alive', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect', 'content-length', 'host'];

/** Headers that only the fleet may set on a call. */
const ownOnCalls = [
	names.patience,
	names.credentials,
	names.organisation,
	names.incarnation,
	names.urgency,
	names.resumeAfter,
	'hold',
	'pin-ms',
	'kv-backup',
	'kv-from',
	'kv-fetch',
	'expect-version',
];

const keptFromEndpoints = new Set<string>([...perConnection, ...ownOnCalls]);
const keptFromCallers = new Set<string>([...perConnection.filter(name => name !== 'host'), names.load, names.notRun, 'replica-id']);

/** Raw headers as pairs. */
const listPairs = (raw: readonly string[]): ReadonlyArray<readonly [string, string]> =>
	Array.from({length: raw.length / 2}, (_, index) => [raw[2 * index]!, raw[(2 * index) + 1]!] as const);

const omitHeaders = (raw: readonly string[], omitted: ReadonlySet<string>): readonly string[] =>
	listPairs(raw).filter(([name]) => !omitted.has(name.toLowerCase())).flat();

const wholeNumber = /^\d{1,12}$/v;

const readText = (headers: IncomingHttpHeaders, name: string): string | undefined => {
	const value = headers[name];
	return Array.isArray(value) ? value[0] : value;
};

const decodeParts = (text: string): Work['parts'] | undefined => {
	const parts = text.split(',').map(part => {
		const [id = '', tokens = ''] = part.trim().split(':');
		return {id, tokens: wholeNumber.test(tokens) ? Number(tokens) : Number.NaN};
	});
	return parts.every(part => part.id !== '' && !Number.isNaN(part.tokens)) ? parts : undefined;
};

const decodeWork = (headers: IncomingHttpHeaders): Result<Work | undefined> => {
	const tokens = readText(headers, names.tokens);
	if (tokens === undefined) {
		return succeed(undefined);
	}

	const [prompt = '', output = '', ...rest] = tokens.split(',').map(part => part.trim());
	if (!wholeNumber.test(prompt) || !wholeNumber.test(output) || rest.length > 0) {
		return fail(createFault('bad-request', `${names.tokens}: "${tokens}" is not two whole numbers`));
	}

	const text = readText(headers, names.parts);
	const parts = text === undefined || text === '' ? [] : decodeParts(text);
	return parts === undefined
		? fail(createFault('bad-request', `${names.parts}: "${text}" is not a list of id:tokens`))
		: succeed({
			model: readText(headers, names.model), promptTokens: Number(prompt), maxOutput: Number(output), parts,
		});
};

const decodeKey = (headers: IncomingHttpHeaders): string | undefined =>
	/^Token (?<key>\S+)$/v.exec(readText(headers, names.credentials) ?? '')?.groups?.key;

/** A call without a stated patience is bounded by its route alone. */
const decodePatience = (headers: IncomingHttpHeaders): Result<number | undefined> => {
	const text = readText(headers, names.patience);
	if (text === undefined) {
		return succeed(undefined);
	}

	return wholeNumber.test(text) ? succeed(Number(text)) : fail(createFault('bad-request', `${names.patience}: "${text}" is not a whole number`));
};

/** The host without its port. */
const decodeHost = (headers: IncomingHttpHeaders): string => (headers.host ?? '').replace(/:\d+$/v, '').toLowerCase();

type IncomingCall = Readonly<{method: string; url: string; headers: IncomingHttpHeaders; rawHeaders: readonly string[]}>;

/**
Decodes the head of a caller's request.

@param incoming - The request as the HTTP library gives it.
@returns What it asks for, or a fault that names the wrong header.
*/
export const decodeCall = (incoming: IncomingCall): Result<CallHead> => {
	const {headers} = incoming;
	const key = readText(headers, names.call);
	const patience = decodePatience(headers);
	const work = decodeWork(headers);
	if (key === undefined || key === '') {
		return fail(createFault('bad-request', `${names.call}: is missing`));
	}

	if (patience.err) {
		return patience;
	}

	if (work.err) {
		return work;
	}

	return succeed({
		key,
		method: incoming.method,
		url: incoming.url,
		host: decodeHost(headers),
		apiKey: decodeKey(headers),
		patience: patience.val,
		work: work.val,
		resumeAfter: readText(headers, names.resumeAfter),
		passedOn: omitHeaders(incoming.rawHeaders, keptFromEndpoints),
	});
};

/**
Encodes the head of a call to an endpoint.

@param call - The caller's head.
@param sending - What the fleet adds.
@param hostHeader - The caller's Host header, which is passed on.
@param bodyLength - Bytes.
@returns Raw headers, names and values in turn.
*/
export const encodeCall = (call: CallHead, sending: Sending, hostHeader: string, bodyLength: number): readonly string[] => [
	'Host',
	hostHeader,
	...call.passedOn,
	...(bodyLength > 0 || call.method === 'POST' || call.method === 'PUT' ? ['Content-Length', String(bodyLength)] : []),
	'Request-Deadline-Ms',
	String(Math.max(1, Math.floor(sending.remaining))),
	'Expect-Instance',
	sending.endpoint,
	...(sending.organisation === undefined ? [] : ['Tenant', sending.organisation]),
	...(sending.urgency === undefined ? [] : ['Request-Urgency', String(sending.urgency)]),
	...(sending.resumeAfter === undefined ? [] : ['Last-Event-Id', sending.resumeAfter]),
];

const decodeLoad = (headers: IncomingHttpHeaders): AnswerHead['load'] => {
	const figures = (readText(headers, names.load) ?? '').split(',').map(part => part.trim());
	return figures.length === 3 && figures.every(figure => wholeNumber.test(figure))
		? {running: Number(figures[0]), waiting: Number(figures[1]), slots: Number(figures[2])}
		: undefined;
};

type IncomingAnswer = Readonly<{statusCode?: number; headers: IncomingHttpHeaders; rawHeaders: readonly string[]}>;

/** Status of an endpoint whose incarnation is not the one that the call was meant for; it does not run the call. */
const otherIncarnation = 421;

/**
Decodes the head of an endpoint's answer.

@param incoming - The answer as the HTTP library gives it.
@returns What it says.
*/
export const decodeAnswer = (incoming: IncomingAnswer): AnswerHead => {
	const {headers} = incoming;
	const status = incoming.statusCode ?? 0;
	return {
		status,
		key: readText(headers, names.call),
		hasNotRun: headers[names.notRun] !== undefined || status === otherIncarnation,
		isOtherIncarnation: status === otherIncarnation,
		isSigned: headers[names.signature] !== undefined,
		load: decodeLoad(headers),
		isStream: (headers['content-type'] ?? '').startsWith('text/event-stream'),
		passedOn: omitHeaders(incoming.rawHeaders, keptFromCallers),
	};
};
