export {createCredit, initialCreditBytes} from './credit.js';
export type {Credit} from './credit.js';
export {createBatchQueue} from './batch-queue.js';
export type {BatchQueue} from './batch-queue.js';
