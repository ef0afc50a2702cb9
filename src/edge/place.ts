import {createFault} from '../errors/index.js';
import type {Flight} from '../flight/index.js';
import {chain, chainAll, stay} from '../loop/step.js';
import {chooseEndpoint} from '../place/index.js';
import type {Placement} from '../place/index.js';
import {
	decideDispatch, isOverdue, orderWaiting, suggestReturn,
} from '../queue/index.js';
import type {Dispatch} from '../queue/index.js';
import {relaxSlowness} from '../registry/index.js';
import type {Endpoint} from '../registry/index.js';
import {learnEndpoint, putFlight, refuseFlight} from './common.js';
import type {EdgeState, EdgeStep} from './state.js';

/** Parts that are remembered for one endpoint; the oldest half goes beyond that. */
const maxParts = 2000;

const rememberParts = (endpoint: Endpoint, flight: Flight, now: number): Endpoint['parts'] => {
	const parts = (flight.head.work?.parts ?? []).reduce((known, part) => known.set(part.id, now), endpoint.parts);
	return parts.size <= maxParts ? parts : parts.sortBy(at => -at).take(maxParts / 2);
};

const sendFlight = (state: EdgeState, flight: Flight, placement: Placement & {kind: 'endpoint'}, now: number): EdgeStep => {
	const {endpoint, predicted, newTokens} = placement;
	const sent: Flight = {
		...flight,
		phase: 'sent',
		phaseAt: now,
		attempt: flight.attempt + 1,
		tried: [...flight.tried, endpoint.id],
		pending: newTokens,
		predicted,
		slowness: relaxSlowness(endpoint, now),
		sentAt: now,
	};
	const learned = learnEndpoint(putFlight(state, sent), endpoint.id, current => ({
		...current,
		open: current.open + 1,
		pending: current.pending + newTokens,
		sentSince: current.sentSince + 1,
		parts: rememberParts(current, flight, now),
	}));
	return {
		state: learned,
		effects: [
			{
				kind: 'send',
				call: flight.id,
				attempt: sent.attempt,
				address: endpoint.address,
				maxConnections: state.catalog?.services.get(flight.service)?.maxConnections ?? endpoint.slots,
				sending: {
					endpoint: endpoint.id,
					remaining: flight.expiresAt - now,
					organisation: flight.organisation,
					urgency: undefined,
					resumeAfter: flight.lastEvent ?? flight.head.resumeAfter,
				},
			},
			{
				kind: 'log', level: 'routine', event: 'call-sent', fields: {
					call: flight.head.key,
					attempt: sent.attempt,
					endpoint: endpoint.id,
					waited: Math.round(now - flight.arrivedAt),
					predicted: Math.round(predicted),
					newTokens,
					pending: endpoint.pending + (state.peerSums.get(endpoint.id)?.pending ?? 0),
					open: endpoint.open,
					running: endpoint.load?.running,
					loadAge: endpoint.load === undefined ? undefined : Math.round(now - endpoint.load.at),
				},
			},
		],
	};
};

const queueFlight = (state: EdgeState, flight: Flight, now: number): EdgeStep =>
	stay(putFlight(state, flight.phase === 'queued' ? flight : {...flight, phase: 'queued', phaseAt: now}));

/**
Sends a call to an endpoint, lets it wait, or turns it away.

@param state - The edge.
@param flight - The flight, whose tokens are reserved.
@param random - In [0, 1).
@param now - The time in ms.
@returns The edge, and what it does.
*/
export const placeFlight = (state: EdgeState, flight: Flight, random: number, now: number): EdgeStep => {
	const service = state.catalog?.services.get(flight.service);
	const endpoints = [...state.registry.endpoints.values()].filter(endpoint => endpoint.service === flight.service);
	const choice: Placement = service === undefined
		? {kind: 'none'}
		: chooseEndpoint(endpoints, {
			service, work: flight.head.work, dataCentre: state.dataCentre, tried: flight.tried, peers: state.peerSums, timeLeft: flight.arrivedAt + flight.route.target - now, now,
		});
	const countWaiting = () => state.flights.count(other =>
		other.phase === 'queued' && other.service === flight.service && other.id !== flight.id);
	const isForEngine = flight.head.work !== undefined && service?.engine !== undefined;
	const dispatch = ({predicted, unhindered}: Placement & {kind: 'endpoint'}): Dispatch => isForEngine
		? decideDispatch({
			flight, predicted, unhindered, waiting: countWaiting(), endpoints: endpoints.length, now,
		})
		: 'send';
	const dispatchers: Readonly<Record<Dispatch, (placement: Placement & {kind: 'endpoint'}) => EdgeStep>> = {
		send: placement => sendFlight(state, flight, placement, now),
		wait: () => queueFlight(state, flight, now),
		refuse(placement) {
			const detail = `the first output would take ${Math.round(placement.predicted)} ms`;
			return refuseFlight(state, flight, createFault('overloaded', detail, suggestReturn(flight.expiresAt - now, random)), now);
		},
	};
	const handlers: Readonly<{[Kind in Placement['kind']]: (placement: Placement & {kind: Kind}) => EdgeStep}> = {
		endpoint: placement => dispatchers[dispatch(placement)](placement),
		busy: () => queueFlight(state, flight, now),
		none: () => refuseFlight(state, flight, flight.mayHaveRun
			? createFault('endpoint-failed', 'the endpoint failed, and there is no other')
			: createFault('not-ready', `service ${flight.service} has no endpoint`, suggestReturn(flight.expiresAt - now, random)), now),
	};
	return (handlers[choice.kind] as (placement: Placement) => EdgeStep)(choice);
};

/** Waiting calls that are looked at when an attempt has ended, and at each tick: looking at all of them each time would take the processor from calls that can be on time. */
const looksPerEnd = 1;
const looksPerTick = 5;

const listWaiting = (state: EdgeState): readonly Flight[] => state.flights.valueSeq().toArray().filter(flight => flight.phase === 'queued');

const lookAgain = (state: EdgeState, limit: number, random: number, now: number): EdgeStep => {
	const waiting = listWaiting(state);
	return waiting.length === 0
		? stay(state)
		: chainAll(state, orderWaiting(waiting).slice(0, limit), (current, flight) => placeFlight(current, flight, random, now));
};

/**
Looks again at the call that waits first, since an endpoint has less to do.

@param state - The edge.
@param random - In [0, 1).
@param now - The time in ms.
@returns The edge, and what it does.
*/
export const placeNext = (state: EdgeState, random: number, now: number): EdgeStep => lookAgain(state, looksPerEnd, random, now);

/**
Looks again at calls that wait for an endpoint, and turns away those that have waited too long.

@param state - The edge.
@param random - In [0, 1).
@param now - The time in ms.
@returns The edge, and what it does.
*/
export const placeWaiting = (state: EdgeState, random: number, now: number): EdgeStep => {
	const overdue = listWaiting(state).filter(flight => isOverdue(flight, now));
	return chain(
		chainAll(state, overdue, (current, flight) => placeFlight(current, flight, random, now)),
		current => lookAgain(current, looksPerTick, random, now),
	);
};
