import {List, Map} from 'immutable';
import type {Route} from './config.js';

/** The routes of one host name. */
type HostRoutes = Readonly<{
	byPrefix: Map<string, Route>;
	/** Lengths of the prefixes, the longest first. */
	prefixLengths: readonly number[];
}>;

/** Routes by host name and prefix. */
export type RouteTable = Map<string, HostRoutes>;

const createHostRoutes = (routes: readonly Route[]): HostRoutes => ({
	// Of several routes with one prefix, the first counts.
	byPrefix: Map(routes.toReversed().map(route => [route.prefix, route] as const)),
	prefixLengths: [...new Set(routes.map(({prefix}) => prefix.length))].toSorted((a, b) => b - a),
});

/**
Creates a route table, in time proportional to the number of routes.

@param routes - The routes.
@returns The table.
*/
export const createRouteTable = (routes: readonly Route[]): RouteTable =>
	Map(List(routes).groupBy(({host}) => host).map(ofHost => createHostRoutes(ofHost.toArray())));

/**
Finds the route with the longest prefix that begins a path. The number of routes makes no difference, only how many lengths their prefixes have.

@param table - The route table.
@param host - The host name without a port, in lower case.
@param path - The path without a query.
@returns The route, or undefined if none matches.
*/
export const findLongestMatch = (table: RouteTable, host: string, path: string): Route | undefined => {
	const hostRoutes = table.get(host);
	const length = hostRoutes?.prefixLengths.find(each => each <= path.length && hostRoutes.byPrefix.has(path.slice(0, each)));
	return length === undefined ? undefined : hostRoutes?.byPrefix.get(path.slice(0, length));
};

/**
Lists the routes of a table.

@param table - The route table.
@returns The routes, without those that another one with the same host and prefix hides.
*/
export const listRoutes = (table: RouteTable): readonly Route[] => table.valueSeq().toArray().flatMap(({byPrefix}) => byPrefix.valueSeq().toArray());
