import {
	mkdtempSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {Map} from 'immutable';
import {describe, expect, test} from 'vitest';
import type {RouterBounds} from '../config-check/index.js';
import {decodeRoutingConfig} from '../platform/index.js';
import {checkConfigFile, checkConfigText} from './check-config.js';

const route = {
	name: 'r1', host: 'shop.example', prefix: '/a/', kind: 'streaming', timeoutMs: 4000, targetLatencyMs: 500, priority: 0,
	weightedServices: [{service: 's1', weight: 90}, {service: 's2', weight: 10}], maxAttempts: 2, resumable: true, gapAimMs: 250,
};
const service = {name: 's1', maxConnections: 100, engine: {slots: 8, kvCapacity: 1000, stride: 4}};
const tenant = {
	name: 'o1', apiKeys: ['key-1'], priority: 1, prepaid: 5000,
};
const limits = {
	maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
};

type Fields = Readonly<Record<string, unknown>>;

/** Builds a configuration without a fault, but for the changed fields of its parts, and further entries. */
const buildConfig = (changed: Readonly<{
	route?: Fields; service?: Fields; tenant?: Fields; limits?: Fields; whole?: Fields;
	routes?: readonly Fields[]; services?: readonly Fields[]; tenants?: readonly Fields[];
}> = {}): string => JSON.stringify({
	version: 7,
	routes: [{...route, ...changed.route}, ...(changed.routes ?? [])],
	services: [{...service, ...changed.service}, {name: 's2', maxConnections: 10}, ...(changed.services ?? [])],
	limits: {...limits, ...changed.limits},
	tenants: [{...tenant, ...changed.tenant}, ...(changed.tenants ?? [])],
	...changed.whole,
});

const bounds: RouterBounds = {retries: {ratio: 0.2, slack: 50}, regions: Map({z1: 'north', z2: 'south'})};

const listPaths = (text: string, routerBounds = bounds): readonly string[] => {
	const checked = checkConfigText('config.json', text, routerBounds);
	return checked.err ? checked.val.map(({detail}) => detail.split(': ', 1)[0]!) : checked.val.warnings.map(warning => warning.path);
};

test('a configuration without a fault has no findings', () => {
	expect(listPaths(buildConfig())).toEqual([]);
});

// What routers refuse: the check names the same fault first, in the same words.
test.each<[string, string]>([
	['configuration', '{"version": 7,'],
	['version', buildConfig({whole: {version: undefined}})],
	['routes', buildConfig({whole: {routes: {}}})],
	['routes.0.host', buildConfig({route: {host: 1}})],
	['routes.0.kind', buildConfig({route: {kind: 'sometimes'}})],
	['routes.0.timeoutMs', buildConfig({route: {timeoutMs: '4 s'}})],
	['routes.0.weightedServices.1.weight', buildConfig({route: {weightedServices: [{service: 's1', weight: 1}, {service: 's2'}]}})],
	['services.0.engine.slots', buildConfig({service: {engine: {...service.engine, slots: null}}})],
	['limits.idleTimeoutMs', buildConfig({limits: {idleTimeoutMs: undefined}})],
	['tenants.0.apiKeys', buildConfig({tenant: {apiKeys: 'key-1'}})],
	['tenants.0.prepaid', buildConfig({tenant: {prepaid: '5000'}})],
])('%s is named by the check and by the routers', (field, text) => {
	const checked = checkConfigText('config.json', text, bounds);
	const refused = decodeRoutingConfig(text);
	expect(checked.err && checked.val[0]?.detail.split(': ', 1)[0]).toBe(field);
	expect(checked.err && checked.val[0]).toEqual(refused.val);
});

// What routers accept, and has no effect or not the one that was meant.
test.each<[string, string, RouterBounds?]>([
	['routes.r1.host', buildConfig({route: {host: 'shop.example:8080'}})],
	['routes.r1.prefix', buildConfig({route: {prefix: 'a/'}})],
	['routes.r1.prefix', buildConfig({route: {prefix: '/a?b=1/'}})],
	['routes.r1.prefix', buildConfig({route: {prefix: '/a'}})],
	['routes.r2.prefix', buildConfig({routes: [{...route, name: 'r2', host: 'Shop.example'}]})],
	['routes.r1.timeoutMs', buildConfig({route: {timeoutMs: 16_000}})],
	['routes.r1.targetLatencyMs', buildConfig({route: {targetLatencyMs: 4001}})],
	['routes.r1.gapAimMs', buildConfig({route: {kind: 'safe', resumable: false}})],
	['routes.r1.gapAimMs', buildConfig({route: {gapAimMs: 4001}})],
	['routes.r1.resumable', buildConfig({route: {kind: 'safe', gapAimMs: undefined}})],
	['routes.r1.service', buildConfig({route: {weightedServices: [{service: 's1', weight: 1}, {service: 's2', weight: 0}]}})],
	['routes.r1.service', buildConfig({route: {weightedServices: [{service: 's1', weight: 1}, {service: 's2', weight: 1}, {service: 's3', weight: 1}]}})],
	['routes.r1.maxAttempts', buildConfig({route: {maxAttempts: 0}})],
	['routes.r1.maxAttempts', buildConfig(), {...bounds, retries: {ratio: 0, slack: 0}}],
	['routes.r1.anonymous', buildConfig({route: {anonymous: true}, whole: {tenants: undefined}})],
	['routes.r1.allowedRegions', buildConfig({route: {allowedRegions: []}})],
	['routes.r1.allowedRegions', buildConfig({route: {allowedRegions: ['west']}})],
	['routes.r1.allowedRegions', buildConfig({route: {allowedRegions: ['north']}, tenant: {allowedRegions: ['south']}})],
	['services.s3.name', buildConfig({services: [{name: 's3', maxConnections: 1}]})],
	['services.s2.name', buildConfig({services: [{name: 's2', maxConnections: 20}]})],
	['services.s1.maxConnections', buildConfig({service: {maxConnections: 0}})],
	['services.s1.engine.kvCapacity', buildConfig({service: {engine: {...service.engine, kvCapacity: 0}}})],
	['services.s1.coldStartS', buildConfig({service: {coldPerS: 10}})],
	['tenants.o1.apiKeys', buildConfig({tenant: {apiKeys: []}})],
	['tenants.o1.apiKeys', buildConfig({tenants: [{...tenant, name: 'o2'}]})],
	['tenants.o1.name', buildConfig({tenants: [{...tenant, apiKeys: ['key-2']}]})],
	['tenants.o1.prepaid', buildConfig({tenant: {prepaid: 1}})],
	['tenants.o1.allowedRegions', buildConfig({tenant: {allowedRegions: ['west']}})],
	['limits.maxBodyBytes', buildConfig({limits: {maxBodyBytes: 0}})],
])('%s is named in a warning', (field, text, routerBounds) => {
	expect(listPaths(text, routerBounds)).toEqual([field]);
	expect(decodeRoutingConfig(text).ok).toBe(true);
});

const formatIni = (lines: readonly string[]): string => ['[class.advice]', 'pool = studio', 'kind = chat', '[class.shop]', 'pool = shop', 'kind = act', 'paths = /orders', ...lines].join('\n');
const customers = ['[organisation.ring]', `keys = ${'0'.repeat(64)}`, 'budget = ring', 'classes = advice, shop'];

test.each<[readonly string[], string]>([
	[[], formatIni(customers)],
	[['file.ini:8'], formatIni(['colour = red', ...customers])],
	[['organisations.ring'], formatIni([...customers, 'default-class = gift'])],
	[['class.shop.name'], formatIni([...customers.slice(0, 3), 'classes = advice'])],
	[['class.shop.give-up'], formatIni(['whole = 10s', 'give-up = 5s', ...customers])],
	[['class.advice.first-token'], formatIni(customers).replace('kind = chat', 'kind = chat\nwhole = 1s\nfirst-token = 2s')],
	[['class.advice.price'], formatIni(customers).replace('kind = chat', 'kind = chat\nprice = 5')],
	[['class.advice.paths'], formatIni(customers).replace('kind = chat', 'kind = chat\npaths = /chat')],
	[['class.gift.paths'], formatIni(['[class.gift]', 'pool = shop', 'kind = call', 'paths = /orders', ...customers.slice(0, 3), 'classes = advice, shop, gift'])],
	[['organisation.ring.default-class'], formatIni([...customers, 'default-class = shop'])],
	[['class.gift.name', 'organisation.ring.default-class'], formatIni(['[class.gift]', 'pool = studio', 'kind = chat', ...customers, 'default-class = gift'])],
])('%s is named for a configuration of classes', (fields, text) => {
	const checked = checkConfigText('file.ini', text, bounds);
	expect(checked.err ? checked.val.map(({detail}) => detail.split(': ', 1)[0]) : checked.val.warnings.map(warning => warning.path)).toEqual(fields);
});

describe('a comparison', () => {
	const folder = mkdtempSync(path.join(tmpdir(), 'galena-'));
	const writeConfig = (name: string, text: string): string => {
		const file = path.join(folder, name);
		writeFileSync(file, text);
		return file;
	};

	const checkAgainst = async (before: string, after: string) => {
		const {isDone, lines} = await checkConfigFile({
			file: writeConfig('after.json', after), base: writeConfig('before.json', before), settings: undefined, client: undefined,
		});
		return {isDone, lines: lines.slice(0, -1)};
	};

	test('names what changes, from what to what, and for which requests', async () => {
		const {isDone, lines} = await checkAgainst(buildConfig(), buildConfig({
			route: {timeoutMs: 6000, weightedServices: [{service: 's2', weight: 10}, {service: 's1', weight: 80}]}, tenant: {prepaid: 7000}, whole: {version: 8},
		}));
		expect(isDone).toBe(true);
		expect(lines).toEqual([
			'route r1: timeoutMs: 4000 -> 6000 (requests to shop.example/a/)',
			'route r1: weightedServices.s1.weight: 90 -> 80 (requests to shop.example/a/)',
			'organisation o1: prepaid: 5000 -> 7000 (requests of o1)',
		]);
	});

	test('names what is added and removed, and shows no key', async () => {
		const {lines} = await checkAgainst(
			buildConfig({routes: [{...route, name: 'r2', prefix: '/b/'}], tenant: {apiKeys: ['key-1', 'key-2']}}),
			buildConfig({routes: [{...route, name: 'r3', prefix: '/c/'}]}),
		);
		expect(lines.slice(0, 2)).toEqual(['route r2: removed (requests to shop.example/b/)', 'route r3: added (requests to shop.example/c/)']);
		expect(lines[2]).toMatch(/^organisation o1: apiKeys\.[\da-f]{8}: listed -> none/v);
		expect(lines.length).toBe(3);
	});

	test('fails with what is wrong in the earlier version', async () => {
		const {isDone, lines} = await checkAgainst('{}', buildConfig());
		expect(isDone).toBe(false);
		expect(lines[0]).toMatch(/^error: version: /v);
	});
});
