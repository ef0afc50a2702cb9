export {applyCall} from './apply.js';
export type {Rows} from './apply.js';
export {openTable} from './client.js';
export type {Table} from './client.js';
export {rowKeys} from './keys.js';
export {
	decodeCall, decodeRow, encodeRow, targetPrefix,
} from './protocol.js';
export {
	deleteRow, formatKey, maxWritesPerTransaction, putRow, replaceRow, requireState,
} from './rows.js';
export type {
	Condition, Json, Key, Row, StoreCall, StoreReply, Write,
} from './rows.js';
