import type {Map} from 'immutable';
import {hashText} from '../random/index.js';

/** A router that may be told of loads. */
export type GossipPeer = Readonly<{
	router: string;
	/** IP address and port. */
	peerAddress: string;
	/** True if it lives by its row in the store. */
	isLive: boolean;
}>;

/** Limit of peers that receive load messages, so that traffic per router does not grow with the fleet. The choice is stable while the peers are alive. */
export const maxGossipPeers = 16;

/** Limit of these that are in the own data centre, if there are others: what endpoints crash on must reach all data centres. */
const maxNearPeers = 12;

/** Peers up to which all are told at the same rate. */
const maxPeersAtFullRate = 6;

/**
Tells whether a peer is to be told less often.

Load pattern: dozens of routers tell each other of their load several times a second, which
takes bytes between data centres and processor time. Endpoints get most requests from their
own data centre, so routers elsewhere need to know less of them. A router whose data centre is
not known has sent nothing to this one, as those of the same data centre do.

@param peerDataCentre - Data centre of the peer; undefined if it is not known.
@param dataCentre - Data centre of this router.
@param peerCount - Number of peers that are told.
@returns True for a peer that is not known to be in the same data centre, unless there are few peers.
*/
export const isToldSeldom = (peerDataCentre: string | undefined, dataCentre: string, peerCount: number): boolean =>
	peerCount > maxPeersAtFullRate && peerDataCentre !== dataCentre;

/**
Orders the routers of a fleet by their distance in a hash from one of them, so that each tells other ones.

@param router - The router that tells them.
@param peers - The other routers.
@returns Those with an address, the nearest first.
*/
export const orderPeers = (router: string, peers: readonly GossipPeer[]): readonly GossipPeer[] => peers
	.filter(({peerAddress}) => peerAddress !== '')
	.map(peer => ({peer, distance: hashText(`${router}/${peer.peerAddress}`)}))
	.toSorted((a, b) => a.distance - b.distance)
	.map(({peer}) => peer);

/** What the choice of peers depends on. */
export type PeerQuery = Readonly<{
	/** Candidates, the preferred ones first. */
	ordered: readonly GossipPeer[];
	/** Data centre of this router. */
	dataCentre: string;
	/** Data centres of the peers that have named theirs. */
	dataCentres: Map<string, string>;
	/** True while this router sends a part of its load to other data centres, whose routers must know of it as soon as neighbours do. */
	isOverflowing?: boolean;
	/** Number of the round in which peers are told seldom. */
	round: number;
}>;

/**
Chooses the peers that are told of loads.

Load pattern: of 26 routers in 4 data centres, each told 16 of the others, whatever their data centre. A router knew the load of
4 of 6 neighbours, and told 7 of those elsewhere as often as neighbours, since it did not hear from them. Neighbours come first
now. One other router is told in addition each round, in turn, so that neighbours find each other.

@param query - The candidates and what is known of them.
@returns The peers that are told often and seldom.
*/
export const choosePeers = ({
	ordered, dataCentre, dataCentres, isOverflowing = false, round,
}: PeerQuery): Readonly<{often: readonly GossipPeer[]; seldom: readonly GossipPeer[]}> => {
	const isNear = ({router}: GossipPeer) => dataCentres.get(router) === dataCentre;
	const near = ordered.filter(peer => isNear(peer));
	const far = ordered.filter(peer => !isNear(peer));
	const ranked = [...near.slice(0, maxNearPeers), ...far, ...near.slice(maxNearPeers)];
	const told = ranked.slice(0, maxGossipPeers);
	const rest = ranked.slice(maxGossipPeers);
	const [often, seldom] = [false, true].map(isSeldom => told.filter(({router}) => (!isOverflowing && isToldSeldom(dataCentres.get(router), dataCentre, told.length)) === isSeldom));
	return {often: often!, seldom: rest.length === 0 ? seldom! : [...seldom!, rest[round % rest.length]!]};
};
