import {Map} from 'immutable';
import {describe, expect, test} from 'vitest';
import {succeed} from '../errors/index.js';
import {checkFinalHead} from '../http-head/index.js';
import {splitOperatorRows} from '../platform/index.js';
import type {RegistryEntry} from '../registry/index.js';
import {createRouteTable} from '../routing-config/index.js';
import type {
	Organisation, Route, RoutingConfig, Service,
} from '../routing-config/index.js';
import {handleEdge} from './handle.js';
import type {EdgeEffect, EdgeEvent} from './messages.js';
import {createEdge} from './state.js';
import type {EdgeOptions, EdgeState} from './state.js';

const createConfig = (routeFields: Partial<Route>, organisationFields: Partial<Organisation>, coldStart: Service['coldStart']): RoutingConfig => ({
	version: 1,
	routes: createRouteTable([{
		name: 'r', host: 'h', prefix: '/', kind: 'safe', timeout: 3000, targetMs: 300, priority: 1, services: [{name: 's', weight: 1}],
		maxAttempts: 5, isAnonymous: true, isResumable: false, eventGapTargetMs: undefined, ...routeFields,
	}]),
	services: Map([['s', {
		name: 's', maxConnections: 100, engine: undefined, coldStart,
	}]]),
	organisations: Map([['k', {
		name: 'o', priority: undefined, budget: undefined, ...organisationFields,
	}]]),
	budgets: Map(),
	needsAuthentication: false,
	limits: {
		maxHeaderBytes: 16_384, maxBodyBytes: 1000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
	},
});

const createEntry = (id: string, dataCentre: string): RegistryEntry => ({
	id, service: 's', address: `10.0.0.${id.slice(1)}:80`, dataCentre, softwareVersion: 'v1', slots: 1, isLeaving: false, slowStartMs: 0, startedAt: 1, rowVersion: 1,
});

type Fields = Readonly<{coldStart?: Service['coldStart'];
	route?: Partial<Route>; organisation?: Partial<Organisation>; options?: Partial<EdgeOptions>;}>;

/** A router with an endpoint of one slot in each of the data centres a and b, under virtual time. */
const openRouter = ({route = {}, organisation = {}, options = {}, coldStart}: Fields = {}) => {
	let state: EdgeState = createEdge({
		dataCentre: 'a', router: 'r', incarnation: 'r#1', peerAddress: '', retryBudgetBounds: {ratio: 1, slack: 40}, drainMs: 2000, ...options,
	});
	let now = 0;
	let effects: readonly EdgeEffect[] = [];
	const post = (event: EdgeEvent): readonly EdgeEffect[] => {
		const step = handleEdge(state, event, now);
		state = step.state;
		effects = [...effects, ...step.effects];
		return step.effects;
	};

	post({kind: 'evacuations-read', evacuations: []});
	post({kind: 'catalog-read', config: createConfig(route, organisation, coldStart)});
	post({kind: 'endpoints-listed', entries: [createEntry('e1', 'a'), createEntry('e2', 'b')], version: 1});
	return {
		post,
		readAll(...keys: readonly string[]) {
			post({
				kind: 'evacuations-read', evacuations: splitOperatorRows(keys.map(key => ({
					table: 'op', key, version: 1, value: '{}',
				}))).evacuations,
			});
		},
		change(key: string, value: string | undefined) {
			post({
				kind: 'evacuations-changed', evacuations: splitOperatorRows([{
					table: 'op', key, version: 2, value,
				}]).evacuations,
			});
		},
		request(call: number) {
			post({
				kind: 'call-arrived', call, bodyDigest: undefined, receivedAt: now, unreadMs: 0, random: 0.5, head: {
					key: `c${call}`, method: 'GET', url: '/x', host: 'h', apiKey: 'k', clientTimeoutMs: undefined, modelRequest: undefined,
					resumeAfter: undefined, resumedKey: undefined, forwardedHeaders: [],
				},
			});
		},
		respond(call: number, attempt: number, status: number) {
			post({
				kind: 'endpoint-answered', call, attempt, random: 0.5, head: {
					status, key: undefined, hasNotRun: false, isOtherIncarnation: false, isSigned: true, load: undefined, rateLimit: succeed(undefined), isLeaving: false,
					pushbackMs: succeed(undefined), isStream: false, forwarded: checkFinalHead(status, []),
				},
			});
		},
		tick() {
			now += 20;
			post({kind: 'tick', random: 0.5});
		},
		listSends: () => effects.flatMap(effect => effect.kind === 'send' ? [effect.endpoint.id] : []),
		listRefusals: () => effects.flatMap(effect => effect.kind === 'refuse' ? [effect.fault] : []),
		listEvents: () => effects.flatMap(effect => effect.kind === 'log' && /^(?:evacuation|endpoint-(?:cold|warm))/v.test(effect.event) ? [`${effect.event} ${effect.fields.dataCentre}`] : []),
	};
};

describe('an evacuated data centre gets no new request,', () => {
	test('neither as the nearest one nor as a last resort; clients are told to return at different times', () => {
		const router = openRouter();
		router.change('evacuate/a', '{}');
		router.request(1);
		expect(router.listSends()).toEqual(['e2']);
		router.change('evacuate/b', '{}');
		Array.from({length: 20}, (_, index) => index + 2).forEach(call => {
			router.request(call);
		});
		expect(router.listSends()).toEqual(['e2']);
		expect(new Set(router.listRefusals().map(({kind}) => kind))).toEqual(new Set(['not-ready']));
		const times = router.listRefusals().map(({retryAfter = 0}) => retryAfter);
		expect(new Set(times).size).toBe(20);
		expect(Math.min(...times)).toBeGreaterThanOrEqual(1);
		expect(Math.max(...times) - Math.min(...times)).toBeGreaterThan(2);
	});

	test('by retries', () => {
		const router = openRouter();
		router.request(1);
		router.change('evacuate/b', '{}');
		router.respond(1, 1, 500);
		router.change('evacuate/a', '{}');
		router.respond(1, 2, 500);
		expect(router.listSends()).toEqual(['e1', 'e1']);
	});

	test('from the queue', () => {
		const router = openRouter();
		[1, 2, 3].forEach(call => {
			router.request(call);
		});
		router.change('evacuate/a', '{}');
		router.respond(1, 1, 200);
		router.tick();
		expect(router.listSends()).toEqual(['e1', 'e2']);
		router.respond(2, 1, 200);
		expect(router.listSends()).toEqual(['e1', 'e2', 'e2']);
		[4, 5].forEach(call => {
			router.request(call);
		});
		router.change('evacuate/b', '{}');
		expect(router.listRefusals()).toHaveLength(2);
	});

	test('and few at first afterwards if it may be cold, until its entry says otherwise', () => {
		const router = openRouter({coldStart: {durationMs: 10_000, requestsPerSecond: 4}});
		router.change('evacuate/a', '{}');
		router.change('evacuate/a', undefined);
		router.request(1);
		expect(router.listSends()).toEqual(['e2']);
		router.post({
			kind: 'endpoint-changed', id: 'e1', version: 2, listing: {...createEntry('e1', 'a'), rowVersion: 2},
		});
		expect(router.listEvents().slice(2)).toEqual(['endpoint-cold a', 'endpoint-warm a']);
	});

	test('until its row is removed; a read of all rows replaces what is known, as after a lost history', () => {
		const router = openRouter();
		router.change('evacuate/a', '{}');
		router.change('evacuate/a', undefined);
		router.readAll('config', 'evacuate/b');
		router.request(1);
		router.respond(1, 1, 200);
		router.readAll('evacuate/a');
		router.request(2);
		expect(router.listSends()).toEqual(['e1', 'e2']);
		expect(router.listEvents()).toEqual(['evacuation-began a', 'evacuation-ended a', 'evacuation-began b', 'evacuation-began a', 'evacuation-ended b']);
	});
});

describe('requests with home regions are not sent elsewhere:', () => {
	test.each<[string, readonly string[] | undefined, readonly string[] | undefined, readonly string[]]>([
		['of the route', ['west'], undefined, ['e2', 'e2']],
		['of the organisation', undefined, ['west'], ['e2', 'e2']],
		['of both', ['west', 'east'], ['west'], ['e2', 'e2']],
		['of both, which contradict each other', ['east'], ['west'], []],
		['of a region that no data centre is in', ['north'], undefined, []],
		['none', undefined, undefined, ['e1', 'e2']],
	])('%s', (_, ofRoute, ofOrganisation, sends) => {
		const router = openRouter({route: {homeRegions: ofRoute}, organisation: {homeRegions: ofOrganisation}, options: {regions: Map([['a', 'east'], ['b', 'west']])}});
		router.request(1);
		router.respond(1, 1, 500);
		expect(router.listSends()).toEqual(sends);
	});

	test('not to a data centre whose region is not known', () => {
		const router = openRouter({route: {homeRegions: ['west']}, options: {regions: Map([['b', 'west']])}});
		router.change('evacuate/b', '{}');
		router.request(1);
		expect(router.listSends()).toEqual([]);
		expect(router.listRefusals()).toHaveLength(1);
	});
});
