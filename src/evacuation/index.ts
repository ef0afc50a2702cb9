export {noEvacuations, replaceEvacuations, updateEvacuations} from './evacuation.js';
export type {EvacuationChange, Evacuations} from './evacuation.js';
