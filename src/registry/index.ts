export {
	updateEntry, removeMissing, emptyRegistry, markUnavailable, markAvailable, decaySlowness, replaceEntries, updateEndpoint,
} from './registry.js';
export type {Endpoint, Listing, Registry} from './registry.js';
