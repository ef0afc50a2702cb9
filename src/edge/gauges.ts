import {computeRates} from '../endpoint-performance/index.js';
import {computeWorkFactor} from '../registry/index.js';
import type {GaugeValue} from './metrics.js';
import type {EdgeState} from './state.js';

/**
Lists what the router has learned of services and endpoints.

@param state - The edge state.
@param now - The current time in ms.
@returns The gauges.
*/
export const listGauges = ({performance, overflow, registry}: EdgeState, now: number): readonly GaugeValue[] => [
	...performance.entrySeq().toArray().flatMap(([service, known]) => Object.entries(computeRates(known)).map(([rate, value]): GaugeValue => ({
		metric: 'serviceRate', labels: {service, rate}, value,
	}))),
	...overflow.entrySeq().toArray().map(([service, {fraction}]): GaugeValue => ({metric: 'overflowFraction', labels: {service}, value: fraction})),
	...registry.endpoints.valueSeq().toArray().flatMap((endpoint): readonly GaugeValue[] => [
		{metric: 'endpointWorkFactor', labels: {endpoint: endpoint.id}, value: computeWorkFactor(endpoint, now)},
		...(endpoint.load?.workFactor === undefined ? [] : [{metric: 'endpointReportTrust', labels: {endpoint: endpoint.id}, value: endpoint.load.trust} as const]),
	]),
];
