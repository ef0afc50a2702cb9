export {createPaths, learnPath, orderPaths} from './path.js';
export type {StorePath, StorePaths} from './path.js';
