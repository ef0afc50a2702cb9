import {readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import {expect, test} from 'vitest';

/** Names of headers, paths, fields and variables in the platform's protocols, in lower case. */
const wireNames = [
	'attempt-id',
	'response-seal',
	'request-deadline-ms',
	'token-counts',
	'prompt-prefix',
	'expect-instance',
	'request-urgency',
	'not-executed',
	'replica-load',
	'replica-id',
	'weight-versions',
	'rows-tx',
	'rows-get',
	'rows-feed',
	'expectedrevision',
	'weightedservices',
	'targetlatencyms',
	String.raw`maxattempts:\s*z`,
	'gapaimms',
	'apikeys',
	'coldremainingms',
	'galenagauge_boot',
];

const listSources = (folder: string): readonly string[] => readdirSync(folder, {withFileTypes: true}).flatMap(entry => {
	const name = path.join(folder, entry.name);
	return entry.isDirectory() ? listSources(name) : [name];
}).filter(name => name.endsWith('.ts') && !name.endsWith('.test.ts'));

test('names of the platform\'s protocols are used in its folder only', () => {
	const pattern = new RegExp(wireNames.join('|'), 'iv');
	const outside = listSources('src').filter(name => !name.startsWith(path.join('src', 'platform')));
	expect(outside.length).toBeGreaterThan(100);
	expect(outside.filter(name => pattern.test(readFileSync(name, 'utf8')))).toEqual([]);
});
