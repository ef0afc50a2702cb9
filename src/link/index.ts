export {createCredit, initialCreditBytes} from './credit.js';
export type {Credit} from './credit.js';
export {createBatchQueue} from './outbox.js';
export type {BatchQueue} from './outbox.js';
