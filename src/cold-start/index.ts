export {
	adoptColdStatement, canSendCold, computeColdRate, computeNextColdSendAt, defaultColdBounds, findColdShare, isCold, isColdLimited, setColdLimits, spendColdCredit,
} from './cold-start.js';
export type {ColdBounds, ColdStart, ColdStatement} from './cold-start.js';
export {listPossibleRouters, recordSightings} from './routers.js';
export type {RouterQuery, RouterSightings} from './routers.js';
