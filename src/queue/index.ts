export {
	decideDispatch, decideAdmission, hasWaitedTooLong, orderQueue, suggestRetryAfter,
} from './queue.js';
export type {Dispatch, DispatchQuery, AdmissionDecision} from './queue.js';
