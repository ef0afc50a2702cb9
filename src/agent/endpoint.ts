import {Buffer} from 'node:buffer';
import {createParser} from 'eventsource-parser';
import {Agent as HttpAgent, request as httpRequest} from 'undici';
import type {AttemptOutcome} from '../attempt/index.js';
import type {Credit} from '../link/index.js';
import {
	boundPrompt, hasChoices, prepareChat, readUsage,
} from './chat.js';
import type {Usage} from './chat.js';

/** What an endpoint is asked to do. */
export type Work = Readonly<{
	path: string;
	method: string;
	contentType: string;
	body: Uint8Array;
	isChat: boolean;
	isStream: boolean;
	isAct: boolean;
	outputCap: number;
	priority: number;
	/** The most that the work may cost, in tokens. */
	cap: number;
	/** Milliseconds until nobody waits any more. */
	remaining: number;
}>;

/** How an endpoint's work ended. */
export type WorkEnd = Readonly<{
	outcome: AttemptOutcome;
	tokens: number;
	status: number;
	contentType: string;
	/** Parts that were handed on. */
	parts: number;
	/** The whole answer of an act. */
	body: Uint8Array | undefined;
	isUsageStated: boolean;
}>;

/** Where an endpoint's answer goes. */
export type Sink = Readonly<{
	push: (data: Uint8Array) => void;
	credit: Credit;
	signal: AbortSignal;
}>;

/** An endpoint's door: the one place that calls it. */
export type EndpointClient = Readonly<{
	run: (work: Work, sink: Sink) => Promise<WorkEnd>;
	listModels: () => Promise<readonly string[]>;
	close: () => Promise<void>;
}>;

const partSize = 64 * 1024; // Bytes
const maxAnswer = 16 * 1024 * 1024; // Bytes
const connectTimeout = 2000; // Milliseconds
const graceForActs = 300_000; // Milliseconds: an act is not cut off when its caller's time is up
const unsentCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

const describeEnd = (outcome: AttemptOutcome, fields: Partial<WorkEnd> = {}): WorkEnd => ({
	outcome, tokens: 0, status: 0, contentType: '', parts: 0, body: undefined, isUsageStated: false, ...fields,
});

const readCode = (error: unknown): string => (error as {code?: string}).code ?? '';

/** Tells what a failed call means: certain only if no connection was made. */
const describeFailure = (work: Work, sink: Sink, error: unknown): AttemptOutcome => {
	if (unsentCodes.has(readCode(error))) {
		return 'not-run';
	}

	if (work.isAct) {
		return 'unknown';
	}

	return sink.signal.aborted ? 'cancelled' : 'failed';
};

type Tally = Readonly<{parts: number; generated: number; usage: Usage | undefined; isDone: boolean}>;

const countTokens = (work: Work, tally: Tally): number => Math.min(work.cap, tally.usage === undefined
	? (tally.generated === 0 ? 0 : boundPrompt(work.body) + tally.generated)
	: tally.usage.prompt + tally.usage.output);

const parseJson = (text: string): unknown => {
	try {
		return JSON.parse(text) as unknown;
	} catch {
		return undefined;
	}
};

/** Takes in one event of the engine's stream; only what the caller asked for is handed on. */
const countEvent = (tally: Tally, data: string, wantsUsage: boolean): Readonly<{tally: Tally; isPassed: boolean}> => {
	if (data === '[DONE]') {
		return {tally: {...tally, isDone: true}, isPassed: false};
	}

	const value = parseJson(data);
	const isPassed = hasChoices(value) || wantsUsage;
	return {
		tally: {
			...tally,
			usage: readUsage(value) ?? tally.usage,
			generated: tally.generated + (hasChoices(value) ? 1 : 0),
			parts: tally.parts + (isPassed ? 1 : 0),
		},
		isPassed,
	};
};

type Body = AsyncIterable<Buffer>;

const passStream = async (work: Work, sink: Sink, body: Body, wantsUsage: boolean): Promise<WorkEnd> => {
	const decoder = new TextDecoder();
	let tally: Tally = {
		parts: 0, generated: 0, usage: undefined, isDone: false,
	};
	let waiting: string[] = [];
	const parser = createParser({
		onEvent(event) {
			waiting.push(event.data);
		},
	});

	const describe = (outcome: AttemptOutcome): WorkEnd => describeEnd(outcome, {
		tokens: countTokens(work, tally), status: 200, contentType: 'text/event-stream', parts: tally.parts, isUsageStated: tally.usage !== undefined,
	});

	try {
		for await (const part of body) {
			parser.feed(decoder.decode(part, {stream: true}));
			const events = waiting;
			waiting = [];
			for (const data of events) {
				const counted = countEvent(tally, data, wantsUsage);
				tally = counted.tally;
				if (counted.isPassed) {
					const bytes = Buffer.from(data);
					await sink.credit.take(bytes.byteLength);
					sink.push(bytes);
				}
			}

			// An engine that does not keep to the cap is cut off.
			if (tally.generated > work.outputCap + 8) {
				return describe('failed');
			}
		}
	} catch {
		return describe(sink.signal.aborted ? 'cancelled' : 'failed');
	}

	return describe(tally.isDone ? 'done' : 'failed');
};

const readWhole = async (body: Body): Promise<Buffer> => {
	const parts: Buffer[] = [];
	let size = 0;
	for await (const part of body) {
		size += part.byteLength;
		if (size > maxAnswer) {
			throw new Error(`answer exceeds ${maxAnswer} bytes`);
		}

		parts.push(part);
	}

	return Buffer.concat(parts);
};

const splitParts = (body: Buffer): readonly Buffer[] =>
	Array.from({length: Math.ceil(body.byteLength / partSize)}, (_, index) => body.subarray(index * partSize, (index + 1) * partSize));

const isRetriable = (work: Work, status: number): boolean => !work.isAct && (status >= 500 || status === 429);

const passWhole = async (work: Work, sink: Sink, head: Readonly<{status: number; contentType: string}>, stream: Body): Promise<WorkEnd> => {
	const body = await readWhole(stream);
	if (isRetriable(work, head.status)) {
		return describeEnd('failed', head);
	}

	const parts = splitParts(body);
	for (const part of parts) {
		await sink.credit.take(part.byteLength);
		sink.push(part);
	}

	const usage = work.isChat ? readUsage(parseJson(body.toString('utf8'))) : undefined;
	const isCharged = !work.isChat || head.status < 400;
	const counted = work.isChat ? boundPrompt(work.body) + work.outputCap : work.cap;
	return describeEnd('done', {
		...head,
		parts: parts.length,
		tokens: isCharged ? Math.min(work.cap, usage === undefined ? counted : usage.prompt + usage.output) : 0,
		body: work.isAct ? body : undefined,
		isUsageStated: usage !== undefined,
	});
};

/**
Opens the door to an endpoint.

@param endpointAddress - For example `http://127.0.0.1:9000`.
@param maxConnections - Connections at the most.
@returns The client.
*/
export const openEndpoint = (endpointAddress: string, maxConnections: number): EndpointClient => {
	const dispatcher = new HttpAgent({connections: maxConnections, connect: {timeout: connectTimeout}, pipelining: 1});

	const call = async (work: Work, sink: Sink): Promise<WorkEnd> => {
		const chat = work.isChat ? prepareChat(work.body, work) : undefined;
		const timeout = work.isAct ? graceForActs : work.remaining;
		const response = await httpRequest(`${endpointAddress}${work.path}`, {
			method: work.method,
			dispatcher,
			headers: work.contentType === '' ? {} : {'content-type': work.contentType},
			// A body on GET would be refused.
			...(work.method !== 'GET' && {body: chat?.body ?? Buffer.from(work.body)}),
			headersTimeout: timeout,
			bodyTimeout: timeout,
			signal: sink.signal,
			// Work that must not be repeated is never sent twice by the client library.
			idempotent: false,
		});
		const head = {status: response.statusCode, contentType: String(response.headers['content-type'] ?? 'application/octet-stream')};
		return work.isStream && head.status === 200
			? passStream(work, sink, response.body, chat?.wantsUsage ?? false)
			: passWhole(work, sink, head, response.body);
	};

	return {
		async run(work, sink) {
			try {
				return await call(work, sink);
			} catch (error) {
				return describeEnd(describeFailure(work, sink, error));
			}
		},
		async listModels() {
			const response = await httpRequest(`${endpointAddress}/v1/models`, {dispatcher, headersTimeout: connectTimeout});
			const body = await response.body.json() as {data?: ReadonlyArray<Readonly<{id: string}>>};
			return (body.data ?? []).map(model => model.id);
		},
		async close() {
			await dispatcher.destroy();
		},
	};
};
