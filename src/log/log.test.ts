import {describe, expect, test} from 'vitest';
import {maxBacklogBytes, maxLinesPerSecond, openBoundedLog} from './bounded.js';

const openLog = () => {
	let lines: readonly string[] = [];
	let backlogBytes = 0;
	const log = openBoundedLog({
		write(line: string) {
			lines = [...lines, line];
			return true;
		},
		backlog: () => backlogBytes,
	}, {program: 'p'});
	return {
		log, lines: () => lines, count: (event: string) => lines.filter(line => line.includes(`event=${event} `)).length, setBacklog(bytes: number) {
			backlogBytes = bytes;
		},
	};
};

describe('a flood of lines', () => {
	test('is dropped beyond the limit of its level, and the number of dropped lines is logged', () => {
		const {log, lines, count} = openLog();
		Array.from({length: 5000}).forEach(() => {
			log.write('routine', 'sent', {call: 1});
		});
		log.write('failure', 'broken', {call: 2});
		expect(count('sent')).toBe(maxLinesPerSecond.routine);
		expect(count('broken')).toBe(1);
		log.tick(1000);
		expect(lines().at(-1)).toContain(`routine=${5000 - maxLinesPerSecond.routine} failures=0`);
		log.write('routine', 'sent', {call: 3});
		expect(lines().at(-1)).toContain('call=3');
	});

	test('is dropped while the reader does not keep up', () => {
		const {log, lines, setBacklog} = openLog();
		setBacklog(maxBacklogBytes + 1);
		log.write('failure', 'broken', {call: 1});
		log.tick(1000);
		expect(lines()).toEqual([]);
		setBacklog(0);
		log.tick(2000);
		expect(lines()).toHaveLength(1);
		expect(lines()[0]).toContain('failures=1');
	});
});
