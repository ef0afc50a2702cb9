import type {ColdBounds} from '../cold-start/index.js';
import type {EvacuationChange} from '../evacuation/index.js';
import type {Regions} from '../home/index.js';
import type {RetryBudgetBounds} from '../retry-budget/index.js';
import type {RoutingConfig} from '../routing-config/index.js';
import type {Fault} from '../errors/index.js';
import type {ResponseHead, RequestHead, ForwardingMetadata} from '../in-flight/index.js';
import type {ReadinessSample} from '../readiness/index.js';
import type {PeerMessage} from '../gossip/index.js';
import type {Fields, Level} from '../log/index.js';
import type {QuotaStoreCall} from '../quota/index.js';
import type {ResponseTime} from '../endpoint-performance/index.js';
import type {Incarnation, RegistryEntry} from '../registry/index.js';
import type {
	ReplyTransfer, StoredRow, StoreReply, StoreWrite,
} from '../store/index.js';
import type {
	KeyedOrigin, OriginPart, SavedVersionReading, VersionReading,
} from '../stream-origin/index.js';
import type {TransferMessage} from '../token-transfer/index.js';

/** How far a failed attempt got. */
export type FailureStage =
	/** No connection was opened: no byte can have reached the endpoint. */
	| 'unsent'
	/** The request may have run. */
	| 'sent'
	/** The request ran, and its stream was interrupted. */
	| 'streaming';

/** What marks the end of a response's body: its stated length, its last chunk, or the close of its connection. */
export type Framing = 'length' | 'chunked' | 'close';

/**
Events that are handled in their own order, before all others: none of them may wait behind a backlog of requests. They tell what the
store says, of whose restoration the process learns before anything that was read afterwards, and that clients have disconnected.
*/
export const urgentEvents: ReadonlySet<EdgeEvent['kind']> = new Set([
	'caller-left',
	'catalog-read',
	'catalog-current',
	'catalog-lost',
	'evacuations-read',
	'evacuations-changed',
	'endpoints-listed',
	'endpoint-changed',
	'registry-lost',
	'registry-regained',
	'registry-restored',
	'store-replied',
	'origin-read',
	'origins-saved',
	'versions-read',
	'versions-in-use-read',
	'versions-saved',
	'verdicts-read',
	'verdicts-saved',
]);

/** How a version of the configuration came to this router; for the log. */
export type ConfigRetrieval = Readonly<{
	transfer: ReplyTransfer | undefined;
	/** Number of older versions that came with it. */
	superseded: number;
	/** Time that decoding took, in ms. */
	decodeMs: number;
	/** When it had been decoded, in ms of the loop's clock. */
	decodedAt: number;
}>;

/** Events of the edge router. `call` is the number of a request; `random` is in [0, 1). */
export type EdgeEvent =
	/** A client's request was read completely; `bodyDigest` is undefined if its body is empty. Its head was read at `receivedAt`, in ms of the loop's clock, and may have waited for `unreadMs` before. */
	| Readonly<{kind: 'call-arrived'; call: number; head: RequestHead; bodyDigest: string | undefined; receivedAt: number; unreadMs: number; random: number; bodyBytes?: number}>
	/** The client disconnected, which was read at `readAt`, in ms of the loop's clock; `events` counts the events of the current attempt that it received. */
	| Readonly<{kind: 'caller-left'; call: number; events: number; readAt?: number}>
	/** The endpoint ended a cancelled request; `hasNotRun` is true if there was no output before. */
	| Readonly<{kind: 'call-withdrawn'; call: number; attempt: number; hasNotRun: boolean}>
	/** The head of a response was read. What it states of its endpoint holds although its request may have ended. It is doubted if it may be that of another request. */
	| Readonly<{kind: 'response-began'; endpoint: Incarnation; head: ResponseHead; isDoubted: boolean}>
	/** A complete response was read, or the head of a stream. Its time is that between the send and the handling if it is not given. */
	| Readonly<{kind: 'endpoint-answered'; call: number; attempt: number; head: ResponseHead; time?: ResponseTime; random: number}>
	/** An attempt failed; `events` counts the events that the client received of it. */
	| Readonly<{kind: 'endpoint-failed'; call: number; attempt: number; stage: FailureStage; reason: string; events: number; lastEventId: string | undefined; random: number}>
	/** The first event of a stream was sent to the client. */
	| Readonly<{kind: 'stream-began'; call: number; attempt: number; time?: ResponseTime}>
	/** The stream ended normally, after a complete event. */
	| Readonly<{kind: 'stream-ended'; call: number; attempt: number; events: number; framing: Framing}>
	| Readonly<{kind: 'catalog-read'; config: RoutingConfig; retrieval?: ConfigRetrieval}>
	/** The version in force was the latest one at the given time, in ms of the loop's clock. */
	| Readonly<{kind: 'catalog-current'; at: number}>
	/** Whether there is a newer version could not be read. */
	| Readonly<{kind: 'catalog-lost'}>
	/** All rows that evacuate data centres were read. They are posted before a configuration that was read with them. */
	| Readonly<{kind: 'evacuations-read'; evacuations: readonly EvacuationChange[]}>
	/** Rows that evacuate data centres were written or removed, the oldest change first. */
	| Readonly<{kind: 'evacuations-changed'; evacuations: readonly EvacuationChange[]}>
	/** All entries were read, at the given version of the store. */
	| Readonly<{kind: 'endpoints-listed'; entries: readonly RegistryEntry[]; version: number}>
	/** An entry changed with the given version of the store. */
	| Readonly<{kind: 'endpoint-changed'; id: string; listing: RegistryEntry | undefined; version: number}>
	| Readonly<{kind: 'registry-lost'}>
	| Readonly<{kind: 'registry-regained'}>
	/** The registry came back from an older copy. */
	| Readonly<{kind: 'registry-restored'; era?: number}>
	| Readonly<{kind: 'store-replied'; reply: StoreReply; random: number}>
	/** The store was asked where a stream began. */
	| Readonly<{kind: 'origin-read'; call: number; reply: StoreReply; random: number}>
	/** A peer tells where streams that it serves have begun. */
	| Readonly<{kind: 'origins-told'; origins: readonly KeyedOrigin[]}>
	| Readonly<{kind: 'origins-saved'; part: OriginPart; isDone: boolean}>
	/** The software versions that were in use lately were read. */
	| (Readonly<{kind: 'versions-read'}> & SavedVersionReading)
	/** The versions of all entries of the registry, and the saved ones, were read; undefined if they could not be. */
	| Readonly<{kind: 'versions-in-use-read'; reading: VersionReading | undefined; random: number}>
	| Readonly<{kind: 'versions-saved'; isDone: boolean}>
	/** The verdicts that outlast processes were read, at the given time of the store's clock. */
	| Readonly<{kind: 'verdicts-read'; rows: readonly StoredRow[]; storeTime: number}>
	| Readonly<{kind: 'verdicts-saved'; isDone: boolean}>
	/** A peer reported its requests in flight, and rate limits of endpoints. */
	| (Readonly<{kind: 'peer-heard'}> & PeerMessage)
	/** A peer sent a message about tokens. */
	| Readonly<{kind: 'transfer-received'; message: TransferMessage; random: number}>
	| Readonly<{kind: 'tick'; random: number}>
	/** The lag of the process and the CPU time that it has used since the last measurement, in ms. */
	| Readonly<({kind: 'load-measured'} & Omit<ReadinessSample, 'now'>)>
	/** The bounds in the settings were reconfigured. */
	| Readonly<{
		kind: 'bounds-changed';
		retryBudgetBounds: RetryBudgetBounds;
		drainMs: number;
		coldBounds?: ColdBounds;
		regions?: Regions;
		remoteCostMs?: number | undefined;
		configMs?: number | undefined;
	}>
	/** The shutdown begins; the last responses must have been sent at the given time, in ms. */
	| Readonly<{kind: 'stop-wanted'; answerBy: number}>
	/** All requests have ended during shutdown: the tokens held are returned to the budgets. */
	| Readonly<{kind: 'leave-wanted'; random: number}>;

declare const unanswered: unique symbol;

/** Number of a request whose client has received nothing; see `identifyUnanswered`. */
export type UnansweredCall = number & Readonly<{[unanswered]: true}>;

/** Effects that the edge router carries out. */
export type EdgeEffect =
	/** Sends a request to an endpoint, to which at most `maxConnections` may be open. */
	| Readonly<{kind: 'send'; call: number; attempt: number; endpoint: Incarnation; maxConnections: number; metadata: ForwardingMetadata}>
	/** Aborts the current attempt, whose response is no longer needed. */
	| Readonly<{kind: 'abort'; call: number}>
	/** Cancels the current attempt, and reports whether the request has not run. */
	| Readonly<{kind: 'withdraw'; call: number}>
	/** Closes idle connections to an address, since they may be dead. */
	| Readonly<{kind: 'forget'; address: string}>
	/** Sends the client the response that was read completely. */
	| Readonly<{kind: 'deliver'; call: UnansweredCall}>
	/** Forwards the events of the current stream to the client. */
	| Readonly<{kind: 'relay'; call: number}>
	/** Sends the client an error response. */
	| Readonly<{kind: 'refuse'; call: UnansweredCall; fault: Fault}>
	/** Closes the client's connection in the middle of a response. */
	| Readonly<{kind: 'cut'; call: number}>
	| Readonly<{kind: 'store'; call: QuotaStoreCall}>
	/** Asks the store, after a delay, where the stream of the given key began. */
	| Readonly<{kind: 'read-origin'; call: number; key: string; delayMs: number}>
	/** Reads the entries of the registry and the saved versions. */
	| Readonly<{kind: 'read-versions-in-use'}>
	| Readonly<{kind: 'save-origins'; part: OriginPart; writes: readonly StoreWrite[]}>
	| Readonly<{kind: 'save-versions'; writes: readonly StoreWrite[]}>
	| Readonly<{kind: 'save-verdicts'; writes: readonly StoreWrite[]}>
	/** Saves what this router knows of crashes; a save that fails is not repeated as such. */
	| Readonly<{kind: 'save-crashes'; writes: readonly StoreWrite[]}>
	| Readonly<{kind: 'read-verdicts'}>
	/** Sends a message to peers. */
	| Readonly<{kind: 'tell-peers'; addresses: readonly string[]; message: string}>
	| Readonly<{kind: 'log'; level: Level; event: string; fields: Fields}>
	/** `call` is the request that the counter `calls` counts. */
	| Readonly<{kind: 'count'; metric: CounterName; labels: Readonly<Record<string, string>>; amount?: number; call?: number}>
	| Readonly<{kind: 'observe'; metric: HistogramName; labels: Readonly<Record<string, string>>; milliseconds: number}>;

/** Names of counters. */
export type CounterName = 'calls' | 'attemptsFailed' | 'streamsEnded' | 'streamsResumed' | 'heldBack' | 'remoteRequests' | 'remoteBytes'
	| 'tokensGranted' | 'tokensReceived' | 'tokenShortages' | 'givenUp' | 'feedBytes' | 'abandonedBytes' | 'stageTime' | 'outcomeTime' | 'outcomes' | 'processorTime';

/** Names of gauges. */
export type GaugeName = 'evacuatedDataCentres' | 'coldEndpoints' | 'coldShare' | 'serviceRate' | 'endpointWorkFactor' | 'endpointReportTrust' | 'overflowFraction' | 'configVersion';

/** Names of histograms. */
export type HistogramName = 'call' | 'firstOutput' | 'unread' | 'lag' | 'closeQueued' | 'feedReceive' | 'configDecode';
