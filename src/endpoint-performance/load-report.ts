/** A figure that an endpoint stated, and when, in ms. */
export type StatedFigure = Readonly<{value: number; at: number}>;

/** What one response states of the load of its endpoint. Each figure is undefined if it is missing or unreadable. */
export type StatedLoad = Readonly<{
	running?: number | undefined;
	waiting?: number | undefined;
	slots?: number | undefined;
	/** Factor by which work takes longer on that machine at this moment; 1 is as usual. */
	workFactor?: number | undefined;
}>;

/** Stated work factors, averaged by their logarithms so that 2 and 1/2 cancel out. */
export type StatedWorkFactor = Readonly<{
	logMean: number;
	/** Weight of the mean at the time of its last update; a single statement has 1. */
	mass: number;
	/** When it was last stated, in ms. */
	at: number;
}>;

/** The latest readable figures of an endpoint's responses, each with its age. */
export type LoadReport = Readonly<{
	running: StatedFigure | undefined;
	waiting: StatedFigure | undefined;
	slots: StatedFigure | undefined;
	workFactor: StatedWorkFactor | undefined;
}>;

/** Age from which a stated figure is ignored, in ms. */
const figureTtlMs = 2000;

/** Age at which a stated work factor has half its weight, in ms: it changes many times a second. */
const workFactorHalfLifeMs = 100;

/** Bounds of a work factor, so that a wrong statement can't take an endpoint out of service. */
const workFactorBounds = {min: 0.1, max: 50} as const;

const computeAgeWeight = (ageMs: number): number => 2 ** (-Math.max(0, ageMs) / workFactorHalfLifeMs);

const updateFigure = (figure: StatedFigure | undefined, value: number | undefined, now: number): StatedFigure | undefined =>
	value === undefined ? figure : {value, at: now};

const updateWorkFactor = (known: StatedWorkFactor | undefined, stated: number | undefined, now: number): StatedWorkFactor | undefined => {
	if (stated === undefined) {
		return known;
	}

	const logStated = Math.log(Math.min(workFactorBounds.max, Math.max(workFactorBounds.min, stated)));
	// The earlier mean has at most the weight of one statement, so that a change shows at once.
	const earlierMass = known === undefined ? 0 : Math.min(1, known.mass) * computeAgeWeight(now - known.at);
	const mass = earlierMass + 1;
	return {logMean: (((known?.logMean ?? 0) * earlierMass) + logStated) / mass, mass, at: now};
};

/**
Records the load that a response states. A figure that it does not state keeps its earlier value and age.

@param report - The earlier figures, if any.
@param stated - The figures of the response.
@param now - The current time in ms.
@returns The report.
*/
export const recordStatedLoad = (report: LoadReport | undefined, stated: StatedLoad, now: number): LoadReport => ({
	running: updateFigure(report?.running, stated.running, now),
	waiting: updateFigure(report?.waiting, stated.waiting, now),
	slots: updateFigure(report?.slots, stated.slots, now),
	workFactor: updateWorkFactor(report?.workFactor, stated.workFactor, now),
});

const readFigure = (figure: StatedFigure | undefined, now: number): number | undefined =>
	figure === undefined || now - figure.at > figureTtlMs ? undefined : figure.value;

/**
Counts the requests at an endpoint as far as it has stated them lately.

@param report - The report, if any.
@param now - The current time in ms.
@returns Running and waiting requests; undefined if neither was stated lately.
*/
export const countStatedRequests = (report: LoadReport | undefined, now: number): number | undefined => {
	const running = readFigure(report?.running, now);
	const waiting = readFigure(report?.waiting, now);
	return running === undefined && waiting === undefined ? undefined : (running ?? 0) + (waiting ?? 0);
};

/**
Returns the number of slots of an endpoint.

@param report - The report, if any.
@param entrySlots - Slots in the endpoint's registry entry.
@param now - The current time in ms.
@returns The slots that it has stated lately, or else those of its entry; 0 for no limit.
*/
export const computeSlots = (report: LoadReport | undefined, entrySlots: number, now: number): number => {
	const stated = readFigure(report?.slots, now);
	return stated === undefined || stated === 0 ? entrySlots : stated;
};

/**
Computes by which factor the work of an endpoint takes longer than predicted.

Load pattern: machines slow down and recover within fractions of a second. What an endpoint
states of this is followed while it is recent; after that, what was measured there counts.

@param report - The report, if any.
@param measured - The factor that was measured at its first outputs.
@param now - The current time in ms.
@returns The factor, between the stated and the measured one: the older the statement, the closer to the latter.
*/
export const blendWorkFactor = (report: LoadReport | undefined, measured: number, now: number): number => {
	const workFactor = report?.workFactor;
	if (workFactor === undefined) {
		return measured;
	}

	const weight = computeAgeWeight(now - workFactor.at);
	return Math.exp((workFactor.logMean * weight) + (Math.log(measured) * (1 - weight)));
};
