export {
	adoptStatement, canSend, computeNextSendAt, computeRank, computeRate, computeShare, listStatements, setShare, spendCredit, unlimited,
} from './rate-limit.js';
export type {RateLimit, RateLimitStatement} from './rate-limit.js';
