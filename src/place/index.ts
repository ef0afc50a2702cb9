export {
	chooseEndpoint, countUncachedTokens, isFull,
} from './place.js';
export type {PlacementQuery, Placement} from './place.js';
