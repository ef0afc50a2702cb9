/** How fast the endpoints of a service work. */
export type ServiceRates = Readonly<{
	/** Prompt tokens that an engine processes per ms while it generates output for others. */
	promptTokensPerMs: number;
	/** Prompt tokens of earlier requests that a new one waits for per ms. More than an engine processes, since some of them are already processed. */
	queuedPromptTokensPerMs: number;
	/** Time that each request in an engine's batch adds to the first output, in ms. */
	batchedRequestMs: number;
	/** Time to the first output of an idle engine, without prompt processing, in ms. */
	idleFirstOutputMs: number;
	/** Service time of a request without a model at an idle endpoint, in ms. */
	plainRequestMs: number;
}>;

/** Rates of a service of which nothing has been observed, fitted over quiet days. */
export const priorRates: ServiceRates = {
	promptTokensPerMs: 57, queuedPromptTokensPerMs: 100, batchedRequestMs: 1, idleFirstOutputMs: 85, plainRequestMs: 80,
};

/** What a request met at an endpoint, as far as the router knew when it sent the request. */
export type Workload = Readonly<{
	/** Prompt tokens that the endpoint has to process; undefined for a request without a model. */
	newTokens: number | undefined;
	/** Prompt tokens of earlier requests without output. */
	pendingTokens: number;
	requestCount: number;
	/** Slots of the endpoint, at least 1. */
	slots: number;
}>;

/** Factors on the priors of one kind of request, and their covariance in rows. */
type Estimate = Readonly<{factors: readonly number[]; covariance: ReadonlyArray<readonly number[]>}>;

/** What has been learned of a service. The factors apply to the time of an idle engine, of new tokens, of pending tokens and of the batch; or to the time of a plain request. */
export type ServicePerformance = Readonly<{model: Estimate; plain: Estimate; plainCount: number}>;

/** Prior standard deviation of a factor, and its bounds: engines process 36 to 125 prompt tokens per ms, where the prior is 57. */
const factorDeviation = 0.4;
const factorBounds = {min: 0.4, max: 2.5} as const;

/** Variance that a factor gains with each observation, so that later changes are followed within some hundred observations. */
const factorDrift = 0.0002;

/** Standard deviation of an observed time: a constant in ms, and a fraction of the predicted time. */
const noise = {constantMs: 25, fraction: 0.3} as const;

/** A residual counts up to this multiple of its standard deviation: outliers are frequent, as work is delayed by things that the router can't see. */
const maxResidualDeviations = 1.5;

/** Plain requests from which the service time counts as known. */
const minPlainObservations = 30;

const createEstimate = (size: number): Estimate => ({
	factors: Array.from({length: size}, () => 1),
	covariance: Array.from({length: size}, (_, row) => Array.from({length: size}, (__, column) => row === column ? factorDeviation ** 2 : 0)),
});

/** The performance of a service of which nothing has been observed. */
export const unknownPerformance: ServicePerformance = {model: createEstimate(4), plain: createEstimate(1), plainCount: 0};

const multiply = (a: readonly number[], b: readonly number[]): number => a.reduce((sum, value, index) => sum + (value * b[index]!), 0);

/** Updates an estimate by least squares with forgetting. `terms` are the parts of the time that the priors predict. */
const updateEstimate = ({factors, covariance}: Estimate, terms: readonly number[], observedMs: number): Estimate => {
	const predictedMs = multiply(factors, terms);
	const deviationMs = noise.constantMs + (noise.fraction * predictedMs);
	const projected = covariance.map(row => multiply(row, terms));
	const variance = multiply(projected, terms) + (deviationMs ** 2);
	const limitMs = maxResidualDeviations * Math.sqrt(variance);
	const residualMs = Math.min(limitMs, Math.max(-limitMs, observedMs - predictedMs));
	return {
		factors: factors.map((factor, index) => Math.min(factorBounds.max, Math.max(factorBounds.min, factor + (projected[index]! * residualMs / variance)))),
		covariance: covariance.map((row, index) => row.map((value, column) => {
			const updated = value - (projected[index]! * projected[column]! / variance);
			return index === column ? Math.min(factorDeviation ** 2, updated + factorDrift) : updated;
		})),
	};
};

const listModelTerms = ({newTokens, pendingTokens, requestCount}: Workload): readonly number[] => [
	priorRates.idleFirstOutputMs,
	(newTokens ?? 0) / priorRates.promptTokensPerMs,
	pendingTokens / priorRates.queuedPromptTokensPerMs,
	requestCount * priorRates.batchedRequestMs,
];

const listPlainTerms = ({requestCount, slots}: Workload): readonly number[] => [priorRates.plainRequestMs * (1 + (requestCount / slots))];

/**
Learns from the time of one request. Factors begin at the priors, change by a bounded amount with
each observation, and the less the more has been observed.

Load pattern: engines of different kinds process prompts at rates that differ by a factor of three.
The time of one request says little, as its endpoint may have been disturbed.

@param performance - What is known of the service.
@param workload - What the request met.
@param observedMs - Time from the send to the first output, divided by the work factor of the endpoint.
@returns What is known now.
*/
export const recordObservation = (performance: ServicePerformance, workload: Workload, observedMs: number): ServicePerformance => workload.newTokens === undefined
	? {...performance, plain: updateEstimate(performance.plain, listPlainTerms(workload), observedMs), plainCount: performance.plainCount + 1}
	: {...performance, model: updateEstimate(performance.model, listModelTerms(workload), observedMs)};

/**
Returns the rates of a service.

@param performance - What is known of the service; undefined if nothing is.
@returns The rates; the priors where nothing has been observed.
*/
export const computeRates = (performance: ServicePerformance | undefined): ServiceRates => {
	if (performance === undefined) {
		return priorRates;
	}

	const [idle, fresh, pending, batch] = performance.model.factors;
	return {
		promptTokensPerMs: priorRates.promptTokensPerMs / fresh!,
		queuedPromptTokensPerMs: priorRates.queuedPromptTokensPerMs / pending!,
		batchedRequestMs: priorRates.batchedRequestMs * batch!,
		idleFirstOutputMs: priorRates.idleFirstOutputMs * idle!,
		plainRequestMs: priorRates.plainRequestMs * performance.plain.factors[0]!,
	};
};

/**
Tells whether the time of a request shows how fast its endpoint is.

@param performance - What is known of the service; undefined if nothing is.
@param workload - What the request met.
@returns False for a plain request while the service time of its service is not known.
*/
export const canJudgeEndpoint = (performance: ServicePerformance | undefined, workload: Workload): boolean =>
	workload.newTokens !== undefined || (performance?.plainCount ?? 0) >= minPlainObservations;
