export {
	computeReturnDelay, extendPushback, hasRoom, isAtRest, recordPushbackClose, recordPushbackSend, recordPushbackSuccess,
} from './pushback.js';
export type {Pushback} from './pushback.js';
