export {getSettingsPath} from './settings-path.js';
export {decodeRoutingConfig} from './catalog.js';
export {hasContention} from './contracts.js';
export {decodeEntry} from './entry.js';
export {openStoreClient} from './store.js';
export type {StoreOperations, StoreClient} from './store.js';
export {configurationKey, tables} from './tables.js';
export {decodeResponse, decodeRequest, encodeRequestHeaders} from './wire.js';
