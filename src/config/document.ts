import {z} from 'zod';
import {
	createFault, describeIssue, fail, succeed,
} from '../errors/index.js';
import type {Result} from '../errors/index.js';

/**
The operators' configuration: named entries, each a class of work or an
organisation. Targets are in milliseconds.
*/

const name = z.string().regex(/^[a-z\d][a-z\d.\-]{0,62}$/v, 'use up to 63 of a-z, 0-9, "." and "-"');
const milliseconds = z.number().int().positive().max(86_400_000);

const workClass = z.strictObject({
	/** The pool of endpoints that serves it. */
	pool: name,
	/** `chat`: a model's answer; `call`: a service call that may be repeated; `act`: one that may not. */
	kind: z.enum(['chat', 'call', 'act']),
	/** Target for the first token, or the first byte. */
	firstToken: milliseconds.default(1000),
	/** Target between tokens. */
	gap: milliseconds.default(200),
	/** Target for the whole answer. */
	whole: milliseconds.default(30_000),
	/** When the fleet gives up; twice the target unless stated. */
	giveUp: milliseconds.optional(),
	/** Greater is served first. */
	priority: z.number().int().min(0).max(100).default(50),
	/** Output tokens where the caller names no cap, and at the most. */
	outputCap: z.number().int().positive().max(1_000_000).default(1024),
	/** Tokens that one service call costs. */
	price: z.number().int().min(0).max(1_000_000_000).default(0),
	/** For services: the paths, each with what is below it. */
	paths: z.array(z.string().startsWith('/')).readonly().default([]),
});

const organisation = z.strictObject({
	/** SHA-256 of each API key, in hex. Keys themselves are kept nowhere. */
	keys: z.array(z.string().regex(/^[a-f\d]{64}$/v, 'must be a SHA-256 in lower-case hex')).min(1).readonly(),
	budget: name,
	/** The classes that it may use. */
	classes: z.array(name).min(1).readonly(),
	/** The class of chat requests that name none. */
	defaultClass: name.optional(),
});

const document = z.strictObject({
	classes: z.record(name, workClass),
	organisations: z.record(name, organisation),
});

/** A class of work with its targets. */
export type WorkClass = Readonly<z.infer<typeof workClass>>;
/** A paying customer. */
export type Organisation = Readonly<z.infer<typeof organisation>>;
/** The whole configuration. */
export type ConfigDocument = Readonly<{
	classes: Readonly<Record<string, WorkClass>>;
	organisations: Readonly<Record<string, Organisation>>;
}>;

const findDangling = (config: ConfigDocument): readonly string[] =>
	Object.entries(config.organisations).flatMap(([key, value]) => {
		const named = [...value.classes, ...(value.defaultClass === undefined ? [] : [value.defaultClass])];
		return named
			.filter(each => config.classes[each] === undefined)
			.map(each => `organisations.${key}: class "${each}" does not exist`);
	});

const findSharedKeys = (config: ConfigDocument): readonly string[] => {
	const keys = Object.entries(config.organisations).flatMap(([key, value]) => value.keys.map(hash => ({hash, key})));
	const owners = new Map(keys.map(({hash, key}) => [hash, key]));
	return keys
		.filter(({hash, key}) => owners.get(hash) !== key)
		.map(({hash, key}) => `organisations.${key}: an API key also belongs to organisation "${owners.get(hash)}"`);
};

/**
Checks a configuration.

@param value - What an operator sent.
@returns The configuration with its defaults filled in, or a fault that names the first wrong field.
*/
export const checkConfig = (value: unknown): Result<ConfigDocument> => {
	const parsed = document.safeParse(value);
	if (!parsed.success) {
		return fail(describeIssue(parsed.error, 'document'));
	}

	const problem = [...findDangling(parsed.data), ...findSharedKeys(parsed.data)][0];
	return problem === undefined ? succeed(parsed.data) : fail(createFault('bad-request', problem));
};
