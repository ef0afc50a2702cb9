export {createReclaim, handleReclaim} from './reclaim.js';
export type {Reclaim, ReclaimEffect, ReclaimEvent} from './reclaim.js';
