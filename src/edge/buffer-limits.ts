/** What is kept in memory until it is complete. */
export type BufferedKind = 'response' | 'event';

/** Largest size, in bytes. */
const maxBytes: Readonly<Record<BufferedKind, number>> = {response: 8 * 1024 * 1024, event: 1024 * 1024};

/** Bytes of memory that all responses and events together may take up. */
const maxBufferedBytes = 32 * 1024 * 1024;

/** Size up to which a response or event is kept even if others use up the memory, in bytes. */
export const smallBytes = 64 * 1024;

/**
Explains why a response or event cannot be kept in memory.

Load pattern: endpoints in trouble send bytes without end, in several responses at a
time. The sound responses beside them are smaller.

@param kind - What is kept.
@param bytes - Its bytes so far.
@param countBuffered - Counts the bytes of memory of all responses and events, including this one.
@returns The reason; undefined if it may go on.
*/
export const findBufferExcess = (kind: BufferedKind, bytes: number, countBuffered: () => number): string | undefined => {
	if (bytes > maxBytes[kind]) {
		return `${kind} is larger than ${maxBytes[kind]} bytes`;
	}

	return bytes > smallBytes && countBuffered() > maxBufferedBytes ? `responses and events in memory are larger than ${maxBufferedBytes} bytes` : undefined;
};
