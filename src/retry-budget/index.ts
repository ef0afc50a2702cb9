export {
	creditRequest, createRetryBudget, spendRetry,
} from './retry-budget.js';
export type {RetryBudget, RetryBudgetBounds} from './retry-budget.js';
