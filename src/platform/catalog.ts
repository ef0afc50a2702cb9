import {Map} from 'immutable';
import {z} from 'zod';
import {describeIssue, fail, succeed} from '../errors/index.js';
import type {Result} from '../errors/index.js';
import type {
	Catalog, Organisation, Route, RouteKind,
} from '../catalog/index.js';
import {decodeJson} from './json.js';

/** The platform's names for what may be repeated. */
const kinds: Readonly<Record<'safe' | 'unsafe' | 'streaming', RouteKind>> = {safe: 'safe', unsafe: 'unsafe', streaming: 'stream'};

const wireRoute = z.object({
	name: z.string(),
	host: z.string(),
	prefix: z.string(),
	kind: z.enum(['safe', 'unsafe', 'streaming']),
	timeoutMs: z.number(),
	targetLatencyMs: z.number(),
	priority: z.number(),
	/** Either one service or several with weights. */
	service: z.string().optional(),
	weightedServices: z.array(z.object({service: z.string(), weight: z.number()})).optional(),
	maxAttempts: z.number().default(1),
	anonymous: z.boolean().default(false),
	resumable: z.boolean().default(false),
	/** The longest pause between events, despite its name no gap in ids. */
	gapAimMs: z.number().optional(),
});

const wireConfig = z.object({
	version: z.number(),
	routes: z.array(wireRoute),
	services: z.array(z.object({
		name: z.string(),
		maxConnections: z.number(),
		engine: z.object({
			slots: z.number(),
			/** Tokens. */
			kvCapacity: z.number(),
			/** Tokens in one event. */
			stride: z.number(),
		}).optional(),
	})),
	limits: z.object({
		maxHeaderBytes: z.number(), maxBodyBytes: z.number(), headerTimeoutMs: z.number(), idleTimeoutMs: z.number(),
	}),
	tenants: z.array(z.object({
		name: z.string(), apiKeys: z.array(z.string()), priority: z.number().optional(),
		/** Tokens for the whole day, not what is left of them. */
		prepaid: z.number().optional(),
	})).optional(),
});

type WireRoute = z.output<typeof wireRoute>;

const decodeRoute = (route: WireRoute): Route => ({
	name: route.name,
	host: route.host.toLowerCase(),
	prefix: route.prefix,
	kind: kinds[route.kind],
	timeout: route.timeoutMs,
	target: route.targetLatencyMs,
	priority: route.priority,
	services: route.weightedServices?.map(({service, weight}) => ({name: service, weight})) ?? (route.service === undefined ? [] : [{name: route.service, weight: 1}]),
	maxAttempts: route.maxAttempts,
	isAnonymous: route.anonymous,
	isResumable: route.resumable,
	pauseTarget: route.gapAimMs,
});

/**
Decodes the operator's configuration.

@param text - The row's value.
@returns The configuration, or a fault that names the wrong field.
*/
export const decodeCatalog = (text: string | undefined): Result<Catalog> => {
	const parsed = wireConfig.safeParse(decodeJson(text));
	if (!parsed.success) {
		return fail(describeIssue(parsed.error, 'configuration'));
	}

	const {data} = parsed;
	const tenants = data.tenants ?? [];
	const routes = data.routes.map(route => decodeRoute(route)).reduce(
		(hosts, route) => hosts.set(route.host, [...hosts.get(route.host) ?? [], route].toSorted((a, b) => b.prefix.length - a.prefix.length)),
		Map<string, readonly Route[]>(),
	);
	const owners = tenants.flatMap(({name, apiKeys, priority, prepaid}) => {
		const organisation: Organisation = {name, priority, budget: prepaid};
		return apiKeys.map(key => [key, organisation] as const);
	});
	return succeed({
		version: data.version,
		routes,
		services: Map(data.services.map(({name, maxConnections, engine}) => [name, {
			name,
			maxConnections,
			engine: engine === undefined ? undefined : {slots: engine.slots, capacity: engine.kvCapacity, tokensPerEvent: engine.stride},
		}])),
		organisations: Map(owners),
		budgets: Map(tenants.flatMap(({name, prepaid}) => prepaid === undefined ? [] : [[name, prepaid] as const])),
		needsKeys: data.tenants !== undefined,
		limits: {
			headerBytes: data.limits.maxHeaderBytes,
			bodyBytes: data.limits.maxBodyBytes,
			headerTimeout: data.limits.headerTimeoutMs,
			idleTimeout: data.limits.idleTimeoutMs,
		},
	});
};
