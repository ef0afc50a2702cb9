export {
	describeLoads, dropSilent, hearLoads, parseLoads, sumLoads,
} from './gossip.js';
export type {Loads, PeerLoad, PeerLoads} from './gossip.js';
