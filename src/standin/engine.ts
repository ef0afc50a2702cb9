import process from 'node:process';
import {createHash} from 'node:crypto';
import type {ServerResponse} from 'node:http';
import {
	createHttpServer, listen, readBody, sendJson,
} from '../server/index.js';
import type {Endpoint, Listening} from '../server/index.js';
import {
	addSequence, blockSize, emptyBatch, removeSequence, stepBatch,
} from './batch.js';
import type {Batch, EngineSize} from './batch.js';
import {createSwitchboard} from './faults.js';
import type {Switchboard} from './faults.js';

/** Faults of the stand-in engine. */
export type EngineFaults = Readonly<{
	/** Streams still to come that break off. */
	breakStreams: number;
	/** Tokens after which they break off. */
	breakAfter: number;
	/** Requests still to come that are answered with status 500. */
	fail: number;
	/** Factor on the time of each step. */
	slowness: number;
	/** True: no step is made, and nothing is answered. */
	isFrozen: boolean;
}>;

/** A running stand-in of a model engine. */
export type EngineStandin = Listening & Readonly<{
	faults: Switchboard<EngineFaults>;
	/** What the engine has done so far. */
	counts: () => Readonly<{started: number; cancelled: number; tokens: number; running: number; hits: number; lookups: number}>;
}>;

type EngineOptions = Readonly<{at: Endpoint; model: string; size: EngineSize}>;

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

type Job = Readonly<{
	id: number;
	text: (index: number) => string;
	first: number;
	total: number;
	promptTokens: number;
	body: ChatBody;
	response: ServerResponse;
	breakAt: number | undefined;
	sent: number;
}>;

const maxBody = 8_000_000; // Bytes
const wordsPerAnswer = 40;
const defaultMaxTokens = 256;

/** How fast a stand-in engine is unless it is told otherwise. */
export const defaultSize: EngineSize = {
	maxRunning: 32, stepBase: 4, stepPerSequence: 0.15, prefillPerStep: 2048, cacheBlocks: 4096,
};

const hash = (text: string): string => createHash('sha256').update(text).digest('hex');

const countTokens = (text: string): number => Math.max(1, Math.ceil(text.length / 4));

const listBlocks = (prompt: string): readonly string[] => {
	const size = blockSize * 4;
	const count = Math.floor(prompt.length / size);
	return Array.from({length: count}, (_, index) => hash(prompt.slice(0, (index + 1) * size)).slice(0, 16));
};

/** Splits a request into its prompt and the part of the answer that it resumes. */
const splitMessages = (body: ChatBody): Readonly<{prompt: string; prefix: string}> => {
	const last = body.messages.at(-1);
	const resumes = body.continue_final_message === true && last?.role === 'assistant';
	const asked = resumes ? body.messages.slice(0, -1) : body.messages;
	return {prompt: JSON.stringify(asked), prefix: resumes ? last.content : ''};
};

/**
Tells the whole answer that a stand-in engine gives: it depends on the messages
alone, so that a check can tell a cut or a foreign answer.

@param messages - The conversation.
@param cap - Output tokens at the most.
@returns The text.
*/
export const expectAnswer = (messages: readonly Message[], cap = defaultMaxTokens): string => {
	const prompt = JSON.stringify(messages);
	return Array.from({length: countAnswer(prompt, cap)}, (_, index) => writeWord(prompt, index)).join('');
};

const writeWord = (prompt: string, index: number): string => `${hash(prompt).slice(0, 8)}-${index}é `;

const countAnswer = (prompt: string, cap: number): number =>
	Math.min(cap, wordsPerAnswer + (Number.parseInt(hash(prompt).slice(8, 10), 16) % wordsPerAnswer));

const createJob = (id: number, body: ChatBody, response: ServerResponse, breakAt: number | undefined): Job => {
	const {prompt, prefix} = splitMessages(body);
	const cap = body.max_completion_tokens ?? body.max_tokens ?? defaultMaxTokens;
	const first = prefix.split(' ').length - 1;
	return {
		id,
		text: index => writeWord(prompt, index),
		first,
		total: Math.min(first + cap, countAnswer(prompt, first + cap)),
		promptTokens: countTokens(prompt) + first,
		body,
		response,
		breakAt,
		sent: 0,
	};
};

const describeUsage = (job: Job, sent: number) => ({
	prompt_tokens: job.promptTokens, completion_tokens: sent, total_tokens: job.promptTokens + sent,
});

const describeChunk = (job: Job, model: string, choices: unknown, usage: unknown = null) => ({
	id: `chatcmpl-${job.id}`, object: 'chat.completion.chunk', created: 0, model, choices, usage,
});

const writeEvent = (response: ServerResponse, value: unknown) => {
	response.write(`data: ${typeof value === 'string' ? value : JSON.stringify(value)}\n\n`);
};

/**
Starts a stand-in of a model engine that speaks the published chat-completions
format and batches continuously.

@param options - Where it listens, its model and its size.
@returns The running stand-in.
*/
export const startEngine = async (options: EngineOptions): Promise<EngineStandin> => {
	const faults = createSwitchboard<EngineFaults>({
		breakStreams: 0, breakAfter: 5, fail: 0, slowness: 1, isFrozen: false,
	});
	let batch: Batch = emptyBatch;
	let jobs: ReadonlyMap<number, Job> = new Map();
	let counts = {started: 0, cancelled: 0, tokens: 0};
	let nextId = 1;
	let isStepping = false;

	const drop = (id: number) => {
		batch = removeSequence(batch, id);
		jobs = new Map([...jobs].filter(([other]) => other !== id));
	};

	const finish = (job: Job) => {
		const usage = describeUsage(job, job.sent);
		const reason = job.first + job.sent >= countAnswer(splitMessages(job.body).prompt, Number.MAX_SAFE_INTEGER) ? 'stop' : 'length';
		if (job.body.stream === true) {
			writeEvent(job.response, describeChunk(job, options.model, [{index: 0, delta: {}, finish_reason: reason}]));
			if (job.body.stream_options?.include_usage === true) {
				writeEvent(job.response, describeChunk(job, options.model, [], usage));
			}

			writeEvent(job.response, '[DONE]');
			job.response.end();
		} else {
			const content = Array.from({length: job.sent}, (_, index) => job.text(job.first + index)).join('');
			sendJson(job.response, 200, {
				id: `chatcmpl-${job.id}`,
				object: 'chat.completion',
				created: 0,
				model: options.model,
				choices: [{index: 0, message: {role: 'assistant', content}, finish_reason: reason}],
				usage,
			});
		}

		drop(job.id);
	};

	const produce = (id: number) => {
		const job = jobs.get(id);
		if (job === undefined) {
			return;
		}

		if (job.sent === job.breakAt) {
			job.response.destroy();
			drop(id);
			return;
		}

		if (job.body.stream === true) {
			const delta = job.sent === 0 ? {role: 'assistant', content: job.text(job.first)} : {content: job.text(job.first + job.sent)};
			writeEvent(job.response, describeChunk(job, options.model, [{index: 0, delta, finish_reason: null}]));
		}

		const next = {...job, sent: job.sent + 1};
		counts = {...counts, tokens: counts.tokens + 1};
		jobs = new Map([...jobs, [id, next]]);
		if (next.first + next.sent >= next.total) {
			finish(next);
		}
	};

	const step = () => {
		if (jobs.size === 0) {
			isStepping = false;
			return;
		}

		isStepping = true;
		const {isFrozen, slowness} = faults.get();
		if (isFrozen) {
			setTimeout(step, 50);
			return;
		}

		const result = stepBatch(batch, options.size);
		batch = result.batch;
		setTimeout(() => {
			result.produced.forEach(id => {
				produce(id);
			});
			step();
		}, result.elapsed * slowness);
	};

	const accept = (body: ChatBody, response: ServerResponse) => {
		const id = nextId;
		nextId += 1;
		const {breakStreams, breakAfter} = faults.get();
		if (breakStreams > 0) {
			faults.set({breakStreams: breakStreams - 1});
		}

		const job = createJob(id, body, response, breakStreams > 0 ? breakAfter : undefined);
		counts = {...counts, started: counts.started + 1};
		jobs = new Map([...jobs, [id, job]]);
		batch = addSequence(batch, {
			id,
			priority: -(body.priority ?? 0),
			blocks: listBlocks(splitMessages(body).prompt),
			promptTokens: job.promptTokens,
			remaining: Math.max(1, job.total - job.first) + 1,
			prefill: 0,
		});
		if (body.stream === true) {
			response.writeHead(200, {'content-type': 'text/event-stream'});
			response.flushHeaders();
		}

		response.on('close', () => {
			if (jobs.has(id)) {
				counts = {...counts, cancelled: counts.cancelled + 1};
				drop(id);
			}
		});
		if (!isStepping) {
			step();
		}
	};

	const describeCounts = () => ({
		...counts, running: jobs.size, hits: batch.hits, lookups: batch.lookups,
	});

	const server = createHttpServer(async (request, response, url) => {
		if (await faults.serve(request, response, url)) {
			return;
		}

		if (url.pathname === '/_counts') {
			sendJson(response, 200, describeCounts());
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

		const raw = await readBody(request, maxBody);
		const body = JSON.parse(raw.unwrap().toString()) as ChatBody;
		const {fail} = faults.get();
		if (fail > 0) {
			faults.set({fail: fail - 1});
			sendJson(response, 500, {error: {message: 'engine failure', type: 'server_error'}});
			return;
		}

		accept(body, response);
	}, error => {
		process.stderr.write(`stand-in engine: ${String(error)}\n`);
	});
	const listening = await listen(server, options.at);
	return {
		...listening,
		faults,
		counts: describeCounts,
	};
};
