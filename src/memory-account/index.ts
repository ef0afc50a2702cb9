export {
	admitRequest, canKeepAll, createAccount, listExcess, removeHolding, setHolding,
} from './account.js';
export type {
	Admission, Holding, HoldingKind, MemoryAccount,
} from './account.js';
export {computeAccountLimits, defaultMachineLimits} from './limits.js';
export type {AccountLimits, MachineLimits} from './limits.js';
