import {readFileSync} from 'node:fs';
import {isIP} from 'node:net';
import ini from 'ini';
import {z} from 'zod';
import {parseAddress} from '../server/address.js';
import {createFault, fail, succeed} from '../errors/index.js';
import type {Result} from '../errors/index.js';

/** Milliseconds in each unit that a duration may have. */
const timeUnits: Readonly<Record<string, number>> = {
	ms: 1, s: 1000, m: 60_000, h: 3_600_000,
};

/** Bytes in each unit that a size may have. */
const sizeUnits: Readonly<Record<string, number>> = {B: 1, KB: 1024, MB: 1024 * 1024};

const withUnit = (units: Readonly<Record<string, number>>, example: string) => z.string().transform((text, context) => {
	const match = /^(?<amount>\d+(?:\.\d+)?)(?<unit>[A-Za-z]+)$/v.exec(text);
	const factor = units[match?.groups?.unit ?? ''];
	if (match === null || factor === undefined) {
		context.addIssue({code: 'custom', message: `"${text}" needs a number and one of the units ${Object.keys(units).join(', ')}, as in ${example}`});
		return z.NEVER;
	}

	return Number(match.groups?.amount) * factor;
});

/** A duration such as `250ms`, `10s` or `5m`; milliseconds once read. */
export const duration = withUnit(timeUnits, '10s');

/** A size such as `64KB`; bytes once read. */
export const size = withUnit(sizeUnits, '4MB');

/** A whole number. */
export const count = z.string().regex(/^\d+$/v, 'must be a whole number').transform(Number);

/** A number between 0 and 1. */
export const share = z.string().transform(Number).pipe(z.number('must be a number').min(0).max(1));

/** An IP number and a port, such as `10.0.0.5:8080`. */
export const address = z.string().refine(text => {
	const {host, port} = parseAddress(text);
	return isIP(host) !== 0 && Number.isInteger(port) && port >= 0 && port < 65_536;
}, 'must be an IP number and a port, as in 10.0.0.5:8080').transform(text => parseAddress(text));

/** Addresses separated by commas; none if there is no text. */
export const addresses = z.string().transform(text => text.split(',').map(part => part.trim()).filter(part => part !== '')).pipe(z.array(address));

/** An HTTP address by IP number, such as `http://10.0.0.5:7400`. */
export const httpAddress = z.string().refine(text => {
	try {
		const url = new URL(text);
		return /^https?:$/v.test(url.protocol) && isIP(url.hostname.replaceAll(/[\[\]]/gv, '')) !== 0;
	} catch {
		return false;
	}
}, 'must be an HTTP address by IP number, as in http://10.0.0.5:7400');

/** A name such as a pool or a data centre. */
export const label = z.string().regex(/^[a-z\d][a-z\d.\-]{0,62}$/v, 'use up to 63 of a-z, 0-9, "." and "-"');

const levels = ['debug', 'info', 'warn', 'error', 'silent'] as const;

/** The section that every program has. */
export const logSection = z.strictObject({
	level: z.enum(levels).default('info'),
	/** Where StatsD metrics go. */
	metrics: address.optional(),
}).prefault({});

type Place = Readonly<{section: string; key: string; line: number}>;

const findLine = (text: string, section: string, key: string | undefined): number => {
	const lines = text.split('\n').map(line => line.trim());
	const start = lines.indexOf(`[${section}]`);
	if (start === -1) {
		return 0;
	}

	const length = lines.slice(start + 1).findIndex(line => line.startsWith('['));
	const end = length === -1 ? lines.length : start + 1 + length;
	const at = key === undefined ? -1 : lines.findIndex((line, index) => index > start && index < end && line.split('=')[0]?.trim() === key);
	return (at === -1 ? start : at) + 1;
};

/** Sections such as `[class.advice]` are two levels deep. */
const describePlace = (text: string, path: readonly PropertyKey[], unknownKey: string | undefined): Place => {
	// An element of a list stands in the line of its list.
	const names = [...path.filter(part => typeof part !== 'number').map(String), ...(unknownKey === undefined ? [] : [unknownKey])];
	const isNested = names.length > 2 || (names.length === 2 && findLine(text, names.join('.'), undefined) > 0);
	const section = names.slice(0, isNested ? 2 : 1).join('.');
	const key = names[isNested ? 2 : 1];
	return {section, key: key ?? '', line: findLine(text, section, key)};
};

const describeIssue = (name: string, text: string, issue: z.core.$ZodIssue): string => {
	const unknownKey = issue.code === 'unrecognized_keys' ? issue.keys[0] : undefined;
	const place = describePlace(text, issue.path, unknownKey);
	const where = place.key === '' ? `[${place.section}]` : `[${place.section}] ${place.key}`;
	const isMissing = issue.code === 'invalid_type' && issue.message.endsWith('received undefined');
	const problem = unknownKey === undefined ? (isMissing ? 'is missing' : issue.message) : 'is not known';
	return place.line === 0 ? `${name}: ${where}: ${problem}` : `${name}:${place.line}: ${where}: ${problem}`;
};

/** The parser's objects have no prototype, which the schema does not take for records. */
const copyPlain = (value: unknown): unknown => typeof value === 'object' && value !== null && !Array.isArray(value)
	? Object.fromEntries(Object.entries(value).map(([key, inner]) => [key, copyPlain(inner)]))
	: value;

/**
Checks settings written in INI.

@param name - The file's name, for messages.
@param text - The file's text.
@param schema - What the program expects.
@returns The settings, or a fault that names section, key and line.
*/
export const checkSettings = <Schema extends z.ZodType>(name: string, text: string, schema: Schema): Result<z.output<Schema>> => {
	const parsed = schema.safeParse(copyPlain(ini.parse(text)));
	if (parsed.success) {
		return succeed(parsed.data);
	}

	const [issue] = parsed.error.issues;
	return fail(createFault('bad-request', issue === undefined ? `${name}: is not valid` : describeIssue(name, text, issue)));
};

/**
Reads and checks a settings file.

@param path - The file.
@param schema - What the program expects.
@returns The settings, or a fault that names section, key and line.
*/
export const readSettings = <Schema extends z.ZodType>(path: string, schema: Schema): Result<z.output<Schema>> => {
	try {
		return checkSettings(path, readFileSync(path, 'utf8'), schema);
	} catch (error) {
		return fail(createFault('bad-request', `${path}: ${error instanceof Error ? error.message : 'cannot be read'}`));
	}
};
