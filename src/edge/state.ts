import {Map} from 'immutable';
import type {Set} from 'immutable';
import {emptyDemand} from '../admission/index.js';
import type {Demand} from '../admission/index.js';
import {defaultColdBounds} from '../cold-start/index.js';
import type {ColdBounds, RouterSightings} from '../cold-start/index.js';
import {noEvacuations} from '../evacuation/index.js';
import type {Evacuations} from '../evacuation/index.js';
import type {ServicePerformance} from '../endpoint-performance/index.js';
import type {Regions} from '../home/index.js';
import {createRetryBudget} from '../retry-budget/index.js';
import type {RetryBudget, RetryBudgetBounds} from '../retry-budget/index.js';
import type {RoutingConfig} from '../routing-config/index.js';
import type {
	EndpointLoads, GossipPeer, PeerLoads, PromptNews,
} from '../gossip/index.js';
import type {InFlightRequest} from '../in-flight/index.js';
import type {Step} from '../loop/loop.js';
import type {Overflow} from '../overflow/index.js';
import {createLocalQuota} from '../quota/index.js';
import type {LocalQuota} from '../quota/index.js';
import {createPoisonGuard, createVerdictRows} from '../poison/index.js';
import type {PoisonGuard, VerdictRows} from '../poison/index.js';
import {createReadiness} from '../readiness/index.js';
import type {Readiness, ReadinessLimits} from '../readiness/index.js';
import {emptyRegistry} from '../registry/index.js';
import type {Registry} from '../registry/index.js';
import {noServiceTimes} from '../service-time/index.js';
import type {ServiceTimes} from '../service-time/index.js';
import {createSavedVersions, createStreamOrigins} from '../stream-origin/index.js';
import type {RetiredVersions, SavedVersions, StreamOrigins} from '../stream-origin/index.js';
import {createTokenTransfers} from '../token-transfer/index.js';
import type {TokenTransfers} from '../token-transfer/index.js';
import type {EdgeEffect} from './messages.js';

/** The state of an edge router. */
export type EdgeState = Readonly<{
	dataCentre: string;
	/** Limits of the retry budget that all routers share. */
	retryBudgetBounds: RetryBudgetBounds;
	/** Time for which an endpoint that leaves goes on serving, in ms. */
	drainMs: number;
	/** The active configuration; undefined until one has been read. */
	config: RoutingConfig | undefined;
	configFreshness: ConfigFreshness;
	/** Data centres whose endpoints get nothing new. Read together with the configuration. */
	evacuations: Evacuations;
	/** What all routers together may send to a cold endpoint. */
	coldBounds: ColdBounds;
	/** When each router last showed that it exists, in ms. */
	routerSightings: RouterSightings;
	/** Ids of all routers that may exist, including this one, in ascending order; undefined while the others are not known. */
	possibleRouters: readonly string[] | undefined;
	/** The region of each data centre. */
	regions: Regions;
	registry: Registry;
	/** When the endpoint registry was first read, in ms; undefined before. */
	registryReadAt: number | undefined;
	/** Software versions whose endpoints left the registry. */
	retiredVersions: RetiredVersions;
	/** Software versions that the store knows to have been in use lately. */
	savedVersions: SavedVersions;
	/** Numbers of the requests that wait for the reading of the versions in use that is in progress; undefined if none is. */
	versionReading: Set<number> | undefined;
	/** Origins of the streams that this router began. */
	origins: StreamOrigins;
	/** Tokens that this router holds of the budgets. */
	quota: LocalQuota;
	/** Tokens that pass between this router and its peers directly. */
	transfers: TokenTransfers;
	/** Retry credits of this router, by service. */
	retryBudget: RetryBudget;
	/** Requests and prompt parts on which endpoints crash. */
	poison: PoisonGuard;
	verdictRows: VerdictRows;
	/** When this router's crashes were last saved because peers are not heard, in ms. */
	crashesSavedAt: number;
	/** When the saved verdicts were last asked for because peers are not heard, in ms. */
	verdictsReadAt: number;
	/** Requests without a final response, by number. */
	requests: Map<number, InFlightRequest>;
	/** Load that peers reported, by router, and its totals by endpoint. */
	peers: PeerLoads;
	peerLoadTotals: EndpointLoads;
	/** Ids of the live routers, including this one, in ascending order. */
	liveRouters: readonly string[];
	/** Time of the last load message to peers, in ms. */
	gossipSentAt: number;
	/** Number of such messages, and the last one that was sent to neighbours. */
	gossipCount: number;
	gossipSent: Readonly<{message: string; at: number}>;
	/** The rows of the other routers that were read last, their routers in the order in which they are told, and the data centres that these have named. */
	gossipPeers: Readonly<{rows: LocalQuota['peers']; ordered: readonly GossipPeer[]; dataCentres: Map<string, string>}>;
	/** Prompt parts that were sent to endpoints since that message. */
	promptNews: readonly PromptNews[];
	/** Time of the last such message that told of crashes, in ms, and whether the next one must. */
	poisonToldAt: number;
	isPoisonNewsUrgent: boolean;
	/** Limits of the machine; undefined if the settings give none. */
	readinessLimits: ReadinessLimits | undefined;
	/** Whether this router is overloaded. */
	readiness: Readiness;
	/** Time of the latest tick, in ms, and whether it was late. */
	tick: Readonly<{at: number; isLate: boolean}>;
	/** Time of the last check for missing and unresponsive endpoints, in ms. */
	endpointsCheckedAt: number;
	/** True if urgent requests take precedence over others where there is too little capacity for all. */
	prioritizesUrgent: boolean;
	/** Demand for the services; not recorded unless urgent requests take precedence. */
	demand: Demand;
	/** What has been learned of the endpoints of each service. */
	performance: Map<string, ServicePerformance>;
	/** The part of the load of each service that leaves the data centre. */
	overflow: Map<string, Overflow>;
	/** Time of waiting that a megabyte between data centres is worth, in ms; undefined for a constant cost of a request. */
	remoteCostMs: number | undefined;
	/** How long requests take, by route. */
	serviceTimes: ServiceTimes;
	/** During the shutdown, when the last responses must have been sent, in ms; undefined before. */
	answerBy: number | undefined;
}>;

/** New state and effects of one event. */
export type EdgeStep = Step<EdgeState, EdgeEffect>;

/** How current the configuration is. */
export type ConfigFreshness = Readonly<{
	/** When the version in force was last known to be the latest one, in ms. */
	currentAt: number;
	/** False after a failed request for newer versions, until the next successful one. */
	isFollowed: boolean;
	/** Time within which a confirmed version is in force, in ms; undefined for no limit. */
	limitMs: number | undefined;
}>;

/** Start-up options of an edge router. */
export type EdgeOptions = Readonly<{
	dataCentre: string;
	/** Key of the router's row in the store. */
	router: string;
	incarnation: string;
	/** Host and port for load messages from peers. */
	peerAddress: string;
	/** Limits of the retry budget that all routers share. */
	retryBudgetBounds: RetryBudgetBounds;
	/** Time for which an endpoint that leaves goes on serving, in ms. */
	drainMs: number;
	/** True if urgent requests take precedence over others where there is too little capacity for all; false by default. */
	prioritizesUrgent?: boolean;
	/** What all routers together may send to a cold endpoint; 1.5 times its rate and 5 requests a second if absent. */
	coldBounds?: ColdBounds;
	/** The region of each data centre; none is known if absent. */
	regions?: Regions;
	/** Limits of the machine; undefined if the settings give none. */
	readinessLimits?: ReadinessLimits | undefined;
	/** Time of waiting that a megabyte between data centres is worth, in ms. */
	remoteCostMs?: number | undefined;
	/** Time within which a confirmed version of the configuration is in force, in ms; undefined for no limit. */
	configMs?: number | undefined;
}>;

/** Start time of the process on the monotonic clock that event handlers are given. */
const processStartMs = 0;

/**
Creates the state of a newly started process.

@param options - The start-up options.
@returns The state, without configuration or endpoints: no request can be served yet.
*/
export const createEdge = (options: EdgeOptions): EdgeState => ({
	dataCentre: options.dataCentre,
	retryBudgetBounds: options.retryBudgetBounds,
	drainMs: options.drainMs,
	config: undefined,
	configFreshness: {currentAt: 0, isFollowed: false, limitMs: options.configMs},
	evacuations: noEvacuations,
	coldBounds: options.coldBounds ?? defaultColdBounds,
	regions: options.regions ?? Map(),
	routerSightings: Map(),
	possibleRouters: undefined,
	registry: emptyRegistry,
	registryReadAt: undefined,
	retiredVersions: Map(),
	savedVersions: createSavedVersions(),
	versionReading: undefined,
	origins: createStreamOrigins(),
	quota: createLocalQuota(options.router, options.incarnation, processStartMs, options.peerAddress, options.dataCentre),
	transfers: createTokenTransfers(options.incarnation),
	retryBudget: createRetryBudget(),
	poison: createPoisonGuard(),
	verdictRows: createVerdictRows(),
	crashesSavedAt: 0,
	verdictsReadAt: 0,
	requests: Map(),
	peers: Map(),
	peerLoadTotals: Map(),
	liveRouters: [options.router],
	gossipSentAt: 0,
	gossipCount: 0,
	gossipSent: {message: '', at: 0},
	gossipPeers: {rows: Map(), ordered: [], dataCentres: Map()},
	promptNews: [],
	poisonToldAt: 0,
	isPoisonNewsUrgent: false,
	readinessLimits: options.readinessLimits,
	readiness: createReadiness(),
	tick: {at: 0, isLate: false},
	endpointsCheckedAt: 0,
	prioritizesUrgent: options.prioritizesUrgent ?? false,
	demand: emptyDemand,
	performance: Map(),
	overflow: Map(),
	remoteCostMs: options.remoteCostMs,
	serviceTimes: noServiceTimes,
	answerBy: undefined,
});

/**
Tells whether the process accepts new connections.

@param state - The edge state.
@returns True once configuration, evacuations (which are read before it) and registry are read and, if there are budgets, the quota is open; false from the start of the shutdown, and while the process is overloaded.
*/
export const isReady = (state: EdgeState): boolean =>
	state.answerBy === undefined && !state.readiness.isOverloaded && state.config !== undefined && state.registryReadAt !== undefined && (state.quota.hasTakenOver || state.config.budgets.isEmpty());

/**
Tells whether all tokens held have been returned to the budgets.

@param state - The edge state.
@returns True if no tokens are held, and no exchange with the store is in progress.
*/
export const hasReleasedTokens = (state: EdgeState): boolean =>
	state.quota.sync.step === 'idle' && state.quota.holds.every(hold => hold.held === 0);
