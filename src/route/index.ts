export {chooseAgent, countLoad} from './choose.js';
export type {Choice, RouteQuery} from './choose.js';
