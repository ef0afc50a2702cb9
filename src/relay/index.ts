export {startRelay} from './relay.js';
export type {Relay} from './relay.js';
export {relaySettings} from './settings.js';
export type {RelaySettings} from './settings.js';
