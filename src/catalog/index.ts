export {
	adoptCatalog, findOrganisation, findRoute, pickService,
} from './catalog.js';
export type {
	Catalog, CallLimits, Organisation, Route, RouteKind, Service,
} from './catalog.js';
