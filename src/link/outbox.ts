/** A queue of parts that leave in batches, a short while after the first of them. */
export type Outbox<Part, Batch> = Readonly<{
	push: (part: Part) => void;
	/** Ends the batches once what was pushed has left. */
	close: () => void;
	batches: AsyncIterable<Batch>;
}>;

/** Milliseconds that a part waits for others to share its message. */
export const flushWindow = 4;

/**
Creates a queue whose reader takes everything that has gathered at once. The
reader's own pace is the backpressure: nothing is combined before it asks.

@param combine - Joins parts, oldest first, into one batch.
@returns The queue.
*/
export const createOutbox = <Part, Batch>(combine: (parts: readonly Part[]) => Batch): Outbox<Part, Batch> => {
	let parts: Part[] = [];
	let isClosed = false;
	let wake: () => void = () => undefined;

	const waitForParts = async () => new Promise<void>(resolve => {
		wake = resolve;
		if (parts.length > 0 || isClosed) {
			resolve();
		}
	});

	const gather = async () => new Promise<void>(resolve => {
		setTimeout(resolve, flushWindow);
	});

	const takeBatch = (): Batch => {
		const taken = parts;
		parts = [];
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
