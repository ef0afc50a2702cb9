import {computeColdRate, isCold} from '../cold-start/index.js';
import {computeRates} from '../endpoint-performance/index.js';
import {computeWorkFactor} from '../registry/index.js';
import type {GaugeValue} from './metrics.js';
import type {EdgeState} from './state.js';

/** Gauges of evacuated data centres and cold endpoints. */
const listPlaceGauges = ({evacuations, registry}: EdgeState, now: number): readonly GaugeValue[] => {
	const cold = registry.endpoints.valueSeq().toArray().filter(endpoint => isCold(endpoint.cold, now));
	return [
		{metric: 'evacuatedDataCentres', labels: {}, value: evacuations.size},
		{metric: 'coldEndpoints', labels: {}, value: cold.length},
		{metric: 'coldShare', labels: {}, value: cold.reduce((sum, endpoint) => sum + computeColdRate(endpoint.cold, now), 0)},
	];
};

/**
Lists what the router knows of places, and has learned of services and endpoints.

@param state - The edge state.
@param now - The current time in ms.
@returns The gauges.
*/
export const listGauges = (state: EdgeState, now: number): readonly GaugeValue[] => [
	{metric: 'configVersion', labels: {}, value: state.config?.version ?? 0},
	...listPlaceGauges(state, now),
	...state.performance.entrySeq().toArray().flatMap(([service, known]) => Object.entries(computeRates(known)).map(([rate, value]): GaugeValue => ({
		metric: 'serviceRate', labels: {service, rate}, value,
	}))),
	...state.overflow.entrySeq().toArray().map(([service, {fraction}]): GaugeValue => ({metric: 'overflowFraction', labels: {service}, value: fraction})),
	...state.registry.endpoints.valueSeq().toArray().flatMap((endpoint): readonly GaugeValue[] => [
		{metric: 'endpointWorkFactor', labels: {endpoint: endpoint.id}, value: computeWorkFactor(endpoint, now)},
		...(endpoint.load?.workFactor === undefined ? [] : [{metric: 'endpointReportTrust', labels: {endpoint: endpoint.id}, value: endpoint.load.trust} as const]),
	]),
];
