import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import type {GrantPolicy} from '../budget/index.js';
import {createFault, fail, succeed} from '../errors/index.js';
import type {Result} from '../errors/index.js';
import {handleRouter} from '../router/handle.js';
import type {RouterEffect, RouterEvent, RouterStep} from '../router/messages.js';
import {createRouterState} from '../router/state.js';
import type {RouterIdentity, RouterState} from '../router/state.js';

/**
A trace records the decisions of one router incarnation as JSON lines, one per
event. A replay passes the events to the router's handler and compares the
effects with the recorded ones.

The first line contains the version, the router's identity and its grant policy.
Each further line contains the time, the event and a digest of the effects. A
line `{"told": ...}` contains the outcomes that clients got, by arrival.
*/

/** The version of the trace format that this build writes and reads. */
export const traceVersion = 1;

/** The first line of a trace. */
export type TraceHeader = Readonly<{version: number; identity: RouterIdentity; policy: GrantPolicy}>;

/** One event, its time in ms, and the effects that the handler decided on. */
export type TraceEntry = Readonly<{now: number; event: RouterEvent; effects: readonly RouterEffect[]}>;

/** The result of a replay. */
export type ReplayReport = Readonly<{
	events: number;
	/** The outcome that each request's client got, by arrival. */
	told: Readonly<Record<string, string>>;
}>;

type Line =
	| TraceHeader
	| Readonly<{now: number; event: RouterEvent; effects: string}>
	| Readonly<{told: Readonly<Record<string, string>>}>;

const encodeBytes = (_key: string, value: unknown): unknown =>
	value instanceof Uint8Array ? {bytes64: Buffer.from(value).toString('base64')} : value;

/** `JSON.stringify` calls `toJSON` of a Buffer before the replacer gets the value. */
type EncodedBuffer = Readonly<{type: 'Buffer'; data: readonly number[]}>;

const isEncodedBuffer = (value: unknown): value is EncodedBuffer =>
	typeof value === 'object' && value !== null && (value as EncodedBuffer).type === 'Buffer' && Array.isArray((value as EncodedBuffer).data);

const encodeValue = (key: string, value: unknown): unknown =>
	isEncodedBuffer(value) ? {bytes64: Buffer.from(value.data).toString('base64')} : encodeBytes(key, value);

const decodeValue = (key: string, value: unknown): unknown => {
	// JSON encodes a missing row (undefined) as null.
	if (key === 'rows' && Array.isArray(value)) {
		return value.map((row: unknown) => row ?? undefined);
	}

	return typeof value === 'object' && value !== null && 'bytes64' in value ? Buffer.from(String(value.bytes64), 'base64') : value;
};

const digestEffects = (effects: readonly RouterEffect[]): string =>
	createHash('sha256').update(JSON.stringify(effects, encodeValue)).digest('base64').slice(0, 16);

/**
Formats the first line of a trace.

@param identity - The identity of the router.
@param policy - Its grant policy.
@returns The line.
*/
export const formatHeader = (identity: RouterIdentity, policy: GrantPolicy): string => JSON.stringify({version: traceVersion, identity, policy} satisfies TraceHeader);

/**
Formats an event with the digest of its effects.

@param entry - The event and its effects.
@returns The line.
*/
export const formatEntry = (entry: TraceEntry): string =>
	JSON.stringify({now: entry.now, event: entry.event, effects: digestEffects(entry.effects)}, encodeValue);

/**
Formats the outcomes that clients got.

@param outcomes - The outcomes, by arrival.
@returns The line.
*/
export const formatOutcomes = (outcomes: Readonly<Record<string, string>>): string => JSON.stringify({told: outcomes});

const readOutcome = (effect: RouterEffect): ReadonlyArray<readonly [string, string]> => {
	const readers: Readonly<Partial<Record<RouterEffect['kind'], () => readonly [string, string]>>> = {
		reply: () => [(effect as RouterEffect & {kind: 'reply'}).request, 'complete'],
		'end-stream': () => [(effect as RouterEffect & {kind: 'end-stream'}).request, 'complete'],
		'reply-fault'() {
			const {request, fault} = effect as RouterEffect & {kind: 'reply-fault'};
			return [request, fault.kind];
		},
	};
	const outcome = readers[effect.kind]?.();
	return outcome === undefined ? [] : [outcome];
};

/**
Adds the outcomes that the effects of one decision send to clients.

@param outcomes - The outcomes sent before, by arrival.
@param effects - The effects of the decision.
@returns All outcomes so far, and an arrival that got a second one if there is any.
*/
export const collectOutcomes = (outcomes: Readonly<Record<string, string>>, effects: readonly RouterEffect[]): Readonly<{told: Readonly<Record<string, string>>; duplicate: string | undefined}> => {
	const pairs = effects.flatMap(effect => readOutcome(effect));
	return {told: {...outcomes, ...Object.fromEntries(pairs)}, duplicate: pairs.map(([arrival]) => arrival).find(arrival => outcomes[arrival] !== undefined)};
};

type ReplayProgress = Readonly<{state: RouterState; report: ReplayReport}>;

const createLineFault = (line: number, detail: string): Result<never> => fail(createFault('bad-request', `line ${line}: ${detail}`));

const parseLine = (text: string, line: number): Result<Line> => {
	try {
		return succeed(JSON.parse(text, decodeValue) as Line);
	} catch {
		return createLineFault(line, 'invalid JSON');
	}
};

const startReplay = (text: string): Result<ReplayProgress> => parseLine(text, 1).andThen((header): Result<ReplayProgress> => 'version' in header && header.version === traceVersion
	? succeed({state: createRouterState(header.identity, header.policy), report: {events: 0, told: {}}})
	: createLineFault(1, `unsupported trace version, expected ${traceVersion}`));

/** Catches errors of the handler: a trace that was tampered with may contain events of an invalid shape. */
const tryHandle = (state: RouterState, {event, now}: Readonly<{event: RouterEvent; now: number}>): RouterStep | undefined => {
	try {
		return handleRouter(state, event, now);
	} catch {
		return undefined;
	}
};

const replayLine = (progress: ReplayProgress, parsed: Line, line: number): Result<ReplayProgress> => {
	if ('told' in parsed) {
		const mismatch = Object.entries(parsed.told).find(([arrival, kind]) => progress.report.told[arrival] !== kind);
		return mismatch === undefined
			? succeed(progress)
			: createLineFault(line, `arrival "${mismatch[0]}": expected outcome "${mismatch[1]}", got "${progress.report.told[mismatch[0]] ?? 'nothing'}"`);
	}

	if (!('event' in parsed)) {
		return createLineFault(line, 'contains neither an event nor outcomes');
	}

	const step = tryHandle(progress.state, parsed);
	if (step === undefined) {
		return createLineFault(line, `event "${String(parsed.event.kind)}" is malformed`);
	}

	const {told, duplicate} = collectOutcomes(progress.report.told, step.effects);
	if (duplicate !== undefined) {
		return createLineFault(line, `arrival "${duplicate}" got two responses`);
	}

	return digestEffects(step.effects) === parsed.effects
		? succeed({state: step.state, report: {events: progress.report.events + 1, told}})
		: createLineFault(line, `effects of event "${parsed.event.kind}" differ from the recorded ones`);
};

/**
Replays a trace.

@param text - The lines of the trace.
@returns The report, or a `bad-request` fault that names the first line that is invalid or does not match.
*/
export const replayTrace = (text: string): Result<ReplayReport> => {
	const [first = '', ...rest] = text.split('\n').filter(line => line !== '');
	return rest
		.reduce<Result<ReplayProgress>>((progress, line, index) =>
			progress.andThen(current => parseLine(line, index + 2).andThen(parsed => replayLine(current, parsed, index + 2))), startReplay(first))
		.map(progress => progress.report);
};
