export {
	chooseEndpoint, countNewTokens, isFull, predictFirstOutput,
} from './place.js';
export type {PlaceQuery, Placement} from './place.js';
