export {handleOperation, startOperation} from './operation.js';
export type {Change, Operation, OperationEffect} from './operation.js';
