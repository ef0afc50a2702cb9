export {handlePurse} from './handle.js';
export type {PurseCall, PurseEffect, PurseEvent} from './messages.js';
export {
	chargeTokens, countFree, countRouters, countSpendable, createPurse, explainShortage, getHold, reserveTokens, wantTokens,
} from './state.js';
export type {
	BudgetHold, PeerRouter, Purse, Shortage,
} from './state.js';
