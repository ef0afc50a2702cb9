export {
	boundResponseTime, boundStreamTime, noServiceTimes, recordResponseTime, recordStreamTime, retainServiceTimes,
} from './service-time.js';
export type {EndedStream, ServiceTimes, StreamSize} from './service-time.js';
