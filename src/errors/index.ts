export {createValidationFault} from './validation.js';
export {errorResponses, createFault, createErrorResponse} from './kinds.js';
export type {ErrorKind, Fault, Outcome} from './kinds.js';
export {fail, succeed} from './result.js';
export type {Result} from './result.js';
