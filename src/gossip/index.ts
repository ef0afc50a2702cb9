export {
	addPromptNews, encodeLoads, isMissingPeers, maxGossipPeers, removeStalePeers, recordPeerLoads, parseLoads, sumLoads,
} from './gossip.js';
export type {
	EndpointLoads, EndpointLoad, PeerLoads, PeerMessage, PromptNews,
} from './gossip.js';
