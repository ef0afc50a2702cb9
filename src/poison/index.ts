export {
	recordAbandonment, recordAnswer, recordOutput, recordUnreachable, refuteCrash,
} from './evidence.js';
export type {Evidence} from './evidence.js';
export {
	hasNews, hasPoisonNews, listPoisonNews, mergePoisonNews,
} from './news.js';
export type {PoisonNews} from './news.js';
export {createPoisonGuard, recordBreak, tickPoisonGuard} from './poison.js';
export type {PoisonGuard, VerdictChange} from './poison.js';
export {
	completeVerdictSave, createVerdictRows, decodeVerdicts, planVerdictSave, resetSavedVerdicts, verdictTable,
} from './rows.js';
export type {VerdictRows} from './rows.js';
export {
	formatSuspect, getSuspectId, getSuspectKind, listSuspects,
} from './suspects.js';
export type {Suspect, SuspectKind, Suspects} from './suspects.js';
export {decidePoison, startTrial} from './verdicts.js';
export type {PoisonDecision} from './verdicts.js';
