export {boundServiceTime, recordServiceTime, retainServiceTimes} from './service-time.js';
export type {ServiceTimes} from './service-time.js';
