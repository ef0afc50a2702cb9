export {
	readClaim, restoreAnswer, storeAnswer, writeClaim,
} from './claim.js';
export type {
	Claim, ClaimBody, ClaimState, StoredAnswer,
} from './claim.js';
