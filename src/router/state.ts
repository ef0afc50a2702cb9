import {Map} from 'immutable';
import {defaultPolicy} from '../budget/index.js';
import type {GrantPolicy, Pots} from '../budget/index.js';
import {emptyConfig} from '../config/index.js';
import type {ConfigState} from '../config/index.js';
import {noMembers} from '../member/index.js';
import type {Members} from '../member/index.js';
import type {Operation} from '../operation/index.js';
import {createRegistration} from '../reach/index.js';
import type {Registration} from '../reach/index.js';
import type {Reclaim} from '../reclaim/index.js';
import type {OpenAttempt, Request} from '../request/state.js';

/** Another router as this one sees it. */
export type Peer = Readonly<{
	router: string;
	address: string;
	/** When it was last heard, in ms. */
	heardAt: number;
	revision: number;
}>;

/**
All that a router incarnation remembers. It lives in memory alone; what must
last is in the table service, or with the agents until it is.
*/
export type RouterState = Readonly<{
	incarnation: string;
	dataCentre: string;
	/** `fenced`: another router is taking its grants back, so it only finishes what runs. */
	phase: 'serving' | 'draining' | 'fenced' | 'closed';
	reach: Registration;
	pots: Pots;
	requests: Map<string, Request>;
	attempts: Map<string, OpenAttempt>;
	members: Members;
	config: ConfigState;
	reclaims: Map<string, Reclaim>;
	operations: Map<string, Operation>;
	peers: Map<string, Peer>;
	/** Attempts sent so far: names the next one. */
	counter: number;
	/** Retries that may still be made; grows with each request. */
	retryAllowance: number;
	policy: GrantPolicy;
	/** When it was asked to leave, in ms. */
	leavingAt: number;
	/** Ticks so far. */
	ticks: number;
	/** When rows of unknown routers were last looked for, in ms. */
	scannedAt: number;
	/** A safety rule to switch off; for the model check alone. */
	broken?: string;
}>;

/** Who a router is. */
export type Identity = Readonly<{incarnation: string; address: string; dataCentre: string}>;

/**
Creates the state of a fresh router.

@param identity - Who it is.
@param policy - How large its grants are.
@returns The state.
*/
export const createRouterState = (identity: Identity, policy: GrantPolicy = defaultPolicy): RouterState => ({
	incarnation: identity.incarnation,
	dataCentre: identity.dataCentre,
	phase: 'serving',
	reach: createRegistration(identity.incarnation, identity.address, identity.dataCentre),
	pots: Map(),
	requests: Map(),
	attempts: Map(),
	members: noMembers,
	config: emptyConfig,
	reclaims: Map(),
	operations: Map(),
	peers: Map(),
	counter: 0,
	retryAllowance: 10,
	policy,
	leavingAt: 0,
	ticks: 0,
	scannedAt: 0,
});
