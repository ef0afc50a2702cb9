export {createStorePaths, recordPathResult, orderPaths} from './path.js';
export type {StorePath, StorePaths} from './path.js';
