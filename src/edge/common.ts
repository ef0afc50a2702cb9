import {chargeTokens} from '../purse/index.js';
import {updateEndpoint} from '../registry/index.js';
import type {Endpoint} from '../registry/index.js';
import type {Flight} from '../flight/index.js';
import type {Route} from '../catalog/index.js';
import {answers} from '../errors/index.js';
import type {Fault} from '../errors/index.js';
import {stay} from '../loop/step.js';
import type {EdgeEffect} from './messages.js';
import type {EdgeState, EdgeStep} from './state.js';

/**
Tells whether a call may run more than once.

@param route - The call's route.
@returns True for calls without effects, and for streams that may be resumed.
*/
export const isRepeatable = (route: Route): boolean => route.kind === 'safe' || (route.kind === 'stream' && route.isResumable);

/**
Goes on with a flight that is still there.

@param state - The edge.
@param call - The call's number.
@param decide - The decision.
@returns The decision's step; nothing changes if the flight has ended.
*/
export const withFlight = (state: EdgeState, call: number, decide: (flight: Flight) => EdgeStep): EdgeStep => {
	const flight = state.flights.get(call);
	return flight === undefined ? stay(state) : decide(flight);
};

/**
Changes a flight.

@param state - The edge.
@param flight - The flight as it is now.
@returns The edge.
*/
export const putFlight = (state: EdgeState, flight: Flight): EdgeState => ({...state, flights: state.flights.set(flight.id, flight)});

/**
Changes what was learned of an endpoint.

@param state - The edge.
@param id - The endpoint.
@param update - The change.
@returns The edge.
*/
export const learnEndpoint = (state: EdgeState, id: string | undefined, update: (endpoint: Endpoint) => Endpoint): EdgeState =>
	id === undefined ? state : {...state, registry: updateEndpoint(state.registry, id, update)};

/** The endpoint that works on a flight. */
const getCurrent = (flight: Flight): string | undefined => flight.phase === 'sent' || flight.phase === 'streaming' || flight.phase === 'leaving' ? flight.tried.at(-1) : undefined;

/**
Notes that the attempt under way has ended, however it did.

@param state - The edge.
@param flight - The flight.
@returns The edge, with the endpoint relieved.
*/
export const closeAttempt = (state: EdgeState, flight: Flight): EdgeState => learnEndpoint(state, getCurrent(flight), endpoint => ({
	...endpoint, open: Math.max(0, endpoint.open - 1), pending: Math.max(0, endpoint.pending - flight.pending),
}));

/**
Tells whether a flight may have run anywhere.

@param flight - The flight.
@returns False only if every endpoint that got it said that it has not run it.
*/
export const canHaveRun = (flight: Flight): boolean => flight.mayHaveRun || getCurrent(flight) !== undefined;

/** What a flight has cost: nothing if it cannot have run, else its prompt and what the caller got. */
const computeCharge = (state: EdgeState, flight: Flight, events: number): number => {
	const perEvent = state.catalog?.services.get(flight.service)?.engine?.tokensPerEvent ?? 1;
	return canHaveRun(flight) ? (flight.head.work?.promptTokens ?? 0) + (events * perEvent) : 0;
};

/** How a call ended, for counters and the log. */
export type Ending = Readonly<{outcome: string; status: number; events: number; fields?: Readonly<Record<string, string | number | undefined>>}>;

/**
Ends a flight: its endpoint is relieved and its tokens are charged.

@param state - The edge.
@param flight - The flight.
@param ending - How it ended.
@param now - The time in ms.
@returns The edge, with the end counted and logged.
*/
export const endFlight = (state: EdgeState, flight: Flight, ending: Ending, now: number): EdgeStep => {
	const relieved = closeAttempt(state, flight);
	const charged = computeCharge(state, flight, ending.events);
	const isFailure = ending.status === 0 || ending.status >= 400;
	const effects: readonly EdgeEffect[] = [
		{kind: 'count', metric: 'calls', labels: {route: flight.route.name, outcome: ending.outcome}},
		{
			kind: 'observe', metric: 'call', labels: {route: flight.route.name}, milliseconds: now - flight.arrivedAt,
		},
		{
			kind: 'log',
			level: isFailure ? 'failure' : 'routine',
			event: 'call-ended',
			fields: {
				call: flight.head.key,
				route: flight.route.name,
				organisation: flight.organisation,
				outcome: ending.outcome,
				status: ending.status,
				elapsed: Math.round(now - flight.arrivedAt),
				first: flight.firstAt === undefined ? undefined : Math.round(flight.firstAt - flight.arrivedAt),
				predicted: Math.round(flight.predicted),
				sends: flight.attempt,
				endpoint: flight.tried.at(-1),
				events: ending.events,
				charged,
				configuration: state.catalog?.version,
				...ending.fields,
			},
		},
	];
	return {
		state: {
			...relieved,
			flights: relieved.flights.delete(flight.id),
			purse: flight.budget === undefined || flight.reserved === 0 ? relieved.purse : chargeTokens(relieved.purse, flight.budget, flight.reserved, charged),
		},
		effects,
	};
};

/**
Gives a caller its final answer: an error.

@param state - The edge.
@param flight - The flight.
@param fault - The error.
@param now - The time in ms.
@returns The edge, and what it does.
*/
export const refuseFlight = (state: EdgeState, flight: Flight, fault: Fault, now: number): EdgeStep => {
	const ended = endFlight(state, flight, {
		outcome: fault.kind, status: answers[fault.kind].status, events: 0, fields: {reason: fault.detail, retryAfter: fault.retryAfter},
	}, now);
	return {
		state: ended.state,
		effects: [{kind: 'abort', call: flight.id}, {kind: 'refuse', call: flight.id, fault}, ...ended.effects],
	};
};
