export {
	addBill, handleGrantEvent, isGrantEmpty, releaseTokens, reserveTokens,
} from './handle.js';
export type {BudgetBody, GrantBody} from './handle.js';
export type {GrantContext, GrantEffect, GrantEvent} from './messages.js';
export {computeDrawTokens, defaultPolicy, recordDemand} from './policy.js';
export type {GrantPolicy} from './policy.js';
export {countFreeTokens, createBudgetGrant} from './state.js';
export type {BudgetGrant, BudgetGrants} from './state.js';
