export {
	completeSave, createStreamOrigins, decodeOrigin, findOrigin, locateOrigin, planSave, recordOrigin,
} from './origins.js';
export type {StreamOrigin, StreamOrigins} from './origins.js';
export {findSoleVersion, recordRetiredVersions, retentionMs} from './versions.js';
export type {RetiredVersions} from './versions.js';
