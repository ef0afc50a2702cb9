import type {
	Answer, AttemptOutcome, FenceAnswer, SealAnswer,
} from '../attempt/index.js';
import type {Revision} from '../config/index.js';
import type {ErrorKind, Fault} from '../errors/index.js';
import type {Step} from '../loop/index.js';
import type {AgentDescription} from '../agent-view/index.js';
import type {OperatorChange} from '../operation/index.js';
import type {OpenAttempt, RequestSpec, Request} from '../request/state.js';
import type {JsonValue, StoreCall, StoreReply} from '../table/index.js';
import type {RouterState} from './state.js';

/** The part of the router that a store call belongs to. At most one call per tag is in flight. */
export type StoreTag = Readonly<{
	slice: 'pot' | 'reach' | 'claim' | 'config' | 'reclaim' | 'operation' | 'scan';
	subject: string;
}>;

/** Events that a router handles. */
export type RouterEvent =
	| Readonly<{kind: 'request-arrived'; order: RequestSpec}>
	| Readonly<{kind: 'caller-left'; request: string}>
	| Readonly<{kind: 'store-replied'; tag: StoreTag; reply: StoreReply; random: number}>
	| Readonly<{kind: 'session-opened'; introduction: AgentDescription; kept: readonly string[]}>
	/** `broken` lists the attempts whose answers were being streamed, with the number of parts delivered. */
	| Readonly<{kind: 'session-closed'; agent: string; broken: ReadonlyArray<Readonly<{attempt: string; delivered: number; canResume: boolean}>>}>
	| Readonly<{kind: 'session-refused'}>
	| Readonly<{kind: 'load-reported'; agent: string; running: number; waiting: number; isLeaving: boolean; revision: number}>
	| Readonly<{kind: 'agent-leaving'; agent: string}>
	/** The agent has shut down and keeps nothing: an attempt that it has not answered never ran. */
	| Readonly<{kind: 'agent-left'; agent: string}>
	| Readonly<{kind: 'agent-gone'; agent: string}>
	| Readonly<{kind: 'attempt-refused'; attempt: string; error: ErrorKind}>
	| Readonly<{kind: 'attempt-began'; attempt: string}>
	| Readonly<{
		kind: 'attempt-ended'; attempt: string; agent: string; outcome: AttemptOutcome; tokens: number;
		/** The whole answer, unless it was a stream. */
		answer?: Answer;
		/** Number of parts delivered to the client. */
		delivered: number;
		/** Whether another attempt can resume after these parts. */
		canResume: boolean;
	}>
	| Readonly<{kind: 'attempts-forgotten'; attempts: readonly string[]}>
	| Readonly<{kind: 'seal-answered'; request: string; attempt: string; answer: SealAnswer | undefined}>
	| Readonly<{kind: 'fence-answered'; router: string; agent: string; answer: FenceAnswer}>
	| Readonly<{kind: 'forward-ended'; request: string; outcome: 'answered' | 'not-run' | 'unknown'}>
	| Readonly<{kind: 'peer-heard'; router: string; address: string; revision: number; revisions: readonly Revision[]}>
	| Readonly<{kind: 'change-asked'; change: OperatorChange}>
	| Readonly<{kind: 'drain-asked'}>
	| Readonly<{kind: 'tick'}>;

/** A value of a log field. */
export type LogValue = string | number | boolean | undefined;

/** Effects that a router requests. */
export type RouterEffect =
	| Readonly<{kind: 'store'; tag: StoreTag; call: StoreCall}>
	| Readonly<{kind: 'dispatch'; attempt: OpenAttempt; request: Request}>
	| Readonly<{kind: 'cancel'; agent: string; attempt: string}>
	| Readonly<{kind: 'settle'; agent: string; attempts: readonly string[]}>
	| Readonly<{kind: 'reply'; request: string; answer: Answer}>
	| Readonly<{kind: 'end-stream'; request: string}>
	| Readonly<{kind: 'reply-fault'; request: string; fault: Fault}>
	| Readonly<{kind: 'forward'; request: Request; peers: readonly string[]}>
	| Readonly<{kind: 'ask-seal'; request: string; attempt: string; agent: string; address: string}>
	| Readonly<{kind: 'ask-fence'; router: string; agent: string; address: string | undefined; probe: boolean}>
	| Readonly<{kind: 'close-router'; router: string; addresses: readonly string[]}>
	| Readonly<{kind: 'config-in-force'; revision: number}>
	| Readonly<{kind: 'operation-ended'; operation: string; change: OperatorChange; result: JsonValue; fault: Fault | undefined}>
	/** The router has ended: its row is closed, its shutdown timed out, or it is fenced and has nothing left to finish. */
	| Readonly<{kind: 'closed'}>
	| Readonly<{kind: 'log'; event: string; fields: Readonly<Record<string, LogValue>>}>;

/** The router's new state and the effects to perform. */
export type RouterStep = Step<RouterState, RouterEffect>;

/**
Creates the effect that writes a log line.

@param event - The event's name.
@param fields - Its fields.
@returns The effect.
*/
export const logEvent = (event: string, fields: Readonly<Record<string, LogValue>>): RouterEffect => ({kind: 'log', event, fields});
