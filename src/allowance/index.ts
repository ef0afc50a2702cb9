export {
	countArrival, createAllowance, spendRepeat,
} from './allowance.js';
export type {Allowance, AllowanceBounds} from './allowance.js';
