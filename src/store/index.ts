export type {
	RowKey, StoredRow, StoreReply, StoreWrite,
} from './store.js';
