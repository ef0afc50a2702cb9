export {
	selectNewerConfig, findOrganisation, findRoute, pickService,
} from './catalog.js';
export type {
	Catalog, ConnectionLimits, Organisation, Route, RouteKind, Service,
} from './catalog.js';
