/** A queue of parts that leave in batches, a short while after the first of them. */
export type Outbox<Part, Batch> = Readonly<{
	push: (part: Part) => void;
	/** Ends the batches once what was pushed has left. */
	close: () => void;
	batches: AsyncIterable<Batch>;
}>;

/** Milliseconds between two batches: what comes sooner waits and shares a message. */
export const flushWindow = 15;

/**
Creates a queue whose reader takes everything that has gathered at once. The
reader's own pace is the backpressure: nothing is combined before it asks.

@param combine - Joins parts, oldest first, into one batch.
@returns The queue.
*/
export const createOutbox = <Part, Batch>(combine: (parts: readonly Part[]) => Batch): Outbox<Part, Batch> => {
	let parts: Part[] = [];
	let isClosed = false;
	let sentAt = 0;
	let wake: () => void = () => undefined;

	const waitForParts = async () => new Promise<void>(resolve => {
		wake = resolve;
		if (parts.length > 0 || isClosed) {
			resolve();
		}
	});

	/** A part that comes after a pause leaves at once. */
	const gather = async () => {
		const wait = sentAt + flushWindow - performance.now();
		if (wait > 0) {
			await new Promise<void>(resolve => {
				setTimeout(resolve, wait);
			});
		}
	};

	const takeBatch = (): Batch => {
		const taken = parts;
		parts = [];
		sentAt = performance.now();
		return combine(taken);
	};

	async function * readBatches(): AsyncGenerator<Batch> {
		for (;;) {
			await waitForParts();
			if (parts.length === 0 && isClosed) {
				return;
			}

			if (!isClosed) {
				await gather();
			}

			if (parts.length > 0) {
				yield takeBatch();
			}
		}
	}

	return {
		push(part) {
			parts.push(part);
			wake();
		},
		close() {
			isClosed = true;
			wake();
		},
		batches: readBatches(),
	};
};
