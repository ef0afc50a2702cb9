import type {
	Answer, AttemptOutcome, FenceAnswer, SealAnswer,
} from '../attempt/index.js';
import type {Revision} from '../config/index.js';
import type {ErrorKind, Fault} from '../errors/index.js';
import type {Step} from '../loop/index.js';
import type {AgentDescription} from '../member/index.js';
import type {Change} from '../operation/index.js';
import type {OpenAttempt, Order, Request} from '../request/state.js';
import type {Json, StoreCall, StoreReply} from '../table/index.js';
import type {RouterState} from './state.js';

/** Which decision a store call belongs to. One call of a tag is out at a time. */
export type StoreTag = Readonly<{
	slice: 'pot' | 'reach' | 'claim' | 'config' | 'reclaim' | 'operation' | 'scan';
	subject: string;
}>;

/** What happens to a router. */
export type RouterEvent =
	| Readonly<{kind: 'request-arrived'; order: Order}>
	| Readonly<{kind: 'caller-left'; request: string}>
	| Readonly<{kind: 'store-replied'; tag: StoreTag; reply: StoreReply; random: number}>
	| Readonly<{kind: 'session-opened'; introduction: AgentDescription; kept: readonly string[]}>
	/** `broken` tells how far the attempts had come whose answers were under way. */
	| Readonly<{kind: 'session-closed'; agent: string; broken: ReadonlyArray<Readonly<{attempt: string; delivered: number; canResume: boolean}>>}>
	| Readonly<{kind: 'session-refused'}>
	| Readonly<{kind: 'load-reported'; agent: string; running: number; waiting: number; isLeaving: boolean; revision: number}>
	| Readonly<{kind: 'agent-leaving'; agent: string}>
	/** The agent ends and keeps nothing: an attempt that it has not answered never ran. */
	| Readonly<{kind: 'agent-left'; agent: string}>
	| Readonly<{kind: 'agent-gone'; agent: string}>
	| Readonly<{kind: 'attempt-refused'; attempt: string; error: ErrorKind}>
	| Readonly<{kind: 'attempt-began'; attempt: string}>
	| Readonly<{
		kind: 'attempt-ended'; attempt: string; agent: string; outcome: AttemptOutcome; tokens: number;
		/** The whole answer, unless it was a stream. */
		answer?: Answer;
		/** Parts that the caller has got. */
		delivered: number;
		/** Whether another attempt can go on from there. */
		canResume: boolean;
	}>
	| Readonly<{kind: 'attempts-forgotten'; attempts: readonly string[]}>
	| Readonly<{kind: 'seal-answered'; request: string; attempt: string; answer: SealAnswer | undefined}>
	| Readonly<{kind: 'fence-answered'; router: string; agent: string; answer: FenceAnswer}>
	| Readonly<{kind: 'forward-ended'; request: string; outcome: 'answered' | 'not-run' | 'unknown'}>
	| Readonly<{kind: 'peer-heard'; router: string; address: string; revision: number; revisions: readonly Revision[]}>
	| Readonly<{kind: 'change-asked'; change: Change}>
	| Readonly<{kind: 'drain-asked'}>
	| Readonly<{kind: 'tick'}>;

/** A value of a log line. */
export type LogValue = string | number | boolean | undefined;

/** What a router does. */
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
	| Readonly<{kind: 'operation-ended'; operation: string; change: Change; result: Json; fault: Fault | undefined}>
	/** Everything is settled and the row is closed; or, if fenced, nothing is left to finish. */
	| Readonly<{kind: 'closed'}>
	| Readonly<{kind: 'log'; event: string; fields: Readonly<Record<string, LogValue>>}>;

/** A decision of the router. */
export type RouterStep = Step<RouterState, RouterEffect>;

/**
Writes a log line.

@param event - The event's name.
@param fields - Its fields.
@returns The effect.
*/
export const logEvent = (event: string, fields: Readonly<Record<string, LogValue>>): RouterEffect => ({kind: 'log', event, fields});
