/** A queue of message parts that are sent in batches, shortly after the first part was added. */
export type BatchQueue<Part, Batch> = Readonly<{
	push: (part: Part) => void;
	/** Ends `batches` after the queued parts. */
	close: () => void;
	batches: AsyncIterable<Batch>;
}>;

/** Minimum time between two batches, in ms. Parts that arrive sooner are combined into one message. */
export const flushIntervalMs = 15;

/**
Creates a queue whose reader receives all queued parts as one batch. Parts are
combined only when the reader asks for the next batch, so that a slow reader
applies back-pressure.

@param combine - Combines parts, oldest first, into one batch.
@returns The queue.
*/
export const createBatchQueue = <Part, Batch>(combine: (parts: readonly Part[]) => Batch): BatchQueue<Part, Batch> => {
	let parts: Part[] = [];
	let isClosed = false;
	let lastBatchAt = 0;
	let resume: () => void = () => undefined;

	const waitForParts = async () => new Promise<void>(resolve => {
		resume = resolve;
		if (parts.length > 0 || isClosed) {
			resolve();
		}
	});

	/** Waits until the interval since the last batch has passed. A part that arrives after a pause is sent at once. */
	const waitForInterval = async () => {
		const waitMs = lastBatchAt + flushIntervalMs - performance.now();
		if (waitMs > 0) {
			await new Promise<void>(resolve => {
				setTimeout(resolve, waitMs);
			});
		}
	};

	const takeBatch = (): Batch => {
		const batch = parts;
		parts = [];
		lastBatchAt = performance.now();
		return combine(batch);
	};

	async function * readBatches(): AsyncGenerator<Batch> {
		for (;;) {
			await waitForParts();
			if (parts.length === 0 && isClosed) {
				return;
			}

			if (!isClosed) {
				await waitForInterval();
			}

			if (parts.length > 0) {
				yield takeBatch();
			}
		}
	}

	return {
		push(part) {
			parts.push(part);
			resume();
		},
		close() {
			isClosed = true;
			resume();
		},
		batches: readBatches(),
	};
};
