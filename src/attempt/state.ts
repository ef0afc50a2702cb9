import {Map} from 'immutable';

/**
The outcome of an attempt. `not-run`: the endpoint never received the work; `failed`: its
answer was cut short; `unknown`: it may have done work that must run at most once, and did not report it.
*/
export type AttemptOutcome = 'done' | 'not-run' | 'failed' | 'unknown' | 'cancelled';

/** The answer to an at-most-once request, kept until its claim is durable. */
export type Answer = Readonly<{status: number; contentType: string; body: Uint8Array}>;

/** A router's request to an agent to run an attempt. */
export type AttemptSpec = Readonly<{
	attempt: string;
	request: string;
	/** The agent incarnation that it is meant for. */
	agent: string;
	organisation: string;
	budget: string;
	/** Maximum cost of the attempt in tokens. */
	cap: number;
	/** True if another router may bill the same request. */
	keyed: boolean;
	/** The Idempotency-Key of work that may run at most once; undefined for other work. */
	claimKey?: string;
}>;

/** An attempt that the agent has accepted. */
export type Attempt = AttemptSpec & Readonly<{
	router: string;
	state: 'running' | 'ended';
	outcome?: AttemptOutcome;
	/** Tokens used; at most the cap. */
	tokens: number;
	answer?: Answer;
}>;

/** An agent's record of a router incarnation. */
export type RouterView = Readonly<{
	/** `heard`: its session is open; `silent`: its session closed; `fenced`: no new session or attempt is accepted. */
	state: 'heard' | 'silent' | 'fenced';
	/** Number of sessions opened, and the number of the current one; messages of older sessions are dropped. */
	session: number;
}>;

/**
The state of an agent incarnation. It is held in memory only, and a restarted
agent is a new incarnation.
*/
export type AgentState = Readonly<{
	incarnation: string;
	phase: 'serving' | 'leaving';
	/** Maximum number of concurrent attempts. */
	capacity: number;
	running: number;
	routers: Map<string, RouterView>;
	attempts: Map<string, Attempt>;
	/** Ids of attempts that the agent has promised never to run, with the time of the promise in ms. */
	sealed: Map<string, number>;
}>;

/** Maximum number of attempts kept; at this limit new attempts are refused. */
export const maxKeptAttempts = 20_000;
/** Maximum number of sealed attempts kept; at this limit no other attempt is sealed. */
export const maxSealedAttempts = 10_000;
/** Number of router incarnations kept; at this limit `silent` ones are evicted and no unknown router is fenced. */
export const maxKnownRouters = 10_000;

/**
Creates the state of a new agent incarnation.

@param incarnation - A random id that is never reused.
@param capacity - Maximum number of concurrent attempts.
@returns The state.
*/
export const createAgentState = (incarnation: string, capacity: number): AgentState => ({
	incarnation, phase: 'serving', capacity, running: 0, routers: Map(), attempts: Map(), sealed: Map(),
});
