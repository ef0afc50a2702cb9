export {listCandidates, listUsable} from './candidates.js';
export type {Candidates} from './candidates.js';
export {computeSpread} from './spread.js';
export {
	chooseEndpoint, computeConnectionShare, countUncachedTokens, isFull, pickAffinityPart,
} from './placement.js';
export type {PlacementQuery, Placement} from './placement.js';
