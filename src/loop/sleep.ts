/**
Waits. For shells alone: decisions take the time as it comes in.

@param milliseconds - How long.
*/
export const sleep = async (milliseconds: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, milliseconds);
});
