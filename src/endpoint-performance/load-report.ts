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
	/** Weight of the stated work factor, from what was observed; 1 if it has predicted the times of requests. */
	trust: number;
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
	trust: report?.trust ?? 1,
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

	const weight = report!.trust * computeAgeWeight(now - workFactor.at);
	return Math.exp((workFactor.logMean * weight) + (Math.log(measured) * (1 - weight)));
};

/** Age up to which a stated work factor can be compared with the time of a request, in ms. */
const comparableAgeMs = 50;

/**
Returns the work factor that an endpoint has just stated.

@param report - The report, if any.
@param now - The current time in ms.
@returns The factor; undefined if none was stated within some ms.
*/
export const getStatedWorkFactor = (report: LoadReport | undefined, now: number): number | undefined =>
	report?.workFactor === undefined || now - report.workFactor.at > comparableAgeMs ? undefined : Math.exp(report.workFactor.logMean);

/** Weight of one comparison, the least trust, and the difference of logarithms by which a statement must be worse than no statement to lose trust. */
const trustWeight = 0.1;
const minTrust = 0.05;
const trustMargin = 0.3;

/**
Compares what an endpoint stated with the time that a request then took there.

Load pattern: an endpoint states wrong factors. It must neither attract all requests nor get none.

@param report - The report, if any.
@param stated - The factor that the endpoint had just stated when the request was sent; undefined if there was none.
@param observed - The factor by which the first output took longer than predicted for a factor of 1.
@returns The report, with less trust if a factor of 1 would have predicted the time better.
*/
export const judgeStatement = (report: LoadReport | undefined, stated: number | undefined, observed: number): LoadReport | undefined => {
	if (report === undefined || stated === undefined) {
		return report;
	}

	const logObserved = Math.log(observed);
	const isWrong = Math.abs(logObserved - Math.log(stated)) > Math.abs(logObserved) + trustMargin;
	return {...report, trust: Math.max(minTrust, report.trust + (((isWrong ? 0 : 1) - report.trust) * trustWeight))};
};
