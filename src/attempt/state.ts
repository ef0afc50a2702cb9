import {Map} from 'immutable';

/**
How an attempt ended. `not-run`: the endpoint never got the work; `failed`: its
answer broke off; `unknown`: it may have done an act and did not say.
*/
export type AttemptOutcome = 'done' | 'not-run' | 'failed' | 'unknown' | 'cancelled';

/** The answer of an act, kept until its claim is durable. */
export type Answer = Readonly<{status: number; contentType: string; body: Uint8Array}>;

/** What a router asks an agent to run. */
export type Order = Readonly<{
	attempt: string;
	request: string;
	/** The agent incarnation that the order is meant for. */
	agent: string;
	organisation: string;
	budget: string;
	/** Tokens that the attempt may cost at the most. */
	cap: number;
	/** True if another router may bill the same request. */
	keyed: boolean;
	/** The Idempotency-Key of work that may run once at the most; undefined for other work. */
	claimKey?: string;
}>;

/** An attempt that the agent has accepted. */
export type Attempt = Order & Readonly<{
	router: string;
	state: 'running' | 'ended';
	outcome?: AttemptOutcome;
	/** Tokens used; at most the cap. */
	tokens: number;
	answer?: Answer;
}>;

/** What the agent knows of a router incarnation. */
export type RouterView = Readonly<{
	state: 'heard' | 'silent' | 'fenced';
	/** Sessions opened so far; messages of an older one are dropped. */
	session: number;
}>;

/**
All that an agent incarnation remembers. It lives in memory alone: a restarted
agent is a new incarnation.
*/
export type AgentState = Readonly<{
	incarnation: string;
	phase: 'serving' | 'leaving';
	/** Attempts that may run at once. */
	capacity: number;
	running: number;
	routers: Map<string, RouterView>;
	attempts: Map<string, Attempt>;
	/** Attempts that will never run, by id, with the time of the promise in ms. */
	sealed: Map<string, number>;
}>;

/** Attempts whose usage the agent keeps at the most; beyond it new work is refused. */
export const maxKept = 20_000;
/** Promises not to run that the agent keeps at the most; beyond it no attempt is sealed. */
export const maxSealed = 10_000;
/** Router incarnations that the agent remembers at the most; beyond it none is fenced. */
export const maxRouters = 10_000;

/**
Creates the state of a fresh agent.

@param incarnation - A random id, never used again.
@param capacity - Attempts that may run at once.
@returns The state.
*/
export const createAgentState = (incarnation: string, capacity: number): AgentState => ({
	incarnation, phase: 'serving', capacity, running: 0, routers: Map(), attempts: Map(), sealed: Map(),
});
