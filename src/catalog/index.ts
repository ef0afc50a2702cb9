export {
	selectNewerConfig, findOrganisation, findRoute, pickService,
} from './catalog.js';
export type {
	RoutingConfig, ConnectionLimits, Organisation, Route, RouteKind, Service,
} from './catalog.js';
