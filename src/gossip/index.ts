export {
	choosePeers, isToldSeldom, maxGossipPeers, orderPeers,
} from './choose-peers.js';
export type {GossipPeer} from './choose-peers.js';
export {
	addPromptNews, encodeLoads, isMissingPeers, removeStalePeers, recordPeerLoads, replaceLoads, parseLoads, sumLoads,
} from './gossip.js';
export type {
	EndpointLoads, EndpointLoad, LoadReport, PeerLoads, PeerMessage, PromptNews, ReportedLoads,
} from './gossip.js';
