export {chooseAgent, countLoad} from './choose.js';
export type {RouteChoice, RouteQuery} from './choose.js';
