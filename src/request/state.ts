import type {AttemptPlace} from '../bill/index.js';
import type {Claim} from '../claim/index.js';
import type {Fault} from '../errors/index.js';

/** Where a request stands. */
export type Phase =
	/** The claim of an act is being read. */
	| 'claim-reading'
	/** The budget's grant has too little. */
	| 'granting'
	/** A peer serves it. */
	| 'forwarding'
	/** It waits for an endpoint. */
	| 'queued'
	/** The claim of an act is being written; only then may it be sent. */
	| 'claim-writing'
	/** An attempt runs. */
	| 'running'
	/** An agent is asked about an attempt that may have run. */
	| 'sealing'
	/** The answer is given, and the claim is being made durable. */
	| 'finishing'
	/** The claim of an act is read once more before its caller is told "not run". */
	| 'refusing';

/** `exhausted`: the budget has too little left; `unavailable`: the store does not answer. */
export type Shortage = 'exhausted' | 'unavailable';

/** What a caller asked for, once it has been checked. */
export type Order = Readonly<{
	/** Names this arrival in this router. */
	id: string;
	/** Names the request wherever it arrives: the same for every try under one Idempotency-Key. */
	billId: string;
	organisation: string;
	budget: string;
	workClass: string;
	pool: string;
	model: string | undefined;
	kind: 'chat' | 'call' | 'act';
	isStream: boolean;
	/** The caller's Idempotency-Key. */
	key: string | undefined;
	/** Hash of what is asked for. */
	digest: string;
	/** Tokens that an attempt may cost at the most. */
	cap: number;
	/** Tokens that may be generated at the most. */
	outputCap: number;
	priority: number;
	/** Milliseconds from arrival to the first token, as the class targets. */
	firstToken: number;
	/** Milliseconds from arrival until the fleet gives up. */
	giveUp: number;
	/** True if a peer sent it here. */
	isForwarded: boolean;
}>;

/** A request that is not finished. */
export type Request = Order & Readonly<{
	phase: Phase;
	/** True once the caller has its final answer. */
	isAnswered: boolean;
	/** In ms. */
	arrivedAt: number;
	/** When the phase began, in ms. */
	phaseAt: number;
	/** Tokens reserved for it that no attempt holds. */
	hold: number;
	/** The attempt whose answer the caller gets. */
	attempt: string | undefined;
	/** Attempts sent so far. */
	tries: number;
	/** Agents that have refused it or failed. */
	excluded: readonly string[];
	/** Attempts that may have cost something. */
	places: readonly AttemptPlace[];
	/** True if another router may bill it as well. */
	keyed: boolean;
	/** Why the budget's grant did not cover it, if it was forwarded for that. */
	shortage: Shortage;
	/** The claim as last read or written. */
	claim: Claim | undefined;
	/** Questions asked of the agent that may have run it. */
	sealTries: number;
	/** When the agent is asked again, in ms; undefined while an answer is awaited. */
	sealAt: number | undefined;
	/** True if the next attempt goes on where the last one broke off. */
	resumes: boolean;
	/** What an act's caller is told if the claim shows that it has not run. */
	refusal: Fault | undefined;
	/** What the final state of the claim will be. */
	verdict: 'done' | 'unknown' | undefined;
	/** Tokens to bill once the attempt has ended, or the claim is durable. */
	tokens: number;
	/** True if the caller got nothing worth a bill: the fleet has failed it. */
	isFailed: boolean;
}>;

/** An attempt whose end this router has not heard. */
export type OpenAttempt = Readonly<{
	id: string;
	request: string;
	organisation: string;
	budget: string;
	agent: string;
	cap: number;
	/** `lost`: the session broke; the agent will say what became of it. */
	link: 'sent' | 'lost';
	/** The session that it was sent on: it must not leave on another one. */
	session: number;
	/** In ms. */
	sentAt: number;
	isAct: boolean;
}>;

/**
Takes in a caller's order.

@param order - The order.
@param now - The time in ms.
@returns The request in its first phase.
*/
export const createRequest = (order: Order, now: number): Request => ({
	...order,
	phase: order.kind === 'act' ? 'claim-reading' : 'granting',
	isAnswered: false,
	arrivedAt: now,
	phaseAt: now,
	hold: 0,
	attempt: undefined,
	tries: 0,
	excluded: [],
	places: [],
	keyed: order.key !== undefined || order.isForwarded,
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
