export {
	blendWorkFactor, getStatedWorkFactor, judgeStatement, computeSlots, countStatedRequests, recordStatedLoad,
} from './load-report.js';
export type {LoadReport, StatedLoad} from './load-report.js';
export {
	canJudgeEndpoint, computeRates, priorRates, recordObservation, unknownPerformance,
} from './rates.js';
export type {ServicePerformance, ServiceRates, Workload} from './rates.js';
export {isExact, selectTime} from './response-time.js';
export type {ResponseTime} from './response-time.js';
