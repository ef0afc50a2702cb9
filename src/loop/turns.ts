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
Creates a queue of functions that run in order: at once while an iteration of the event loop is short, and the others for a time
slice in each iteration after its sockets have been polled.

@param sliceMs - The time slice, in ms.
@returns A function that runs a function, or adds it to the queue.
*/
export const createSliceQueue = (sliceMs: number): ((run: () => void) => void) => {
	const measureIteration = createIterationClock(() => performance.now());
	let waiting: Array<() => void> = [];
	const runSlice = () => {
		const start = performance.now();
		const batch = waiting;
		waiting = [];
		const lastIndex = batch.findIndex(run => {
			run();
			return performance.now() - start >= sliceMs;
		});
		waiting = lastIndex === -1 ? waiting : [...batch.slice(lastIndex + 1), ...waiting];
		if (waiting.length > 0) {
			setImmediate(runSlice);
		}
	};

	return run => {
		if (waiting.length === 0 && measureIteration() < maxIterationMs) {
			run();
			return;
		}

		waiting.push(run);
		if (waiting.length === 1) {
			setImmediate(runSlice);
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
