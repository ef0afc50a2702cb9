import {listUnknownRegions} from '../home/index.js';
import type {Regions} from '../home/index.js';
import type {RoutingConfig} from '../routing-config/index.js';
import type {EdgeEffect} from './messages.js';

const createProblemLog = (field: string, reason: string): EdgeEffect => ({
	kind: 'log', level: 'failure', event: 'home-regions-unreadable', fields: {field, reason},
});

/**
Logs the home regions in a configuration that are not lists of known names. Unknown names match no data centre.

@param config - The configuration.
@param regions - The region of each data centre.
@returns The effects.
*/
export const logHomeRegions = ({homeRegions = []}: RoutingConfig, regions: Regions): readonly EdgeEffect[] => homeRegions.flatMap(({field, regions: names, problem}) => {
	const unknown = listUnknownRegions(names, regions);
	return [
		...(problem === undefined ? [] : [createProblemLog(field, problem)]),
		...(unknown.length === 0 ? [] : [createProblemLog(field, `no data centre is in region ${unknown.map(name => JSON.stringify(name)).join(', ')}`)]),
	];
});
