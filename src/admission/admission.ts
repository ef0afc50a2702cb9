import {Map} from 'immutable';

/** Requests of one priority class of a service: counts that decay over some seconds. */
type ClassDemand = Readonly<{
	/** Requests that arrived. */
	offered: number;
	/** Those of them that were sent to an endpoint. */
	sent: number;
	/** Shortest target time to the first output among them, in ms. */
	targetMs: number;
	/** When the counts were last updated, in ms. */
	at: number;
}>;

/** Requests of one organisation at this router. */
type OrganisationDemand = Readonly<{
	/** Decaying count over about a second. */
	present: number;
	/** Decaying count over half a minute. */
	usual: number;
	at: number;
}>;

/** What one router knows of the demand for its services, as far as it bears on who is served under overload. */
export type Demand = Readonly<{
	/** When the first request arrived, in ms; undefined before. */
	since: number | undefined;
	/** By service, then by priority. */
	classes: Map<string, Map<number, ClassDemand>>;
	organisations: Map<string, OrganisationDemand>;
	/** When the requests that were rejected lately arrived for the first time, in ms, by fingerprint, the latest ones last. */
	rejected: Map<string, Readonly<{firstArrivedAt: number; rejectedAt: number}>>;
	/** When requests of a class were last held back, in ms, by service and priority. */
	heldBackAt: Map<string, number>;
}>;

/** The demand that a new process knows. */
export const emptyDemand: Demand = {
	since: undefined, classes: Map(), organisations: Map(), rejected: Map(), heldBackAt: Map(),
};

/** The fields of a request on which its admission depends. */
export type Candidate = Readonly<{
	service: string;
	/** 0 is the most urgent. */
	priority: number;
	organisation: string | undefined;
	targetMs: number;
}>;

/** Time constant of the counts of a class, in ms: an overload is noticed within a second or two, and single requests do not count. */
const classDecayMs = 4000;

/** Time constants of the counts of an organisation, in ms. */
const presentDecayMs = 1500;
const usualDecayMs = 30_000;

/** Time from the first request after which the usual rate of an organisation counts as known, in ms. */
const learningMs = 6000;

/** Ratio of the present rate of an organisation to its usual one from which it counts as a surge. */
const surgeFactor = 2;

/** Requests in the present count below which there is no surge: a few requests vary by more than the factor. */
const minSurgeRequests = 8;

/** Decayed requests from which a class counts as present. */
const minClassRequests = 1;

/** Fraction of the target of a more urgent class up to which less urgent requests may load an endpoint: the rest is for the urgent request's own prompt. */
const headroomFraction = 0.6;

/** Fraction of the served fraction of all classes below which a class is no longer held back. Twice the quarter that each must get, as the counts lag behind. */
const starvationFraction = 0.5;

/** Time for which rejected requests are remembered, in ms: clients return within seconds. */
const rejectedTtlMs = 6000;
const maxRejected = 2000;

const decay = (count: number, elapsedMs: number, constantMs: number): number => count * Math.exp(-Math.max(0, elapsedMs) / constantMs);

const updateClass = (demand: Demand, {service, priority, targetMs}: Candidate, added: Readonly<{offered: number; sent: number}>, now: number): Demand => {
	const ofService = demand.classes.get(service) ?? Map<number, ClassDemand>();
	const known = ofService.get(priority);
	const elapsed = known === undefined ? 0 : now - known.at;
	const updated: ClassDemand = {
		offered: decay(known?.offered ?? 0, elapsed, classDecayMs) + added.offered,
		sent: decay(known?.sent ?? 0, elapsed, classDecayMs) + added.sent,
		targetMs: known === undefined || decay(known.offered, elapsed, classDecayMs) < minClassRequests ? targetMs : Math.min(known.targetMs, targetMs),
		at: now,
	};
	return {...demand, classes: demand.classes.set(service, ofService.set(priority, updated))};
};

const updateOrganisation = (demand: Demand, organisation: string | undefined, now: number): Demand => {
	if (organisation === undefined) {
		return demand;
	}

	const known = demand.organisations.get(organisation);
	const elapsed = known === undefined ? 0 : now - known.at;
	return {
		...demand,
		organisations: demand.organisations.set(organisation, {
			present: decay(known?.present ?? 0, elapsed, presentDecayMs) + 1,
			usual: decay(known?.usual ?? 0, elapsed, usualDecayMs) + 1,
			at: now,
		}),
	};
};

/**
Records a request that arrived.

@param demand - The demand so far.
@param candidate - The request.
@param now - The current time in ms.
@returns The demand.
*/
export const recordOffered = (demand: Demand, candidate: Candidate, now: number): Demand =>
	updateOrganisation(updateClass({...demand, since: demand.since ?? now}, candidate, {offered: 1, sent: 0}, now), candidate.organisation, now);

/**
Records that a request was sent to an endpoint for the first time.

@param demand - The demand so far.
@param candidate - The request.
@param now - The current time in ms.
@returns The demand.
*/
export const recordSent = (demand: Demand, candidate: Candidate, now: number): Demand => updateClass(demand, candidate, {offered: 0, sent: 1}, now);

/**
Remembers a request that was rejected, so that it takes precedence when it comes back.

@param demand - The demand so far.
@param fingerprint - The same for each repetition of the request.
@param firstArrivedAt - When it arrived for the first time, in ms.
@param now - The current time in ms.
@returns The demand.
*/
export const recordRejected = (demand: Demand, fingerprint: string, firstArrivedAt: number, now: number): Demand => {
	const rejected = demand.rejected.set(fingerprint, {firstArrivedAt, rejectedAt: now});
	if (rejected.size <= maxRejected) {
		return {...demand, rejected};
	}

	const recent = rejected.filter(({rejectedAt}) => now - rejectedAt <= rejectedTtlMs).sortBy(({rejectedAt}) => -rejectedAt);
	return {...demand, rejected: recent.take(maxRejected / 2)};
};

/**
Finds when a request arrived for the first time.

@param demand - The demand.
@param fingerprint - The same for each repetition of the request.
@param now - The current time in ms.
@returns The time in ms; undefined if this router has not rejected it lately.
*/
export const findFirstArrival = (demand: Demand, fingerprint: string, now: number): number | undefined => {
	const known = demand.rejected.get(fingerprint);
	return known === undefined || now - known.rejectedAt > rejectedTtlMs ? undefined : known.firstArrivedAt;
};

/**
Tells whether an organisation sends far more than it usually does.

Load pattern: one organisation sends many times its usual rate for some seconds, at every router. It
may use capacity that nobody else needs, but does not take that of the others.

@param demand - The demand.
@param organisation - The organisation, if any.
@param now - The current time in ms.
@returns True during such a surge.
*/
export const isSurging = (demand: Demand, organisation: string | undefined, now: number): boolean => {
	const known = organisation === undefined ? undefined : demand.organisations.get(organisation);
	if (known === undefined || demand.since === undefined || now - demand.since < learningMs) {
		return false;
	}

	const observedMs = Math.min(now - demand.since, usualDecayMs);
	const present = decay(known.present, now - known.at, presentDecayMs);
	const usualRate = decay(known.usual, now - known.at, usualDecayMs) / (usualDecayMs * (1 - Math.exp(-observedMs / usualDecayMs)));
	return present >= minSurgeRequests && present / presentDecayMs >= surgeFactor * usualRate;
};

const computeSentFraction = ({offered, sent}: Pick<ClassDemand, 'offered' | 'sent'>): number => offered < minClassRequests ? 1 : Math.min(1, sent / offered);

const decayClass = (demand: ClassDemand, now: number): ClassDemand => ({
	...demand, offered: decay(demand.offered, now - demand.at, classDecayMs), sent: decay(demand.sent, now - demand.at, classDecayMs),
});

/**
Computes up to which predicted time to its first output a request may be sent.

Load pattern: more requests arrive than engines can serve. A request with a long target would be sent to an endpoint
whose backlog makes urgent requests with a short target late. A less urgent request is therefore sent only where it leaves
room for the more urgent classes that arrive at present, and waits or is rejected otherwise; a class that is served
far less often than all others is no longer held back. An organisation that surges is held back in the same way
for the sake of all classes.

@param demand - The demand.
@param candidate - The request.
@param now - The current time in ms.
@returns The bound in ms; the request's own target if nothing more urgent competes with it.
*/
export const computeDispatchBound = (demand: Demand, candidate: Candidate, now: number): number => {
	const {service, priority, organisation, targetMs} = candidate;
	const classes = (demand.classes.get(service) ?? Map<number, ClassDemand>()).map(each => decayClass(each, now)).filter(({offered}) => offered >= minClassRequests);
	const isHeldBack = isSurging(demand, organisation, now);
	const competing = classes.filter((_, other) => other < priority || isHeldBack);
	if (competing.isEmpty()) {
		return targetMs;
	}

	const total = classes.reduce((sum, {offered, sent}) => ({offered: sum.offered + offered, sent: sum.sent + sent}), {offered: 0, sent: 0});
	const own = classes.get(priority);
	const isStarving = !isHeldBack && own !== undefined && computeSentFraction(own) < starvationFraction * computeSentFraction(total);
	const shortestTarget = competing.reduce((shortest, each) => Math.min(shortest, each.targetMs), Number.POSITIVE_INFINITY);
	return isStarving ? targetMs : Math.min(targetMs, headroomFraction * shortestTarget);
};

/** Time after which a class that was held back counts as admitted again, in ms: an overload comes and goes from one request to the next. */
const heldBackTtlMs = 2000;

/**
Records that a request is held back for the sake of others.

@param demand - The demand.
@param candidate - The request.
@param now - The current time in ms.
@returns The demand, and whether requests of that class were admitted just before.
*/
export const recordHeldBack = (demand: Demand, {service, priority}: Candidate, now: number): Readonly<{demand: Demand; isChange: boolean}> => {
	const key = `${service}/${priority}`;
	return {
		demand: {...demand, heldBackAt: demand.heldBackAt.set(key, now)},
		isChange: now - (demand.heldBackAt.get(key) ?? Number.NEGATIVE_INFINITY) > heldBackTtlMs,
	};
};

/**
Predicts when there will be room for a further request.

@param demand - The demand.
@param service - The service.
@param waiting - Requests of the service that are queued at this router.
@param now - The current time in ms.
@returns The time from now in ms; 0 if it is not known.
*/
export const predictRoomAfterMs = (demand: Demand, service: string, waiting: number, now: number): number => {
	const sent = (demand.classes.get(service) ?? Map<number, ClassDemand>()).reduce((sum, each) => sum + decayClass(each, now).sent, 0);
	return sent < minClassRequests ? 0 : waiting * classDecayMs / sent;
};
