import {adoptCatalog} from '../catalog/index.js';
import {
	describeLoads, dropSilent, hearLoads, sumLoads,
} from '../gossip/index.js';
import {chain, chainAll, stay} from '../loop/step.js';
import {hashText} from '../random/index.js';
import {
	changeListing, dropMissing, loseRegistry, regainRegistry, replaceListings,
} from '../registry/index.js';
import type {Registry} from '../registry/index.js';
import {arriveCall} from './arrive.js';
import {
	expireFlight, leaveCall, receiveEndpointAnswer, receiveEndpointFailure, receiveFirstOutput, receiveStreamEnd, receiveWithdrawal,
} from './attempt.js';
import {expireGrant, updatePurse} from './grant.js';
import type {EdgeEffect, EdgeEvent} from './messages.js';
import {placeWaiting} from './place.js';
import {leaveSilent} from './silence.js';
import type {EdgeState, EdgeStep} from './state.js';

type Decide<Kind extends EdgeEvent['kind']> = (state: EdgeState, event: EdgeEvent & {kind: Kind}, now: number) => EdgeStep;

const logBelief = (event: string, fields: Readonly<Record<string, string | number>>, level: 'routine' | 'failure' = 'routine'): EdgeEffect => ({
	kind: 'log', level, event, fields,
});

const readCatalog: Decide<'catalog-read'> = (state, event) => {
	const catalog = adoptCatalog(state.catalog, event.catalog);
	return {
		state: {...state, catalog},
		effects: catalog === state.catalog
			? []
			: [logBelief('configuration-in-force', {version: catalog.version, before: state.catalog?.version ?? 0, routes: catalog.routes.size})],
	};
};

/** One line for each endpoint that came or went. */
const logEndpoints = (before: Registry, after: Registry): readonly EdgeEffect[] => {
	const came = after.endpoints.valueSeq().toArray().filter(endpoint => before.endpoints.get(endpoint.id)?.bornAt !== endpoint.bornAt);
	const went = before.endpoints.keySeq().toArray().filter(id => !after.endpoints.has(id));
	return [
		...came.map(({id, service, address, dataCentre}) => logBelief('endpoint-came', {
			endpoint: id, service, address, dataCentre,
		})),
		...went.flatMap(id => [logBelief('endpoint-went', {endpoint: id}), {kind: 'forget', address: before.endpoints.get(id)!.address} as const]),
	];
};

const setRegistry = (state: EdgeState, registry: Registry): EdgeStep => registry === state.registry
	? stay(state)
	: {state: {...state, registry}, effects: logEndpoints(state.registry, registry)};

/** Milliseconds that a call waits for tokens: a store that answers at all takes a few, a slow one a quarter of a second. */
const longestGrant = 300;

const expireCalls: Decide<'tick'> = (state, event, now) => {
	const flights = [...state.flights.values()].filter(flight => flight.phase !== 'leaving');
	const expired = flights.filter(flight => now >= flight.expiresAt);
	const ungranted = flights.filter(flight => now < flight.expiresAt && flight.phase === 'granting' && now - flight.phaseAt >= longestGrant);
	return chain(
		chainAll(state, expired, (current, flight) => expireFlight(current, flight, event.random, now)),
		current => chainAll(current, ungranted, (later, flight) => expireGrant(later, flight.id, event.random, now)),
	);
};

/** Milliseconds between messages to peers: an engine takes about as long to read one long prompt. */
const gossipInterval = 80;

/** Peers that are told at the most, the same for as long as they live: what one router sends must not grow with the fleet. */
const maxPeers = 16;

const tellPeers = (state: EdgeState, now: number): EdgeStep => {
	if (now - state.toldAt < gossipInterval) {
		return stay(state);
	}

	const addresses = state.purse.others.valueSeq().toArray()
		.filter(({isLive, peerAddress}) => isLive && peerAddress !== '')
		.map(({peerAddress}) => peerAddress)
		.toSorted((a, b) => hashText(`${state.purse.router}/${a}`) - hashText(`${state.purse.router}/${b}`))
		.slice(0, maxPeers);
	const peers = dropSilent(state.peers, now);
	return {
		state: {
			...state, toldAt: now, peers, peerSums: sumLoads(peers),
		},
		effects: [{kind: 'tell-peers', addresses, message: describeLoads(state.purse.router, state.registry.endpoints.valueSeq().toArray())}],
	};
};

/** Milliseconds between looks at whether tokens are to be drawn, returned or settled; calls that wait for tokens do not wait for it. */
const purseInterval = 60;

/** Milliseconds between looks at endpoints that have gone or say nothing. */
const lookInterval = 100;

const lookAtEndpoints = (state: EdgeState, random: number, now: number): EdgeStep => {
	if (now - state.lookedAt < lookInterval) {
		return stay(state);
	}

	const dropped = setRegistry({...state, lookedAt: now}, dropMissing(state.registry, now));
	return chain(dropped, current => leaveSilent(current, random, now));
};

const receiveTick: Decide<'tick'> = (state, event, now) => {
	const expired = expireCalls(state, event, now);
	const settled = chain(expired, current => now - current.purse.tickedAt < purseInterval ? stay(current) : updatePurse(current, {kind: 'tick'}, event.random, now));
	const left = chain(settled, current => lookAtEndpoints(current, event.random, now));
	const told = chain(left, current => tellPeers(current, now));
	return chain(told, current => placeWaiting(current, event.random, now));
};

const handlers: Readonly<{[Kind in EdgeEvent['kind']]: Decide<Kind>}> = {
	'call-arrived': arriveCall,
	'caller-left': leaveCall,
	'call-withdrawn': receiveWithdrawal,
	'endpoint-answered': receiveEndpointAnswer,
	'endpoint-failed': receiveEndpointFailure,
	'stream-began': receiveFirstOutput,
	'stream-ended': receiveStreamEnd,
	'catalog-read': readCatalog,
	'endpoints-listed': (state, event, now) => setRegistry({...state, hasRegistry: true}, replaceListings(state.registry, event.listings, now)),
	'endpoint-changed': (state, event, now) => setRegistry(state, changeListing(state.registry, event.id, event.listing, now)),
	'registry-lost': state => stay({...state, registry: loseRegistry(state.registry)}),
	'registry-regained': (state, _event, now) => stay({...state, registry: regainRegistry(state.registry, now)}),
	'store-replied': (state, event, now) => updatePurse(state, {kind: 'replied', reply: event.reply, random: event.random}, event.random, now),
	'peer-heard': (state, event, now) => stay({...state, peers: hearLoads(state.peers, event.router, event.loads, now)}),
	tick: receiveTick,
	'bounds-changed': (state, event) => stay({...state, repeats: event.repeats}),
	'leave-wanted': (state, event, now) => updatePurse(state, {kind: 'leave'}, event.random, now),
	'stop-wanted': state => stay({...state, isStopping: true}),
};

/**
Decides what the edge does about an event.

@param state - The edge.
@param event - What happened.
@param now - The time in ms, of a clock that never goes back.
@returns The edge, and what it does.
*/
export const handleEdge = (state: EdgeState, event: EdgeEvent, now: number): EdgeStep => {
	const decide = handlers[event.kind] as Decide<EdgeEvent['kind']>;
	return decide(state, event, now);
};
