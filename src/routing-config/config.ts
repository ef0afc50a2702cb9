import type {Map} from 'immutable';
import type {HomeRegions, StatedRegions} from '../home/index.js';
import {hashText} from '../random/index.js';
import {findLongestMatch} from './route-table.js';
import type {RouteTable} from './route-table.js';

/** Whether a request may be retried: `safe` always, `unsafe` never, `stream` only if its route allows resumption. */
export type RouteKind = 'safe' | 'unsafe' | 'stream';

/** A route: maps requests to services, and sets their limits and targets. Times in ms. */
export type Route = Readonly<{
	name: string;
	host: string;
	/** Begins and ends with a slash. */
	prefix: string;
	kind: RouteKind;
	/** Time limit of the final response. */
	timeout: number;
	/** Target time to the complete response, or to the first event of a stream. */
	targetMs: number;
	/** 0 is the most urgent. */
	priority: number;
	services: ReadonlyArray<Readonly<{name: string; weight: number}>>;
	/** Limit of endpoints that one request may be sent to. */
	maxAttempts: number;
	/** True if requests need no API key. */
	isAnonymous: boolean;
	/** True if an interrupted stream may be resumed at another endpoint. */
	isResumable: boolean;
	/** Regions in which its requests may be served; absent or undefined for all. */
	homeRegions?: HomeRegions;
	/** Target for the longest pause between two events of a stream; undefined for other kinds. */
	eventGapTargetMs: number | undefined;
}>;

/** A service and the properties of its engines. */
export type Service = Readonly<{
	name: string;
	/** Connections that each of its endpoints accepts from all its clients. */
	maxConnections: number;
	/** Undefined for a service without a model. */
	engine: Readonly<{
		/** Requests per batch. */
		slots: number;
		/** Capacity of the cache, in tokens. */
		capacity: number;
		/** Maximum number of tokens per stream event. */
		tokensPerEvent: number;
	}> | undefined;
	/** How long its endpoints stay slow after a start, in ms, and how many requests per second one takes from all routers meanwhile; absent or undefined for no limit. */
	coldStart?: Readonly<{durationMs: number; requestsPerSecond: number}> | undefined;
}>;

/** A customer, whose budget is charged for its requests. */
export type Organisation = Readonly<{
	name: string;
	/** Overrides the route's priority. */
	priority: number | undefined;
	/** Regions in which its requests may be served; absent or undefined for all. */
	homeRegions?: HomeRegions;
	/** Limit of tokens that may be spent; undefined for no limit. */
	budget: number | undefined;
}>;

/** Limits of a client's connection. Times in ms, sizes in bytes. */
export type ConnectionLimits = Readonly<{
	maxHeaderBytes: number;
	maxBodyBytes: number;
	headerTimeoutMs: number;
	idleTimeoutMs: number;
}>;

/** One decoded version of the configuration. */
export type RoutingConfig = Readonly<{
	version: number;
	routes: RouteTable;
	services: Map<string, Service>;
	/** Organisations by API key. */
	organisations: Map<string, Organisation>;
	/** Token limit of each budget, by organisation. */
	budgets: Map<string, number>;
	/** All home regions that it states, by field; absent if it states none. */
	homeRegions?: readonly StatedRegions[];
	/** True if requests need an API key, except on anonymous routes. */
	needsAuthentication: boolean;
	limits: ConnectionLimits;
}>;

/**
Selects the configuration to use. An older version never replaces a newer one.

@param current - The active configuration, if any.
@param read - The configuration that was read.
@returns The active configuration from now on.
*/
export const selectNewerConfig = (current: RoutingConfig | undefined, read: RoutingConfig): RoutingConfig =>
	current === undefined || read.version > current.version ? read : current;

/**
Finds the route of a request: the one with the longest matching prefix among the host's routes.

@param config - The configuration.
@param host - The host name without a port, in lower case.
@param url - The path and query.
@returns The route, or undefined if none matches.
*/
export const findRoute = (config: RoutingConfig, host: string, url: string): Route | undefined => {
	const [path = ''] = url.split('?', 1);
	return findLongestMatch(config.routes, host, path);
};

/**
Finds the organisation that is charged for a request.

@param config - The configuration.
@param apiKey - The client's API key, if any.
@returns The organisation, or undefined if the key is missing or unknown.
*/
export const findOrganisation = (config: RoutingConfig, apiKey: string | undefined): Organisation | undefined =>
	apiKey === undefined ? undefined : config.organisations.get(apiKey);

/**
Gets the tokens that an event of a stream holds.

@param config - The configuration; undefined before one is read.
@param service - Name of the service.
@returns Tokens at the most; 1 if the service is not configured, or has no engines.
*/
export const getTokensPerEvent = (config: RoutingConfig | undefined, service: string): number => config?.services.get(service)?.engine?.tokensPerEvent ?? 1;

/**
Picks the service of a request by the weights of the route's services.

@param route - The route.
@param key - The request's key, which always selects the same service.
@returns The service's name; undefined if the route has no services.
*/
export const pickService = (route: Route, key: string): string | undefined => {
	const total = route.services.reduce((sum, service) => sum + service.weight, 0);
	const position = total <= 0 ? 0 : hashText(key) % total;
	const upperBounds = route.services.map((_, index) => route.services.slice(0, index + 1).reduce((sum, service) => sum + service.weight, 0));
	return route.services[upperBounds.findIndex(limit => position < limit)]?.name ?? route.services[0]?.name;
};
