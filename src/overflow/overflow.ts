/** How much of the load of a service this router sends to other data centres. */
export type Overflow = Readonly<{
	/** Fraction of the requests that may leave the data centre, 0 to 1. */
	fraction: number;
	/** Moving average of the advantage of the other data centres, in ms. */
	advantageMs: number;
	/** Time of the last update, in ms. */
	at: number;
}>;

/** The overflow of a service whose requests all stay in the data centre. */
export const noOverflow: Overflow = {fraction: 0, advantageMs: 0, at: 0};

/** Cost of a request to another data centre if no price of a megabyte is set, in ms of waiting. */
export const defaultRemoteCostMs = 30;

/** Further time that a request takes to another data centre, in ms, where a price of a megabyte is set. */
const distanceMs = 10;

/** Bytes assumed of a token, and of the head of a request or response. */
const bytesPerToken = 5;
const headBytes = 600;

/** Size of a request and its response. */
export type TransferSize = Readonly<{bodyBytes: number | undefined; promptTokens: number; maxOutputTokens: number}>;

/**
Computes what it costs to send a request to another data centre.

@param costPerMegabyteMs - The setting `remote-cost`, in ms of waiting that a megabyte is worth; undefined if it is not set.
@param size - The size of the request and its response.
@returns The cost in ms of waiting.
*/
export const computeRemoteCostMs = (costPerMegabyteMs: number | undefined, {bodyBytes, promptTokens, maxOutputTokens}: TransferSize): number => {
	if (costPerMegabyteMs === undefined) {
		return defaultRemoteCostMs;
	}

	const bytes = (2 * headBytes) + (bodyBytes ?? (promptTokens * bytesPerToken)) + (maxOutputTokens * bytesPerToken);
	return distanceMs + (costPerMegabyteMs * bytes / 1_000_000);
};

/** Time constant of the moving average of the advantage, in ms: about the age of what is known of other data centres. */
const averagingMs = 200;

/** Advantages between these bounds do not change the fraction. The gap prevents oscillation. */
const deadZoneMs = {min: 0, max: 15} as const;

/** Change of the fraction per second and ms of advantage, and its bounds per second. It falls more slowly than it rises, since what is known of local endpoints is newer. */
const gainPerMs = 0.01;
const maxChange = {fall: -1, rise: 2} as const;

/** The rest of the load always stays, so that the router notices when there is capacity in its data centre. */
const maxFraction = 0.9;

/** Fraction below which nothing is sent. */
const minFraction = 0.02;

/** Bound of the advantage that is recorded, in ms, and longest time between two requests that counts. */
const maxAdvantageMs = 300;
const maxStepMs = 250;

const computeExcess = (advantageMs: number): number => advantageMs > deadZoneMs.max ? advantageMs - deadZoneMs.max : Math.min(0, advantageMs - deadZoneMs.min);

/**
Updates the fraction of the load that leaves the data centre, as a request is placed.

Load pattern: the clients of one data centre send more than its endpoints can do. If each request went where
it is predicted to be served first, all routers would send all requests to the same place on old information,
and all return together. So a fraction goes, which follows the advantage of the other data centres gradually.

@param overflow - The fraction until now.
@param advantageMs - By how much the best endpoint elsewhere is better than the best one here, the cost of the transfer included, in ms.
@param now - The current time in ms.
@returns The fraction from now on.
*/
export const recordAdvantage = (overflow: Overflow, advantageMs: number, now: number): Overflow => {
	const stepMs = Math.min(maxStepMs, Math.max(0, now - overflow.at));
	const bounded = Math.min(maxAdvantageMs, Math.max(-maxAdvantageMs, advantageMs));
	const average = overflow.advantageMs + ((bounded - overflow.advantageMs) * (1 - Math.exp(-stepMs / averagingMs)));
	const change = Math.min(maxChange.rise, Math.max(maxChange.fall, computeExcess(average) * gainPerMs)) * stepMs / 1000;
	return {fraction: Math.min(maxFraction, Math.max(0, overflow.fraction + change)), advantageMs: average, at: now};
};

/**
Tells whether a service sends requests to other data centres.

@param overflow - The overflow of the service.
@returns True if the fraction is large enough to have an effect.
*/
export const isOverflowing = ({fraction}: Overflow): boolean => fraction >= minFraction;

/** Cost by which an endpoint elsewhere may be worse than one here for a request that is sent there, in ms. */
const maxDisadvantageMs = 20;

/** Advantage from which at least this fraction of the requests goes: here they would be late, and there they would not. */
const urgentAdvantageMs = 250;
const urgentFraction = 0.5;

/**
Decides whether a request leaves the data centre.

@param overflow - The overflow of its service.
@param advantageMs - By how much the best endpoint elsewhere is better for this request, in ms.
@param random - A random number in [0, 1).
@returns True if the request is sent to another data centre.
*/
export const shouldOverflow = (overflow: Overflow, advantageMs: number, random: number): boolean =>
	random < (advantageMs >= urgentAdvantageMs ? Math.max(urgentFraction, overflow.fraction) : overflow.fraction)
	&& (advantageMs >= urgentAdvantageMs || isOverflowing(overflow)) && advantageMs >= -maxDisadvantageMs;

/** Fraction of the slots of an endpoint that is left to the requests of its own data centre. */
const reservedFraction = 1 / 8;

/**
Tells whether an endpoint has slots for requests of other data centres.

@param slots - Its slots; 0 for no limit.
@param requestCount - Its requests.
@returns False if the free slots are kept for its own data centre.
*/
export const hasSlotsForOthers = (slots: number, requestCount: number): boolean => slots === 0 || requestCount < slots - Math.ceil(slots * reservedFraction);
