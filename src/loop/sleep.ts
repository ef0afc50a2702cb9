/**
Waits. Only for code that performs I/O: pure handlers get the current time as a parameter.

@param milliseconds - The time to wait, in ms.
@returns A promise that resolves after that time.
*/
export const sleep = async (milliseconds: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, milliseconds);
});
