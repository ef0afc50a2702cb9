export {
	updateEntry, explainAbsence, findIncarnation, findKnown, formatIncarnation, getIncarnation, isUsable, listLeaving, removeLeaving, removeMissing,
	emptyRegistry, markUnavailable, markAvailable, markRestored, computeWorkFactor, decaySlowness, recordPromptParts, replaceEntries, updateEndpoint, updateEndpoints,
} from './registry.js';
export type {
	Endpoint, Incarnation, Member, RegistryEntry, Registry,
} from './registry.js';
