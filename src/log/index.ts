export type {BoundedLog, Level} from './bounded.js';
export {formatLine} from './line.js';
export type {Field, Fields} from './line.js';
export {openLog} from './log.js';
export type {Log} from './log.js';
