export {formatLine, openLog} from './log.js';
export type {Field, Log} from './log.js';
