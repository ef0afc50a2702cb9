import type {ErrorKind} from '../errors/index.js';
import type {
	Answer, Attempt, AttemptOutcome, Order,
} from './state.js';

/** What an agent answers to a fence. */
export type FenceAnswer = Readonly<{
	/** `silent`: the agent does not hear the router, and nothing was changed. */
	state: 'serving' | 'silent' | 'pending' | 'fenced' | 'full' | 'gone';
	/** All attempts of the router whose bill is not known to be durable. */
	usages: readonly Attempt[];
}>;

/** What an agent answers to a seal. */
export type SealAnswer = Readonly<{
	state: 'sealed' | 'running' | 'done' | 'unknown' | 'gone' | 'full';
	answer?: Answer;
	tokens: number;
}>;

/** What happens to an agent. `call` ties an answer to its question. */
export type AgentEvent =
	| Readonly<{kind: 'session-opened'; router: string}>
	| Readonly<{kind: 'session-closed'; router: string; session: number}>
	| Readonly<{kind: 'ordered'; router: string; session: number; order: Order}>
	| Readonly<{kind: 'cancel-asked'; router: string; attempt: string}>
	/** The router has made these bills durable. */
	| Readonly<{kind: 'settled'; attempts: readonly string[]}>
	/** The endpoint has finished with an attempt. */
	| Readonly<{kind: 'attempt-ended'; attempt: string; outcome: AttemptOutcome; tokens: number; answer?: Answer}>
	/** `agent` is the incarnation that is meant. */
	| Readonly<{kind: 'fence-asked'; router: string; agent: string; probe: boolean; call: number}>
	/** The row of a fenced router is closed. */
	| Readonly<{kind: 'router-closed'; router: string}>
	| Readonly<{kind: 'seal-asked'; attempt: string; agent: string; call: number}>
	| Readonly<{kind: 'drain-asked'}>;

/** What an agent does. */
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
	/** The agent is leaving and nothing runs any more. */
	| Readonly<{kind: 'drained'}>;
