export {
	adoptStatement, canSend, computeNextSendAt, computeRate, computeShare, listStatements, setShare, spendCredit, unlimited,
} from './rate-limit.js';
export type {RateLimit, RateLimitStatement} from './rate-limit.js';
