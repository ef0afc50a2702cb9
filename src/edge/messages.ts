import type {AllowanceBounds} from '../allowance/index.js';
import type {Catalog} from '../catalog/index.js';
import type {Fault} from '../errors/index.js';
import type {AnswerHead, CallHead, Sending} from '../flight/index.js';
import type {Loads} from '../gossip/index.js';
import type {Fields, Level} from '../log/index.js';
import type {PurseCall} from '../purse/index.js';
import type {Listing} from '../registry/index.js';
import type {StoreReply} from '../store/index.js';

/** How far a call got that failed on its way. */
export type Stage =
	/** No byte of it can have reached the endpoint. */
	| 'unsent'
	/** It may have run. */
	| 'sent'
	/** It ran: the stream broke off. */
	| 'streaming';

/** What happened to the edge. `random` is in [0, 1). */
export type EdgeEvent =
	/** A caller's request was read whole. */
	| Readonly<{kind: 'call-arrived'; call: number; head: CallHead; random: number}>
	/** `events` are those of the attempt under way that the caller got. */
	| Readonly<{kind: 'caller-left'; call: number; events: number}>
	/** The endpoint ended a call that was withdrawn: it has not run if nothing had come of it by then. */
	| Readonly<{kind: 'call-withdrawn'; call: number; attempt: number; hasNotRun: boolean}>
	/** An answer was read whole, or the head of a stream. */
	| Readonly<{kind: 'endpoint-answered'; call: number; attempt: number; head: AnswerHead; random: number}>
	| Readonly<{kind: 'endpoint-failed'; call: number; attempt: number; stage: Stage; reason: string; events: number; lastEvent: string | undefined; random: number}>
	/** The first event of a stream went to the caller. */
	| Readonly<{kind: 'stream-began'; call: number; attempt: number}>
	/** The stream ended as it should. */
	| Readonly<{kind: 'stream-ended'; call: number; attempt: number; events: number}>
	| Readonly<{kind: 'catalog-read'; catalog: Catalog}>
	| Readonly<{kind: 'endpoints-listed'; listings: readonly Listing[]}>
	| Readonly<{kind: 'endpoint-changed'; id: string; listing: Listing | undefined}>
	| Readonly<{kind: 'registry-lost'}>
	| Readonly<{kind: 'registry-regained'}>
	| Readonly<{kind: 'store-replied'; reply: StoreReply; random: number}>
	/** A peer said what it has under way. */
	| Readonly<{kind: 'peer-heard'; router: string; loads: Loads}>
	| Readonly<{kind: 'tick'; random: number}>
	| Readonly<{kind: 'bounds-changed'; repeats: AllowanceBounds}>
	| Readonly<{kind: 'stop-wanted'}>
	/** All calls have ended: what is held of budgets goes back. */
	| Readonly<{kind: 'leave-wanted'; random: number}>;

/** What the edge does. */
export type EdgeEffect =
	| Readonly<{kind: 'send'; call: number; attempt: number; address: string; maxConnections: number; sending: Sending}>
	/** Ends the attempt under way: nobody wants its answer. */
	| Readonly<{kind: 'abort'; call: number}>
	/** Ends the attempt under way, and tells whether the call has not run. */
	| Readonly<{kind: 'withdraw'; call: number}>
	/** Closes unused connections to an address: they may be dead. */
	| Readonly<{kind: 'forget'; address: string}>
	/** Gives the caller the answer that was read whole. */
	| Readonly<{kind: 'deliver'; call: number}>
	/** Gives the caller the events of the stream that has begun. */
	| Readonly<{kind: 'relay'; call: number}>
	| Readonly<{kind: 'refuse'; call: number; fault: Fault}>
	/** Closes the caller's connection in the middle of an answer. */
	| Readonly<{kind: 'cut'; call: number}>
	| Readonly<{kind: 'store'; call: PurseCall}>
	/** Sends a message to peers. */
	| Readonly<{kind: 'tell-peers'; addresses: readonly string[]; message: string}>
	| Readonly<{kind: 'log'; level: Level; event: string; fields: Fields}>
	| Readonly<{kind: 'count'; metric: Counter; labels: Readonly<Record<string, string>>}>
	| Readonly<{kind: 'observe'; metric: Timer; labels: Readonly<Record<string, string>>; milliseconds: number}>;

/** Counters of the edge. */
export type Counter = 'calls' | 'attemptsFailed';

/** Histograms of the edge. */
export type Timer = 'call' | 'firstOutput';
