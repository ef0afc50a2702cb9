export {
	boundWait, createReadDelay, decideQueueAction, recordAcceptance, recordLag, recordPoll, recordProbe, recordProbeSent, recordQueuePoll,
} from './read-delay.js';
export type {Acceptance, QueueAction, ReadDelay} from './read-delay.js';
