import {Buffer} from 'node:buffer';
import {createHash, timingSafeEqual} from 'node:crypto';
import type {IncomingHttpHeaders} from 'node:http';
import {z} from 'zod';
import {findClass, findOrganisation} from '../config/index.js';
import type {ConfigState, Organisation, WorkClass} from '../config/index.js';
import {
	createFault, createValidationFault, fail, succeed,
} from '../errors/index.js';
import type {Result} from '../errors/index.js';
import type {RequestSpec} from '../request/state.js';

/** A client request that has not been validated. */
export type IncomingRequest = Readonly<{
	/** Id of this arrival; a retry by the client has another one. */
	id: string;
	method: string;
	path: string;
	headers: IncomingHttpHeaders;
	body: Buffer;
	/** True if a peer forwarded the request. */
	isForwarded: boolean;
}>;

/** A validated client request. */
export type CheckedRequest = Readonly<{
	spec: RequestSpec;
	/** Path of the request to the endpoint. */
	endpointPath: string;
	/** Number of choices requested of a chat completion; 1 for a service. */
	choiceCount: number;
}>;

const chatPath = '/v1/chat/completions';
const servicePrefix = '/v1/services/';
const idempotencyKeyPattern = /^[\u0021-\u007E]{1,255}$/v;
const maxChoices = 16;
/** Maximum number of tokens that a chat template adds to a conversation. */
const maxTemplateTokens = 64;
/** Maximum number of tokens that a chat template adds to each message. */
const maxTemplateTokensPerMessage = 16;

const positiveInteger = z.number().int().positive();

const chatBodySchema = z.looseObject({
	model: z.string().min(1),
	messages: z.array(z.looseObject({role: z.string()})).min(1),
	stream: z.boolean().nullish(),
	max_tokens: positiveInteger.nullish(),
	max_completion_tokens: positiveInteger.nullish(),
	n: positiveInteger.max(maxChoices).nullish(),
	stream_options: z.looseObject({include_usage: z.boolean().nullish()}).nullish(),
});

type ChatBody = z.infer<typeof chatBodySchema>;

/**
Computes a SHA-256 hash. API keys are configured as such hashes.

@param text - The text.
@returns The hash in lower-case hex.
*/
export const hashSha256 = (text: string): string => createHash('sha256').update(text).digest('hex');

/**
Compares two hashes in constant time.

@param a - A hash in hex.
@param b - Another hash in hex.
@returns True if they are equal.
*/
export const compareHashes = (a: string, b: string): boolean => a.length === b.length && timingSafeEqual(Buffer.from(a), Buffer.from(b));

const readHeader = (headers: IncomingHttpHeaders, name: string): string | undefined => {
	const value = headers[name];
	return Array.isArray(value) ? value[0] : value;
};

/**
Reads the bearer token of a request.

@param headers - The request headers.
@returns The token, if there is one.
*/
export const readBearerToken = (headers: IncomingHttpHeaders): string | undefined =>
	/^Bearer (?<token>\S+)$/iv.exec(readHeader(headers, 'authorization') ?? '')?.groups?.token;

/** The organisation that an API key belongs to. */
type Principal = Readonly<{name: string; organisation: Organisation}>;

const authenticate = (config: ConfigState, headers: IncomingHttpHeaders): Result<Principal> => {
	const hash = hashSha256(readBearerToken(headers) ?? '');
	const name = config.organisationsByKeyHash.get(hash);
	const organisation = name === undefined ? undefined : findOrganisation(config, name);
	return name === undefined || organisation?.keys.some(key => compareHashes(key, hash)) !== true
		? fail(createFault('unauthorised', 'Authorization: names no known API key'))
		: succeed({name, organisation});
};

const readIdempotencyKey = (headers: IncomingHttpHeaders): Result<string | undefined> => {
	const key = readHeader(headers, 'idempotency-key');
	return key === undefined || idempotencyKeyPattern.test(key)
		? succeed(key)
		: fail(createFault('bad-request', 'Idempotency-Key: must be 1 to 255 printable ASCII characters without spaces'));
};

const decodeText = (body: Buffer): Result<string> => {
	try {
		return succeed(new TextDecoder('utf8', {fatal: true}).decode(body));
	} catch {
		return fail(createFault('bad-request', 'body: is not UTF-8'));
	}
};

const decodeChat = (body: Buffer): Result<ChatBody> => decodeText(body).andThen((text): Result<ChatBody> => {
	try {
		const parsed = chatBodySchema.safeParse(JSON.parse(text));
		return parsed.success
			? succeed(parsed.data)
			: fail(createValidationFault(parsed.error, 'body'));
	} catch {
		return fail(createFault('bad-request', 'body: is not JSON'));
	}
});

const checkClass = (config: ConfigState, principal: Principal, name: string): Result<WorkClass> => {
	const workClass = findClass(config, name);
	if (workClass === undefined) {
		return fail(createFault('unknown-class', `Galena-Class: "${name}" does not exist`));
	}

	return principal.organisation.classes.includes(name)
		? succeed(workClass)
		: fail(createFault('forbidden', `Galena-Class: organisation "${principal.name}" may not use "${name}"`));
};

const createBillId = (request: IncomingRequest, principal: Principal, key: string | undefined, digest: string): string => key === undefined
	? request.id
	: `k-${hashSha256(`${principal.name}/${key}/${digest}`).slice(0, 32)}`;

type SpecContext = Readonly<{request: IncomingRequest; principal: Principal; className: string; workClass: WorkClass; key: string | undefined}>;

const computeDigest = (request: IncomingRequest): string => hashSha256(`${request.method} ${request.path} ${hashSha256(request.body.toString('latin1'))}`);

const createSpec = ({request, principal, className, workClass, key}: SpecContext, fields: Pick<RequestSpec, 'model' | 'isStream' | 'cap' | 'outputCap'>): RequestSpec => {
	const digest = computeDigest(request);
	return {
		...fields,
		id: request.id,
		// At-most-once requests (kind `act`) with the same key are one request whatever the body: the claim refuses a second body.
		billId: createBillId(request, principal, key, workClass.kind === 'act' ? '' : digest),
		organisation: principal.name,
		budget: principal.organisation.budget,
		workClass: className,
		pool: workClass.pool,
		kind: workClass.kind,
		key,
		digest,
		priority: workClass.priority,
		firstToken: workClass.firstToken,
		giveUp: workClass.giveUp ?? 2 * workClass.whole,
		isForwarded: request.isForwarded,
	};
};

/** Computes an upper bound of the prompt tokens: one per byte of the body, and those that the chat template adds. */
const computeMaxPromptTokens = (body: Buffer, chat: ChatBody): number => body.byteLength + maxTemplateTokens + (maxTemplateTokensPerMessage * chat.messages.length);

const checkChat = (config: ConfigState, request: IncomingRequest, principal: Principal, key: string | undefined): Result<CheckedRequest> => {
	const className = readHeader(request.headers, 'galena-class') ?? principal.organisation.defaultClass;
	if (className === undefined) {
		return fail(createFault('unknown-class', `Galena-Class: is missing, and organisation "${principal.name}" has no default class`));
	}

	return checkClass(config, principal, className).andThen((workClass): Result<CheckedRequest> => {
		if (workClass.kind !== 'chat') {
			return fail(createFault('bad-request', `Galena-Class: "${className}" is not for chat completions`));
		}

		return decodeChat(request.body).map(chat => {
			const choiceCount = chat.n ?? 1;
			const requestedTokens = chat.max_completion_tokens ?? chat.max_tokens ?? workClass.outputCap;
			const outputCap = Math.min(requestedTokens, workClass.outputCap) * choiceCount;
			const spec = createSpec({
				request, principal, className, workClass, key,
			}, {
				model: chat.model, isStream: chat.stream === true, cap: computeMaxPromptTokens(request.body, chat) + outputCap, outputCap,
			});
			return {spec, endpointPath: chatPath, choiceCount};
		});
	});
};

type ClassCandidate = Readonly<{name: string; workClass: WorkClass; prefixLength: number}>;

/** Returns the length of the longest matching path prefix of a class: 0 if it has no prefixes, -1 if none matches. */
const measureMatchingPrefix = (workClass: WorkClass, path: string): number => {
	const lengths = workClass.paths
		.filter(prefix => path === prefix || path.startsWith(prefix.endsWith('/') ? prefix : `${prefix}/`))
		.map(prefix => prefix.length);
	return workClass.paths.length === 0 ? 0 : Math.max(-1, ...lengths);
};

/** Finds the class of a service request. The path decides, so that a client can't have an at-most-once request treated as repeatable. */
const findServiceClass = (config: ConfigState, principal: Principal, pool: string, path: string, requestedClass: string | undefined): Result<ClassCandidate> => {
	const candidates = principal.organisation.classes
		.flatMap((name): readonly ClassCandidate[] => {
			const workClass = findClass(config, name);
			return workClass?.pool === pool && workClass.kind !== 'chat' ? [{name, workClass, prefixLength: measureMatchingPrefix(workClass, path)}] : [];
		})
		.filter(candidate => candidate.prefixLength >= 0);
	const longestPrefix = Math.max(...candidates.map(candidate => candidate.prefixLength));
	const bestMatches = candidates.filter(candidate => candidate.prefixLength === longestPrefix);
	const chosen = requestedClass === undefined ? bestMatches[0] : bestMatches.find(candidate => candidate.name === requestedClass);
	const quotedName = requestedClass === undefined ? '' : ` "${requestedClass}"`;
	return chosen === undefined
		? fail(createFault('unknown-class', `Galena-Class: no class${quotedName} of organisation "${principal.name}" covers pool "${pool}" and path "${path}"`))
		: succeed(chosen);
};

const checkService = (config: ConfigState, request: IncomingRequest, principal: Principal, key: string | undefined): Result<CheckedRequest> => {
	const [pool = '', ...endpointSegments] = request.path.slice(servicePrefix.length).split('/');
	const [pathWithoutQuery = ''] = `/${endpointSegments.join('/')}`.split('?');
	return findServiceClass(config, principal, pool, pathWithoutQuery, readHeader(request.headers, 'galena-class')).andThen((candidate): Result<CheckedRequest> => {
		const isAtMostOnce = candidate.workClass.kind === 'act';
		if (isAtMostOnce && request.method !== 'POST') {
			return fail(createFault('method-not-allowed', `method: "${request.method}" is not allowed for class "${candidate.name}"`));
		}

		if (isAtMostOnce && key === undefined) {
			return fail(createFault('key-required', `Idempotency-Key: is missing, and class "${candidate.name}" may not be repeated`));
		}

		const spec = createSpec({
			request, principal, className: candidate.name, workClass: candidate.workClass, key,
		}, {
			model: undefined, isStream: false, cap: candidate.workClass.price, outputCap: 0,
		});
		return succeed({spec, endpointPath: `/${endpointSegments.join('/')}`, choiceCount: 1});
	});
};

const allowedMethods: Readonly<Record<'chat' | 'service', readonly string[]>> = {chat: ['POST'], service: ['POST', 'GET']};

/**
Validates a client request against the configuration in force.

@param config - The configuration.
@param request - The request.
@returns The validated request, or the fault for the client.
*/
export const checkRequest = (config: ConfigState, request: IncomingRequest): Result<CheckedRequest> => {
	const kind = request.path.startsWith(servicePrefix) ? 'service' : (request.path === chatPath ? 'chat' : undefined);
	if (kind === undefined) {
		return fail(createFault('not-found', `path: "${request.path}" does not exist`));
	}

	if (!allowedMethods[kind].includes(request.method)) {
		return fail(createFault('method-not-allowed', `method: "${request.method}" is not allowed here`));
	}

	if (config.revision === 0) {
		return fail(createFault('not-ready', 'no configuration is in force here yet'));
	}

	return authenticate(config, request.headers).andThen(principal => readIdempotencyKey(request.headers).andThen(key =>
		kind === 'chat' ? checkChat(config, request, principal, key) : checkService(config, request, principal, key)));
};
