import type {AttemptLocation} from '../bill/index.js';
import type {Claim} from '../claim/index.js';
import type {Fault} from '../errors/index.js';

/** The phase of a request. */
export type RequestPhase =
	/** The claim of an at-most-once request is being read. */
	| 'claim-reading'
	/** Waits for tokens: the budget's local grant is too small. */
	| 'granting'
	/** Forwarded to a peer. */
	| 'forwarding'
	/** Waits for an endpoint. */
	| 'queued'
	/** The claim of an at-most-once request is being written; the attempt is sent only afterwards. */
	| 'claim-writing'
	/** An attempt is running. */
	| 'running'
	/** An agent is asked to promise that an attempt will never run, or to report its outcome. */
	| 'sealing'
	/** The client has its answer; the final state of the claim is being written. */
	| 'finishing'
	/** The claim of an at-most-once request is read again before its client receives `not-run`. */
	| 'refusing';

/** Why a grant is too small. `exhausted`: the budget has too few tokens left; `unavailable`: the store does not answer. */
export type GrantShortage = 'exhausted' | 'unavailable';

/** The validated parameters of a client request. */
export type RequestSpec = Readonly<{
	/** Unique id within this router. */
	id: string;
	/** Id of the request across routers: the same for every try under one Idempotency-Key. */
	billId: string;
	organisation: string;
	budget: string;
	workClass: string;
	pool: string;
	model: string | undefined;
	/** `act`: work that may run at most once; needs an Idempotency-Key. */
	kind: 'chat' | 'call' | 'act';
	isStream: boolean;
	/** The client's Idempotency-Key. */
	key: string | undefined;
	/** Hash of the request content. */
	digest: string;
	/** Maximum cost of an attempt in tokens. */
	cap: number;
	/** Maximum output in tokens. */
	outputCap: number;
	priority: number;
	/** The work class's target from arrival to the first token, in ms. */
	firstToken: number;
	/** Time from arrival until the request is abandoned, in ms. */
	giveUp: number;
	/** True if a peer forwarded it here. */
	isForwarded: boolean;
}>;

/** An unfinished request. */
export type Request = RequestSpec & Readonly<{
	phase: RequestPhase;
	/** True once the client has its final answer. */
	isAnswered: boolean;
	/** Arrival time in ms. */
	arrivedAt: number;
	/** Start of the current phase, in ms. */
	phaseAt: number;
	/** Reserved tokens that no open attempt holds. */
	hold: number;
	/** The attempt whose answer is sent to the client. */
	attempt: string | undefined;
	/** Number of attempts sent. */
	tries: number;
	/** Agents that refused or failed an attempt. */
	excluded: readonly string[];
	/** Attempts that may have cost tokens. */
	places: readonly AttemptLocation[];
	/** True if another router may bill it too; its bill is then guarded by a row of its own. */
	keyed: boolean;
	/** Why the budget's grant did not cover it; meaningful only if it was forwarded for that reason. */
	shortage: GrantShortage;
	/** The claim as last read or written. */
	claim: Claim | undefined;
	/** Number of seal requests sent to the agent that may have run it. */
	sealTries: number;
	/** Time of the next seal or final claim write in ms; undefined while a reply is awaited. */
	sealAt: number | undefined;
	/** True if the next attempt continues a partially delivered answer. */
	resumes: boolean;
	/** The fault for the client of an at-most-once request if the claim shows that it has not run. */
	refusal: Fault | undefined;
	/** The final state of the claim. */
	verdict: 'done' | 'unknown' | undefined;
	/** Tokens to bill once the attempt has ended or the claim is durable. */
	tokens: number;
	/** True if the request was answered with a fault, so that no tokens are billed. */
	isFailed: boolean;
}>;

/** An attempt whose end has not been reported to this router. */
export type OpenAttempt = Readonly<{
	id: string;
	request: string;
	organisation: string;
	budget: string;
	agent: string;
	/** Tokens reserved for it. */
	cap: number;
	/** `lost`: its session closed; the agent reports the outcome later. */
	link: 'sent' | 'lost';
	/** The session that it is sent on; it must not be sent on any other one. */
	session: number;
	/** Time of dispatch in ms. */
	sentAt: number;
	/** True if the request may run at most once. */
	isAct: boolean;
}>;

/**
Creates a request in its first phase.

@param spec - The parameters of the request.
@param now - The current time in ms.
@returns The request.
*/
export const createRequest = (spec: RequestSpec, now: number): Request => ({
	...spec,
	phase: spec.kind === 'act' ? 'claim-reading' : 'granting',
	isAnswered: false,
	arrivedAt: now,
	phaseAt: now,
	hold: 0,
	attempt: undefined,
	tries: 0,
	excluded: [],
	places: [],
	keyed: spec.key !== undefined || spec.isForwarded,
	shortage: 'exhausted',
	claim: undefined,
	sealTries: 0,
	sealAt: undefined,
	resumes: false,
	refusal: undefined,
	verdict: undefined,
	tokens: 0,
	isFailed: false,
});
