export {
	selectNewerConfig, findOrganisation, findRoute, getTokensPerEvent, pickService,
} from './config.js';
export {createRouteTable, listRoutes} from './route-table.js';
export type {
	RoutingConfig, ConnectionLimits, Organisation, Route, RouteKind, Service,
} from './config.js';
