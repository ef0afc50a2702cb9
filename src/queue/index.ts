export {
	decideDispatch, decideLimitedDispatch, decideAdmission, hasWaitedTooLong, orderQueue, pickNext, predictLimitedSendAt, spreadRetryAfter, suggestRetryAfter,
} from './queue.js';
export type {
	AdmissionDecision, AdmissionQuery, Dispatch, DispatchQuery, LimitedQuery,
} from './queue.js';
