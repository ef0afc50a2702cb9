export {computeFingerprint, digestBody} from './fingerprint.js';
export {createInFlightRequest} from './request.js';
export type {
	ResponseHead, RequestHead, InFlightRequest, RequestPhase, ForwardingMetadata, ModelRequest,
} from './request.js';
