export {sumBills, writeBills} from './bill.js';
export type {
	AttemptPlace, Bill, BillBatch, BillEntry,
} from './bill.js';
