export {createStorePaths, recordPathResult, orderPaths} from './store-path.js';
export type {StorePath, StorePaths} from './store-path.js';
