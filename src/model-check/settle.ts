import {finalTickMs} from './normalize-times.js';
import {digestCluster} from './serialize.js';
import {listTransitions} from './transitions.js';
import {addRouter, noFaults, startPeerMonitoring} from './state.js';
import {applyTransition, deliverRouterEvent} from './simulate.js';
import type {Transition, ClusterState} from './state.js';

const maxRounds = 60;
const maxDeliveries = 300;
const reclaimerName = 'z';

const isProgress = (transition: Transition): boolean => transition.type !== 'tick' && transition.type !== 'gossip';

/**
Applies transitions other than ticks and gossip, always the first one that is
listed, until none is left.

@param cluster - The state of the cluster.
@param limit - Maximum number of transitions.
@returns The state in which nothing is pending, or the one at the limit.
*/
export const deliverAll = (cluster: ClusterState, limit: number): ClusterState => {
	const transition = listTransitions(cluster).find(each => isProgress(each));
	return transition === undefined || limit === 0 ? cluster : deliverAll(applyTransition(cluster, transition), limit - 1);
};

/**
Sends one tick to each router, and delivers everything before the first tick and
after each one.

@param cluster - The state of the cluster.
@returns The state after the last delivery.
*/
export const tickAll = (cluster: ClusterState): ClusterState => cluster.routers.keySeq().reduce(
	(current, router) => deliverAll(applyTransition(current, {type: 'tick', router}), maxDeliveries),
	deliverAll(cluster, maxDeliveries),
);

const runUntilStable = (cluster: ClusterState, rounds: number): ClusterState => {
	const next = tickAll(cluster);
	return rounds === 0 || digestCluster(next) === digestCluster(cluster) ? next : runUntilStable(next, rounds - 1);
};

/**
Runs a cluster until it settles: no more faults occur, everything is delivered,
the routers shut down gracefully, and a new router reclaims the grants and claims
that they may have left open.

@param cluster - The state of the cluster.
@returns The state in which it has settled.
*/
export const settleCluster = (cluster: ClusterState): ClusterState => {
	const stable = runUntilStable({...cluster, faults: noFaults}, maxRounds);
	const expired = runUntilStable(stable.routers.keySeq().reduce((current, router) => deliverRouterEvent(current, router, {kind: 'tick'}, finalTickMs), stable), maxRounds);
	const draining = expired.routers.keySeq().reduce((current, router) => deliverRouterEvent(current, router, {kind: 'drain-asked'}), expired);
	const closed = startPeerMonitoring(addRouter(runUntilStable(draining, maxRounds), reclaimerName), reclaimerName);
	const reclaimed = runUntilStable(closed, maxRounds);
	return runUntilStable(deliverRouterEvent(reclaimed, reclaimerName, {kind: 'drain-asked'}), maxRounds);
};
