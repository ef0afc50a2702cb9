export {
	addPromptNews, encodeLoads, isMissingPeers, isToldSeldom, maxGossipPeers, removeStalePeers, recordPeerLoads, parseLoads, sumLoads,
} from './gossip.js';
export type {
	EndpointLoads, EndpointLoad, LoadReport, PeerLoads, PeerMessage, PromptNews,
} from './gossip.js';
