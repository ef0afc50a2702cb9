export {createCredit, initialCreditBytes} from './credit.js';
export type {Credit} from './credit.js';
export {createOutbox} from './outbox.js';
export type {Outbox} from './outbox.js';
