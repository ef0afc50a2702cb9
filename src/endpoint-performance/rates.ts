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
