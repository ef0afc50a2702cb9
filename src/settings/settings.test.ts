import {describe, expect, test} from 'vitest';
import {agentSettings} from '../agent/settings.js';
import {parseConfigFile} from '../operator-client/config-file.js';
import {edgeSettings, listRegions} from '../edge/settings.js';
import {routerSettings} from '../router/settings.js';
import {parseSettings} from './settings.js';

const validSettings = `[router]
listen = 127.0.0.1:8080
control = 127.0.0.1:8081
data-centre = pl-central-1
hosts = http://127.0.0.1:8500

[table]
address = http://127.0.0.1:7400
timeout = 500ms
`;

const checkRouterSettings = (text: string) => parseSettings('r.ini', text, routerSettings);

const invalidSettings: ReadonlyArray<Readonly<{name: string; text: string; message: string}>> = [
	{name: 'an unknown key', text: validSettings.replace('[table]', 'colour = red\n\n[table]'), message: 'r.ini:7: [router] colour: is not known'},
	{name: 'an unknown section', text: `${validSettings}\n[extra]\na = 1\n`, message: 'r.ini:11: [extra]: is not known'},
	{name: 'an unknown unit', text: validSettings.replace('500ms', '500kg'), message: 'r.ini:9: [table] timeout: "500kg" needs'},
	{name: 'a number without a unit', text: validSettings.replace('500ms', '500'), message: 'r.ini:9: [table] timeout: "500" needs'},
	{name: 'a missing address', text: validSettings.replace('address = http://127.0.0.1:7400\n', ''), message: 'r.ini:7: [table] address: is missing'},
	{name: 'a host name instead of an IP address', text: validSettings.replace('127.0.0.1:8080', 'localhost:8080'), message: 'r.ini:2: [router] listen: must be an IP number'},
	{name: 'a host name in an HTTP address', text: validSettings.replace('http://127.0.0.1:7400', 'http://table:7400'), message: 'r.ini:8: [table] address: must be an HTTP address'},
	{name: 'a missing section', text: validSettings.slice(0, validSettings.indexOf('[table]')), message: 'r.ini: [table]: is missing'},
];

const validEdgeSettings = `[host]
name = front-1
address = 10.0.0.1
data-centre = pl-central-1
[listen]
callers = 10.0.0.1:1
ready = 10.0.0.1:2
metrics = 10.0.0.1:3
peers = 10.0.0.1:4
[store]
address = 10.0.0.9:1
relays = 10.0.0.2:5,10.0.0.3:5
[bounds]
grace = 8s
repeat-ratio = 0.2
repeat-slack = 54
`;

describe('the regions and bounds of cold endpoints in the edge settings', () => {
	test.each([
		['left out', '', {}, 1.5],
		['empty, as where a deployment has none', 'cold-over =\n[places]\nregion =\nzones =\n', {}, 1.5],
		['given', 'cold-over = 2\n[places]\nregion = east\nzones = {"pl-west-1":"west"}\n', {'pl-central-1': 'east', 'pl-west-1': 'west'}, 2],
	])('may be %s', (_, text, regions, over) => {
		const settings = parseSettings('e.ini', `${validEdgeSettings}${text}`, edgeSettings).unwrap();
		expect(listRegions(settings).toObject()).toEqual(regions);
		expect(settings.bounds['cold-over']).toBe(over);
	});
});

// Guards against a router that does not start because a bound of its deployment is a fraction.
test('the retry slack may be a fraction, and must not be empty', () => {
	const parse = (slack: string) => parseSettings('e.ini', validEdgeSettings.replace('= 54', `= ${slack}`), edgeSettings);
	expect(parse('44.5').unwrap().bounds['repeat-slack']).toBe(44.5);
	expect(parse('').err).toBe(true);
	expect(parse('-1').err).toBe(true);
});

// Guards against a router that does not start because of how its deployment states that the fleet is in use.
test.each([
	['[start]\ninitial = true\n', true], ['[start]\ninitial = false\n', false], ['[start]\ninitial =\n', true], ['', true],
])('the settings may say whether the whole fleet starts: %j', (text, expected) => {
	expect(parseSettings('e.ini', `${validEdgeSettings}${text}`, edgeSettings).unwrap().start.initial).toBe(expected);
});

describe('the relay list in the edge settings', () => {
	test.each([
		['has two addresses', validEdgeSettings, ['10.0.0.2', '10.0.0.3']],
		['is empty', validEdgeSettings.replace('10.0.0.2:5,10.0.0.3:5', ''), []],
		['is left out', validEdgeSettings.replace('relays = 10.0.0.2:5,10.0.0.3:5\n', ''), []],
	])('%s', (_, text, hosts) => {
		expect(parseSettings('e.ini', text, edgeSettings).unwrap().store.relays.map(relay => relay.host)).toEqual(hosts);
	});

	test('rejects a host name', () => {
		expect(parseSettings('e.ini', validEdgeSettings.replace('10.0.0.3:5', 'relay:5'), edgeSettings).val).toMatchObject({detail: expect.stringContaining('e.ini:12: [store] relays') as string});
	});
});

describe('parseSettings', () => {
	test('accepts valid settings and adds defaults', () => {
		expect(checkRouterSettings(validSettings).unwrap()).toMatchObject({table: {timeout: 500, name: 'galena'}, grants: {policy: 'newsvendor'}, limits: {headers: 16_384}});
	});

	test.each(invalidSettings)('reports section, key and line of $name', ({text, message}) => {
		const checked = checkRouterSettings(text);
		expect(checked.err).toBe(true);
		expect((checked.val as {detail: string}).detail).toContain(message);
	});

	test('rejects an agent of unknown kind', () => {
		const checked = parseSettings('a.ini', '[agent]\nlisten = 127.0.0.1:1\ndata-centre = x\npool = p\nkind = other\nendpoint = http://127.0.0.1:2\nhosts = http://127.0.0.1:3\n', agentSettings);
		expect((checked.val as {detail: string}).detail).toContain('a.ini:5: [agent] kind');
	});
});

describe('parseConfigFile', () => {
	const file = `[class.advice]
pool = models
kind = chat
first-token = 800ms

[organisation.studio]
keys = ${'a'.repeat(64)}
budget = studio
classes = advice
default-class = advice
`;

	test('parses classes and organisations', () => {
		expect(parseConfigFile('c.ini', file).unwrap()).toMatchObject({classes: {advice: {firstToken: 800, outputCap: 1024}}, organisations: {studio: {classes: ['advice']}}});
	});

	test('reports section, key and line of an invalid target', () => {
		const parsed = parseConfigFile('c.ini', file.replace('800ms', 'soon'));
		expect((parsed.val as {detail: string}).detail).toContain('c.ini:4: [class.advice] first-token: "soon" needs');
	});
});
