export {applyCall} from './apply.js';
export type {Rows} from './apply.js';
export {createTableClient} from './client.js';
export type {TableClient} from './client.js';
export {rowKeys} from './keys.js';
export {
	decodeCall, decodeRow, encodeRow, targetPrefix,
} from './protocol.js';
export {
	deleteRow, formatKey, maxWritesPerTransaction, putRow, replaceRow, requireState,
} from './rows.js';
export type {
	WriteCondition, JsonValue, TableKey, Row, StoreCall, StoreReply, TableWrite,
} from './rows.js';
