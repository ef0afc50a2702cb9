export {getEra, rejectOutdated} from './store.js';
export type {
	ReplyTransfer, RowKey, StoredRow, StoreReply, StoreWrite,
} from './store.js';
