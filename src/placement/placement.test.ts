import {Map} from 'immutable';
import {expect, test} from 'vitest';
import type {Service} from '../routing-config/index.js';
import type {ModelRequest} from '../in-flight/index.js';
import {
	updateEntry, emptyRegistry, recordPromptParts, updateEndpoint,
} from '../registry/index.js';
import type {Endpoint, Registry} from '../registry/index.js';
import {chooseEndpoint} from './index.js';

const service: Service = {name: 's', maxConnections: 360, engine: {slots: 64, capacity: 551_016, tokensPerEvent: 4}};

const registry: Registry = Array.from({length: 8}, (_, index) => `e${index}`).reduce((current, id) => updateEntry(current, id, {
	id, service: 's', address: `${id}:80`, dataCentre: 'z', softwareVersion: 'v1', slots: 64, isLeaving: false, slowStartMs: 0, startedAt: 1, rowVersion: 1,
}, 1, 0), emptyRegistry);

/** A prompt whose second part is shared by many requests. */
const modelRequest: ModelRequest = {
	model: 'm', promptTokens: 9000, maxOutputTokens: 80, parts: [{id: 'group', tokens: 2500}, {id: 'hot', tokens: 3800}, {id: 'own', tokens: 2700}],
};

const listEndpoints = (from: Registry): readonly Endpoint[] => from.endpoints.valueSeq().toArray();

const choose = (from: Registry, timeToTargetMs: number) => chooseEndpoint(listEndpoints(from), {
	service, modelRequest, dataCentre: 'z', connections: 100, triedEndpoints: [], peers: Map(), timeToTargetMs, now: 0,
});

/** Places requests one after the other, none of which has produced output. */
const placeRequests = (count: number, timeToTargetMs: number) => Array.from({length: count}).reduce<Readonly<{registry: Registry; late: number; used: readonly string[]}>>(state => {
	const choice = choose(state.registry, timeToTargetMs);
	if (choice.kind !== 'endpoint') {
		return state;
	}

	return {
		registry: updateEndpoint(state.registry, choice.endpoint, endpoint => ({...endpoint, open: endpoint.open + 1, pending: endpoint.pending + choice.newTokens})),
		late: state.late + (choice.predicted > timeToTargetMs ? 1 : 0),
		used: [...state.used, choice.endpoint.id],
	};
}, {registry, late: 0, used: []});

test('requests that share a part go to the same two endpoints while these are on time', () => {
	expect(new Set(placeRequests(3, 500).used).size).toBeLessThanOrEqual(2);
});

test.each(listEndpoints(registry).map(endpoint => [endpoint.id, endpoint] as const))('an endpoint that has the shared parts is preferred, also if others are less loaded: %s', (id, holder) => {
	const known = updateEndpoint(registry, holder, endpoint => ({...recordPromptParts(endpoint, ['group', 'hot'], 0), open: 4, pending: 3000}));
	const choice = choose(known, 500);
	expect(choice.kind === 'endpoint' && choice.endpoint.id).toBe(id);
});

test('an endpoint in the same data centre is preferred, though it is somewhat more loaded', () => {
	const spread = listEndpoints(registry).reduce((current, each, index) =>
		updateEndpoint(current, each, endpoint => ({
			...endpoint, dataCentre: index === 5 ? 'z' : 'y', open: index === 5 ? 3 : 0, pending: index === 5 ? 1500 : 0,
		})), registry);
	const choice = choose(spread, 500);
	expect(choice.kind === 'endpoint' && choice.endpoint.id).toBe('e5');
});

test('a part shared by many requests is processed at another endpoint before requests are late', () => {
	const {late, used} = placeRequests(8, 300);
	expect(late).toBe(0);
	expect(new Set(used).size).toBeGreaterThan(2);
});

test('if every endpoint is late, the request goes to the best of them', () => {
	expect(choose(registry, 1).kind).toBe('endpoint');
});

test('endpoints that were slow are tried again, though no response has shown that they have recovered', () => {
	const slow = listEndpoints(registry).reduce((current, each) => updateEndpoint(current, each, endpoint => ({...endpoint, slowness: 10, slownessUpdatedAt: 0})), registry);
	const predict = (now: number) => {
		const choice = chooseEndpoint(listEndpoints(slow), {
			service, modelRequest, dataCentre: 'z', connections: 100, triedEndpoints: [], peers: Map(), timeToTargetMs: 500, now,
		});
		return choice.kind === 'endpoint' ? choice.predicted : 0;
	};

	expect(predict(0)).toBeGreaterThan(2000);
	expect(predict(3000)).toBeLessThan(500);
});
