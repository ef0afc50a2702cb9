import {Map} from 'immutable';
import type {Set} from 'immutable';
import {createRetryBudget} from '../retry-budget/index.js';
import type {RetryBudget, RetryBudgetBounds} from '../retry-budget/index.js';
import type {RoutingConfig} from '../routing-config/index.js';
import type {EndpointLoads, PeerLoads, PromptNews} from '../gossip/index.js';
import type {InFlightRequest} from '../in-flight/index.js';
import type {Step} from '../loop/loop.js';
import {createLocalQuota} from '../quota/index.js';
import type {LocalQuota} from '../quota/index.js';
import {createPoisonGuard, createVerdictRows} from '../poison/index.js';
import type {PoisonGuard, VerdictRows} from '../poison/index.js';
import {emptyRegistry} from '../registry/index.js';
import type {Registry} from '../registry/index.js';
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
	/** Number of such messages. */
	gossipCount: number;
	/** Prompt parts that were sent to endpoints since that message. */
	promptNews: readonly PromptNews[];
	/** Time of the last such message that told of crashes, in ms, and whether the next one must. */
	poisonToldAt: number;
	isPoisonNewsUrgent: boolean;
	/** Time of the latest tick, in ms, and whether it was late. */
	tick: Readonly<{at: number; isLate: boolean}>;
	/** Time of the last check for missing and unresponsive endpoints, in ms. */
	endpointsCheckedAt: number;
	/** How long requests take, by route. */
	serviceTimes: ServiceTimes;
	/** During the shutdown, when the last responses must have been sent, in ms; undefined before. */
	answerBy: number | undefined;
}>;

/** New state and effects of one event. */
export type EdgeStep = Step<EdgeState, EdgeEffect>;

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
	promptNews: [],
	poisonToldAt: 0,
	isPoisonNewsUrgent: false,
	tick: {at: 0, isLate: false},
	endpointsCheckedAt: 0,
	serviceTimes: Map(),
	answerBy: undefined,
});

/**
Tells whether the process accepts new connections.

@param state - The edge state.
@returns True once configuration and registry are read and, if there are budgets, the quota is open; false from the start of the shutdown.
*/
export const isReady = (state: EdgeState): boolean =>
	state.answerBy === undefined && state.config !== undefined && state.registryReadAt !== undefined && (state.quota.hasTakenOver || state.config.budgets.isEmpty());

/**
Tells whether all tokens held have been returned to the budgets.

@param state - The edge state.
@returns True if no tokens are held, and no exchange with the store is in progress.
*/
export const hasReleasedTokens = (state: EdgeState): boolean =>
	state.quota.sync.step === 'idle' && state.quota.holds.every(hold => hold.held === 0);
