export {
	completeSave, createStreamOrigins, decodeOrigin, findOrigin, planSave, recordOrigin, streamOriginsTable,
} from './origins.js';
export type {StreamOrigin, StreamOrigins} from './origins.js';
export {findSoleVersion, recordRetiredVersions, retentionMs} from './versions.js';
export type {RetiredVersions} from './versions.js';
