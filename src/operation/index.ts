export {handleOperation, startOperation} from './operation.js';
export type {OperatorChange, Operation, OperationEffect} from './operation.js';
