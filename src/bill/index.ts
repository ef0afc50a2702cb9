export {sumBills, buildBillWrites} from './bill.js';
export type {
	AttemptLocation, Bill, BillBatch, BillEntry,
} from './bill.js';
