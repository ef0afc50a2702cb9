import process from 'node:process';
import sonicBoom from 'sonic-boom';
import {maxBacklogBytes, openBoundedLog} from './bounded.js';
import type {BoundedLog} from './bounded.js';
import type {Fields} from './line.js';

/**
Opens a bounded log on standard output. Write errors are ignored.

@param base - Fields that every line begins with, after its time and event.
@returns The log.
*/
export const openStdoutLog = (base: Fields): BoundedLog => {
	const output = new sonicBoom.SonicBoom({fd: process.stdout.fd, sync: false, maxLength: 2 * maxBacklogBytes});
	output.on('error', () => undefined);
	let backlogBytes = 0;
	output.on('write', (bytes: number) => {
		backlogBytes = Math.max(0, backlogBytes - bytes);
	});
	return openBoundedLog({
		write(line: string) {
			backlogBytes += line.length;
			return output.write(line);
		},
		backlog: () => backlogBytes,
	}, base);
};
