export {
	changeListing, dropMissing, emptyRegistry, loseRegistry, regainRegistry, replaceListings, updateEndpoint,
} from './registry.js';
export type {Endpoint, Listing, Registry} from './registry.js';
