export {createPaths, learnPath, orderPaths} from './path.js';
export type {Path, Paths} from './path.js';
