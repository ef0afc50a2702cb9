export {
	decodeClaim, decodeStoredAnswer, encodeStoredAnswer, buildClaimWrite,
} from './claim.js';
export type {
	Claim, ClaimBody, ClaimState, StoredAnswer,
} from './claim.js';
