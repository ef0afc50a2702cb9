export {defaultEngineProfile, computeExpectedAnswer, startEngine} from './engine.js';
export type {EngineFaults, EngineStandin} from './engine.js';
export {startHosts} from './hosts.js';
export type {HostEntry, HostsStandin} from './hosts.js';
export {startService} from './service.js';
export type {ServiceStandin} from './service.js';
export {startTable} from './table.js';
export type {TableStandin} from './table.js';
