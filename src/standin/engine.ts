import process from 'node:process';
import {createHash} from 'node:crypto';
import type {ServerResponse} from 'node:http';
import {
	createHttpServer, listen, readBody, sendJson,
} from '../server/index.js';
import type {SocketAddress, ListeningServer} from '../server/index.js';
import {
	addSequence, tokensPerBlock, emptyBatch, removeSequence, stepBatch,
} from './batch.js';
import type {Batch, EngineProfile} from './batch.js';
import {
	createFaultInjector, isCrashing, noCrashes, noRest, rejectForRest, simulateCrash,
} from './faults.js';
import type {CrashFaults, FaultInjector, RestFaults} from './faults.js';

/** Faults that the stand-in engine can inject. */
export type EngineFaults = CrashFaults & RestFaults & Readonly<{
	/** Number of upcoming requests whose connection is closed before the answer is complete. */
	breakStreams: number;
	/** Tokens generated for such a request before its connection is closed. */
	breakAfter: number;
	/** Number of upcoming requests that are answered with status 500. */
	fail: number;
	/** Factor by which the duration of each step is multiplied. */
	slowness: number;
	/** While true, no step runs: requests are accepted, but get no output. */
	isFrozen: boolean;
}>;

/** A running stand-in for an inference engine. */
export type EngineStandin = ListeningServer & Readonly<{
	faults: FaultInjector<EngineFaults>;
	/** Totals since the start, and the number of requests in progress. */
	counts: () => Readonly<{started: number; cancelled: number; tokens: number; running: number; hits: number; lookups: number}>;
}>;

type EngineOptions = Readonly<{at: SocketAddress; model: string; size: EngineProfile}>;

type Message = Readonly<{role: string; content: string}>;

type ChatBody = Readonly<{
	model: string;
	messages: readonly Message[];
	stream?: boolean;
	stream_options?: Readonly<{include_usage?: boolean}>;
	max_tokens?: number;
	max_completion_tokens?: number;
	priority?: number;
	continue_final_message?: boolean;
}>;

/** A request in progress and its answer. Token indexes count from the start of the complete answer. */
type Generation = Readonly<{
	id: number;
	getToken: (index: number) => string;
	/** Index of the first token to generate; greater than 0 if the request continues an answer. */
	startIndex: number;
	/** Index after the last token to generate. */
	endIndex: number;
	promptTokens: number;
	body: ChatBody;
	response: ServerResponse;
	/** Tokens after which the connection is closed; undefined for no fault. */
	breakAfterTokens: number | undefined;
	sentTokens: number;
}>;

const maxBodyBytes = 8_000_000;
const minAnswerTokens = 40;
const defaultMaxTokens = 256;

/** The default profile of a stand-in engine. */
export const defaultEngineProfile: EngineProfile = {
	maxRunning: 32, stepBaseMs: 4, stepPerSequenceMs: 0.15, prefillTokensPerStep: 2048, maxCacheBlocks: 4096,
};

const hashText = (text: string): string => createHash('sha256').update(text).digest('hex');

const countTokens = (text: string): number => Math.max(1, Math.ceil(text.length / 4));

const hashPromptBlocks = (prompt: string): readonly string[] => {
	const blockLength = tokensPerBlock * 4;
	const count = Math.floor(prompt.length / blockLength);
	return Array.from({length: count}, (_, index) => hashText(prompt.slice(0, (index + 1) * blockLength)).slice(0, 16));
};

/** Splits a request into its prompt and, if it continues an assistant message, the part of the answer already given. */
const splitMessages = (body: ChatBody): Readonly<{prompt: string; prefix: string}> => {
	const last = body.messages.at(-1);
	const isContinuation = body.continue_final_message === true && last?.role === 'assistant';
	const promptMessages = isContinuation ? body.messages.slice(0, -1) : body.messages;
	return {prompt: JSON.stringify(promptMessages), prefix: isContinuation ? last.content : ''};
};

/**
Computes the complete answer of a stand-in engine. The answer depends only on the
messages and the token limit, so that a check can detect a truncated answer or one
that belongs to another request.

@param messages - The conversation.
@param cap - Maximum number of output tokens.
@returns The text of the answer.
*/
export const computeExpectedAnswer = (messages: readonly Message[], cap = defaultMaxTokens): string => {
	const prompt = JSON.stringify(messages);
	return Array.from({length: countAnswerTokens(prompt, cap)}, (_, index) => generateToken(prompt, index)).join('');
};

const generateToken = (prompt: string, index: number): string => `${hashText(prompt).slice(0, 8)}-${index}é `;

const countAnswerTokens = (prompt: string, cap: number): number =>
	Math.min(cap, minAnswerTokens + (Number.parseInt(hashText(prompt).slice(8, 10), 16) % minAnswerTokens));

const createGeneration = (id: number, body: ChatBody, response: ServerResponse, breakAfterTokens: number | undefined): Generation => {
	const {prompt, prefix} = splitMessages(body);
	const cap = body.max_completion_tokens ?? body.max_tokens ?? defaultMaxTokens;
	const startIndex = prefix.split(' ').length - 1;
	return {
		id,
		getToken: index => generateToken(prompt, index),
		startIndex,
		endIndex: Math.min(startIndex + cap, countAnswerTokens(prompt, startIndex + cap)),
		promptTokens: countTokens(prompt) + startIndex,
		body,
		response,
		breakAfterTokens,
		sentTokens: 0,
	};
};

const buildUsage = (generation: Generation, sent: number) => ({
	prompt_tokens: generation.promptTokens, completion_tokens: sent, total_tokens: generation.promptTokens + sent,
});

const buildChunk = (generation: Generation, model: string, choices: unknown, usage: unknown = null) => ({
	id: `chatcmpl-${generation.id}`, object: 'chat.completion.chunk', created: 0, model, choices, usage,
});

const writeEvent = (response: ServerResponse, value: unknown) => {
	response.write(`data: ${typeof value === 'string' ? value : JSON.stringify(value)}\n\n`);
};

/**
Starts a stand-in for an inference engine that implements the published
chat-completions format and simulates continuous batching.

@param options - The listening address, the model name and the engine's profile.
@returns The running stand-in.
*/
export const startEngine = async (options: EngineOptions): Promise<EngineStandin> => {
	const faults = createFaultInjector<EngineFaults>({
		breakStreams: 0, breakAfter: 5, fail: 0, slowness: 1, isFrozen: false, ...noCrashes, ...noRest,
	});
	let batch: Batch = emptyBatch;
	let generations: ReadonlyMap<number, Generation> = new Map();
	let counts = {started: 0, cancelled: 0, tokens: 0};
	let nextId = 1;
	let isStepping = false;

	const removeGeneration = (id: number) => {
		batch = removeSequence(batch, id);
		generations = new Map([...generations].filter(([other]) => other !== id));
	};

	const finishGeneration = (generation: Generation) => {
		const usage = buildUsage(generation, generation.sentTokens);
		const reason = generation.startIndex + generation.sentTokens >= countAnswerTokens(splitMessages(generation.body).prompt, Number.MAX_SAFE_INTEGER) ? 'stop' : 'length';
		if (generation.body.stream === true) {
			writeEvent(generation.response, buildChunk(generation, options.model, [{index: 0, delta: {}, finish_reason: reason}]));
			if (generation.body.stream_options?.include_usage === true) {
				writeEvent(generation.response, buildChunk(generation, options.model, [], usage));
			}

			writeEvent(generation.response, '[DONE]');
			generation.response.end();
		} else {
			const content = Array.from({length: generation.sentTokens}, (_, index) => generation.getToken(generation.startIndex + index)).join('');
			sendJson(generation.response, 200, {
				id: `chatcmpl-${generation.id}`,
				object: 'chat.completion',
				created: 0,
				model: options.model,
				choices: [{index: 0, message: {role: 'assistant', content}, finish_reason: reason}],
				usage,
			});
		}

		removeGeneration(generation.id);
	};

	const emitToken = (id: number) => {
		const generation = generations.get(id);
		if (generation === undefined) {
			return;
		}

		if (generation.sentTokens === generation.breakAfterTokens) {
			generation.response.destroy();
			removeGeneration(id);
			return;
		}

		if (generation.body.stream === true) {
			const delta = generation.sentTokens === 0
				? {role: 'assistant', content: generation.getToken(generation.startIndex)}
				: {content: generation.getToken(generation.startIndex + generation.sentTokens)};
			writeEvent(generation.response, buildChunk(generation, options.model, [{index: 0, delta, finish_reason: null}]));
		}

		const next = {...generation, sentTokens: generation.sentTokens + 1};
		counts = {...counts, tokens: counts.tokens + 1};
		generations = new Map([...generations, [id, next]]);
		if (next.startIndex + next.sentTokens >= next.endIndex) {
			finishGeneration(next);
		}
	};

	const runStep = () => {
		if (generations.size === 0) {
			isStepping = false;
			return;
		}

		isStepping = true;
		const {isFrozen, slowness} = faults.get();
		if (isFrozen) {
			setTimeout(runStep, 50);
			return;
		}

		const result = stepBatch(batch, options.size);
		batch = result.batch;
		setTimeout(() => {
			result.producedIds.forEach(id => {
				emitToken(id);
			});
			runStep();
		}, result.elapsedMs * slowness);
	};

	const startGeneration = (body: ChatBody, response: ServerResponse) => {
		const id = nextId;
		nextId += 1;
		const {breakStreams, breakAfter} = faults.get();
		if (breakStreams > 0) {
			faults.set({breakStreams: breakStreams - 1});
		}

		const generation = createGeneration(id, body, response, breakStreams > 0 ? breakAfter : undefined);
		counts = {...counts, started: counts.started + 1};
		generations = new Map([...generations, [id, generation]]);
		batch = addSequence(batch, {
			id,
			priority: -(body.priority ?? 0),
			blocks: hashPromptBlocks(splitMessages(body).prompt),
			promptTokens: generation.promptTokens,
			tokensLeft: Math.max(1, generation.endIndex - generation.startIndex) + 1,
			prefillTokensLeft: 0,
		});
		if (body.stream === true) {
			response.writeHead(200, {'content-type': 'text/event-stream'});
			response.flushHeaders();
		}

		response.on('close', () => {
			if (generations.has(id)) {
				counts = {...counts, cancelled: counts.cancelled + 1};
				removeGeneration(id);
			}
		});
		if (!isStepping) {
			runStep();
		}
	};

	const readCounts = () => ({
		...counts, running: generations.size, hits: batch.hits, lookups: batch.lookups,
	});

	const server = createHttpServer(async (request, response, url) => {
		if (await faults.serve(request, response, url)) {
			return;
		}

		if (url.pathname === '/_counts') {
			sendJson(response, 200, readCounts());
			return;
		}

		if (url.pathname === '/v1/models') {
			sendJson(response, 200, {
				object: 'list', data: [{
					id: options.model, object: 'model', created: 0, owned_by: 'standin',
				}],
			});
			return;
		}

		const rawBody = await readBody(request, maxBodyBytes);
		const body = JSON.parse(rawBody.unwrap().toString()) as ChatBody;
		if (rejectForRest(faults, response)) {
			return;
		}

		const {fail} = faults.get();
		if (fail > 0) {
			faults.set({fail: fail - 1});
			sendJson(response, 500, {error: {message: 'engine failure', type: 'server_error'}});
			return;
		}

		if (isCrashing(faults.get(), url.pathname, rawBody.unwrap().toString())) {
			simulateCrash(server, faults.get().downMs);
			return;
		}

		startGeneration(body, response);
	}, error => {
		process.stderr.write(`stand-in engine: ${String(error)}\n`);
	});
	const listening = await listen(server, options.at);
	return {
		...listening,
		faults,
		counts: readCounts,
	};
};
