export {
	combineHomeRegions, isAtHome, listUnknownRegions, parseHomeRegions,
} from './home.js';
export type {HomeRegions, Regions, StatedRegions} from './home.js';
