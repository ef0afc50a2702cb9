import process from 'node:process';
import sonicBoom from 'sonic-boom';
import {backlogLimit, openBoundedLog} from './bounded.js';
import type {BoundedLog} from './bounded.js';
import type {Fields} from './line.js';

/**
Opens a bounded log on standard output.

@param base - Fields of every line.
@returns The log.
*/
export const openOutputLog = (base: Fields): BoundedLog => {
	const output = new sonicBoom.SonicBoom({fd: process.stdout.fd, sync: false, maxLength: 2 * backlogLimit});
	output.on('error', () => undefined);
	let waiting = 0;
	output.on('write', (bytes: number) => {
		waiting = Math.max(0, waiting - bytes);
	});
	return openBoundedLog({
		write(line: string) {
			waiting += line.length;
			return output.write(line);
		},
		backlog: () => waiting,
	}, base);
};
