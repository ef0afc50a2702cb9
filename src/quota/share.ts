/** The demand for a budget as one router knows it. Demand is in tokens per second. */
export type DemandView = Readonly<{
	/** Demand at this router. */
	own: number;
	/** Demand at all live routers of this router's data centre, itself included. */
	dataCentre: number;
	/** Demand at all live routers. */
	total: number;
	/** Number of live routers in this router's data centre, and of all. */
	routersInDataCentre: number;
	routers: number;
	/** Number of data centres with live routers. */
	dataCentres: number;
	/** Tokens that one request reserves. */
	typicalReservation: number;
}>;

/** Fraction of the held tokens that is shared evenly, whatever the past demand, because clients move between routers. */
const evenShareFraction = 0.1;

/** Time that the moving average of demand covers, in seconds. */
const demandSeconds = 3;

/** Requests per competing router or data centre in that time, at which their measured demand counts as much as an even division. */
const requestsForHalfTrust = 12;

/** Computes how far measured demand that is divided among some parties can be relied on, from 0 to 1: the fewer requests, the more of it is noise. */
const computeTrust = (demand: number, parties: number, typicalReservation: number): number => {
	const requests = demand * demandSeconds / typicalReservation;
	return requests / (requests + (requestsForHalfTrust * parties));
};

const combineShares = (even: number, measured: number, trust: number): number => even + ((measured - even) * trust);

const computeFraction = (part: number, whole: number): number => whole > 0 ? part / whole : 0;

/**
Computes the fraction of a budget's held tokens that one of many routers should hold.

Load pattern: the clients of one data centre send 71 in 100 requests, and each of its routers sees few requests of an organisation.
So demand is divided by data centre first, where there are enough requests to measure it, and then among the routers there, which
get similar numbers of clients. The fractions of all routers that see the same demand add up to 1.

@param view - The demand.
@returns A fraction from 0 to 1.
*/
export const computeDemandShare = ({
	own, dataCentre, total, routersInDataCentre, routers, dataCentres, typicalReservation,
}: DemandView): number => {
	const ofDataCentre = combineShares(routersInDataCentre / routers, computeFraction(dataCentre, total), computeTrust(total, dataCentres, typicalReservation));
	const ofRouter = combineShares(1 / routersInDataCentre, computeFraction(own, dataCentre), computeTrust(dataCentre, routersInDataCentre, typicalReservation));
	return (evenShareFraction / routers) + ((1 - evenShareFraction) * ofDataCentre * ofRouter);
};
