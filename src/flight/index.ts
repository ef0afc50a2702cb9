export {createInFlightRequest} from './flight.js';
export type {
	AnswerHead, CallHead, InFlightRequest, RequestPhase, Sending, Work,
} from './flight.js';
