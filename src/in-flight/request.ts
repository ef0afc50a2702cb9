import type {Result} from '../errors/index.js';
import type {StatedLoad, Workload} from '../endpoint-performance/index.js';
import type {FinalHead} from '../http-head/index.js';
import type {HomeRegions} from '../home/index.js';
import type {Incarnation} from '../registry/index.js';
import type {Route} from '../routing-config/index.js';

/** The model and size of a model request. Sizes in tokens. */
export type ModelRequest = Readonly<{
	model: string | undefined;
	promptTokens: number;
	maxOutputTokens: number;
	/** Parts of the prompt in order; all but the last may be shared with other requests. */
	parts: ReadonlyArray<Readonly<{id: string; tokens: number}>>;
}>;

/** The decoded head of a client's request. */
export type RequestHead = Readonly<{
	/** Identifies this attempt of the client. */
	key: string;
	method: string;
	url: string;
	/** Without a port, in lower case. */
	host: string;
	apiKey: string | undefined;
	/** The client's timeout in ms; undefined if not given. */
	clientTimeoutMs: number | undefined;
	modelRequest: ModelRequest | undefined;
	/** Id of the last stream event that the client has received. */
	resumeAfter: string | undefined;
	/** Key of the earlier request that brought the first event of the stream that the client resumes; undefined for a new stream. */
	resumedKey: string | undefined;
	/** Raw headers that are forwarded to the endpoint. */
	forwardedHeaders: readonly string[];
}>;

/** The decoded head of an endpoint's response. */
export type ResponseHead = Readonly<{
	status: number;
	/** Key of the request that the response belongs to, as stated by the endpoint. */
	key: string | undefined;
	/** True if the endpoint states that it did not run the request. */
	hasNotRun: boolean;
	/** True if another incarnation now serves the address. */
	isOtherIncarnation: boolean;
	/** True if the response has the endpoint's signature header. */
	isSigned: boolean;
	/** The load that the endpoint states; undefined if it states none. */
	load: StatedLoad | undefined;
	/** Requests per second that the endpoint takes from all routers together; undefined if it states no limit, a fault if its statement cannot be read. */
	rateLimit: Result<number | undefined>;
	/** Time for which the endpoint stays cold, in ms, 0 if it is warm; absent or undefined if it does not state it, a fault if its statement cannot be read. */
	coldMs?: Result<number | undefined>;
	/** Time for which the endpoint wants no further request of this router, in ms; undefined if it states none, a fault if its statement cannot be read. */
	pushbackMs: Result<number | undefined>;
	/** True if the endpoint states that it is leaving. */
	isLeaving: boolean;
	isStream: boolean;
	/** The head that is forwarded to the client; a fault if the client cannot get it. */
	forwarded: Result<FinalHead>;
}>;

/** Metadata that the router adds to a request to an endpoint. */
export type ForwardingMetadata = Readonly<{
	/** The endpoint's id; no other incarnation may run the request. */
	endpoint: string;
	/** Time until the deadline, in ms. */
	remainingMs: number;
	organisation: string | undefined;
	/** 0 to 9, where 0 is the most urgent. */
	urgency: number | undefined;
	/** Id of the last stream event that the client has received. */
	resumeAfter: string | undefined;
}>;

/** Phase of a request. */
export type RequestPhase =
	/** Its client resumes a stream, and the store is asked where that began. */
	| 'locating'
	/** It is not recorded where that began, and the store is asked which versions are in use. */
	| 'verifying'
	/** It waits for tokens of its organisation. */
	| 'granting'
	/** It waits for an endpoint. */
	| 'queued'
	/** It was sent to an endpoint, which has not responded yet. */
	| 'sent'
	/** The client receives the events of a stream. */
	| 'streaming'
	/** Its client has disconnected, and it is being cancelled at its endpoint. */
	| 'leaving';

/** A request that has no final response yet. Times in ms. */
export type InFlightRequest = Readonly<{
	id: number;
	head: RequestHead;
	/** The same for each repetition of the request. */
	fingerprint: string;
	route: Route;
	service: string;
	organisation: string | undefined;
	/** Name of the budget that is charged; undefined if none is. */
	budget: string | undefined;
	/** Regions in which it may be served, by its route and organisation; absent or undefined for all. */
	homeRegions?: HomeRegions;
	/** 0 is the most urgent. */
	priority: number;
	/** Size of its body; undefined if it is not known. */
	bodyBytes?: number | undefined;
	/** Upper bound of the charge. */
	maxCostTokens: number;
	/** Tokens reserved for it; 0 until they are granted. */
	reserved: number;
	/** When its head was read. */
	arrivedAt: number;
	/** When an earlier repetition arrived that was rejected here; `arrivedAt` if none is known. */
	firstArrivedAt: number;
	/** Longest time for which it may have waited before, in ms. */
	unreadMs: number;
	/** Deadline of the final response. */
	expiresAt: number;
	/** True if that is the end of the process instead of the client's or the route's own deadline; false if absent. */
	isCutShort?: boolean;
	phase: RequestPhase;
	/** When the phase began. */
	phaseAt: number;
	/** Number of attempts so far, which identifies the current one. */
	attempt: number;
	/** Number of attempts of which no byte can have reached an endpoint. */
	unsent: number;
	/** Ids of the endpoints that it was sent to, the latest one last. */
	triedEndpoints: readonly string[];
	/** True once a former attempt may have run it. */
	hasPossiblyRun: boolean;
	/** Prompt tokens that the current endpoint is expected to process; 0 from its first output. */
	pending: number;
	/** Time to the first output in ms, as predicted when it was sent. */
	predicted: number;
	/** Slowness of the endpoint that the prediction includes. */
	slowness: number;
	/** What it met at that endpoint, and the work factor that the endpoint had just stated, if any. */
	workload?: Workload | undefined;
	statedFactor?: number | undefined;
	/** When the latest attempt was sent. */
	sentAt: number;
	/** Tokens that an event of its stream holds, the most of all services that it was sent to; undefined before the first attempt. */
	tokensPerEvent?: number;
	/** Endpoint of the latest attempt; undefined before the first one. */
	sentTo: Incarnation | undefined;
	/** Software version of the endpoint of the latest attempt. */
	sentVersion: string | undefined;
	/** Software version at which its stream must go on; undefined while any version may begin it. */
	streamVersion: string | undefined;
	/** When the client received the first event; undefined before. */
	firstEventAt: number | undefined;
	/** Number of events that the client received. */
	events: number;
	/** Id of the last of them. */
	lastEventId: string | undefined;
	/** Once its client has disconnected: time from when the close was read to when it was handled, in ms. */
	closeQueuedMs?: number | undefined;
}>;

/** A request whose client has received nothing. Only such a request can be given a whole response. */
export type UnansweredRequest = InFlightRequest & Readonly<{phase: Exclude<RequestPhase, 'streaming'>; events: 0}>;

/**
Tells whether the client of a request has received nothing.

@param request - The request.
@returns False once events of a stream have been sent, or are being sent.
*/
export const isUnanswered = (request: InFlightRequest): request is UnansweredRequest => request.phase !== 'streaming' && request.events === 0;

/**
Creates a request that has just been admitted.

@param fields - The fields that are known on arrival.
@returns The request, without reserved tokens or attempts.
*/
export const createInFlightRequest = (fields: Pick<
	InFlightRequest,
	'id' | 'head' | 'fingerprint' | 'route' | 'service' | 'organisation' | 'budget' | 'homeRegions' | 'priority' | 'maxCostTokens'
	| 'arrivedAt' | 'unreadMs' | 'bodyBytes' | 'expiresAt' | 'phaseAt'
>): InFlightRequest => ({
	...fields,
	firstArrivedAt: fields.arrivedAt,
	reserved: 0,
	phase: 'granting',
	attempt: 0,
	unsent: 0,
	triedEndpoints: [],
	hasPossiblyRun: false,
	pending: 0,
	predicted: 0,
	slowness: 1,
	sentAt: 0,
	sentTo: undefined,
	sentVersion: undefined,
	streamVersion: undefined,
	firstEventAt: undefined,
	events: 0,
	lastEventId: undefined,
});
