import {List, Map} from 'immutable';

/**
Timing model of an inference engine with continuous batching: each step generates
one token for every running sequence, and takes longer the more sequences run.
*/

/** A sequence that is being generated or waits in the queue. */
export type Sequence = Readonly<{
	id: number;
	priority: number;
	/** Hashes of the prompt's blocks, for lookups in the prefix cache. */
	blocks: readonly string[];
	promptTokens: number;
	/** Tokens still to be generated. */
	tokensLeft: number;
	/** Prompt tokens that are not prefilled yet. */
	prefillTokensLeft: number;
}>;

/** The engine's running batch, waiting queue and prefix cache. */
export type Batch = Readonly<{
	running: Map<number, Sequence>;
	waiting: List<Sequence>;
	/** Cached prompt blocks, each with the number of the step that last used it; the least recently used are evicted first. */
	cache: Map<string, number>;
	stepNumber: number;
	hits: number;
	lookups: number;
}>;

/** Speed and capacity of an engine. */
export type EngineProfile = Readonly<{
	/** Maximum number of sequences in the running batch. */
	maxRunning: number;
	/** Duration of a step with one sequence. */
	stepBaseMs: number;
	/** Time that each additional sequence adds to a step. */
	stepPerSequenceMs: number;
	/** Prompt tokens of each sequence that one step prefills. */
	prefillTokensPerStep: number;
	/** Capacity of the prefix cache, in blocks. */
	maxCacheBlocks: number;
}>;

/** Tokens in one block of the prefix cache. */
export const tokensPerBlock = 64;

/** The state of an idle engine with an empty cache. */
export const emptyBatch: Batch = {
	running: Map(), waiting: List(), cache: Map(), stepNumber: 0, hits: 0, lookups: 0,
};

const countCachedBlocks = (batch: Batch, blocks: readonly string[]): number => {
	const firstMiss = blocks.findIndex(block => !batch.cache.has(block));
	return firstMiss === -1 ? blocks.length : firstMiss;
};

const updateCache = (batch: Batch, blocks: readonly string[], profile: EngineProfile): Batch['cache'] => {
	const touched = blocks.reduce((cache, block) => cache.set(block, batch.stepNumber), batch.cache);
	const excess = touched.size - profile.maxCacheBlocks;
	if (excess <= 0) {
		return touched;
	}

	const oldest = touched.entrySeq().toArray().toSorted((a, b) => a[1] - b[1]).slice(0, excess).map(([block]) => block);
	return touched.deleteAll(oldest);
};

const startSequence = (batch: Batch, sequence: Sequence, profile: EngineProfile): Batch => {
	const cached = countCachedBlocks(batch, sequence.blocks);
	const prefillTokensLeft = Math.max(0, sequence.promptTokens - (cached * tokensPerBlock));
	return {
		...batch,
		running: batch.running.set(sequence.id, {...sequence, prefillTokensLeft}),
		cache: updateCache(batch, sequence.blocks, profile),
		hits: batch.hits + cached,
		lookups: batch.lookups + sequence.blocks.length,
	};
};

/** Moves waiting sequences into the running batch while there is room, highest priority first. */
const admitWaiting = (batch: Batch, profile: EngineProfile): Batch => {
	const room = profile.maxRunning - batch.running.size;
	const ordered = batch.waiting.sortBy(sequence => -sequence.priority);
	return ordered.take(Math.max(0, room)).reduce(
		(current, sequence) => startSequence(current, sequence, profile),
		{...batch, waiting: ordered.skip(Math.max(0, room))},
	);
};

/**
Adds a sequence to the waiting queue.

@param batch - The engine's state.
@param sequence - The sequence to add.
@returns The updated state.
*/
export const addSequence = (batch: Batch, sequence: Sequence): Batch => ({...batch, waiting: batch.waiting.push(sequence)});

/**
Removes a sequence from the running batch and from the waiting queue.

@param batch - The engine's state.
@param id - The id of the sequence.
@returns The updated state.
*/
export const removeSequence = (batch: Batch, id: number): Batch => ({
	...batch, running: batch.running.delete(id), waiting: batch.waiting.filter(sequence => sequence.id !== id),
});

/**
Simulates one step of the engine.

@param batch - The state before the step.
@param profile - The engine's speed and capacity.
@returns The state after the step, the ids of the sequences that got a token, and the step's duration in milliseconds.
*/
export const stepBatch = (batch: Batch, profile: EngineProfile): Readonly<{batch: Batch; producedIds: readonly number[]; elapsedMs: number}> => {
	const admitted = admitWaiting({...batch, stepNumber: batch.stepNumber + 1}, profile);
	const sequences = admitted.running.valueSeq().toArray();
	const producedIds = sequences.filter(sequence => sequence.prefillTokensLeft === 0).map(sequence => sequence.id);
	const running = admitted.running.map(sequence => sequence.prefillTokensLeft > 0
		? {...sequence, prefillTokensLeft: Math.max(0, sequence.prefillTokensLeft - profile.prefillTokensPerStep)}
		: {...sequence, tokensLeft: sequence.tokensLeft - 1});
	return {
		batch: {...admitted, running: running.filter(sequence => sequence.tokensLeft > 0)},
		producedIds,
		elapsedMs: profile.stepBaseMs + (profile.stepPerSequenceMs * Math.max(0, sequences.length - 1)),
	};
};
