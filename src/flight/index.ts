export {createFlight} from './flight.js';
export type {
	AnswerHead, CallHead, Flight, Phase, Sending, Work,
} from './flight.js';
