export {
	creditRequest, createRetryBudget, spendRetry,
} from './allowance.js';
export type {RetryBudget, RetryBudgetBounds} from './allowance.js';
