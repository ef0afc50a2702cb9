/** Time spent on queued work in an iteration of the event loop, in ms. Node.js accepts one connection in each, so this keeps more than a hundred connections a second under full load. */
export const workSliceMs = 3;

/** Time from which an iteration of the event loop is long, in ms: what else comes is left until the sockets have been polled. */
export const maxIterationMs = 10;

/**
Creates a clock of the current iteration of the event loop.

@param clock - The current time in ms.
@returns A function that returns the time since its first call in this iteration, in ms.
*/
export const createIterationClock = (clock: () => number): (() => number) => {
	let startedAt: number | undefined;
	return () => {
		const now = clock();
		if (startedAt === undefined) {
			startedAt = now;
			setImmediate(() => {
				startedAt = undefined;
			});
		}

		return now - startedAt;
	};
};

/**
Handles items in order until a time slice is used up.

@param items - The items.
@param handle - Handles an item.
@param isUsedUp - Tells after each item whether the slice is used up.
@returns The items that are left.
*/
export const handleSlice = <Item>(items: readonly Item[], handle: (item: Item) => void, isUsedUp: () => boolean): readonly Item[] => {
	const lastIndex = items.findIndex(item => {
		handle(item);
		return isUsedUp();
	});
	return lastIndex === -1 ? [] : items.slice(lastIndex + 1);
};

/**
Creates a queue of functions that run in order: at once while an iteration of the event loop is short, and the others for a time
slice in each iteration after its sockets have been polled.

@returns A function that runs a function, or adds it to the queue.
*/
export const createSliceQueue = (): ((run: () => void) => void) => {
	const measureIteration = createIterationClock(() => performance.now());
	let waiting: Array<() => void> = [];
	let isScheduled = false;
	const schedule = () => {
		isScheduled = true;
		setImmediate(() => {
			const start = performance.now();
			const batch = waiting;
			waiting = [];
			const left = handleSlice(batch, each => {
				each();
			}, () => performance.now() - start >= workSliceMs);
			waiting = [...left, ...waiting];
			isScheduled = false;
			if (waiting.length > 0) {
				schedule();
			}
		});
	};

	return run => {
		if (!isScheduled && measureIteration() < maxIterationMs) {
			run();
			return;
		}

		waiting.push(run);
		if (!isScheduled) {
			schedule();
		}
	};
};

/**
Creates a queue of functions that run one in each iteration of the event loop, in order. Sockets and timers are served between
any two of them.

@returns A function that adds a function to the queue.
*/
export const createTurnQueue = (): ((run: () => void) => void) => {
	const waiting: Array<() => void> = [];
	const runNext = () => {
		// Stays in the queue while it runs, so that what it adds schedules no second run.
		waiting[0]?.();
		waiting.shift();
		if (waiting.length > 0) {
			setImmediate(runNext);
		}
	};

	return run => {
		waiting.push(run);
		if (waiting.length === 1) {
			setImmediate(runNext);
		}
	};
};
