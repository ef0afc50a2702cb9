import {listRoutes, selectNewerConfig} from '../routing-config/index.js';
import type {RoutingConfig} from '../routing-config/index.js';
import {
	choosePeers, encodeLoads, orderPeers, removeStalePeers, recordPeerLoads, replaceLoads, sumLoads,
} from '../gossip/index.js';
import type {LoadReport, PeerMessage, PromptNews} from '../gossip/index.js';
import type {RequestPhase} from '../in-flight/index.js';
import type {Fields} from '../log/index.js';
import {chain, chainAll, keepState} from '../loop/step.js';
import {hasNews, hasPoisonNews, listPoisonNews} from '../poison/index.js';
import {describeRouter} from '../readiness/index.js';
import {
	updateEntry, removeMissing, markUnavailable, markAvailable, markRestored, recordPromptParts, replaceEntries,
} from '../registry/index.js';
import type {Registry} from '../registry/index.js';
import {isOverflowing} from '../overflow/index.js';
import {retainServiceTimes} from '../service-time/index.js';
import {completeSave, recordToldOrigin} from '../stream-origin/index.js';
import {
	receivePeerColdTimes, recordColdEntries, recordColdRates, updateColdShares,
} from './cold.js';
import {createLogEffect} from './common.js';
import {
	logIgnoredEntries, receivePeerLeaving, receiveStatements, setRegistry,
} from './endpoints.js';
import {receiveEvacuationChanges, receiveEvacuations} from './evacuate.js';
import {receiveRequest} from './receive.js';
import {
	expireRequest, receiveClientDisconnect, receiveEndpointResponse, receiveEndpointFailure, receiveFirstOutput, receiveStreamEnd, receiveCancellation,
} from './attempt.js';
import {applyTokenEvent, expireTokenWait, receivePeerTransfer} from './reserve.js';
import {
	expireLocating, expireVerifying, receiveOrigin, receiveVersions, receiveVersionsInUse, receiveVersionSave, saveOrigins, saveVersions, tellOrigins,
} from './resume.js';
import {receivePeerLimits, updateShares} from './limits.js';
import {logHomeRegions} from './home.js';
import type {ConfigRetrieval, EdgeEvent} from './messages.js';
import {receiveLoad} from './overload.js';
import {placeWaiting} from './place.js';
import {
	readVerdicts, receivePoisonNews, receiveSavedVerdicts, receiveVerdictSave, recordRequestBreak, rejectWaitingPoison, saveCrashes, saveVerdicts, updateVerdicts,
} from './poison.js';
import {restoreRows} from './restorations.js';
import {beginShutdown} from './shutdown.js';
import {failOverUnresponsive} from './unresponsive.js';
import type {EdgeState, EdgeStep} from './state.js';

type Handler<Kind extends EdgeEvent['kind']> = (state: EdgeState, event: EdgeEvent & {kind: Kind}, now: number) => EdgeStep;

const listRouteNames = ({routes}: RoutingConfig): ReadonlySet<string> => new Set(listRoutes(routes).map(({name}) => name));

/** Describes how a version of the configuration came, for the log. Times in ms. */
const describeRetrieval = ({
	transfer, superseded, decodeMs, decodedAt,
}: ConfigRetrieval, now: number): Fields => ({
	superseded,
	bytes: transfer?.bytes,
	wait: transfer === undefined ? undefined : Math.round(transfer.waitMs),
	receive: transfer === undefined ? undefined : Math.round(transfer.receiveMs),
	decode: Math.round(decodeMs),
	queued: Math.round(now - decodedAt),
});

const receiveConfig: Handler<'catalog-read'> = (state, event, now) => {
	const config = selectNewerConfig(state.config, event.config);
	const received: EdgeStep = {
		state: {
			...state, config, serviceTimes: config === state.config ? state.serviceTimes : retainServiceTimes(state.serviceTimes, listRouteNames(config), config.services),
			performance: state.performance.filter((_, service) => config.services.has(service)),
			overflow: state.overflow.filter((_, service) => config.services.has(service)),
		},
		effects: config === state.config
			? []
			: [
				createLogEffect('configuration-in-force', {
					version: config.version,
					before: state.config?.version ?? 0,
					routes: listRoutes(config.routes).length,
					...event.retrieval && describeRetrieval(event.retrieval, now),
				}),
				...logHomeRegions(config, state.regions),
			],
	};
	return config === state.config ? received : chain(received, current => recordColdRates(current, state.config, now));
};

/** Longest wait of a request for the store, which usually responds within a few ms, and when it is slow within 250 ms. */
const maxStoreWaitMs = 300;

/** Ends the wait of a request for the store, by its phase. */
const waitExpirers: Readonly<Partial<Record<RequestPhase, (state: EdgeState, call: number, random: number, now: number) => EdgeStep>>> = {
	granting: expireTokenWait,
	locating: expireLocating,
	verifying: expireVerifying,
};

/** Time since the latest tick from which a tick is late: the process stood still, and replies that have come meanwhile are read after the tick. */
const lateTickMs = 150;

/** Whether waits for the store may be ended: not at a late tick, unless the one before it was late as well. */
const canEndWaits = ({tick}: EdgeState, now: number): boolean => now - tick.at < lateTickMs || tick.isLate;

const expireRequests: Handler<'tick'> = (state, event, now) => {
	const requests = [...state.requests.values()].filter(request => request.phase !== 'leaving');
	const expired = requests.filter(request => now >= request.expiresAt);
	const waitedTooLong = canEndWaits(state, now) ? requests.filter(request => now < request.expiresAt && waitExpirers[request.phase] !== undefined && now - request.phaseAt >= maxStoreWaitMs) : [];
	return chain(
		chainAll(state, expired, (current, request) => expireRequest(current, request, event.random, now)),
		current => chainAll(current, waitedTooLong, (later, request) => waitExpirers[request.phase]!(later, request.id, event.random, now)),
	);
};

/** Interval of load messages to peers: about the time in which an engine processes one long prompt. */
const gossipIntervalMs = 80;

/** Interval of a message that is the same as the one before. A peer must lose two in a row to forget it. */
const unchangedIntervalMs = 160;

/** Interval at which these messages also tell of crashes, which takes far more bytes. The next one does if there is news. */
const poisonIntervalMs = 400;

/** Number of messages of which peers that are told less often get one. */
const seldomPeriod = 4;

/** Number of messages after which the totals are added up anew, so that rounding errors do not add up. */
const resumPeriod = 64;

/** Updates what is derived from the rows of the other routers, if those were read again. */
const updateGossipPeers = (state: EdgeState): EdgeState => {
	const {peers: rows, router} = state.quota;
	return state.gossipPeers.rows === rows
		? state
		: {
			...state,
			gossipPeers: {
				rows,
				ordered: orderPeers(router, rows.entrySeq().toArray().map(([peer, {isLive, peerAddress}]) => ({router: peer, isLive, peerAddress}))),
				dataCentres: state.gossipPeers.dataCentres.filter((_, peer) => rows.has(peer)),
			},
		};
};

const removeSilentPeers = (state: EdgeState, now: number): EdgeState => {
	const peers = removeStalePeers(state.peers, now);
	return peers === state.peers && state.gossipCount % resumPeriod !== 0 ? state : {...state, peers, peerLoadTotals: sumLoads(peers)};
};

const sendGossip = (before: EdgeState, now: number): EdgeStep => {
	if (now - before.gossipSentAt < gossipIntervalMs) {
		return keepState(before);
	}

	const state = removeSilentPeers(updateGossipPeers(before), now);
	const {gossipCount, gossipPeers} = state;
	const isPoisonDue = (state.isPoisonNewsUrgent || now - state.poisonToldAt >= poisonIntervalMs) && hasPoisonNews(state.poison);
	// News of parts wait for the next message, so that one with crashes stays under 8 KB.
	const promptNews = isPoisonDue ? [] : state.promptNews;
	const report: LoadReport = {
		...describeRouter(state.quota.router, state.readiness, state.readinessLimits),
		dataCentre: state.dataCentre,
		registry: state.registry,
		poison: isPoisonDue ? listPoisonNews(state.poison, now) : undefined,
	};
	const isSeldomDue = isPoisonDue || gossipCount % seldomPeriod === 0;
	const message = encodeLoads(report, now);
	const isUnchanged = message === state.gossipSent.message && promptNews.length === 0 && now - state.gossipSent.at < unchangedIntervalMs;
	const {often, seldom} = choosePeers({
		// While the store is away, no peer's row is written, and all look dead there.
		ordered: gossipPeers.ordered.filter(({router, isLive}) => isLive || state.peers.has(router)),
		dataCentre: state.dataCentre,
		dataCentres: gossipPeers.dataCentres,
		isOverflowing: state.overflow.some(overflow => isOverflowing(overflow)),
		round: Math.floor(gossipCount / seldomPeriod),
	});
	const addresses = [...(isUnchanged ? [] : often), ...(isSeldomDue ? seldom : [])].map(({peerAddress}) => peerAddress);
	const nearAddresses = often.map(({peerAddress}) => peerAddress);
	return {
		state: {
			...state, gossipSentAt: now, gossipCount: gossipCount + 1, poisonToldAt: isPoisonDue ? now : state.poisonToldAt, isPoisonNewsUrgent: false,
			promptNews: isPoisonDue ? state.promptNews : [], gossipSent: isUnchanged ? state.gossipSent : {message, at: now},
		},
		effects: promptNews.length === 0
			? [{kind: 'tell-peers', addresses, message}]
			: [
				{kind: 'tell-peers', addresses: nearAddresses, message: encodeLoads({...report, promptNews}, now)},
				...(isSeldomDue && seldom.length > 0 ? [{kind: 'tell-peers', addresses: seldom.map(({peerAddress}) => peerAddress), message} as const] : []),
			],
	};
};

/** Interval at which tokens are drawn, returned and settled; a request that lacks tokens triggers this at once. */
const tokenSyncIntervalMs = 60;

/** The same while this router spends nothing: planning looks at all budgets and routers, and only the rows that are read each second can call for anything then. */
const idleTokenSyncIntervalMs = 240;

const computeTokenSyncInterval = ({quota, requests}: EdgeState): number => {
	const isIdle = requests.isEmpty() && quota.hasTakenOver && quota.sync.step === 'idle' && quota.restoration === undefined && !quota.isLeaving
		&& !quota.holds.some(({charged, reserved, usedSinceTick}) => charged > 0 || reserved > 0 || usedSinceTick > 0);
	return isIdle ? idleTokenSyncIntervalMs : tokenSyncIntervalMs;
};

/** Interval of checks for missing and unresponsive endpoints. */
const endpointCheckIntervalMs = 100;

const checkEndpoints = (state: EdgeState, random: number, now: number): EdgeStep => {
	if (now - state.endpointsCheckedAt < endpointCheckIntervalMs) {
		return keepState(state);
	}

	const updated = setRegistry({...state, endpointsCheckedAt: now}, removeMissing(state.registry, now), now);
	const judged = chain(updated, current => updateVerdicts(current, now));
	const cleared = chain(judged, current => rejectWaitingPoison(current, now));
	const saved = chain(cleared, current => saveVerdicts(current, now));
	const told = chain(saved, current => saveCrashes(current, now));
	const read = chain(told, current => readVerdicts(current, now));
	const shared = chain(read, current => updateColdShares(updateShares(current, now), now));
	return chain(shared, current => failOverUnresponsive(current, random, now));
};

const receiveTick: Handler<'tick'> = (state, event, now) => {
	const expired = chain(expireRequests(state, event, now), current => keepState({...current, tick: {at: now, isLate: now - state.tick.at >= lateTickMs}}));
	const settled = chain(expired, current => now - current.quota.tickedAtMs < computeTokenSyncInterval(current) ? keepState(current) : applyTokenEvent(current, {kind: 'tick'}, event.random, now));
	const checked = chain(settled, current => checkEndpoints(current, event.random, now));
	const gossiped = chain(checked, current => sendGossip(current, now));
	const told = gossiped.state.gossipSentAt === now ? chain(gossiped, current => tellOrigins(current)) : gossiped;
	const saved = chain(chain(told, current => saveOrigins(current, now)), current => saveVersions(current, now));
	return chain(saved, current => placeWaiting(current, event.random, now));
};

/** Records the prompt parts that a peer has sent to endpoints. */
const recordPromptNews = (registry: Registry, news: readonly PromptNews[], now: number): Registry => news.reduce((current, {endpoint: id, startedAt, part}) => {
	const endpoint = current.endpoints.get(id);
	return endpoint?.startedAt === startedAt
		? {...current, endpoints: current.endpoints.set(id, recordPromptParts(endpoint, [part], now))}
		: current;
}, registry);

/** Records what a peer's message says of its load. */
const recordPeer = (state: EdgeState, event: PeerMessage, now: number): EdgeState => {
	const {router, dataCentre, loads} = event;
	const {gossipPeers} = state;
	return {
		...state,
		peers: recordPeerLoads(state.peers, event, now),
		peerLoadTotals: replaceLoads(state.peerLoadTotals, state.peers.get(router)?.loads, loads),
		gossipPeers: dataCentre === undefined || gossipPeers.dataCentres.get(router) === dataCentre
			? gossipPeers
			: {...gossipPeers, dataCentres: gossipPeers.dataCentres.set(router, dataCentre)},
	};
};

/** Most messages tell of loads only, and of few changes in these. */
const receivePeerMessage: Handler<'peer-heard'> = (state, event, now) => {
	const {limits, leaving, poison, promptNews} = event;
	const recorded = recordPeer(state, event, now);
	const limited = limits.length === 0 ? keepState(recorded) : receivePeerLimits(recorded, event, now);
	const left = leaving.length === 0 ? limited : chain(limited, current => receivePeerLeaving(current, leaving, now));
	const cooled = event.cold === undefined || event.cold.length === 0 ? left : chain(left, current => receivePeerColdTimes(current, event, now));
	const told = promptNews.length === 0 ? cooled : chain(cooled, current => keepState({...current, registry: recordPromptNews(current.registry, promptNews, now)}));
	return hasNews(poison) ? chain(told, current => receivePoisonNews(current, poison, 'peer', now)) : told;
};

const receiveList: Handler<'endpoints-listed'> = (state, {entries, version}, now) => {
	const step = setRegistry({...state, registryReadAt: state.registryReadAt ?? now}, replaceEntries(state.registry, entries, version, now), now);
	return chain({state: step.state, effects: [...step.effects, ...logIgnoredEntries(step.state.registry, entries)]}, current => recordColdEntries(current, state.registry, now));
};

const receiveEntry: Handler<'endpoint-changed'> = (state, {id, listing, version}, now) => {
	const step = setRegistry(state, updateEntry(state.registry, id, listing, version, now), now);
	const logged: EdgeStep = {state: step.state, effects: [...step.effects, ...logIgnoredEntries(step.state.registry, listing === undefined ? [] : [listing])]};
	return chain(logged, current => recordColdEntries(current, state.registry, now));
};

const handlers: Readonly<{[Kind in EdgeEvent['kind']]: Handler<Kind>}> = {
	'call-arrived': receiveRequest,
	'caller-left': receiveClientDisconnect,
	'call-withdrawn': receiveCancellation,
	'response-began': receiveStatements,
	'endpoint-answered': receiveEndpointResponse,
	'endpoint-failed': (state, event, now) => chain(recordRequestBreak(state, event, now), current => receiveEndpointFailure(current, event, now)),
	'stream-began': receiveFirstOutput,
	'stream-ended': receiveStreamEnd,
	'catalog-read': receiveConfig,
	'catalog-current': (state, {at}) => keepState({...state, configFreshness: {...state.configFreshness, currentAt: at, isFollowed: true}}),
	'catalog-lost': state => keepState({...state, configFreshness: {...state.configFreshness, isFollowed: false}}),
	'evacuations-read': receiveEvacuations,
	'evacuations-changed': receiveEvacuationChanges,
	'endpoints-listed': receiveList,
	'endpoint-changed': receiveEntry,
	'registry-lost': state => keepState({...state, registry: markUnavailable(state.registry)}),
	'registry-restored': (state, {era}, now) => keepState(restoreRows({...state, registry: markRestored(state.registry, state.drainMs, now)}, era, now)),
	'registry-regained': (state, _event, now) => keepState({...state, registry: markAvailable(state.registry, state.drainMs, now)}),
	'store-replied': (state, event, now) => applyTokenEvent(state, {kind: 'replied', reply: event.reply, random: event.random}, event.random, now),
	'origin-read': receiveOrigin,
	'versions-read': receiveVersions,
	'versions-in-use-read': receiveVersionsInUse,
	'versions-saved': receiveVersionSave,
	'verdicts-read': receiveSavedVerdicts,
	'verdicts-saved': receiveVerdictSave,
	'origins-told': (state, event, now) => keepState({...state, origins: event.origins.reduce((known, each) => recordToldOrigin(known, each, now), state.origins)}),
	'origins-saved': (state, event, now) => keepState({...state, origins: completeSave(state.origins, event.part, event.isDone, state.liveRouters.length, now)}),
	'peer-heard': receivePeerMessage,
	'transfer-received': (state, event, now) => receivePeerTransfer(state, event.message, event.random, now),
	tick: receiveTick,
	'load-measured': receiveLoad,
	'bounds-changed': (state, event) => keepState({
		...state,
		retryBudgetBounds: event.retryBudgetBounds,
		drainMs: event.drainMs,
		coldBounds: event.coldBounds ?? state.coldBounds,
		regions: event.regions ?? state.regions,
		remoteCostMs: event.remoteCostMs,
		configFreshness: {...state.configFreshness, limitMs: event.configMs},
	}),
	'leave-wanted': (state, event, now) => applyTokenEvent(state, {kind: 'leave'}, event.random, now),
	'stop-wanted': (state, event) => keepState(beginShutdown(state, event.answerBy)),
};

/**
Handles an event of the edge router: computes the new state and the effects, without input or output.

@param state - The edge state.
@param event - The event.
@param now - The current time in ms, of a monotonic clock.
@returns The new state and the effects.
*/
export const handleEdge = (state: EdgeState, event: EdgeEvent, now: number): EdgeStep => {
	const handler = handlers[event.kind] as Handler<EdgeEvent['kind']>;
	return handler(state, event, now);
};
