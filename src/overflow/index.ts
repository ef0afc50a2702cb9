export {
	computeRemoteCostMs, defaultRemoteCostMs, hasSlotsForOthers, isOverflowing, noOverflow, recordAdvantage, shouldOverflow,
} from './overflow.js';
export type {Overflow} from './overflow.js';
