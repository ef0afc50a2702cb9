export {
	completeSave, createStreamOrigins, decodeOrigin, findOrigin, hasSavedOrigins, locateOrigin, maxOriginSavesPerSecond, originParts, planSave, recordOrigin, recordToldOrigin, resetSavedOrigins,
	takeUntoldOrigins,
} from './origins.js';
export type {OriginPart, StreamOrigin, StreamOrigins} from './origins.js';
export {
	completeVersionSave, createSavedVersions, getRestorationAge, planVersionSave, recordSavedVersions, resetSavedVersions, versionTable,
} from './saved-versions.js';
export type {SavedVersionReading, SavedVersions} from './saved-versions.js';
export {encodeOrigins, isOriginMessage, parseOrigins} from './told.js';
export type {KeyedOrigin} from './told.js';
export {
	findSoleVersion, recordRetiredVersions, recordSeenVersions, retentionMs,
} from './versions.js';
export type {RetiredVersions, VersionReading} from './versions.js';
