import type {Map} from 'immutable';

/** Names of the regions in which requests may be served; undefined if any will do. An empty list allows none. */
export type HomeRegions = readonly string[] | undefined;

/** The region of each data centre. */
export type Regions = Map<string, string>;

/**
Combines the home regions of a route and an organisation.

@param first - The home regions of one.
@param second - The home regions of the other.
@returns The regions that both allow: none if they contradict each other.
*/
export const combineHomeRegions = (first: HomeRegions, second: HomeRegions): HomeRegions => first === undefined || second === undefined
	? first ?? second
	: first.filter(region => second.includes(region));

/**
Tells whether requests may be served in a data centre.

Failure that this addresses: the endpoints of the home region are lost or overloaded, and others would take
requests whose data must not leave it.

@param homeRegions - The home regions of the requests.
@param regions - The region of each data centre.
@param dataCentre - The data centre.
@returns False also if the region of the data centre is not known.
*/
export const isAtHome = (homeRegions: HomeRegions, regions: Regions, dataCentre: string): boolean => {
	const region = regions.get(dataCentre);
	return homeRegions === undefined || (region !== undefined && homeRegions.includes(region));
};

/** Home regions as a field of a configuration states them, and what is wrong with its value, if anything. */
export type StatedRegions = Readonly<{field: string; regions: HomeRegions; problem: string | undefined}>;

/**
Parses home regions. What is not a list of names allows no region, rather than all.

@param field - Name of the field.
@param value - Its value, undefined or null if there is none.
@returns The regions, and what is wrong with the value.
*/
export const parseHomeRegions = (field: string, value: unknown): StatedRegions => {
	if (value === undefined || value === null) {
		return {field, regions: undefined, problem: undefined};
	}

	if (!Array.isArray(value)) {
		return {field, regions: [], problem: 'is not a list of names'};
	}

	const regions = value.filter(region => typeof region === 'string');
	return {field, regions, problem: regions.length < value.length ? 'has elements that are not names' : (regions.length === 0 ? 'is empty' : undefined)};
};

/**
Lists the names in home regions that no data centre has.

@param homeRegions - The home regions.
@param regions - The region of each data centre.
@returns The names.
*/
export const listUnknownRegions = (homeRegions: HomeRegions, regions: Regions): readonly string[] => homeRegions?.filter(region => !regions.includes(region)) ?? [];
