export {checkClasses, listClassEntries} from './class-check.js';
export {checkRouting} from './routing-check.js';
export type {
	EntryKind, RouterBounds, StatedConfig, Warning,
} from './routing-check.js';
export {diffConfigs, listFields, formatChange} from './difference.js';
export type {Change, ConfigEntry} from './difference.js';
export {formatFinding} from './finding.js';
export type {Finding} from './finding.js';
