export {createInFlightRequest} from './flight.js';
export type {
	ResponseHead, RequestHead, InFlightRequest, RequestPhase, ForwardingMetadata, ModelRequest,
} from './flight.js';
