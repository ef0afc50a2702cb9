/** Largest response that is kept in memory until it is complete, in bytes. */
const maxResponseBytes = 8 * 1024 * 1024;

/** Bytes of all responses together that are kept in memory. */
const maxBufferedBytes = 32 * 1024 * 1024;

/** Size up to which a response is kept even if others use up the memory, in bytes. */
const smallResponseBytes = 64 * 1024;

/** Largest event of a stream, in bytes. */
const maxEventBytes = 1024 * 1024;

/**
Explains why a response cannot be kept in memory.

Load pattern: endpoints in trouble send bytes without end, in several responses at a
time. The sound responses beside them are smaller.

@param responseBytes - Bytes of the response so far.
@param countBuffered - Counts the bytes of all responses in memory, including this one.
@returns The reason; undefined if the response may go on.
*/
export const findBufferExcess = (responseBytes: number, countBuffered: () => number): string | undefined => {
	if (responseBytes > maxResponseBytes) {
		return `response is larger than ${maxResponseBytes} bytes`;
	}

	return responseBytes > smallResponseBytes && countBuffered() > maxBufferedBytes ? `responses in memory are larger than ${maxBufferedBytes} bytes` : undefined;
};

/**
Explains why a stream cannot go on.

@param eventBytes - Bytes of the event that is not complete yet.
@returns The reason; undefined if the stream may go on.
*/
export const findEventExcess = (eventBytes: number): string | undefined =>
	eventBytes > maxEventBytes ? `event is larger than ${maxEventBytes} bytes` : undefined;
