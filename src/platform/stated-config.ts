import {createHash} from 'node:crypto';
import {z} from 'zod';
import {listFields} from '../config-check/index.js';
import type {
	ConfigEntry, EntryKind, Finding, StatedConfig, Warning,
} from '../config-check/index.js';
import {createValidationFault, fail, succeed} from '../errors/index.js';
import type {Fault, Result} from '../errors/index.js';
import {
	configurationSchema, decodeHomeRegions, decodeRoute, decodeRoutingConfig,
} from './catalog.js';
import {decodeJson} from './json.js';

/** A configuration as the operator wrote it. */
export type WrittenConfig = Readonly<{
	config: StatedConfig;
	entries: readonly ConfigEntry[];
}>;

type WireConfig = z.output<typeof configurationSchema>;

/** API keys are secrets: differences show the beginning of a digest. */
const hashKey = (key: string): string => createHash('sha256').update(key).digest('hex').slice(0, 8);

const listEntries = ({routes, services, tenants = [], limits}: WireConfig): readonly ConfigEntry[] => [
	...routes.map(({name, ...fields}) => ({label: `route ${name}`, scope: `requests to ${fields.host}${fields.prefix}`, fields: listFields(fields)})),
	...services.map(({name, ...fields}) => {
		const users = routes.filter(({service, weightedServices = []}) => service === name || weightedServices.some(weighted => weighted.service === name)).map(route => route.name);
		return {label: `service ${name}`, scope: `requests of routes ${users.join(', ') || 'none'}`, fields: listFields(fields)};
	}),
	...tenants.map(({name, apiKeys, ...fields}) => ({
		label: `organisation ${name}`, scope: `requests of ${name}`, fields: listFields({...fields, apiKeys: apiKeys.map(key => hashKey(key))}),
	})),
	{label: 'limits', scope: 'all clients', fields: listFields(limits)},
];

/**
Decodes the operator's configuration as it is written, for a check before routers read it.

@param text - Value of the configuration row.
@returns The configuration and its entries, or a fault for each invalid field; the first one is that of the routers.
*/
export const decodeWrittenConfig = (text: string): Result<WrittenConfig, readonly Fault[]> => {
	const parsed = configurationSchema.safeParse(decodeJson(text));
	if (!parsed.success) {
		return fail(parsed.error.issues.map(issue => createValidationFault(new z.ZodError([issue]), 'configuration')));
	}

	const {data} = parsed;
	const tenants = data.tenants ?? [];
	const {services, limits, needsAuthentication} = decodeRoutingConfig(text).unwrap();
	return succeed({
		config: {
			version: data.version,
			routes: data.routes.map(route => decodeRoute(route)),
			// Each entry is a value of its own, also those of one name.
			services: data.services.map(({name}) => ({...services.get(name)!})),
			organisations: tenants.map(({name, apiKeys, priority, prepaid, allowedRegions}) => ({
				name, keys: apiKeys, priority, budget: prepaid, homeRegions: decodeHomeRegions('tenants', {name, allowedRegions})?.regions,
			})),
			homeRegions: [
				...data.routes.map(route => decodeHomeRegions('routes', route)),
				...tenants.map(tenant => decodeHomeRegions('tenants', tenant)),
			].flatMap(stated => stated ?? []),
			limits,
			needsAuthentication,
		},
		entries: listEntries(data),
	});
};

/** Names of the lists in the platform's configuration. */
const listNames: Readonly<Record<EntryKind, string>> = {
	routes: 'routes', services: 'services', organisations: 'tenants', limits: 'limits',
};

/** Names of fields in the platform's configuration, where they differ. */
const fieldNames: Readonly<Partial<Record<Warning['field'], string>>> = {
	timeout: 'timeoutMs',
	targetMs: 'targetLatencyMs',
	eventGapTargetMs: 'gapAimMs',
	services: 'service',
	isAnonymous: 'anonymous',
	isResumable: 'resumable',
	homeRegions: 'allowedRegions',
	keys: 'apiKeys',
	budget: 'prepaid',
	slots: 'engine.slots',
	capacity: 'engine.kvCapacity',
	tokensPerEvent: 'engine.stride',
	coldStart: 'coldStartS',
};

/**
Names the field of a warning as the platform does.

@param warning - The warning.
@returns The finding.
*/
export const describeWarning = ({kind, name, field, problem}: Warning): Finding => ({
	severity: 'warning', path: [listNames[kind], name, fieldNames[field] ?? field].filter(part => part !== '').join('.'), problem,
});
