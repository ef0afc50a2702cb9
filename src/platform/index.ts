export {findSettings} from './boot.js';
export {decodeCatalog} from './catalog.js';
export {decodeEntry} from './entry.js';
export {openStore} from './store.js';
export type {StoreCalls, StoreClient} from './store.js';
export {configurationKey, tables} from './tables.js';
export {decodeAnswer, decodeCall, encodeCall} from './wire.js';
