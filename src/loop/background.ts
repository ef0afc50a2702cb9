/**
Starts work that nobody waits for.

@param work - The work.
@param onError - Told if it fails; unless given, a failure means nothing.
*/
export const runInBackground = (work: () => Promise<unknown>, onError: (error: unknown) => void = () => undefined): void => {
	const run = async () => {
		try {
			await work();
		} catch (error) {
			onError(error);
		}
	};

	run(); // eslint-disable-line @typescript-eslint/no-floating-promises -- This is the one place where nothing waits.
};
