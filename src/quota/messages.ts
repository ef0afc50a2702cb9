import type {Map} from 'immutable';
import type {StoreReply, StoreWrite} from '../store/index.js';

/** A store call requested by the local quota; one is in flight at a time. */
export type QuotaStoreCall =
	| Readonly<{kind: 'read'; table: string}>
	| Readonly<{kind: 'transact'; writes: readonly StoreWrite[]}>;

/** Events that the local quota handles. */
export type QuotaEvent =
	| Readonly<{kind: 'tick'}>
	/** Waiting requests need tokens now. */
	| Readonly<{kind: 'wanted'}>
	/** The process is shutting down and must return its free tokens. */
	| Readonly<{kind: 'leave'}>
	/** The store replied to the call in flight. `random` is in [0, 1). */
	| Readonly<{kind: 'replied'; reply: StoreReply; random: number}>;

/** Effects that the local quota asks for. */
export type QuotaEffect =
	| Readonly<{kind: 'store'; call: QuotaStoreCall}>
	/** The available tokens changed, or none will arrive: waiting requests must be checked again. */
	| Readonly<{kind: 'changed'}>
	| Readonly<{kind: 'log'; event: string; isFailure: boolean; fields: Readonly<Record<string, string | number>>}>;

/** Further input to decisions: each organisation's budget limit, in tokens. */
export type QuotaContext = Readonly<{budgets: Map<string, number>}>;
