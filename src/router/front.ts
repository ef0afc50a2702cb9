import {Buffer} from 'node:buffer';
import {createHash, timingSafeEqual} from 'node:crypto';
import type {IncomingHttpHeaders} from 'node:http';
import {z} from 'zod';
import {findClass, findOrganisation} from '../config/index.js';
import type {ConfigState, Organisation, WorkClass} from '../config/index.js';
import {
	createFault, describeIssue, fail, succeed,
} from '../errors/index.js';
import type {Result} from '../errors/index.js';
import type {Order} from '../request/state.js';

/** A caller's call before anything of it was checked. */
export type Call = Readonly<{
	/** Names this arrival. */
	id: string;
	method: string;
	path: string;
	headers: IncomingHttpHeaders;
	body: Buffer;
	isForwarded: boolean;
}>;

/** A checked call: the order, and what goes to the endpoint. */
export type CheckedCall = Readonly<{
	order: Order;
	/** The path at the endpoint. */
	endpointPath: string;
	/** Choices that a chat asks for. */
	choices: number;
}>;

const chatPath = '/v1/chat/completions';
const servicePrefix = '/v1/services/';
const keyPattern = /^[\u0021-\u007E]{1,255}$/v;
const maxChoices = 16;
/** Tokens that a chat template may add to a conversation. */
const templateTokens = 64;
/** Tokens that a chat template may add to each message. */
const messageTokens = 16;

const positive = z.number().int().positive();

const chatBody = z.looseObject({
	model: z.string().min(1),
	messages: z.array(z.looseObject({role: z.string()})).min(1),
	stream: z.boolean().nullish(),
	max_tokens: positive.nullish(),
	max_completion_tokens: positive.nullish(),
	n: positive.max(maxChoices).nullish(),
	stream_options: z.looseObject({include_usage: z.boolean().nullish()}).nullish(),
});

type ChatBody = z.infer<typeof chatBody>;

/**
Hashes text as API keys are kept.

@param text - The text.
@returns SHA-256 in lower-case hex.
*/
export const hashKey = (text: string): string => createHash('sha256').update(text).digest('hex');

/**
Compares two hashes in constant time.

@param a - A hash in hex.
@param b - Another.
@returns True if they are equal.
*/
export const equalHashes = (a: string, b: string): boolean => a.length === b.length && timingSafeEqual(Buffer.from(a), Buffer.from(b));

const readHeader = (headers: IncomingHttpHeaders, name: string): string | undefined => {
	const value = headers[name];
	return Array.isArray(value) ? value[0] : value;
};

/**
Reads the bearer token of a call.

@param headers - The call's headers.
@returns The token, if there is one.
*/
export const readBearer = (headers: IncomingHttpHeaders): string | undefined =>
	/^Bearer (?<token>\S+)$/iv.exec(readHeader(headers, 'authorization') ?? '')?.groups?.token;

type Owner = Readonly<{name: string; organisation: Organisation}>;

const findOwner = (config: ConfigState, headers: IncomingHttpHeaders): Result<Owner> => {
	const hash = hashKey(readBearer(headers) ?? '');
	const name = config.owners.get(hash);
	const organisation = name === undefined ? undefined : findOrganisation(config, name);
	return name === undefined || organisation?.keys.some(key => equalHashes(key, hash)) !== true
		? fail(createFault('unauthorised', 'Authorization: names no known API key'))
		: succeed({name, organisation});
};

const readKey = (headers: IncomingHttpHeaders): Result<string | undefined> => {
	const key = readHeader(headers, 'idempotency-key');
	return key === undefined || keyPattern.test(key)
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
		const parsed = chatBody.safeParse(JSON.parse(text));
		return parsed.success
			? succeed(parsed.data)
			: fail(describeIssue(parsed.error, 'body'));
	} catch {
		return fail(createFault('bad-request', 'body: is not JSON'));
	}
});

const checkClass = (config: ConfigState, owner: Owner, name: string): Result<WorkClass> => {
	const workClass = findClass(config, name);
	if (workClass === undefined) {
		return fail(createFault('unknown-class', `Galena-Class: "${name}" does not exist`));
	}

	return owner.organisation.classes.includes(name)
		? succeed(workClass)
		: fail(createFault('forbidden', `Galena-Class: organisation "${owner.name}" may not use "${name}"`));
};

const createBillId = (call: Call, owner: Owner, key: string | undefined, digest: string): string => key === undefined
	? call.id
	: `k-${hashKey(`${owner.name}/${key}/${digest}`).slice(0, 32)}`;

type Parts = Readonly<{call: Call; owner: Owner; className: string; workClass: WorkClass; key: string | undefined}>;

const describeDigest = (call: Call): string => hashKey(`${call.method} ${call.path} ${hashKey(call.body.toString('latin1'))}`);

const createOrder = ({call, owner, className, workClass, key}: Parts, fields: Pick<Order, 'model' | 'isStream' | 'cap' | 'outputCap'>): Order => {
	const digest = describeDigest(call);
	return {
		...fields,
		id: call.id,
		// An act is one request whatever its body; a claim refuses another body under the same key.
		billId: createBillId(call, owner, key, workClass.kind === 'act' ? '' : digest),
		organisation: owner.name,
		budget: owner.organisation.budget,
		workClass: className,
		pool: workClass.pool,
		kind: workClass.kind,
		key,
		digest,
		priority: workClass.priority,
		firstToken: workClass.firstToken,
		giveUp: workClass.giveUp ?? 2 * workClass.whole,
		isForwarded: call.isForwarded,
	};
};

const boundPrompt = (body: Buffer, chat: ChatBody): number => body.byteLength + templateTokens + (messageTokens * chat.messages.length);

const checkChat = (config: ConfigState, call: Call, owner: Owner, key: string | undefined): Result<CheckedCall> => {
	const className = readHeader(call.headers, 'galena-class') ?? owner.organisation.defaultClass;
	if (className === undefined) {
		return fail(createFault('unknown-class', `Galena-Class: is missing, and organisation "${owner.name}" has no default class`));
	}

	return checkClass(config, owner, className).andThen((workClass): Result<CheckedCall> => {
		if (workClass.kind !== 'chat') {
			return fail(createFault('bad-request', `Galena-Class: "${className}" is not for chat completions`));
		}

		return decodeChat(call.body).map(chat => {
			const choices = chat.n ?? 1;
			const asked = chat.max_completion_tokens ?? chat.max_tokens ?? workClass.outputCap;
			const outputCap = Math.min(asked, workClass.outputCap) * choices;
			const order = createOrder({
				call, owner, className, workClass, key,
			}, {
				model: chat.model, isStream: chat.stream === true, cap: boundPrompt(call.body, chat) + outputCap, outputCap,
			});
			return {order, endpointPath: chatPath, choices};
		});
	});
};

type Candidate = Readonly<{name: string; workClass: WorkClass; length: number}>;

const matchPath = (workClass: WorkClass, path: string): number => {
	const lengths = workClass.paths
		.filter(prefix => path === prefix || path.startsWith(prefix.endsWith('/') ? prefix : `${prefix}/`))
		.map(prefix => prefix.length);
	return workClass.paths.length === 0 ? 0 : Math.max(-1, ...lengths);
};

/** The path decides what kind of call it is: a caller cannot declare a non-repeatable call repeatable. */
const findServiceClass = (config: ConfigState, owner: Owner, pool: string, path: string, asked: string | undefined): Result<Candidate> => {
	const candidates = owner.organisation.classes
		.flatMap((name): readonly Candidate[] => {
			const workClass = findClass(config, name);
			return workClass?.pool === pool && workClass.kind !== 'chat' ? [{name, workClass, length: matchPath(workClass, path)}] : [];
		})
		.filter(candidate => candidate.length >= 0);
	const longest = Math.max(...candidates.map(candidate => candidate.length));
	const best = candidates.filter(candidate => candidate.length === longest);
	const chosen = asked === undefined ? best[0] : best.find(candidate => candidate.name === asked);
	const named = asked === undefined ? '' : ` "${asked}"`;
	return chosen === undefined
		? fail(createFault('unknown-class', `Galena-Class: no class${named} of organisation "${owner.name}" covers pool "${pool}" and path "${path}"`))
		: succeed(chosen);
};

const checkService = (config: ConfigState, call: Call, owner: Owner, key: string | undefined): Result<CheckedCall> => {
	const [pool = '', ...rest] = call.path.slice(servicePrefix.length).split('/');
	const [pathOnly = ''] = `/${rest.join('/')}`.split('?');
	return findServiceClass(config, owner, pool, pathOnly, readHeader(call.headers, 'galena-class')).andThen((candidate): Result<CheckedCall> => {
		const isAct = candidate.workClass.kind === 'act';
		if (isAct && call.method !== 'POST') {
			return fail(createFault('method-not-allowed', `method: "${call.method}" is not allowed for class "${candidate.name}"`));
		}

		if (isAct && key === undefined) {
			return fail(createFault('key-required', `Idempotency-Key: is missing, and class "${candidate.name}" may not be repeated`));
		}

		const order = createOrder({
			call, owner, className: candidate.name, workClass: candidate.workClass, key,
		}, {
			model: undefined, isStream: false, cap: candidate.workClass.price, outputCap: 0,
		});
		return succeed({order, endpointPath: `/${rest.join('/')}`, choices: 1});
	});
};

const allowedMethods: Readonly<Record<'chat' | 'service', readonly string[]>> = {chat: ['POST'], service: ['POST', 'GET']};

/**
Checks a caller's call against the configuration in force.

@param config - The configuration's state.
@param call - The call.
@returns The order, or the fault to answer with.
*/
export const checkCall = (config: ConfigState, call: Call): Result<CheckedCall> => {
	const kind = call.path.startsWith(servicePrefix) ? 'service' : (call.path === chatPath ? 'chat' : undefined);
	if (kind === undefined) {
		return fail(createFault('not-found', `path: "${call.path}" does not exist`));
	}

	if (!allowedMethods[kind].includes(call.method)) {
		return fail(createFault('method-not-allowed', `method: "${call.method}" is not allowed here`));
	}

	if (config.revision === 0) {
		return fail(createFault('not-ready', 'no configuration is in force here yet'));
	}

	return findOwner(config, call.headers).andThen(owner => readKey(call.headers).andThen(key =>
		kind === 'chat' ? checkChat(config, call, owner, key) : checkService(config, call, owner, key)));
};
