import {Map} from 'immutable';
import type {Registry} from '../registry/index.js';
import type {StreamOrigin} from './origins.js';

/** Time for which streams are remembered: longer than a client waits for a stream and its resumption. */
export const retentionMs = 30_000;

/** When endpoints of a software version last left the registry, in ms, by service and version. */
export type RetiredVersions = Map<string, Map<string, number>>;

/**
Records the versions of endpoints that left the registry.

@param retired - The versions recorded so far.
@param before - The registry before a change.
@param after - The registry after it.
@param now - The current time in ms.
@returns The versions.
*/
export const recordRetiredVersions = (retired: RetiredVersions, before: Registry, after: Registry, now: number): RetiredVersions =>
	[...before.endpoints.values()]
		.filter(({id, softwareVersion}) => after.endpoints.get(id)?.softwareVersion !== softwareVersion)
		.reduce((versions, {service, softwareVersion}) => versions.setIn([service, softwareVersion], now), retired);

/** Versions that a reading of the store shows: of entries in the registry, and saved ones, whose endpoints may have left. */
export type VersionReading = Readonly<{
	listed: readonly StreamOrigin[];
	saved: readonly StreamOrigin[];
	/** How long ago the store came back from an older copy, in ms; infinite if absent. */
	restorationAgeMs?: number;
}>;

/**
Records the versions that a reading of the store shows and that the registry does not have: streams may have begun there.
When the endpoints of a saved version left is not asked if this process knows it.

@param retired - The versions recorded so far.
@param registry - The registry.
@param reading - The reading.
@param now - The current time in ms.
@returns The versions.
*/
export const recordSeenVersions = (retired: RetiredVersions, registry: Registry, {listed, saved}: VersionReading, now: number): RetiredVersions =>
	[...listed, ...saved.filter(({service, softwareVersion}) => !retired.hasIn([service, softwareVersion]))]
		.filter(({service, softwareVersion}) => !registry.endpoints.some(endpoint => endpoint.service === service && endpoint.softwareVersion === softwareVersion))
		.reduce((versions, {service, softwareVersion}) => versions.setIn([service, softwareVersion], now), retired);

/**
Finds the only software version that can have begun a stream of a service.

@param registry - The registry.
@param retired - The versions that left it.
@param service - Name of the service.
@param now - The current time in ms.
@returns The version; undefined if the service has, or had within the retention time, several versions or none.
*/
export const findSoleVersion = (registry: Registry, retired: RetiredVersions, service: string, now: number): string | undefined => {
	const present = [...registry.endpoints.values()].filter(endpoint => endpoint.service === service).map(endpoint => endpoint.softwareVersion);
	const recent = [...retired.get(service, Map<string, number>()).entries()].filter(([, leftAt]) => now - leftAt < retentionMs).map(([version]) => version);
	const [version, ...others] = new Set([...present, ...recent]);
	return others.length === 0 ? version : undefined;
};
