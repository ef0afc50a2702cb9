import type {Map} from 'immutable';
import {hashText} from '../random/index.js';

/** What may be repeated: a `safe` call always, an `unsafe` one never, a `stream` only where its route lets it resume. */
export type RouteKind = 'safe' | 'unsafe' | 'stream';

/** Which calls go to which services, and what their callers may expect. Times in ms. */
export type Route = Readonly<{
	name: string;
	host: string;
	/** Begins and ends with a slash. */
	prefix: string;
	kind: RouteKind;
	/** The longest that a caller may be kept waiting. */
	timeout: number;
	/** To the whole answer, or to the first event of a stream. */
	target: number;
	/** 0 goes first. */
	priority: number;
	services: ReadonlyArray<Readonly<{name: string; weight: number}>>;
	/** Endpoints that one call may be sent to. */
	maxAttempts: number;
	/** True if a call needs no key. */
	isAnonymous: boolean;
	/** True if a stream that broke off may go on at another endpoint. */
	isResumable: boolean;
	/** The longest pause between events for which a stream is on time; undefined for other kinds. */
	pauseTarget: number | undefined;
}>;

/** A service, and what is known of its engines. */
export type Service = Readonly<{
	name: string;
	/** Connections that one of its endpoints takes from all callers. */
	maxConnections: number;
	/** Undefined for a plain service. */
	engine: Readonly<{
		/** Requests in a batch. */
		slots: number;
		/** Tokens of memory. */
		capacity: number;
		/** Tokens in one event of a stream, at the most. */
		tokensPerEvent: number;
	}> | undefined;
}>;

/** Who pays for a call. */
export type Organisation = Readonly<{
	name: string;
	/** Goes before the route's priority. */
	priority: number | undefined;
	/** Tokens that it may spend; undefined for no limit. */
	budget: number | undefined;
}>;

/** What a caller's connection may do. Times in ms, sizes in bytes. */
export type CallLimits = Readonly<{
	headerBytes: number;
	bodyBytes: number;
	headerTimeout: number;
	idleTimeout: number;
}>;

/** One version of the configuration, decoded. */
export type Catalog = Readonly<{
	version: number;
	/** By host, longest prefix first. */
	routes: Map<string, readonly Route[]>;
	services: Map<string, Service>;
	/** By API key. */
	organisations: Map<string, Organisation>;
	budgets: Map<string, number>;
	/** True if calls need a key at all. */
	needsKeys: boolean;
	limits: CallLimits;
}>;

/**
Takes over a newer configuration. An older one never replaces a newer one.

@param current - What is in force here.
@param read - What was read.
@returns What is in force now.
*/
export const adoptCatalog = (current: Catalog | undefined, read: Catalog): Catalog =>
	current === undefined || read.version > current.version ? read : current;

/**
Finds a call's route: the longest prefix of the host's routes.

@param catalog - The configuration.
@param host - Without a port, in lower case.
@param url - Path and query.
@returns The route, if there is one.
*/
export const findRoute = (catalog: Catalog, host: string, url: string): Route | undefined => {
	const [path = ''] = url.split('?', 1);
	return catalog.routes.get(host)?.find(route => path.startsWith(route.prefix));
};

/**
Finds who pays for a call.

@param catalog - The configuration.
@param apiKey - The caller's key.
@returns The organisation, if a key names one.
*/
export const findOrganisation = (catalog: Catalog, apiKey: string | undefined): Organisation | undefined =>
	apiKey === undefined ? undefined : catalog.organisations.get(apiKey);

/**
Picks the service of a call where a route splits its calls.

@param route - The route.
@param key - The call's key: the same call always goes to the same service.
@returns The service's name; undefined if the route names none.
*/
export const pickService = (route: Route, key: string): string | undefined => {
	const total = route.services.reduce((sum, service) => sum + service.weight, 0);
	const point = total <= 0 ? 0 : hashText(key) % total;
	const limits = route.services.map((_, index) => route.services.slice(0, index + 1).reduce((sum, service) => sum + service.weight, 0));
	return route.services[limits.findIndex(limit => point < limit)]?.name ?? route.services[0]?.name;
};
