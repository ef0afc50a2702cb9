export {
	chooseEndpoint, computeConnectionShare, countUncachedTokens, isFull,
} from './placement.js';
export type {PlacementQuery, Placement} from './placement.js';
