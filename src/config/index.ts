export {checkConfig} from './document.js';
export type {ConfigDocument, Organisation, WorkClass} from './document.js';
export {handleConfig} from './handle.js';
export type {
	ConfigEffect, ConfigEvent, EntryBody, HeadBody,
} from './handle.js';
export {
	applyRevision, diffEntries, emptyConfig, findClass, findOrganisation, buildDocument, listRevisions, listEntries,
} from './state.js';
export type {ConfigState, EntryChange, Revision} from './state.js';
