import {isAtHome} from '../home/index.js';
import type {InFlightRequest} from '../in-flight/index.js';
import {suggestRetryAfter} from '../queue/index.js';
import {hashText} from '../random/index.js';
import {isUsable} from '../registry/index.js';
import type {Endpoint} from '../registry/index.js';
import type {EdgeState} from './state.js';

type EligibilityContext = Pick<EdgeState, 'evacuations' | 'regions'>;

/** What two software versions write does not fit together in one stream. */
const canServe = (endpoint: Endpoint, request: InFlightRequest): boolean =>
	endpoint.service === request.service && (request.streamVersion === undefined || endpoint.softwareVersion === request.streamVersion);

/**
Tells whether an endpoint may get a request now, be it as its first attempt, a retry, the
rest of a stream, from the queue or as a last resort.

@param context - The evacuated data centres, and the region of each.
@param endpoint - The endpoint.
@param request - The request.
@returns False if the endpoint is of another service or software version, or its data centre is evacuated or not in a home region of the request.
*/
export const mayServe = ({evacuations, regions}: EligibilityContext, endpoint: Endpoint, request: InFlightRequest): boolean =>
	canServe(endpoint, request) && !evacuations.has(endpoint.dataCentre) && isAtHome(request.homeRegions, regions, endpoint.dataCentre);

/** Number of values of a hash. */
const hashRange = 2 ** 32;

/** Bounds of the time after which clients return that no endpoint may serve, in seconds: an evacuation lasts minutes, and all clients of a service are rejected together. */
const returnBoundsSeconds = {min: 1, max: 5} as const;

/**
Tells whether no endpoint may serve a request.

@param state - The edge state.
@param request - The request.
@param now - The current time in ms.
@returns True if it can only be rejected.
*/
export const isWithoutEndpoint = (state: EdgeState, request: InFlightRequest, now: number): boolean =>
	!state.registry.endpoints.some(endpoint => isUsable(endpoint, now) && mayServe(state, endpoint, request));

/**
Explains why no endpoint may serve a request, and when its client returns.

@param state - The edge state.
@param request - The request.
@param random - A random number in [0, 1).
@param now - The current time in ms.
@returns The reason, and the time in seconds, which is spread out so that the clients do not return together.
*/
export const explainNoEndpoint = (state: EdgeState, request: InFlightRequest, random: number, now: number): Readonly<{detail: string; retryAfter: number}> => {
	const {min, max} = returnBoundsSeconds;
	// Many requests may be rejected in one event, with the same random number.
	const position = (random + (hashText(request.head.key) / hashRange)) % 1;
	const elsewhere = request.homeRegions === undefined ? '' : `, or not in ${request.homeRegions.join(', ') || 'any region'}`;
	return state.registry.endpoints.some(endpoint => isUsable(endpoint, now) && canServe(endpoint, request))
		? {
			detail: `no endpoint of service ${request.service} may serve the request: its data centres are evacuated${elsewhere}`,
			retryAfter: Math.round((min + ((max - min) * position)) * 1000) / 1000,
		}
		: {detail: `service ${request.service} has no endpoint`, retryAfter: suggestRetryAfter(request.expiresAt - now, random)};
};
