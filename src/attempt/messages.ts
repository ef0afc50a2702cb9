import type {ErrorKind} from '../errors/index.js';
import type {
	Answer, Attempt, AttemptOutcome, AttemptSpec,
} from './state.js';

/** An agent's reply to a fence request. */
export type FenceAnswer = Readonly<{
	/**
	`serving`: the router has an open session; `silent`: it has none (reply to a probe, which changes nothing);
	`pending`: fenced, but attempts still run; `fenced`: no attempt runs; `full`: the agent cannot
	remember another router; `gone`: the agent incarnation that was meant has ended.
	*/
	state: 'serving' | 'silent' | 'pending' | 'fenced' | 'full' | 'gone';
	/** In state `fenced`, all attempts of the router whose bill is not known to be durable; empty otherwise. */
	usages: readonly Attempt[];
}>;

/** An agent's reply to a seal: a request to promise that an attempt will never run, or to report its outcome. */
export type SealAnswer = Readonly<{
	/**
	`sealed`: the attempt will never run; `running`: it has not ended; `done`: it ended with an answer;
	`unknown`: it ended without one; `gone`: the agent incarnation that was meant has ended;
	`full`: the agent cannot remember another promise.
	*/
	state: 'sealed' | 'running' | 'done' | 'unknown' | 'gone' | 'full';
	answer?: Answer;
	/** Tokens that the attempt used. */
	tokens: number;
}>;

/** An event for an agent. `call` matches a reply to its request. */
export type AgentEvent =
	| Readonly<{kind: 'session-opened'; router: string}>
	| Readonly<{kind: 'session-closed'; router: string; session: number}>
	| Readonly<{kind: 'ordered'; router: string; session: number; order: AttemptSpec}>
	| Readonly<{kind: 'cancel-asked'; router: string; attempt: string}>
	/** The router has made these bills durable. */
	| Readonly<{kind: 'settled'; attempts: readonly string[]}>
	/** The endpoint has finished with an attempt. */
	| Readonly<{kind: 'attempt-ended'; attempt: string; outcome: AttemptOutcome; tokens: number; answer?: Answer}>
	/** `agent` is the agent incarnation that the request is meant for. */
	| Readonly<{kind: 'fence-asked'; router: string; agent: string; probe: boolean; call: number}>
	/** The row of a fenced router is closed. */
	| Readonly<{kind: 'router-closed'; router: string}>
	| Readonly<{kind: 'seal-asked'; attempt: string; agent: string; call: number}>
	| Readonly<{kind: 'drain-asked'}>;

/** An effect of an agent. */
export type AgentEffect =
	| Readonly<{kind: 'accept-session'; router: string; session: number; kept: readonly Attempt[]}>
	| Readonly<{kind: 'refuse-session'; router: string}>
	| Readonly<{kind: 'start'; attempt: Attempt}>
	| Readonly<{kind: 'cancel'; attempt: string}>
	| Readonly<{kind: 'refuse'; router: string; attempt: string; error: ErrorKind}>
	| Readonly<{kind: 'report-end'; attempt: Attempt}>
	| Readonly<{kind: 'forgotten'; router: string; attempts: readonly string[]}>
	| Readonly<{kind: 'answer-fence'; call: number; answer: FenceAnswer}>
	| Readonly<{kind: 'answer-seal'; call: number; answer: SealAnswer}>
	/** The agent is shutting down and no attempt is running. */
	| Readonly<{kind: 'drained'}>;
