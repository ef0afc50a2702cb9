import type {Writable} from 'node:stream';
import {formatLine} from './line.js';
import type {Fields} from './line.js';

/** How important a line is: `failure` lines have an allowance of their own, so that routine ones never crowd them out. */
export type Level = 'routine' | 'failure';

/** A log whose volume is bounded and which never makes its caller wait. */
export type BoundedLog = Readonly<{
	write: (level: Level, event: string, fields: Fields) => void;
	/** Begins the next second: writes how many lines the last one left out. */
	tick: (now: number) => void;
}>;

/** Lines a second, by level: with about 300 bytes a line, at most 180 KB/s. */
export const lineLimits: Readonly<Record<Level, number>> = {routine: 300, failure: 300};

/** Bytes that may wait for a slow reader; more than that is left out. Half a second at the full rate. */
export const backlogLimit = 100_000;

/** What the log needs of its destination. */
export type Destination = Pick<Writable, 'write'> & Readonly<{backlog: () => number}>;

/**
Opens a bounded log.

@param destination - Where lines go; its `write` must not block.
@param base - Fields of every line.
@returns The log.
*/
export const openBoundedLog = (destination: Destination, base: Fields): BoundedLog => {
	let written: Record<Level, number> = {routine: 0, failure: 0};
	let omitted: Record<Level, number> = {routine: 0, failure: 0};

	const put = (event: string, fields: Fields) => {
		destination.write(`${formatLine({
			time: new Date().toISOString(), event, ...base, ...fields,
		})}\n`);
	};

	return {
		write(level, event, fields) {
			if (written[level] >= lineLimits[level] || destination.backlog() > backlogLimit) {
				omitted[level] += 1;
				return;
			}

			written[level] += 1;
			put(event, fields);
		},
		tick() {
			if (omitted.routine + omitted.failure > 0 && destination.backlog() <= backlogLimit) {
				put('log-omitted', {routine: omitted.routine, failures: omitted.failure});
				omitted = {routine: 0, failure: 0};
			}

			written = {routine: 0, failure: 0};
		},
	};
};
