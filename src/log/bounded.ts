import type {Writable} from 'node:stream';
import {formatLine} from './line.js';
import type {Fields} from './line.js';

/** The severity of a line. `failure` lines have a rate limit of their own, so that a flood of `routine` lines never displaces them. */
export type Level = 'routine' | 'failure';

/** A log that limits its rate and its backlog, drops lines beyond them, and never blocks its caller. */
export type BoundedLog = Readonly<{
	write: (level: Level, event: string, fields: Fields) => void;
	/** To be called once a second: logs the number of dropped lines, and resets the rate limits. */
	tick: (now: number) => void;
}>;

/** Lines per second by level. At about 300 bytes per line, both levels together write at most 180 KB/s. */
export const maxLinesPerSecond: Readonly<Record<Level, number>> = {routine: 300, failure: 300};

/** Bytes that may be buffered for a slow reader, about half a second at the full rate; further lines are dropped. */
export const maxBacklogBytes = 100_000;

/** The output stream of a log. `backlog` returns the bytes that are buffered but not yet written. */
export type Destination = Pick<Writable, 'write'> & Readonly<{backlog: () => number}>;

/**
Opens a bounded log.

@param destination - The output stream; its `write` must not block.
@param base - Fields that every line begins with, after its time and event.
@returns The log.
*/
export const openBoundedLog = (destination: Destination, base: Fields): BoundedLog => {
	let written: Record<Level, number> = {routine: 0, failure: 0};
	let omitted: Record<Level, number> = {routine: 0, failure: 0};

	const writeLine = (event: string, fields: Fields) => {
		destination.write(`${formatLine({
			time: new Date().toISOString(), event, ...base, ...fields,
		})}\n`);
	};

	return {
		write(level, event, fields) {
			if (written[level] >= maxLinesPerSecond[level] || destination.backlog() > maxBacklogBytes) {
				omitted[level] += 1;
				return;
			}

			written[level] += 1;
			writeLine(event, fields);
		},
		tick() {
			if (omitted.routine + omitted.failure > 0 && destination.backlog() <= maxBacklogBytes) {
				writeLine('log-omitted', {routine: omitted.routine, failures: omitted.failure});
				omitted = {routine: 0, failure: 0};
			}

			written = {routine: 0, failure: 0};
		},
	};
};
