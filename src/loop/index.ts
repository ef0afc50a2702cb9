export {computeBackoff} from './backoff.js';
export {runInBackground} from './background.js';
export {startLoop} from './loop.js';
export type {Handler, Loop, Step} from './loop.js';
export {sleep, waitUntil} from './sleep.js';
export {chain, chainAll, keepState} from './step.js';
