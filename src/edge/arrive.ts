import {countArrival} from '../allowance/index.js';
import {findOrganisation, findRoute, pickService} from '../catalog/index.js';
import type {Catalog, Organisation, Route} from '../catalog/index.js';
import {
	answers, createFault, fail, succeed,
} from '../errors/index.js';
import type {Fault, Result} from '../errors/index.js';
import {createFlight} from '../flight/index.js';
import type {CallHead, Flight} from '../flight/index.js';
import {countRouters} from '../purse/index.js';
import {suggestReturn} from '../queue/index.js';
import {putFlight} from './common.js';
import {grantFlight} from './grant.js';
import type {EdgeEvent} from './messages.js';
import type {EdgeState, EdgeStep} from './state.js';

type Arrived = EdgeEvent & {kind: 'call-arrived'};

type Admission = Readonly<{route: Route; service: string; organisation: Organisation | undefined}>;

/** Checks a call against the configuration in force. */
const admitCall = (catalog: Catalog, head: CallHead): Result<Admission> => {
	const route = findRoute(catalog, head.host, head.url);
	if (route === undefined) {
		return fail(createFault('not-found', `no route of configuration ${catalog.version} matches the path`));
	}

	const organisation = findOrganisation(catalog, head.apiKey);
	if (organisation === undefined && catalog.needsKeys && !route.isAnonymous) {
		return fail(createFault('unauthorised', `configuration ${catalog.version} has no such key`));
	}

	const service = pickService(route, head.key);
	return service === undefined
		? fail(createFault('not-ready', `route ${route.name} names no service`))
		: succeed({route, service, organisation});
};

/** The most that a call may cost its organisation, in tokens. */
const computeCost = (organisation: Organisation | undefined, head: CallHead): number =>
	organisation?.budget === undefined || head.work === undefined ? 0 : head.work.promptTokens + head.work.maxOutput;

const createArrival = (event: Arrived, {route, service, organisation}: Admission, now: number): Flight => {
	const cost = computeCost(organisation, event.head);
	return createFlight({
		id: event.call,
		head: event.head,
		route,
		service,
		organisation: organisation?.name,
		budget: cost > 0 ? organisation?.name : undefined,
		priority: organisation?.priority ?? route.priority,
		cost,
		arrivedAt: now,
		expiresAt: now + Math.min(route.timeout, event.head.patience ?? route.timeout),
	});
};

/** Turns a call away for which no flight is kept. */
const refuseCall = (state: EdgeState, event: Arrived, fault: Fault): EdgeStep => ({
	state,
	effects: [
		{kind: 'refuse', call: event.call, fault},
		{kind: 'count', metric: 'calls', labels: {route: '', outcome: fault.kind}},
		{
			kind: 'log', level: 'failure', event: 'call-ended', fields: {
				call: event.head.key, outcome: fault.kind, status: answers[fault.kind].status, reason: fault.detail, configuration: state.catalog?.version,
			},
		},
	],
});

/**
Takes in a caller's request.

@param state - The edge.
@param event - The request.
@param now - The time in ms.
@returns The edge, and what it does.
*/
export const arriveCall = (state: EdgeState, event: Arrived, now: number): EdgeStep => {
	const {catalog} = state;
	if (catalog === undefined || !state.hasRegistry) {
		return refuseCall(state, event, createFault('not-ready', 'the configuration has not been read yet', suggestReturn(event.head.patience ?? 0, event.random)));
	}

	const admission = admitCall(catalog, event.head);
	if (admission.err) {
		return refuseCall(state, event, admission.val);
	}

	const flight = createArrival(event, admission.val, now);
	const counted: EdgeState = {
		...state, allowance: countArrival(state.allowance, flight.service, state.repeats, countRouters(state.purse)),
	};
	return grantFlight(putFlight(counted, flight), flight, event.random, now);
};
