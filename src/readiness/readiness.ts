/** Limits that a router's machine sets. */
export type ReadinessLimits = Readonly<{
	/** Cores that the router may use, as a fraction of one or more. */
	cpuShare: number;
	/** True for a router that is overwhelmed by what one client sends: it sheds load early, and withdraws whatever its neighbours can take. */
	isSmall: boolean;
}>;

/** CPU share below which a router is small, in cores. One with more of a core has worked off a burst before its clients' targets pass. */
const smallCpuShare = 0.4;

/**
Determines the limits that a router follows.

@param cpuShare - Cores that it may use; undefined if the settings give none.
@returns The limits; undefined for a router that is always ready.
*/
export const createReadinessLimits = (cpuShare: number | undefined): ReadinessLimits | undefined =>
	cpuShare === undefined ? undefined : {cpuShare, isSmall: cpuShare < smallCpuShare};

/**
What withdraws: `router` alone, if its neighbours take its clients, or the whole `data-centre`, if other data centres do. The load balancer
uses these only while no router of this one is ready.
*/
export type WithdrawalScope = 'router' | 'data-centre';

/** What a router knows about its overload. Times in ms. */
export type Readiness = Readonly<{
	/** True while the router says that it is not ready because it is overloaded. */
	isOverloaded: boolean;
	/** The scope of the latest withdrawal. */
	scope: WithdrawalScope;
	/** True if this router has decided that its data centre withdraws, and not a neighbour. */
	isLeading: boolean;
	/** When that last changed. */
	changedAt: number;
	/** Time for which it is not ready at least while no neighbour is under pressure. It grows if the router is overloaded again soon after it was ready. */
	withdrawalMs: number;
	/** Since when the router has been under pressure, or free of it, without a break; undefined while it is neither. */
	pressedSince: number | undefined;
	relievedSince: number | undefined;
	/** Moving averages: lag in ms, the part of the CPU share that is used, and the part of the requests that is shed. */
	lagMs: number;
	usedFraction: number;
	shedFraction: number;
	/** Moving average of the cores that routers of other data centres have to spare. */
	remoteSpareCores: number;
	sampledAt: number;
}>;

/** A measurement since the one before. */
export type ReadinessSample = Readonly<{
	/** Longest lag of events and timers, in ms. */
	lagMs: number;
	/** CPU time used, in ms. */
	usedMs: number;
	/** Requests that were read, and those of them that were shed. */
	requests: number;
	shed: number;
	now: number;
}>;

/** A router of the own data centre. */
export type Neighbour = Readonly<{
	router: string;
	isOverloaded: boolean;
	isPressed: boolean;
	/** True if it is overloaded, and withdraws with its whole data centre. */
	isLeading: boolean;
	/** Cores that it may use; 0 if that is not known. */
	cores: number;
	spareCores: number;
}>;

/** The other routers. */
export type Fleet = Readonly<{
	neighbours: readonly Neighbour[];
	/** Cores that ready routers of other data centres have to spare. */
	remoteSpareCores: number;
}>;

/** Time constant of the averages, in ms. */
const averagingMs = 500;

/**
A router is under pressure if its share is used up and events wait, if they wait for long whatever the cause, or if it sheds requests:
that keeps the lag below the one from which it sheds.
*/
const pressure = {
	usedFraction: 0.85, lagMs: 40, longLagMs: 150, shedFraction: 0.1,
} as const;

/** It is free of pressure below these, which are far from those above so that it does not change to and fro. */
const relief = {usedFraction: 0.65, lagMs: 20, shedFraction: 0.02} as const;

/** Time under pressure before the router says that it is not ready, and time free of it before it says that it is, in ms. */
const pressedMs = 1000;
const relievedMs = 1500;

/**
Bounds of the time for which it is not ready, in ms. The load balancer needs two checks a second apart, so a shorter time has no
effect. A router may still be overloaded after the longest time; others that are under pressure then have a turn.
*/
const notReadyMs = {min: 2500, alone: 5000, max: 8000} as const;

/** Time for which it is ready after that, in ms, however it is loaded: longer if others wait for their turn. */
const minReadyMs = {usual: 1000, crowded: 4000} as const;

/**
Growth of the time for which it is not ready. The load balancer sends each client to the same router as long as that is in the rotation, so
that what has made a router overloaded comes back with the router.
*/
const withdrawalGrowth = {factor: 2, maxMs: 20_000, recurrenceMs: 10_000} as const;

/** Bounds of the time for which a whole data centre withdraws, in ms. */
const dataCentreNotReadyMs = {min: 2500, max: 20_000} as const;

/** Time after which the load balancer has noticed that a router is not ready, in ms. */
const noticeMs = 2500;

/**
Cores that others must have to spare, as a fraction of those that withdraw, and the fraction below which they have none any more. A
router leaves the rotation for what it has too much, and keeps most of its open connections.
*/
const spareFraction = {min: 0.25, none: 0.05} as const;

/** Fraction of the cores of a data centre whose routers are overloaded before all of them withdraw. */
const pressedCoresFraction = 0.5;

/** Fraction of the responses with which a router closes connections at full load while its clients can use other data centres. */
const maxMovedFraction = 0.3;

/** Unit in which spare cores are told, so that messages to peers seldom change. */
const spareUnit = 0.1;

/** Interval of samples, in ms. */
export const sampleIntervalMs = 100;

/**
Creates the readiness of a router that has just started.

@returns The readiness, without any pressure.
*/
export const createReadiness = (): Readiness => ({
	isOverloaded: false,
	scope: 'router',
	isLeading: false,
	changedAt: Number.NEGATIVE_INFINITY,
	withdrawalMs: notReadyMs.alone,
	pressedSince: undefined,
	relievedSince: undefined,
	lagMs: 0,
	usedFraction: 0,
	shedFraction: 0,
	remoteSpareCores: 0,
	sampledAt: 0,
});

const isPressed = ({lagMs, usedFraction, shedFraction}: Readiness): boolean =>
	lagMs >= pressure.longLagMs || shedFraction >= pressure.shedFraction || (lagMs >= pressure.lagMs && usedFraction >= pressure.usedFraction);

const isRelieved = ({lagMs, usedFraction, shedFraction}: Readiness): boolean =>
	lagMs < relief.lagMs && usedFraction < relief.usedFraction && shedFraction < relief.shedFraction;

const recordSample = (readiness: Readiness, {lagMs, usedMs, requests, shed, now}: ReadinessSample, {cpuShare}: ReadinessLimits, {remoteSpareCores}: Fleet): Readiness => {
	const elapsedMs = Math.max(1, now - readiness.sampledAt);
	const weight = 1 - Math.exp(-elapsedMs / averagingMs);
	const average = (before: number, value: number) => before + ((value - before) * weight);
	const measured: Readiness = {
		...readiness,
		sampledAt: now,
		lagMs: average(readiness.lagMs, lagMs),
		usedFraction: average(readiness.usedFraction, usedMs / (elapsedMs * cpuShare)),
		shedFraction: average(readiness.shedFraction, requests === 0 ? 0 : shed / requests),
		remoteSpareCores: average(readiness.remoteSpareCores, remoteSpareCores),
	};
	return {
		...measured,
		pressedSince: isPressed(measured) ? readiness.pressedSince ?? now : undefined,
		relievedSince: isRelieved(measured) ? readiness.relievedSince ?? now : undefined,
	};
};

/**
Tells whether a router may be not ready beside its neighbours: at most half of those of a data centre may be at a time. If more
say so at once, since they do not know of each other yet, those with the first names stay so. Every router comes to the same result.
*/
const mayBeOverloaded = (router: string, neighbours: readonly Neighbour[]): boolean => {
	const before = neighbours.filter(each => each.isOverloaded && each.router < router).length;
	return before < Math.floor((neighbours.length + 1) / 2);
};

/** Determines for how long an overloaded router is not ready at least, after it was ready for some time. */
const growWithdrawal = (beforeMs: number, readyMs: number): number => readyMs < withdrawalGrowth.recurrenceMs
	? Math.min(withdrawalGrowth.maxMs, beforeMs * withdrawalGrowth.factor)
	: notReadyMs.alone;

/** What a decision depends on. */
type Decision = Readonly<{readiness: Readiness; limits: ReadinessLimits; router: string; neighbours: readonly Neighbour[]; now: number}>;

const sumSpareCores = (neighbours: readonly Neighbour[]): number =>
	neighbours.filter(each => !each.isOverloaded && !each.isPressed).reduce((sum, {spareCores}) => sum + spareCores, 0);

const isRelievedLong = ({relievedSince}: Readiness, now: number): boolean => relievedSince !== undefined && now - relievedSince >= relievedMs;

const countMaxWithdrawn = (neighbours: readonly Neighbour[]): number => Math.floor((neighbours.length + 1) / 2);

/** While neighbours have withdrawn, one more must leave half of them. A router that is not small withdraws only if the others can take what it has too much. */
const canWithdrawAlone = ({limits, router, neighbours}: Decision): boolean =>
	mayBeOverloaded(router, neighbours) && neighbours.filter(each => each.isOverloaded).length < countMaxWithdrawn(neighbours)
	&& (limits.isSmall || sumSpareCores(neighbours) >= limits.cpuShare * spareFraction.min);

const sumCores = ({limits, neighbours}: Decision, isCounted: (neighbour: Neighbour) => boolean = () => true): number =>
	neighbours.reduce((sum, each) => sum + (isCounted(each) ? each.cores : 0), limits.cpuShare);

/** All routers of a data centre withdraw if those that are overloaded have half of its cores, the others cannot take what they have too much, and other data centres can. */
const canWithdrawTogether = (decision: Decision): boolean => {
	const {readiness, limits, neighbours} = decision;
	const cores = sumCores(decision);
	return sumSpareCores(neighbours) < limits.cpuShare * spareFraction.min
		&& sumCores(decision, each => each.isOverloaded || each.isPressed) >= cores * pressedCoresFraction
		&& readiness.remoteSpareCores >= cores * spareFraction.min;
};

const findScope = (decision: Decision): WithdrawalScope | undefined => {
	if (canWithdrawAlone(decision)) {
		return 'router';
	}

	return canWithdrawTogether(decision) ? 'data-centre' : undefined;
};

/** Begins a withdrawal if the router has been under pressure for long enough, or if a neighbour withdraws with the data centre. */
const beginWithdrawal = (decision: Decision): Readiness => {
	const {readiness, neighbours, now} = decision;
	const {pressedSince, changedAt, withdrawalMs} = readiness;
	const readyMs = now - changedAt;
	if (readyMs >= minReadyMs.usual && neighbours.some(each => each.isLeading)) {
		return {
			...readiness, isOverloaded: true, scope: 'data-centre', isLeading: false, changedAt: now,
		};
	}

	const scope = pressedSince !== undefined && now - pressedSince >= pressedMs ? findScope(decision) : undefined;
	const isCrowded = scope === 'router' && neighbours.some(each => each.isPressed && !each.isOverloaded);
	return scope === undefined || readyMs < (isCrowded ? minReadyMs.crowded : minReadyMs.usual)
		? readiness
		: {
			...readiness, isOverloaded: true, scope, isLeading: scope === 'data-centre', changedAt: now, withdrawalMs: scope === 'router' ? growWithdrawal(withdrawalMs, readyMs) : withdrawalMs,
		};
};

const mustReturnAlone = ({readiness, router, neighbours, now}: Decision): boolean => {
	const elapsedMs = now - readiness.changedAt;
	const isCrowded = neighbours.some(each => each.isPressed && !each.isOverloaded);
	const minMs = isCrowded ? notReadyMs.min : readiness.withdrawalMs;
	return !mayBeOverloaded(router, neighbours) || elapsedMs >= Math.max(notReadyMs.max, minMs) || (elapsedMs >= minMs && isRelievedLong(readiness, now));
};

/** The routers of a data centre return together, once those are relieved that were overloaded: the first one that is ready gets all new connections. */
const mustReturnTogether = (decision: Decision): boolean => {
	const {readiness, neighbours, now} = decision;
	const elapsedMs = now - readiness.changedAt;
	const isNoneSpared = readiness.remoteSpareCores < sumCores(decision) * spareFraction.none;
	const isRelieved = isRelievedLong(readiness, now) && !neighbours.some(each => each.isPressed);
	const mayReturn = readiness.isLeading ? isRelieved : !neighbours.some(each => each.isLeading);
	return elapsedMs >= dataCentreNotReadyMs.min && (isNoneSpared || mayReturn || elapsedMs >= dataCentreNotReadyMs.max);
};

const returnRules: Readonly<Record<WithdrawalScope, (decision: Decision) => boolean>> = {router: mustReturnAlone, 'data-centre': mustReturnTogether};

/**
Decides whether an overloaded router says that it is not ready, so that it gets no new connections.

Load pattern: each router gets the same share of connections, however few cores it has. One with a fifth of a core is overloaded
for seconds while others are not. Requests wait there until half of their time is over. If all are overloaded, none may withdraw
for long: the rest would get all connections.

Load pattern: the clients of one data centre send more than its routers can bear, and those of other data centres less. All routers of
the one withdraw, so that the load balancer sends new connections to the others.

@param before - The readiness so far.
@param sample - The latest measurement.
@param limits - The limits of the machine.
@param router - Name of this router.
@param fleet - The other routers.
@returns The readiness.
*/
export const updateReadiness = (before: Readiness, sample: ReadinessSample, limits: ReadinessLimits, router: string, fleet: Fleet): Readiness => {
	const readiness = recordSample(before, sample, limits, fleet);
	const decision: Decision = {
		readiness, limits, router, neighbours: fleet.neighbours, now: sample.now,
	};
	if (!readiness.isOverloaded) {
		return beginWithdrawal(decision);
	}

	// Routers that have withdrawn alone stay out once their data centre withdraws.
	const scope = canWithdrawTogether(decision) && !isRelievedLong(readiness, sample.now) ? 'data-centre' : readiness.scope;
	return returnRules[scope](decision)
		? {
			...readiness, isOverloaded: false, isLeading: false, changedAt: sample.now,
		}
		: {...readiness, scope, isLeading: readiness.isLeading || scope !== readiness.scope};
};

/** Determines the cores that a router has to spare for clients of others: a whole number of tenths of a core; 0 if that is not known. */
const computeSpareCores = ({isOverloaded, pressedSince, usedFraction}: Readiness, limits: ReadinessLimits | undefined): number =>
	limits === undefined || isOverloaded || pressedSince !== undefined
		? 0
		: Math.max(0, Math.floor((relief.usedFraction - usedFraction) * limits.cpuShare / spareUnit)) / (1 / spareUnit);

/**
Describes a router as its neighbours know it.

@param router - Its name.
@param readiness - Its readiness.
@param limits - The limits of its machine; undefined if the settings give none.
@returns What it tells the others.
*/
export const describeRouter = (router: string, readiness: Readiness, limits: ReadinessLimits | undefined): Neighbour => ({
	router,
	isOverloaded: readiness.isOverloaded,
	isPressed: readiness.pressedSince !== undefined,
	isLeading: readiness.isLeading,
	cores: limits?.cpuShare ?? 0,
	spareCores: computeSpareCores(readiness, limits),
});

/**
Tells whether a router refuses new connections. A small one does while it leaves its clients to its neighbours: the load balancer sends
them to the same router until checks have failed, and shedding takes all of its processor time.

@param readiness - Its readiness.
@param limits - The limits of its machine.
@returns False for a router that serves all who still come.
*/
export const refusesConnections = ({isOverloaded, scope}: Readiness, {isSmall}: ReadinessLimits): boolean => isOverloaded && scope === 'router' && isSmall;

/**
Decides whether a response closes its connection, so that its client uses another router: a client keeps its connections while their
router is not ready.

@param readiness - The readiness of the router.
@param isShed - True if the response sheds its request.
@param now - The current time in ms.
@param random - A random number in [0, 1).
@returns True if the client is to move. While a data centre withdraws, as many move as it takes to relieve the router.
*/
export const shouldMoveClient = ({isOverloaded, scope, changedAt, usedFraction}: Readiness, isShed: boolean, now: number, random: number): boolean => {
	if (!isOverloaded || scope === 'router') {
		return isOverloaded && isShed;
	}

	const excess = (usedFraction - relief.usedFraction) / (1 - relief.usedFraction);
	return now - changedAt >= noticeMs && (isShed || random < maxMovedFraction * Math.min(1, excess));
};

/** Lag from which a small router sheds new requests, in ms: with few cores, those that are admitted take long to catch up. */
const shedLagMs = 150;

/**
Determines the lag from which new requests are shed.

@param limits - The limits of the machine; undefined if the settings give none.
@returns The lag in ms; undefined for the usual one.
*/
export const getShedLag = (limits: ReadinessLimits | undefined): number | undefined => limits?.isSmall === true ? shedLagMs : undefined;
