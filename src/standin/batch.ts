import {List, Map} from 'immutable';

/**
How an engine with continuous batching spends its time: one step gives a token
to each sequence that runs, and takes longer the more of them there are.
*/

/** A sequence that the engine generates. */
export type Sequence = Readonly<{
	id: number;
	priority: number;
	/** Blocks of the prompt, as hashes, for the prefix cache. */
	blocks: readonly string[];
	promptTokens: number;
	/** Tokens still to be generated. */
	remaining: number;
	/** Prompt tokens still to be read in. */
	prefill: number;
}>;

/** The engine's batch, queue and prefix cache. */
export type Batch = Readonly<{
	running: Map<number, Sequence>;
	waiting: List<Sequence>;
	/** Cached prompt blocks, least recently used first. */
	cache: Map<string, number>;
	clock: number;
	hits: number;
	lookups: number;
}>;

/** How fast an engine is and how much it holds. */
export type EngineSize = Readonly<{
	/** Sequences that run at once. */
	maxRunning: number;
	/** Milliseconds of a step with one sequence. */
	stepBase: number;
	/** Milliseconds that each further sequence adds to a step. */
	stepPerSequence: number;
	/** Prompt tokens read in a step. */
	prefillPerStep: number;
	/** Blocks that the prefix cache holds. */
	cacheBlocks: number;
}>;

/** Tokens in a block of the prefix cache. */
export const blockSize = 64;

/** An engine with nothing to do. */
export const emptyBatch: Batch = {
	running: Map(), waiting: List(), cache: Map(), clock: 0, hits: 0, lookups: 0,
};

const countCached = (batch: Batch, blocks: readonly string[]): number => {
	const firstMiss = blocks.findIndex(block => !batch.cache.has(block));
	return firstMiss === -1 ? blocks.length : firstMiss;
};

const touchCache = (batch: Batch, blocks: readonly string[], size: EngineSize): Batch['cache'] => {
	const touched = blocks.reduce((cache, block) => cache.set(block, batch.clock), batch.cache);
	const excess = touched.size - size.cacheBlocks;
	if (excess <= 0) {
		return touched;
	}

	const oldest = touched.entrySeq().toArray().toSorted((a, b) => a[1] - b[1]).slice(0, excess).map(([block]) => block);
	return touched.deleteAll(oldest);
};

const startSequence = (batch: Batch, sequence: Sequence, size: EngineSize): Batch => {
	const cached = countCached(batch, sequence.blocks);
	const prefill = Math.max(0, sequence.promptTokens - (cached * blockSize));
	return {
		...batch,
		running: batch.running.set(sequence.id, {...sequence, prefill}),
		cache: touchCache(batch, sequence.blocks, size),
		hits: batch.hits + cached,
		lookups: batch.lookups + sequence.blocks.length,
	};
};

/** Starts waiting sequences while there is room, those of greater priority first. */
const admit = (batch: Batch, size: EngineSize): Batch => {
	const room = size.maxRunning - batch.running.size;
	const ordered = batch.waiting.sortBy(sequence => -sequence.priority);
	return ordered.take(Math.max(0, room)).reduce(
		(current, sequence) => startSequence(current, sequence, size),
		{...batch, waiting: ordered.skip(Math.max(0, room))},
	);
};

/**
Adds a sequence to the queue.

@param batch - The engine's batch.
@param sequence - The sequence.
@returns The batch.
*/
export const addSequence = (batch: Batch, sequence: Sequence): Batch => ({...batch, waiting: batch.waiting.push(sequence)});

/**
Takes a sequence out, wherever it is.

@param batch - The engine's batch.
@param id - The sequence.
@returns The batch.
*/
export const removeSequence = (batch: Batch, id: number): Batch => ({
	...batch, running: batch.running.delete(id), waiting: batch.waiting.filter(sequence => sequence.id !== id),
});

/**
Performs one step of the engine.

@param batch - The batch before it.
@param size - The engine's size.
@returns The batch after it, the sequences that got a token, and how many milliseconds it took.
*/
export const stepBatch = (batch: Batch, size: EngineSize): Readonly<{batch: Batch; produced: readonly number[]; elapsed: number}> => {
	const admitted = admit({...batch, clock: batch.clock + 1}, size);
	const sequences = admitted.running.valueSeq().toArray();
	const produced = sequences.filter(sequence => sequence.prefill === 0).map(sequence => sequence.id);
	const running = admitted.running.map(sequence => sequence.prefill > 0
		? {...sequence, prefill: Math.max(0, sequence.prefill - size.prefillPerStep)}
		: {...sequence, remaining: sequence.remaining - 1});
	return {
		batch: {...admitted, running: running.filter(sequence => sequence.remaining > 0)},
		produced,
		elapsed: size.stepBase + (size.stepPerSequence * Math.max(0, sequences.length - 1)),
	};
};
