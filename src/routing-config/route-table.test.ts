import {
	array, assert, constantFrom, integer, property,
} from 'fast-check';
import {expect, test} from 'vitest';
import type {Route} from './config.js';
import {createRouteTable, findLongestMatch, listRoutes} from './route-table.js';

const createRoute = (name: string, host: string, prefix: string): Route => ({
	name, host, prefix, kind: 'safe', timeout: 1000, targetMs: 100, priority: 0, services: [], maxAttempts: 1, isAnonymous: true, isResumable: false, eventGapTargetMs: undefined,
});

const table = createRouteTable([
	createRoute('all', 'h', '/'), createRoute('a', 'h', '/a/'), createRoute('ab', 'h', '/a/b/'), createRoute('hidden', 'h', '/a/'), createRoute('other', 'g', '/a/b/'),
]);

test.each([
	['h', '/a/b/c', 'ab'],
	['h', '/a/bc', 'a'],
	['h', '/a', 'all'],
	['h', '/', 'all'],
	['g', '/a/b/', 'other'],
	['g', '/a/', undefined],
	['f', '/a/b/', undefined],
])('at host %j, the path %j has the route %j', (host, path, name) => {
	expect(findLongestMatch(table, host, path)?.name).toBe(name);
});

test('of several routes with one prefix, the first counts', () => {
	expect(listRoutes(table).map(({name}) => name).toSorted()).toEqual(['a', 'ab', 'all', 'other']);
});

test('the route of any path is the first one with the longest prefix that begins it', () => {
	const paths = array(constantFrom('a', 'b'), {maxLength: 4}).map(parts => ['', ...parts, ''].join('/'));
	assert(property(array(paths, {maxLength: 8}), paths, integer({min: 0, max: 3}), (prefixes, path, cut) => {
		const routes = prefixes.map((prefix, index) => createRoute(String(index), 'h', prefix));
		const requested = path.slice(0, path.length - cut);
		const expected = routes.toSorted((a, b) => b.prefix.length - a.prefix.length).find(({prefix}) => requested.startsWith(prefix));
		expect(findLongestMatch(createRouteTable(routes), 'h', requested)).toBe(expected);
	}));
});
