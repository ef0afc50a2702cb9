import type {Log} from '../src/log/index.js';

/** A log that writes nothing. */
export const silentLog: Log = {
	event: () => undefined, warn: () => undefined, time: () => undefined, gauge: () => undefined, close: () => undefined,
};
