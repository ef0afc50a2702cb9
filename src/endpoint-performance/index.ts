export {
	blendWorkFactor, computeSlots, countStatedRequests, recordStatedLoad,
} from './load-report.js';
export type {LoadReport, StatedLoad} from './load-report.js';
export {priorRates} from './rates.js';
export type {ServiceRates} from './rates.js';
