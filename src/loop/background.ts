/**
Starts an asynchronous operation without awaiting it.

@param work - The operation.
@param onError - Called if the operation fails; by default, failures are ignored.
*/
export const runInBackground = (work: () => Promise<unknown>, onError: (error: unknown) => void = () => undefined): void => {
	const run = async () => {
		try {
			await work();
		} catch (error) {
			onError(error);
		}
	};

	run(); // eslint-disable-line @typescript-eslint/no-floating-promises -- The only place where a promise is deliberately not awaited; its errors go to `onError`.
};

/**
Starts an operation that goes on until the process ends, without awaiting it. If it fails, the process ends: what it did would
otherwise stop in silence.

@param work - The operation.
*/
export const runForever = (work: () => Promise<unknown>): void => {
	runInBackground(work, error => {
		setImmediate(() => {
			throw error;
		});
	});
};
