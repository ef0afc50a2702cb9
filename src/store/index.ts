export {getEra, rejectOutdated} from './store.js';
export {computeTransferWait} from './transfer-limit.js';
export type {
	ReplyTransfer, RowKey, StoredRow, StoreReply, StoreWrite, WrittenTable,
} from './store.js';
