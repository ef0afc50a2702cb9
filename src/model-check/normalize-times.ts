import {emptyConfig} from '../config/index.js';
import type {RouterState} from '../router/state.js';

/** Time of a tick in the model check, in ms: later than every timer, so that all of them fire. */
export const lateTickMs = 1e12;

/** Deadline of the requests in the model check, in ms: later than the ordinary ticks. */
export const requestDeadlineMs = 1e13;

/** Time of the tick at which the requests pass their deadline, in ms. */
export const finalTickMs = 1e14;

/**
Resets all times in a router's state, and the estimates derived from them. The
model check explores every order of events but not the times between them, so
states that differ only in time count as one. Each timer fires at the next tick.

@param state - The state of the router.
@returns The state with its times normalized.
*/
export const normalizeTimes = (state: RouterState): RouterState => ({
	...state,
	// Each tick of the model check processes all grants, idle ones included.
	ticks: 0,
	// In the model check, a draining router waits without a time limit.
	leavingAt: Number.POSITIVE_INFINITY,
	pots: state.pots.map(grant => ({
		...grant,
		usedAt: 0,
		demand: 0,
		demandAt: 0,
		settledAt: 0,
		sync: grant.sync.step === 'waiting' ? {...grant.sync, until: 0, failures: 0} : (grant.sync.step === 'idle' ? grant.sync : {...grant.sync, failures: 0}),
	})),
	reach: {...state.reach, sync: state.reach.sync.step === 'idle' ? state.reach.sync : {...state.reach.sync, until: 0, failures: 0}},
	requests: state.requests.map(request => ({
		...request, arrivedAt: 0, phaseAt: 0, sealAt: request.sealAt === undefined ? undefined : 0,
	})),
	attempts: state.attempts.map(attempt => ({...attempt, sentAt: 0})),
	agents: state.agents.map(view => ({
		...view, openedAt: 0, firstToken: 0, failures: 0, ejectedUntil: 0, sentSince: 0, load: {...view.load, at: 0},
	})),
	reclaims: state.reclaims.map(reclaim => ({...reclaim, retryAt: Number.isFinite(reclaim.retryAt) ? 0 : reclaim.retryAt})),
	config: {...state.config, poll: state.config.poll.step === 'idle' ? {...emptyConfig.poll, head: state.config.poll.head} : {...state.config.poll, at: 0}},
	peers: state.peers.map(peer => ({...peer, heartbeatReceivedAt: 0})),
	scannedAt: Number.isFinite(state.scannedAt) ? 0 : state.scannedAt,
	retryBudget: Math.floor(state.retryBudget),
});
