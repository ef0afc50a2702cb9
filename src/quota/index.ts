export {handleQuotaEvent} from './handle.js';
export type {QuotaStoreCall, QuotaEffect, QuotaEvent} from './messages.js';
export {
	chargeTokens, countFreeTokens, countSpendableTokens, createLocalQuota, explainShortage, getBudgetHold, listLiveRouters, recordUnmetDemand, reserveTokens,
	setWaitingTokens,
} from './state.js';
export type {
	BudgetHold, PeerRouter, LocalQuota, Shortage,
} from './state.js';
