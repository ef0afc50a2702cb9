export {hashText} from './hash.js';
export {createRandom} from './random.js';
export type {Random} from './random.js';
