/**
Starts a timer for something that arrives on a socket. If the process has stood still, timers fire before the sockets
are read that became ready meanwhile; this one expires only once they have been read.

@param expire - Called after the time, unless the timer is cancelled.
@param milliseconds - The time, in ms.
@returns A function that cancels the timer.
*/
export const startTimeout = (expire: () => void, milliseconds: number): (() => void) => {
	let immediate: NodeJS.Immediate | undefined;
	const timer = setTimeout(() => {
		immediate = setImmediate(expire);
	}, milliseconds);
	return () => {
		clearTimeout(timer);
		clearImmediate(immediate);
	};
};
