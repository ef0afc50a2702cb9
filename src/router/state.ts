import {Map} from 'immutable';
import {defaultPolicy} from '../budget/index.js';
import type {GrantPolicy, BudgetGrants} from '../budget/index.js';
import {emptyConfig} from '../config/index.js';
import type {ConfigState} from '../config/index.js';
import {noAgents} from '../agent-view/index.js';
import type {AgentViews} from '../agent-view/index.js';
import type {Operation} from '../operation/index.js';
import {createRegistration} from '../registration/index.js';
import type {Registration} from '../registration/index.js';
import type {Reclaim} from '../reclaim/index.js';
import type {OpenAttempt, Request} from '../request/state.js';

/** Another router, as known to this one. */
export type Peer = Readonly<{
	router: string;
	address: string;
	/** When the last heartbeat from it was received, in ms. */
	heartbeatReceivedAt: number;
	/** The configuration revision that it has in force. */
	revision: number;
}>;

/**
The state of a router incarnation. It is kept in memory only; what must be durable
is in the table service, or kept by the agents until it is.
*/
export type RouterState = Readonly<{
	incarnation: string;
	dataCentre: string;
	/** `fenced`: another router reclaims its grants, so it only finishes what is in flight. */
	phase: 'serving' | 'draining' | 'fenced' | 'closed';
	/** The router's registration: its own row, and the agents listed there. */
	reach: Registration;
	/** The router's grants, by budget. */
	pots: BudgetGrants;
	requests: Map<string, Request>;
	attempts: Map<string, OpenAttempt>;
	agents: AgentViews;
	config: ConfigState;
	reclaims: Map<string, Reclaim>;
	operations: Map<string, Operation>;
	peers: Map<string, Peer>;
	/** Number of attempts sent so far, used to name the next one. */
	attemptCounter: number;
	/** Number of retries that may still be made. It grows with each request. */
	retryBudget: number;
	policy: GrantPolicy;
	/** When its shutdown began, in ms; 0 before. */
	leavingAt: number;
	/** Number of ticks passed to the grants. */
	ticks: number;
	/** When the store was last scanned for rows of unknown routers, in ms. */
	scannedAt: number;
	/** A safety rule to disable; used only by the model checker. */
	disabledRule?: string;
}>;

/** Identity of a router incarnation. */
export type RouterIdentity = Readonly<{incarnation: string; address: string; dataCentre: string}>;

/**
Creates the initial state of a router.

@param identity - The router's identity.
@param policy - The policy for the size of its grants.
@returns The state.
*/
export const createRouterState = (identity: RouterIdentity, policy: GrantPolicy = defaultPolicy): RouterState => ({
	incarnation: identity.incarnation,
	dataCentre: identity.dataCentre,
	phase: 'serving',
	reach: createRegistration(identity.incarnation, identity.address, identity.dataCentre),
	pots: Map(),
	requests: Map(),
	attempts: Map(),
	agents: noAgents,
	config: emptyConfig,
	reclaims: Map(),
	operations: Map(),
	peers: Map(),
	attemptCounter: 0,
	retryBudget: 10,
	policy,
	leavingAt: 0,
	ticks: 0,
	scannedAt: 0,
});
