import {Map} from 'immutable';
import {z} from 'zod';
import {createValidationFault, fail, succeed} from '../errors/index.js';
import type {Result} from '../errors/index.js';
import {parseHomeRegions} from '../home/index.js';
import type {HomeRegions, StatedRegions} from '../home/index.js';
import {createRouteTable} from '../routing-config/index.js';
import type {
	RoutingConfig, Organisation, Route, RouteKind,
} from '../routing-config/index.js';
import {decodeJson} from './json.js';

/** Route kinds by their names in the platform's configuration. */
const routeKinds: Readonly<Record<'safe' | 'unsafe' | 'streaming', RouteKind>> = {safe: 'safe', unsafe: 'unsafe', streaming: 'stream'};

const routeSchema = z.object({
	name: z.string(),
	host: z.string(),
	prefix: z.string(),
	kind: z.enum(['safe', 'unsafe', 'streaming']),
	timeoutMs: z.number(),
	targetLatencyMs: z.number(),
	priority: z.number(),
	/** Either a single service, or several weighted services. */
	service: z.string().optional(),
	weightedServices: z.array(z.object({service: z.string(), weight: z.number()})).optional(),
	maxAttempts: z.number().default(1),
	anonymous: z.boolean().default(false),
	resumable: z.boolean().default(false),
	/** Names of the regions in which its requests may be served. A value that is no such list does not make the whole configuration unreadable. */
	allowedRegions: z.unknown().optional(),
	/** Target for the longest pause between stream events. Not a gap between event ids, despite the name. */
	gapAimMs: z.number().optional(),
});

/** Schema of the operator's configuration. */
export const configurationSchema = z.object({
	version: z.number(),
	routes: z.array(routeSchema),
	services: z.array(z.object({
		name: z.string(),
		maxConnections: z.number(),
		/** How long an endpoint is slow after its start, in seconds. */
		coldStartS: z.number().nullish(),
		/** Requests per second that a cold endpoint takes from all routers together; 0 for no limit. */
		coldPerS: z.number().nullish(),
		engine: z.object({
			slots: z.number(),
			/** Capacity of the KV cache, in tokens. */
			kvCapacity: z.number(),
			/** Tokens per stream event. */
			stride: z.number(),
		}).optional(),
	})),
	limits: z.object({
		maxHeaderBytes: z.number(), maxBodyBytes: z.number(), headerTimeoutMs: z.number(), idleTimeoutMs: z.number(),
	}),
	tenants: z.array(z.object({
		name: z.string(), apiKeys: z.array(z.string()), priority: z.number().optional(),
		/** Daily budget in tokens, not the remaining amount. */
		prepaid: z.number().optional(),
		/** As that of routes. */
		allowedRegions: z.unknown().optional(),
	})).optional(),
});

const isPositive = (value: number | null | undefined): value is number => typeof value === 'number' && value > 0;

type WireRoute = z.output<typeof routeSchema>;

/**
Decodes the home regions of a route or organisation.

@param list - Name of the list that has the entry.
@param entry - The entry.
@returns The regions, and what is wrong with them; undefined if it states none.
*/
export const decodeHomeRegions = (list: string, {name, allowedRegions}: Readonly<{name: string; allowedRegions?: unknown}>): StatedRegions | undefined => {
	const stated = parseHomeRegions(`${list}.${name}.allowedRegions`, allowedRegions);
	return stated.regions === undefined ? undefined : stated;
};

const toField = (stated: StatedRegions | undefined): Readonly<{homeRegions?: HomeRegions}> => stated === undefined ? {} : {homeRegions: stated.regions};

/**
Decodes a route.

@param route - The route in the platform's terms.
@returns The route.
*/
export const decodeRoute = (route: WireRoute): Route => ({
	name: route.name,
	host: route.host.toLowerCase(),
	prefix: route.prefix,
	kind: routeKinds[route.kind],
	timeout: route.timeoutMs,
	targetMs: route.targetLatencyMs,
	priority: route.priority,
	services: route.weightedServices?.map(({service, weight}) => ({name: service, weight})) ?? (route.service === undefined ? [] : [{name: route.service, weight: 1}]),
	maxAttempts: route.maxAttempts,
	isAnonymous: route.anonymous,
	isResumable: route.resumable,
	eventGapTargetMs: route.gapAimMs,
	...toField(decodeHomeRegions('routes', route)),
});

/**
Decodes the operator's configuration.

@param text - Value of the configuration row.
@returns The configuration, or a fault that names the invalid field.
*/
export const decodeRoutingConfig = (text: string | undefined): Result<RoutingConfig> => {
	const parsed = configurationSchema.safeParse(decodeJson(text));
	if (!parsed.success) {
		return fail(createValidationFault(parsed.error, 'configuration'));
	}

	const {data} = parsed;
	const tenants = data.tenants ?? [];
	const organisationEntries = tenants.flatMap(tenant => {
		const {name, apiKeys, priority, prepaid} = tenant;
		const organisation: Organisation = {
			name, priority, budget: prepaid, ...toField(decodeHomeRegions('tenants', tenant)),
		};
		return apiKeys.map(key => [key, organisation] as const);
	});
	const homeRegions = [...data.routes.map(route => decodeHomeRegions('routes', route)), ...tenants.map(tenant => decodeHomeRegions('tenants', tenant))].flatMap(stated => stated ?? []);
	return succeed({
		version: data.version,
		...(homeRegions.length > 0 && {homeRegions}),
		routes: createRouteTable(data.routes.map(route => decodeRoute(route))),
		services: Map(data.services.map(({name, maxConnections, coldStartS, coldPerS, engine}) => [name, {
			name,
			maxConnections,
			...(isPositive(coldPerS) && {coldStart: {durationMs: Math.max(0, coldStartS ?? 0) * 1000, requestsPerSecond: coldPerS}}),
			engine: engine === undefined ? undefined : {slots: engine.slots, capacity: engine.kvCapacity, tokensPerEvent: engine.stride},
		}])),
		organisations: Map(organisationEntries),
		budgets: Map(tenants.flatMap(({name, prepaid}) => prepaid === undefined ? [] : [[name, prepaid] as const])),
		needsAuthentication: data.tenants !== undefined,
		limits: {
			maxHeaderBytes: data.limits.maxHeaderBytes,
			maxBodyBytes: data.limits.maxBodyBytes,
			headerTimeoutMs: data.limits.headerTimeoutMs,
			idleTimeoutMs: data.limits.idleTimeoutMs,
		},
	});
};
