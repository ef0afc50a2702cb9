import {findFirstArrival, recordOffered} from '../admission/index.js';
import {creditRequest} from '../retry-budget/index.js';
import {findOrganisation, findRoute, pickService} from '../routing-config/index.js';
import type {RoutingConfig, Organisation, Route} from '../routing-config/index.js';
import {
	errorResponses, createFault, fail, succeed,
} from '../errors/index.js';
import type {Fault, Result} from '../errors/index.js';
import {combineHomeRegions} from '../home/index.js';
import {computeFingerprint, createInFlightRequest} from '../in-flight/index.js';
import type {RequestHead, InFlightRequest} from '../in-flight/index.js';
import {suggestRetryAfter} from '../queue/index.js';
import {describeCandidate, identifyUnanswered, putRequest} from './common.js';
import {checkPoison, rejectPoison} from './poison.js';
import {locateStream} from './resume.js';
import {admitDuringShutdown} from './shutdown.js';
import type {EdgeEvent} from './messages.js';
import type {EdgeState, EdgeStep} from './state.js';

type ArrivalEvent = EdgeEvent & {kind: 'call-arrived'};

type Admission = Readonly<{route: Route; service: string; organisation: Organisation | undefined}>;

/** Finds the route, service and organisation of a request in the active configuration. */
const admitRequest = (config: RoutingConfig, head: RequestHead): Result<Admission> => {
	const route = findRoute(config, head.host, head.url);
	if (route === undefined) {
		return fail(createFault('not-found', `no route of configuration ${config.version} matches the path`));
	}

	const organisation = findOrganisation(config, head.apiKey);
	if (organisation === undefined && config.needsAuthentication && !route.isAnonymous) {
		return fail(createFault('unauthorised', `configuration ${config.version} has no such key`));
	}

	const service = pickService(route, head.key);
	return service === undefined
		? fail(createFault('not-ready', `route ${route.name} names no service`))
		: succeed({route, service, organisation});
};

/** Returns the upper bound of what a request is charged: prompt and maximum output tokens, 0 without a budget. */
const computeMaxCostTokens = (organisation: Organisation | undefined, head: RequestHead): number =>
	organisation?.budget === undefined || head.modelRequest === undefined ? 0 : head.modelRequest.promptTokens + head.modelRequest.maxOutputTokens;

const createAdmittedRequest = (event: ArrivalEvent, {route, service, organisation}: Admission, now: number): InFlightRequest => {
	const maxCostTokens = computeMaxCostTokens(organisation, event.head);
	return createInFlightRequest({
		id: event.call,
		head: event.head,
		fingerprint: computeFingerprint(event.head, organisation?.name, event.bodyDigest),
		route,
		service,
		organisation: organisation?.name,
		budget: maxCostTokens > 0 ? organisation?.name : undefined,
		homeRegions: combineHomeRegions(route.homeRegions, organisation?.homeRegions),
		priority: organisation?.priority ?? route.priority,
		maxCostTokens,
		arrivedAt: event.receivedAt,
		unreadMs: event.unreadMs,
		bodyBytes: event.bodyBytes,
		// The client's time runs from when it sent the request.
		expiresAt: event.receivedAt - event.unreadMs + Math.min(route.timeout, event.head.clientTimeoutMs ?? route.timeout),
		phaseAt: now,
	});
};

/** Rejects a request that is not tracked as in flight. */
const rejectArrival = (state: EdgeState, event: ArrivalEvent, fault: Fault): EdgeStep => ({
	state,
	effects: [
		{kind: 'refuse', call: identifyUnanswered({id: event.call, phase: 'granting', events: 0}), fault},
		{
			kind: 'count', metric: 'calls', labels: {route: '', outcome: fault.kind}, call: event.call,
		},
		{
			kind: 'log', level: 'failure', event: 'call-ended', fields: {
				call: event.head.key, outcome: fault.kind, status: errorResponses[fault.kind].status, reason: fault.detail, configuration: state.config?.version,
			},
		},
	],
});

/**
Admits a client's request and reserves its tokens, or rejects it.

@param state - The edge state.
@param event - The decoded request.
@param now - The current time in ms.
@returns The new state and the effects.
*/
export const receiveRequest = (state: EdgeState, event: ArrivalEvent, now: number): EdgeStep => {
	const {config} = state;
	if (config === undefined || state.registryReadAt === undefined) {
		return rejectArrival(state, event, createFault('not-ready', 'the configuration has not been read yet', suggestRetryAfter(event.head.clientTimeoutMs ?? 0, event.random)));
	}

	const {currentAt, isFollowed, limitMs = Number.POSITIVE_INFINITY} = state.configFreshness;
	if (isFollowed && now - currentAt > limitMs) {
		const retryAfter = suggestRetryAfter(event.head.clientTimeoutMs ?? 0, event.random);
		return rejectArrival(state, event, createFault('not-ready', `configuration ${config.version} was last known to be current ${Math.round(now - currentAt)} ms ago`, retryAfter));
	}

	const admissionResult = admitRequest(config, event.head);
	if (admissionResult.err) {
		return rejectArrival(state, event, admissionResult.val);
	}

	const requestResult = admitDuringShutdown(state, createAdmittedRequest(event, admissionResult.val, now), event.random, now);
	if (requestResult.err) {
		return rejectArrival(state, event, requestResult.val);
	}

	const request: InFlightRequest = state.prioritizesUrgent
		? {...requestResult.val, firstArrivedAt: findFirstArrival(state.demand, requestResult.val.fingerprint, now) ?? requestResult.val.arrivedAt}
		: requestResult.val;
	const counted: EdgeState = {
		...state,
		demand: state.prioritizesUrgent ? recordOffered(state.demand, describeCandidate(request), now) : state.demand,
		retryBudget: creditRequest(state.retryBudget, request.service, state.retryBudgetBounds, state.liveRouters.length),
	};
	const known = putRequest(counted, request);
	const decision = checkPoison(known, request, now);
	return decision.kind === 'reject' ? rejectPoison(known, request, decision, now) : locateStream(known, request, event.random, now);
};
