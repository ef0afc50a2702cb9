export {
	completeSave, createStreamOrigins, decodeOrigin, findOrigin, locateOrigin, planSave, recordOrigin,
} from './origins.js';
export type {StreamOrigin, StreamOrigins} from './origins.js';
export {
	completeVersionSave, createSavedVersions, planVersionSave, recordSavedVersions, resetSavedVersions, versionTable,
} from './saved-versions.js';
export type {SavedVersions} from './saved-versions.js';
export {findSoleVersion, recordRetiredVersions, recordSeenVersions} from './versions.js';
export type {RetiredVersions, VersionReading} from './versions.js';
