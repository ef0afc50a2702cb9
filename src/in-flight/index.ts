export {computeFingerprint, digestBody} from './fingerprint.js';
export {createInFlightRequest, isUnanswered} from './request.js';
export type {
	ResponseHead, RequestHead, InFlightRequest, RequestPhase, ForwardingMetadata, ModelRequest, UnansweredRequest,
} from './request.js';
