import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import type {GrantPolicy} from '../budget/index.js';
import {createFault, fail, succeed} from '../errors/index.js';
import type {Result} from '../errors/index.js';
import {handleRouter} from '../router/handle.js';
import type {RouterEffect, RouterEvent, RouterStep} from '../router/messages.js';
import {createRouterState} from '../router/state.js';
import type {Identity, RouterState} from '../router/state.js';

/**
Traces: what one router incarnation decided, one JSON line an event. A replay
feeds the events to the router's handler and compares what it decides.

The first line names the version, the router and its grant policy; each further
one has the time, the event and a digest of the effects; a line `{"told": ...}`
states what a request's caller was told.
*/

/** The version that this build writes and reads. */
export const traceVersion = 1;

/** The first line of a trace. */
export type TraceHead = Readonly<{version: number; identity: Identity; policy: GrantPolicy}>;

/** One event with what was decided on it. */
export type TraceEntry = Readonly<{now: number; event: RouterEvent; effects: readonly RouterEffect[]}>;

/** What a replay came to. */
export type ReplayReport = Readonly<{
	events: number;
	/** What each request's caller was told, by arrival. */
	told: Readonly<Record<string, string>>;
}>;

type Line =
	| TraceHead
	| Readonly<{now: number; event: RouterEvent; effects: string}>
	| Readonly<{told: Readonly<Record<string, string>>}>;

const encodeBytes = (_key: string, value: unknown): unknown =>
	value instanceof Uint8Array ? {bytes64: Buffer.from(value).toString('base64')} : value;

/** `JSON.stringify` asks a Buffer for its own form before the replacer sees it. */
type EncodedBuffer = Readonly<{type: 'Buffer'; data: readonly number[]}>;

const isEncodedBuffer = (value: unknown): value is EncodedBuffer =>
	typeof value === 'object' && value !== null && (value as EncodedBuffer).type === 'Buffer' && Array.isArray((value as EncodedBuffer).data);

const encodeValue = (key: string, value: unknown): unknown =>
	isEncodedBuffer(value) ? {bytes64: Buffer.from(value.data).toString('base64')} : encodeBytes(key, value);

const decodeValue = (key: string, value: unknown): unknown => {
	// JSON writes a row that does not exist as null.
	if (key === 'rows' && Array.isArray(value)) {
		return value.map((row: unknown) => row ?? undefined);
	}

	return typeof value === 'object' && value !== null && 'bytes64' in value ? Buffer.from(String(value.bytes64), 'base64') : value;
};

const digestEffects = (effects: readonly RouterEffect[]): string =>
	createHash('sha256').update(JSON.stringify(effects, encodeValue)).digest('base64').slice(0, 16);

/**
Writes the first line of a trace.

@param identity - The router.
@param policy - Its grant policy.
@returns The line.
*/
export const formatHead = (identity: Identity, policy: GrantPolicy): string => JSON.stringify({version: traceVersion, identity, policy} satisfies TraceHead);

/**
Writes an event with what was decided on it.

@param entry - The entry.
@returns The line.
*/
export const formatEntry = (entry: TraceEntry): string =>
	JSON.stringify({now: entry.now, event: entry.event, effects: digestEffects(entry.effects)}, encodeValue);

/**
Writes what callers were told.

@param told - By arrival.
@returns The line.
*/
export const formatTold = (told: Readonly<Record<string, string>>): string => JSON.stringify({told});

const readTold = (effect: RouterEffect): ReadonlyArray<readonly [string, string]> => {
	const readers: Readonly<Partial<Record<RouterEffect['kind'], () => readonly [string, string]>>> = {
		reply: () => [(effect as RouterEffect & {kind: 'reply'}).request, 'complete'],
		'end-stream': () => [(effect as RouterEffect & {kind: 'end-stream'}).request, 'complete'],
		'reply-fault'() {
			const {request, fault} = effect as RouterEffect & {kind: 'reply-fault'};
			return [request, fault.kind];
		},
	};
	const told = readers[effect.kind]?.();
	return told === undefined ? [] : [told];
};

/**
Collects what a decision told callers.

@param told - What was told before, by arrival.
@param effects - The effects of a decision.
@returns What was told until then, and an arrival that was told twice.
*/
export const collectTold = (told: Readonly<Record<string, string>>, effects: readonly RouterEffect[]): Readonly<{told: Readonly<Record<string, string>>; repeated: string | undefined}> => {
	const pairs = effects.flatMap(effect => readTold(effect));
	return {told: {...told, ...Object.fromEntries(pairs)}, repeated: pairs.map(([arrival]) => arrival).find(arrival => told[arrival] !== undefined)};
};

type Progress = Readonly<{state: RouterState; report: ReplayReport}>;

const refuseLine = (line: number, detail: string): Result<never> => fail(createFault('bad-request', `line ${line}: ${detail}`));

const parseLine = (text: string, line: number): Result<Line> => {
	try {
		return succeed(JSON.parse(text, decodeValue) as Line);
	} catch {
		return refuseLine(line, 'is not JSON');
	}
};

const startReplay = (text: string): Result<Progress> => parseLine(text, 1).andThen((head): Result<Progress> => 'version' in head && head.version === traceVersion
	? succeed({state: createRouterState(head.identity, head.policy), report: {events: 0, told: {}}})
	: refuseLine(1, `must name version ${traceVersion}`));

/** A tampered event may be of a shape that no handler expects. */
const tryHandle = (state: RouterState, {event, now}: Readonly<{event: RouterEvent; now: number}>): RouterStep | undefined => {
	try {
		return handleRouter(state, event, now);
	} catch {
		return undefined;
	}
};

const replayLine = (progress: Progress, parsed: Line, line: number): Result<Progress> => {
	if ('told' in parsed) {
		const wrong = Object.entries(parsed.told).find(([arrival, kind]) => progress.report.told[arrival] !== kind);
		return wrong === undefined
			? succeed(progress)
			: refuseLine(line, `arrival "${wrong[0]}" was to be told "${wrong[1]}", and was told "${progress.report.told[wrong[0]] ?? 'nothing'}"`);
	}

	if (!('event' in parsed)) {
		return refuseLine(line, 'has neither an event nor an outcome');
	}

	const step = tryHandle(progress.state, parsed);
	if (step === undefined) {
		return refuseLine(line, `event "${String(parsed.event.kind)}" is malformed`);
	}

	const {told, repeated} = collectTold(progress.report.told, step.effects);
	if (repeated !== undefined) {
		return refuseLine(line, `arrival "${repeated}" is answered twice`);
	}

	return digestEffects(step.effects) === parsed.effects
		? succeed({state: step.state, report: {events: progress.report.events + 1, told}})
		: refuseLine(line, `event "${parsed.event.kind}" is decided otherwise than recorded`);
};

/**
Replays a trace.

@param text - The trace's lines.
@returns The report, or a fault that names the first line that does not fit.
*/
export const replayTrace = (text: string): Result<ReplayReport> => {
	const [first = '', ...rest] = text.split('\n').filter(line => line !== '');
	return rest
		.reduce<Result<Progress>>((progress, line, index) =>
			progress.andThen(current => parseLine(line, index + 2).andThen(parsed => replayLine(current, parsed, index + 2))), startReplay(first))
		.map(progress => progress.report);
};
