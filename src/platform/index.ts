export {getSettingsPath} from './settings-path.js';
export {decodeRoutingConfig} from './catalog.js';
export {hasContention} from './contracts.js';
export {decodeEntry} from './entry.js';
export {splitOperatorRows} from './operator-rows.js';
export {openStoreClient} from './store.js';
export type {StoreOperations, StoreClient} from './store.js';
export {tables} from './tables.js';
export {decodeResponse, decodeRequest, encodeRequestHeaders} from './wire.js';
