export {
	updateEntry, removeLeaving, removeMissing, emptyRegistry, markUnavailable, markAvailable, markRestored, decaySlowness, replaceEntries, updateEndpoint,
} from './registry.js';
export type {Endpoint, RegistryEntry, Registry} from './registry.js';
