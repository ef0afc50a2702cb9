import {emptyConfig} from '../config/index.js';
import type {RouterState} from '../router/state.js';

/** The time of a tick in the model check: later than anything that waits. */
export const lateTick = 1e12;

/** When a request of the model check is given up. */
export const giveUpTime = 1e13;

/** The time of a tick after that. */
export const lastTick = 1e14;

/**
Puts all times in a router's state back to zero, and with them what is learned
from times. The model check explores every order of events, not every hour at
which they may happen; whatever waits for a time waits for the next tick.

@param state - The router.
@returns The router without times.
*/
export const freezeTimes = (state: RouterState): RouterState => ({
	...state,
	// Every tick of the check looks at every pot.
	ticks: 0,
	// The check lets a leaving router wait as long as it takes.
	leavingAt: Number.POSITIVE_INFINITY,
	pots: state.pots.map(pot => ({
		...pot,
		usedAt: 0,
		demand: 0,
		demandAt: 0,
		settledAt: 0,
		sync: pot.sync.step === 'waiting' ? {...pot.sync, until: 0, failures: 0} : (pot.sync.step === 'idle' ? pot.sync : {...pot.sync, failures: 0}),
	})),
	reach: {...state.reach, sync: state.reach.sync.step === 'idle' ? state.reach.sync : {...state.reach.sync, until: 0, failures: 0}},
	requests: state.requests.map(request => ({
		...request, arrivedAt: 0, phaseAt: 0, sealAt: request.sealAt === undefined ? undefined : 0,
	})),
	attempts: state.attempts.map(attempt => ({...attempt, sentAt: 0})),
	members: state.members.map(member => ({
		...member, openedAt: 0, firstToken: 0, failures: 0, ejectedUntil: 0, sentSince: 0, load: {...member.load, at: 0},
	})),
	reclaims: state.reclaims.map(reclaim => ({...reclaim, retryAt: Number.isFinite(reclaim.retryAt) ? 0 : reclaim.retryAt})),
	config: {...state.config, poll: state.config.poll.step === 'idle' ? {...emptyConfig.poll, head: state.config.poll.head} : {...state.config.poll, at: 0}},
	peers: state.peers.map(peer => ({...peer, heardAt: 0})),
	scannedAt: Number.isFinite(state.scannedAt) ? 0 : state.scannedAt,
	retryAllowance: Math.floor(state.retryAllowance),
});
