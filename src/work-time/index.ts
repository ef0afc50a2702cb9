export {createWorkMeter, workStages} from './work-time.js';
export type {WorkMeter, WorkStage, WorkTotals} from './work-time.js';
