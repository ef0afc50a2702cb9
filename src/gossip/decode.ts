import {z} from 'zod';
import {createValidationFault, fail, succeed} from '../errors/index.js';
import type {Result} from '../errors/index.js';

/** Id, start time, address and service. */
const incarnationSchema = z.tuple([z.string(), z.number(), z.string(), z.string()]);

/** An incarnation as it is sent. */
export type WireIncarnation = z.infer<typeof incarnationSchema>;

const messageSchema = z.object({
	router: z.string(),
	loads: z.array(z.tuple([z.string(), z.number().nonnegative(), z.number().nonnegative()])),
	/** Endpoint, rate limit in requests per second or null for none, age of the endpoint's statement in ms, and start time of the endpoint. Older routers send only a part of this. */
	limits: z.array(z.tuple([z.string(), z.number().nonnegative().nullable(), z.number().nonnegative(), z.number().optional()])).default([]),
	/** The endpoints that have stated to the sender that they are leaving. Older routers send neither these nor what follows. */
	leaving: z.array(incarnationSchema).default([]),
	/** Endpoint, age in ms, whether it is refuted, and suspects, each with a number that only older routers read. */
	crashes: z.array(z.tuple([incarnationSchema, z.number().nonnegative(), z.boolean(), z.array(z.tuple([z.string(), z.number().nonnegative()]))])).default([]),
	/** Suspect, and age of its last proven output in ms. */
	proven: z.array(z.tuple([z.string(), z.number().nonnegative()])).default([]),
	/** Condemned suspect, age and remaining time of the verdict in ms, and strikes. */
	verdicts: z.array(z.tuple([z.string(), z.number().nonnegative(), z.number(), z.number().int().nonnegative()])).default([]),
	/** Suspects whose verdicts a request of the sender tests. Older routers send neither these nor what follows. */
	trials: z.array(z.string()).default([]),
	/** Endpoint, its start time, and a prompt part that the sender has sent to it. */
	parts: z.array(z.tuple([z.string(), z.number(), z.string()])).default([]),
	/** Endpoint, its start time, time in ms for which it stated that it stays cold, and age of the statement. Absent unless there are some. */
	cold: z.array(z.tuple([z.string(), z.number(), z.number().nonnegative(), z.number().nonnegative()])).default([]),
	/** Data centre of the sender. */
	dataCentre: z.string().optional(),
	/** True while the sender is overloaded and says that it is not ready. */
	overloaded: z.boolean().optional(),
	/** True while the sender is under pressure. */
	pressed: z.boolean().optional(),
	/** True while the sender withdraws, and wants its whole data centre to. */
	leading: z.boolean().optional(),
	/** Cores that the sender may use, and those that it has to spare. */
	cores: z.number().nonnegative().optional(),
	spare: z.number().nonnegative().optional(),
});

/** A peer's message as it is sent, with its defaults. */
export type WireMessage = z.output<typeof messageSchema>;

/** Fields that most messages have, or that are few: they are checked by hand. A message with other ones is left to the schema. */
const checkedFields = ['loads', 'limits', 'leaving', 'parts'] as const;
const uncheckedFields = ['crashes', 'proven', 'verdicts', 'trials', 'cold'] as const;

type Check = (value: unknown) => boolean;

const isText: Check = value => typeof value === 'string';
/** JSON has no NaN, but a number that is too large is read as infinite. */
const isNumber: Check = value => typeof value === 'number' && Number.isFinite(value);
const isAmount: Check = value => typeof value === 'number' && value >= 0 && value < Number.POSITIVE_INFINITY;
const isAmountOrNull: Check = value => value === null || isAmount(value);

const isTuple = (value: unknown, checks: readonly Check[], minLength = checks.length): boolean =>
	Array.isArray(value) && value.length >= minLength && value.length <= checks.length && value.every((item, index) => checks[index]!(item));

const entryChecks: Readonly<Record<typeof checkedFields[number], Check>> = {
	loads: value => isTuple(value, [isText, isAmount, isAmount]),
	limits: value => isTuple(value, [isText, isAmountOrNull, isAmount, isNumber], 3),
	leaving: value => isTuple(value, [isText, isNumber, isText, isText]),
	parts: value => isTuple(value, [isText, isNumber, isText]),
};

const isPlain = (value: unknown): value is Readonly<Record<string, unknown>> => typeof value === 'object' && value !== null && !Array.isArray(value);

/** Reads a message that has only fields checked by hand; undefined if it is not valid or has others. */
const readCommonMessage = (value: unknown): WireMessage | undefined => {
	if (!isPlain(value) || uncheckedFields.some(field => value[field] !== undefined)) {
		return undefined;
	}

	const {
		router, dataCentre, overloaded, pressed, leading, cores, spare, loads, limits = [], leaving = [], parts = [],
	} = value;
	const lists = {
		loads, limits, leaving, parts,
	};
	const isValid = isText(router) && (dataCentre === undefined || isText(dataCentre)) && [cores, spare].every(amount => amount === undefined || isAmount(amount))
		&& [overloaded, pressed, leading].every(flag => flag === undefined || typeof flag === 'boolean')
		&& checkedFields.every(field => Array.isArray(lists[field]) && lists[field].every(entry => entryChecks[field](entry)));
	return isValid
		? {
			router, dataCentre, overloaded, pressed, leading, cores, spare, ...lists, crashes: [], proven: [], verdicts: [], trials: [], cold: [],
		} as unknown as WireMessage
		: undefined;
};

/**
Decodes a peer's message by the schema alone; the faster path must agree with it.

@param value - The parsed JSON.
@returns The message, or a fault that names the invalid field.
*/
export const decodeBySchema = (value: unknown): Result<WireMessage> => {
	const parsed = messageSchema.safeParse(value);
	return parsed.success ? succeed(parsed.data) : fail(createValidationFault(parsed.error, 'message'));
};

/**
Decodes a peer's message.

Load pattern: dozens of routers send several messages a second each, nearly all of them with loads only. A schema takes most
of the time of such a message, so its common fields are checked by hand. The schema decides on all others, and names the invalid field.

@param value - The parsed JSON.
@returns The message, or a fault that names the invalid field.
*/
export const decodeMessage = (value: unknown): Result<WireMessage> => {
	const common = readCommonMessage(value);
	if (common !== undefined) {
		return succeed(common);
	}

	return decodeBySchema(value);
};
