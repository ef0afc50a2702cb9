import {readFileSync, readdirSync} from 'node:fs';
import path from 'node:path';
import {describe, expect, test} from 'vitest';
import {replayTrace} from './trace.js';

const files = readdirSync('traces').filter(file => file.endsWith('.jsonl'));
const read = (file: string) => readFileSync(path.join('traces', file), 'utf8');

const tamper = (text: string, line: number, change: (line: string) => string): string =>
	text.split('\n').map((each, index) => index === line - 1 ? change(each) : each).join('\n');

const describeFault = (text: string): string => {
	const replayed = replayTrace(text);
	return replayed.err ? replayed.val.detail : 'ok';
};

describe('replayTrace', () => {
	test.each(files)('reproduces the effects and outcomes recorded in %s', file => {
		const replayed = replayTrace(read(file));
		expect(replayed.err ? replayed.val.detail : 'ok').toBe('ok');
		expect(replayed.unwrap().events).toBeGreaterThan(20);
	});

	test('the repository contains a trace for each failure', () => {
		expect(files.toSorted()).toEqual(['agents-leave', 'calm', 'endpoint-breaks', 'lost-replies', 'operators-race', 'peer-dies', 'store-outage'].map(name => `${name}.jsonl`));
	});

	test('reports the line whose recorded effects were changed', () => {
		const text = read('calm.jsonl');
		const line = text.split('\n').findIndex(each => each.includes('"kind":"request-arrived"')) + 1;
		const tampered = tamper(text, line, each => each.replace(/"effects":"[^"]+"/v, '"effects":"AAAAAAAAAAAAAAAA"'));
		expect(describeFault(tampered)).toBe(`line ${line}: effects of event "request-arrived" differ from the recorded ones`);
	});

	test('reports the line from which the effects of a changed event differ', () => {
		const text = read('calm.jsonl');
		const line = text.split('\n').findIndex(each => each.includes('"kind":"request-arrived"')) + 1;
		expect(describeFault(tamper(text, line, each => each.replace(/"cap":\d+/v, '"cap":99999999')))).toMatch(/^line \d+: /v);
	});

	test('reports a recorded outcome that does not match', () => {
		const text = read('calm.jsonl');
		const line = text.trimEnd().split('\n').length;
		expect(describeFault(tamper(text, line, each => each.replace('"complete"', '"overloaded"')))).toMatch(new RegExp(String.raw`^line ${line}: arrival .*: expected outcome "overloaded"`, 'v'));
	});

	test('rejects other versions, and lines that are not JSON', () => {
		const text = read('calm.jsonl');
		expect(describeFault(tamper(text, 1, each => each.replace('"version":1', '"version":2')))).toBe('line 1: unsupported trace version, expected 1');
		expect(describeFault(tamper(text, 3, each => each.slice(0, 20)))).toBe('line 3: invalid JSON');
	});
});
