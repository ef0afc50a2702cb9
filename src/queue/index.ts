export {
	decideDispatch, decideLimitedDispatch, decideAdmission, hasWaitedTooLong, orderQueue, pickNext, predictLimitedSendAt, spreadRetryAfter, suggestRetryAfter,
} from './queue.js';
export type {
	Dispatch, DispatchQuery, LimitedQuery, AdmissionDecision,
} from './queue.js';
