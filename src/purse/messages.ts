import type {Map} from 'immutable';
import type {StoreReply, StoreWrite} from '../store/index.js';

/** A call to the store that a purse asks for; one is under way at a time. */
export type PurseCall =
	| Readonly<{kind: 'read'; table: string}>
	| Readonly<{kind: 'transact'; writes: readonly StoreWrite[]}>;

/** What happened to a purse. */
export type PurseEvent =
	| Readonly<{kind: 'tick'}>
	/** Waiting calls need tokens now. */
	| Readonly<{kind: 'wanted'}>
	/** The process is about to end: what is free goes back. */
	| Readonly<{kind: 'leave'}>
	/** The answer to the call under way. `random` is in [0, 1). */
	| Readonly<{kind: 'replied'; reply: StoreReply; random: number}>;

/** What a purse asks for. */
export type PurseEffect =
	| Readonly<{kind: 'store'; call: PurseCall}>
	/** Tokens came, or will not come: waiting calls are to be looked at again. */
	| Readonly<{kind: 'changed'}>
	| Readonly<{kind: 'log'; event: string; isFailure: boolean; fields: Readonly<Record<string, string | number>>}>;

/** What else a purse decides on: each organisation's limit, in tokens. */
export type PurseContext = Readonly<{budgets: Map<string, number>}>;
