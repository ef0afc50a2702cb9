/**
Waits. Only for code that performs I/O: pure handlers get the current time as a parameter.

@param milliseconds - The time to wait, in ms.
@returns A promise that resolves after that time.
*/
export const sleep = async (milliseconds: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, milliseconds);
});

const pollIntervalMs = 50;

/**
Waits for a condition. Only for code that performs I/O.

@param isMet - Tells whether the condition is met.
@param timeoutMs - The longest time to wait, in ms.
@returns A promise that resolves when the condition is met or the time is over.
*/
export const waitUntil = async (isMet: () => boolean, timeoutMs: number): Promise<void> => {
	if (isMet() || timeoutMs <= 0) {
		return;
	}

	await sleep(pollIntervalMs);
	await waitUntil(isMet, timeoutMs - pollIntervalMs);
};
