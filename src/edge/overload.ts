import {updateReadiness} from '../readiness/index.js';
import type {Fleet} from '../readiness/index.js';
import {createLogEffect} from './common.js';
import type {EdgeEvent} from './messages.js';
import type {EdgeState, EdgeStep} from './state.js';

/** Describes the other routers. A neighbour that is not heard may be down, and is not relied on to take connections. */
const describeFleet = ({dataCentre, peers, quota}: EdgeState): Fleet => {
	const heard = peers.entrySeq().toArray();
	return {
		neighbours: [
			...heard.filter(([, peer]) => peer.dataCentre === dataCentre).map(([router, {isOverloaded, isPressed, isLeading, cores, spareCores}]) => ({
				router, isOverloaded, isPressed, isLeading, cores, spareCores,
			})),
			...quota.peers.entrySeq().toArray()
				.filter(([router, peer]) => peer.isLive && peer.dataCentre === dataCentre && !peers.has(router))
				.map(([router]) => ({
					router, isOverloaded: true, isPressed: true, isLeading: false, cores: 0, spareCores: 0,
				})),
		],
		remoteSpareCores: heard.reduce((sum, [, peer]) => sum + (peer.dataCentre === dataCentre ? 0 : peer.spareCores), 0),
	};
};

/**
Records how much of its CPU share the process uses, and decides whether it says that it is not ready.

@param state - The edge state.
@param event - The measurement.
@param now - The current time in ms.
@returns The new state, and a log line if that changes.
*/
export const receiveLoad = (state: EdgeState, sample: EdgeEvent & {kind: 'load-measured'}, now: number): EdgeStep => {
	const {readinessLimits: limits, readiness: before} = state;
	if (limits === undefined) {
		return {state, effects: []};
	}

	const fleet = describeFleet(state);
	const {neighbours} = fleet;
	const readiness = updateReadiness(before, {...sample, now}, limits, state.quota.router, fleet);
	return {
		// Neighbours learn of it with the next message.
		state: {...state, readiness},
		effects: readiness.isOverloaded === before.isOverloaded
			? []
			: [createLogEffect(readiness.isOverloaded ? 'overload-began' : 'overload-ended', {
				lag: Math.round(readiness.lagMs),
				used: readiness.usedFraction.toFixed(2),
				shed: readiness.shedFraction.toFixed(2),
				share: limits.cpuShare,
				scope: readiness.scope,
				leading: readiness.isLeading || undefined,
				remoteSpare: readiness.remoteSpareCores.toFixed(1),
				neighbours: neighbours.length,
				overloaded: neighbours.filter(({isOverloaded}) => isOverloaded).length,
				calls: state.requests.size,
			})],
	};
};
