import {combineHomeRegions, listUnknownRegions} from '../home/index.js';
import type {HomeRegions, Regions, StatedRegions} from '../home/index.js';
import type {
	ConnectionLimits, Organisation, Route, Service,
} from '../routing-config/index.js';
import {reportIf} from './finding.js';

/** A routing configuration as it is written, with the entries that others hide. */
export type StatedConfig = Readonly<{
	version: number;
	routes: readonly Route[];
	services: readonly Service[];
	organisations: ReadonlyArray<Organisation & Readonly<{keys: readonly string[]}>>;
	/** All home regions that it states, by field. */
	homeRegions: readonly StatedRegions[];
	limits: ConnectionLimits;
	/** True if requests need an API key, except on anonymous routes. */
	needsAuthentication: boolean;
}>;

/** Settings of the routers that bound what a configuration can do; what is undefined is not checked. */
export type RouterBounds = Readonly<{
	/** Retries per client request, and additional retries per time window. */
	retries: Readonly<{ratio: number; slack: number}> | undefined;
	/** The region of each data centre. */
	regions: Regions | undefined;
}>;

/** Fields of each kind of entry that a warning may name. */
type FieldsByKind = Readonly<{
	routes: Exclude<keyof Route, 'name'>;
	services: 'name' | 'maxConnections' | 'slots' | 'capacity' | 'tokensPerEvent' | 'coldStart';
	organisations: 'name' | 'keys' | 'budget' | 'homeRegions';
	limits: keyof ConnectionLimits;
}>;

/** A kind of entry. */
export type EntryKind = keyof FieldsByKind;

/** Something that routers accept, and that has no effect or not the one that was meant. */
export type Warning = Readonly<{[Kind in EntryKind]: Readonly<{
	kind: Kind;
	/** Name of the entry; empty for the limits. */
	name: string;
	field: FieldsByKind[Kind];
	problem: string;
}>}[EntryKind]>;

/** Returns what is wrong with an entry; undefined if nothing is. */
type Rule<Entry> = (entry: Entry, config: StatedConfig, bounds: RouterBounds) => string | undefined;

/** The smallest request of a model, in tokens: one of the prompt and one of the output. */
const minRequestTokens = 2;

const isWhole = (value: number): boolean => Number.isInteger(value) && value > 0;

const findHidingRoute: Rule<Route> = (route, {routes}) => {
	const first = routes.find(({host, prefix}) => host === route.host && prefix === route.prefix);
	return reportIf(first !== route, `never matches: route ${first?.name ?? ''} comes before it, with the same host and prefix`);
};

const findUselessWeight: Rule<Route> = ({services}) => {
	const useless = services.filter(({weight}) => weight <= 0).map(({name}) => name);
	if (useless.length === services.length && services.length > 1) {
		return `no service has a weight above 0: all requests go to ${services[0]!.name}`;
	}

	return reportIf(useless.length > 0, `gets no requests without a weight above 0: ${useless.join(', ')}`);
};

const findUnknownService: Rule<Route> = (route, {services}) => {
	const known = new Set(services.map(({name}) => name));
	const unknown = route.services.map(({name}) => name).filter(name => !known.has(name));
	return route.services.length === 0
		? 'is missing: no request can be served'
		: reportIf(unknown.length > 0, `is no service of the configuration: ${unknown.join(', ')}`);
};

const findUselessAttempts: Rule<Route> = ({maxAttempts}, _config, {retries}) => {
	if (!isWhole(maxAttempts)) {
		return 'is not a whole number above 0';
	}

	return reportIf(maxAttempts > 1 && retries !== undefined && retries.ratio <= 0 && retries.slack < 1, 'has no effect: the settings permit no retries');
};

const findUnknownRegions: Rule<Readonly<{homeRegions?: HomeRegions}>> = ({homeRegions}, _config, {regions}) => {
	const unknown = regions === undefined ? [] : listUnknownRegions(homeRegions, regions);
	return reportIf(unknown.length > 0, `no data centre is in: ${unknown.join(', ')}`);
};

/** Rules for routes, each with the field that it is about. */
const routeRules: ReadonlyArray<readonly [Exclude<keyof Route, 'name'>, Rule<Route>]> = [
	['host', ({host}) => reportIf(host === '' || /[\s\/:]/v.test(host), 'never matches: is not a host name without a port')],
	['prefix', ({prefix}) => reportIf(!prefix.startsWith('/') || /[\s#?]/v.test(prefix), 'never matches: is not the beginning of a path')],
	['prefix', ({prefix}) => reportIf(prefix.startsWith('/') && !prefix.endsWith('/'), `does not end with a slash, and also matches ${prefix}x`)],
	['prefix', findHidingRoute],
	['timeout', ({timeout}) => reportIf(timeout <= 0, 'is not above 0: every request times out at once')],
	['timeout', ({timeout}, {limits}) => reportIf(timeout > limits.idleTimeoutMs, `is longer than connections may stay idle: ${limits.idleTimeoutMs} ms`)],
	['targetMs', ({targetMs, timeout}) => reportIf(targetMs > timeout, `is beyond the timeout of the route: ${timeout} ms`)],
	['eventGapTargetMs', ({kind, eventGapTargetMs}) => reportIf(kind !== 'stream' && eventGapTargetMs !== undefined, 'has no effect: responses of this kind have no events')],
	['eventGapTargetMs', ({eventGapTargetMs, timeout}) => reportIf((eventGapTargetMs ?? 0) > timeout, `is beyond the timeout of the route: ${timeout} ms`)],
	['services', findUnknownService],
	['services', findUselessWeight],
	['maxAttempts', findUselessAttempts],
	['isResumable', ({kind, isResumable}) => reportIf(isResumable && kind !== 'stream', 'has no effect: responses of this kind are no streams')],
	['isAnonymous', ({isAnonymous}, {needsAuthentication}) => reportIf(isAnonymous && !needsAuthentication, 'has no effect: no request needs a key')],
	['homeRegions', ({homeRegions}, {organisations}) => {
		const barred = organisations.filter(each => homeRegions?.length !== 0 && combineHomeRegions(homeRegions, each.homeRegions)?.length === 0).map(({name}) => name);
		return reportIf(barred.length > 0, `has no region in common with: ${barred.join(', ')}`);
	}],
	['homeRegions', findUnknownRegions],
];

const serviceRules: ReadonlyArray<readonly [FieldsByKind['services'], Rule<Service>]> = [
	['name', (service, {services}) => reportIf(services.find(({name}) => name === service.name) !== service, 'is used twice: the last entry counts')],
	['name', (service, {routes}) => reportIf(routes.every(({services}) => services.every(({name}) => name !== service.name)), 'gets no requests: no route names it')],
	['maxConnections', ({maxConnections}) => reportIf(!isWhole(maxConnections), 'is not a whole number above 0')],
	['slots', ({engine}) => reportIf(engine !== undefined && !isWhole(engine.slots), 'is not a whole number above 0')],
	['capacity', ({engine}) => reportIf(engine !== undefined && engine.capacity <= 0, 'is not above 0')],
	['tokensPerEvent', ({engine}) => reportIf(engine !== undefined && engine.tokensPerEvent <= 0, 'is not above 0')],
	['coldStart', ({coldStart}) => reportIf(coldStart?.durationMs === 0, 'has no effect: endpoints are cold for 0 s')],
];

const findSharedKey: Rule<StatedConfig['organisations'][number]> = (organisation, {organisations}) => {
	const later = organisations.slice(organisations.indexOf(organisation) + 1);
	const holder = later.find(({name, keys}) => name !== organisation.name && keys.some(key => organisation.keys.includes(key)));
	return reportIf(holder !== undefined, `has a key that counts for organisation ${holder?.name ?? ''}, which comes after it`);
};

const organisationRules: ReadonlyArray<readonly [FieldsByKind['organisations'], Rule<StatedConfig['organisations'][number]>]> = [
	['name', (organisation, {organisations}) => reportIf(organisations.find(({name}) => name === organisation.name) !== organisation, 'is used twice: the last budget counts')],
	['keys', ({keys}) => reportIf(keys.length === 0, 'is empty: no request belongs to the organisation')],
	['keys', findSharedKey],
	['budget', ({budget}) => reportIf(budget !== undefined && budget < minRequestTokens, `is less than the smallest request of a model: ${minRequestTokens} tokens`)],
	['homeRegions', findUnknownRegions],
];

const limitFields = ['maxHeaderBytes', 'maxBodyBytes', 'headerTimeoutMs', 'idleTimeoutMs'] as const;

type RulesOf<Entry, Field> = ReadonlyArray<readonly [Field, Rule<Entry>]>;

/**
Finds what has no effect in a configuration, or not the one that was meant. Routers accept such a configuration.

@param config - The configuration.
@param bounds - Settings of the routers.
@returns The warnings, in the order of the entries.
*/
export const checkRouting = (config: StatedConfig, bounds: RouterBounds): readonly Warning[] => {
	const applyRules = <Entry extends Readonly<{name: string}>, Field>(rules: RulesOf<Entry, Field>, entry: Entry) => rules.flatMap(([field, find]) => {
		const problem = find(entry, config, bounds);
		return problem === undefined ? [] : [{name: entry.name, field, problem}];
	});
	return [
		...config.routes.flatMap(route => applyRules(routeRules, route).map(found => ({kind: 'routes', ...found}) as const)),
		...config.services.flatMap(service => applyRules(serviceRules, service).map(found => ({kind: 'services', ...found}) as const)),
		...config.organisations.flatMap(organisation => applyRules(organisationRules, organisation).map(found => ({kind: 'organisations', ...found}) as const)),
		...limitFields.filter(field => config.limits[field] <= 0).map((field): Warning => ({
			kind: 'limits', name: '', field, problem: 'is not above 0: no request is served',
		})),
	];
};
