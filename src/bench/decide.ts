import {performance} from 'node:perf_hooks';
import {Map} from 'immutable';
import type {PeerLoads, ReportedLoads} from '../gossip/index.js';
import {sumLoads} from '../gossip/index.js';
import {createInFlightRequest} from '../in-flight/index.js';
import type {RequestHead} from '../in-flight/index.js';
import {handleEdge} from '../edge/handle.js';
import {placeRequest} from '../edge/place.js';
import {createEdge} from '../edge/state.js';
import type {EdgeState} from '../edge/state.js';
import {createRandom} from '../random/index.js';
import {
	chooseEndpoint, listCandidates, pickAffinityPart,
} from '../placement/index.js';
import {isUsable, recordPromptParts, updateEndpoints} from '../registry/index.js';
import type {RegistryEntry} from '../registry/index.js';
import {createRouteTable} from '../routing-config/index.js';
import type {Route, RoutingConfig} from '../routing-config/index.js';

/** Numbers of endpoints and routers for which a decision is measured. */
const endpointCounts = [12, 55, 300] as const;
const routerCounts = [11, 27, 100] as const;

const dataCentres = ['a', 'b', 'c', 'd'] as const;

const route: Route = {
	name: 'r', host: 'h', prefix: '/', kind: 'stream', timeout: 4000, targetMs: 800, priority: 1, services: [{name: 's', weight: 1}],
	maxAttempts: 2, isAnonymous: true, isResumable: true, eventGapTargetMs: undefined,
};

const config: RoutingConfig = {
	version: 1,
	routes: createRouteTable([route]),
	services: Map([['s', {name: 's', maxConnections: 2000, engine: {slots: 64, capacity: 551_016, tokensPerEvent: 4}}]]),
	organisations: Map(),
	budgets: Map(),
	needsAuthentication: false,
	limits: {
		maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
	},
};

const createEntries = (count: number): readonly RegistryEntry[] => Array.from({length: count}, (_, index) => ({
	id: `endpoint-${index}`, service: 's', address: `10.0.0.${index}:80`, dataCentre: dataCentres[index % dataCentres.length]!, softwareVersion: 'v1',
	slots: 64, isLeaving: false, slowStartMs: 0, startedAt: 1, rowVersion: 1,
}));

/** Peers with requests at an endpoint, on average: the load of an endpoint does not depend on the number of routers. */
const openPerEndpoint = 8;

/** Prompt parts that many requests share. */
const sharedParts = Array.from({length: 40}, (_, index) => `shared-${index}`);

const createState = (endpointCount: number, routerCount: number, seed: number): EdgeState => {
	const random = createRandom(seed);
	const started = createEdge({
		dataCentre: 'a', router: 'router-0', incarnation: 'i', peerAddress: 'router-0:1', retryBudgetBounds: {ratio: 0.2, slack: 54}, drainMs: 2000,
	});
	const entries = createEntries(endpointCount);
	const listed = handleEdge(handleEdge(started, {kind: 'catalog-read', config}, 0).state, {kind: 'endpoints-listed', entries, version: 1}, 0).state;
	const openFraction = Math.min(0.5, openPerEndpoint / routerCount);
	const createLoads = (): ReportedLoads => new globalThis.Map(entries.filter(() => random.draw() < openFraction).map(({id}) => [id, {pending: random.pick(3000), open: random.pick(4)}] as const));
	const peers: PeerLoads = Map(Array.from({length: routerCount - 1}, (_, index) => [`router-${index + 1}`, {
		at: 0, loads: createLoads(), dataCentre: dataCentres[index % dataCentres.length], isOverloaded: false, isPressed: false, isLeading: false, cores: 0, spareCores: 0,
	}] as const));
	return {
		...listed,
		peers,
		peerLoadTotals: sumLoads(peers),
		liveRouters: ['router-0', ...peers.keys()],
		registry: updateEndpoints(listed.registry, endpoint => ({
			...recordPromptParts(endpoint, sharedParts.filter(() => random.draw() < 0.1), 0), open: random.pick(4), pending: random.pick(3000),
		})),
	};
};

const createHead = (index: number): RequestHead => ({
	key: `c${index}`,
	method: 'POST',
	url: '/x',
	host: 'h',
	apiKey: undefined,
	clientTimeoutMs: 4000,
	modelRequest: {
		model: 'm', promptTokens: 4000, maxOutputTokens: 80, parts: [
			{id: sharedParts[index % 10]!, tokens: 800}, {id: sharedParts[10 + (index % 30)]!, tokens: 1800}, {id: `own-${index}`, tokens: 1400},
		],
	},
	resumeAfter: undefined,
	resumedKey: undefined,
	forwardedHeaders: [],
});

const rounds = 5;
const callsPerRound = 400;

/** Measures the median over rounds of the mean time of a call, in us, after one round for the compiler. */
const measureMicroseconds = (perform: (index: number) => void): number => {
	const means = Array.from({length: rounds + 1}, () => {
		const startedAt = performance.now();
		Array.from({length: callsPerRound}, (_, index) => index).forEach(index => {
			perform(index);
		});
		return (performance.now() - startedAt) * 1000 / callsPerRound;
	});
	return means.slice(1).toSorted((a, b) => a - b)[Math.floor(rounds / 2)]!;
};

/**
Prints the time of one decision, of one placement (the decision and the change of the state) and of one whole arrival of a request, by numbers of endpoints and routers.

@param write - Receives each line of the result.
*/
export const benchDecide = async (write: (line: string) => void): Promise<void> => {
	write('endpoints | routers | decision us | placement us | arrival us');
	endpointCounts.forEach(endpointCount => {
		routerCounts.forEach(routerCount => {
			const state = createState(endpointCount, routerCount, 1);
			const requests = Array.from({length: callsPerRound}, (_, index) => createInFlightRequest({
				id: index, head: createHead(index), fingerprint: `f${index}`, route, service: 's', organisation: undefined, budget: undefined,
				priority: 1, maxCostTokens: 0, arrivedAt: 1, unreadMs: 0, expiresAt: 4000, phaseAt: 1,
			}));
			const decisionUs = measureMicroseconds(index => {
				const {modelRequest} = requests[index]!.head;
				const {endpoints} = listCandidates(state.registry, {
					service: 's', dataCentre: 'a', part: pickAffinityPart(modelRequest), random: index / callsPerRound,
				}, endpoint => isUsable(endpoint, 1));
				chooseEndpoint(endpoints, {
					service: config.services.get('s')!, modelRequest, dataCentre: 'a', triedEndpoints: [], connections: 100, peers: state.peerLoadTotals, timeToTargetMs: 800, now: 1,
				});
			});
			const placementUs = measureMicroseconds(index => {
				placeRequest(state, requests[index]!, index / callsPerRound, 1);
			});
			const arrivalUs = measureMicroseconds(index => {
				handleEdge(state, {
					kind: 'call-arrived', call: index, head: requests[index]!.head, bodyDigest: `b${index}`, receivedAt: 1, unreadMs: 0, random: index / callsPerRound,
				}, 1);
			});
			write(`${endpointCount} | ${routerCount} | ${decisionUs.toFixed(1)} | ${placementUs.toFixed(1)} | ${arrivalUs.toFixed(1)}`);
		});
	});
};
