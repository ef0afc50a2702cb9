export {
	updateEntry, findIncarnation, formatIncarnation, getIncarnation, listLeaving, removeLeaving, removeMissing,
	emptyRegistry, markUnavailable, markAvailable, markRestored, decaySlowness, replaceEntries, updateEndpoint,
} from './registry.js';
export type {
	Endpoint, Incarnation, RegistryEntry, Registry,
} from './registry.js';
