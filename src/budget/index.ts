export {
	addBill, handlePot, isSpentOut, releaseTokens, reserveTokens,
} from './handle.js';
export type {BudgetBody, GrantBody} from './handle.js';
export type {PotContext, PotEffect, PotEvent} from './messages.js';
export {computeDrawTokens, defaultPolicy, noteDemand} from './policy.js';
export type {GrantPolicy} from './policy.js';
export {countFree, createPot} from './state.js';
export type {Pot, Pots} from './state.js';
