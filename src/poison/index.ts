export {
	createPoisonGuard, decidePoison, hasPoisonNews, listPoisonNews, listSharedParts, mergePoisonNews, recordBreak, recordOutput, refuteCrash, startTrial, tickPoisonGuard,
} from './poison.js';
export type {
	PoisonDecision, PoisonGuard, PoisonNews, SharedParts, VerdictChange,
} from './poison.js';
export {
	completeVerdictSave, createVerdictRows, decodeVerdicts, planVerdictSave, verdictTable,
} from './rows.js';
export type {VerdictRows} from './rows.js';
