import {describe, expect, test} from 'vitest';
import {backlogLimit, lineLimits, openBoundedLog} from './bounded.js';

const openLog = () => {
	let lines: readonly string[] = [];
	let waiting = 0;
	const log = openBoundedLog({
		write(line: string) {
			lines = [...lines, line];
			return true;
		},
		backlog: () => waiting,
	}, {program: 'p'});
	return {
		log, lines: () => lines, count: (event: string) => lines.filter(line => line.includes(`event=${event} `)).length, hold(bytes: number) {
			waiting = bytes;
		},
	};
};

describe('a flood of lines', () => {
	test('is cut at the limit of its level, and says how many were left out', () => {
		const {log, lines, count} = openLog();
		Array.from({length: 5000}).forEach(() => {
			log.write('routine', 'sent', {call: 1});
		});
		log.write('failure', 'broken', {call: 2});
		expect(count('sent')).toBe(lineLimits.routine);
		expect(count('broken')).toBe(1);
		log.tick(1000);
		expect(lines().at(-1)).toContain(`routine=${5000 - lineLimits.routine} failures=0`);
		log.write('routine', 'sent', {call: 3});
		expect(lines().at(-1)).toContain('call=3');
	});

	test('that nobody reads does not pile up', () => {
		const {log, lines, hold} = openLog();
		hold(backlogLimit + 1);
		log.write('failure', 'broken', {call: 1});
		log.tick(1000);
		expect(lines()).toEqual([]);
		hold(0);
		log.tick(2000);
		expect(lines()).toHaveLength(1);
		expect(lines()[0]).toContain('failures=1');
	});
});
