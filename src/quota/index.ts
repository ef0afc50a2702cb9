export {handleQuotaEvent} from './handle.js';
export type {QuotaStoreCall, QuotaEffect, QuotaEvent} from './messages.js';
export {
	chargeTokens, countAvailableTokens, countFreeTokens, countGrantableTokens, countSpareTokens, countSpendableTokens, createLocalQuota,
	estimateReturnMs, estimateSpareTokens, explainShortage, getBudgetHold, grantTokens, isLargeFleet, listLiveRouters, receiveTokens, recordUnmetDemand, reserveTokens, setPromisedTokens,
	setWaitingTokens,
} from './state.js';
export type {
	BudgetHold, PeerRouter, LocalQuota, Shortage,
} from './state.js';
