import {List, Map} from 'immutable';
import type {Json} from '../table/index.js';
import type {ConfigDocument, Organisation, WorkClass} from './document.js';

/** One entry's new value; null removes it. */
export type EntryChange = Readonly<{name: string; value: Json}>;

/** An accepted change of the configuration. */
export type Revision = Readonly<{
	revision: number;
	changes: readonly EntryChange[];
	/** Set if the revision holds every entry, so that it canFollow any older one. */
	isSnapshot?: boolean;
}>;

/** An entry and the revision that it came with. */
export type Entry = Readonly<{value: Json; revision: number}>;

/**
The configuration in force here.

Invariant: `revision` never falls, nor does any entry's.
*/
export type ConfigState = Readonly<{
	revision: number;
	entries: Map<string, Entry>;
	/** The last revisions, oldest first, for peers that are behind. */
	recent: List<Revision>;
	/** Which organisation each API key's hash belongs to. */
	owners: Map<string, string>;
	poll: Readonly<{step: 'idle' | 'head' | 'entries' | 'revisions'; head: number; at: number}>;
}>;

/** Revisions that are kept for peers. */
export const maxRecent = 200;

/** The configuration of a process that has heard of none. */
export const emptyConfig: ConfigState = {
	revision: 0,
	entries: Map(),
	recent: List(),
	owners: Map(),
	poll: {step: 'idle', head: 0, at: Number.NEGATIVE_INFINITY},
};

const classPrefix = 'class/';
const organisationPrefix = 'organisation/';

/**
Finds a class of work.

@param config - The configuration.
@param name - The class.
@returns The class, if it exists.
*/
export const findClass = (config: ConfigState, name: string): WorkClass | undefined =>
	config.entries.get(`${classPrefix}${name}`)?.value as WorkClass | undefined;

/**
Finds an organisation.

@param config - The configuration.
@param name - The organisation.
@returns The organisation, if it exists.
*/
export const findOrganisation = (config: ConfigState, name: string): Organisation | undefined =>
	config.entries.get(`${organisationPrefix}${name}`)?.value as Organisation | undefined;

/**
Writes a configuration as entries.

@param config - The configuration.
@returns The entries by name.
*/
export const splitConfig = (config: ConfigDocument): Map<string, Json> => Map([
	...Object.entries(config.classes).map(([name, value]): [string, Json] => [`${classPrefix}${name}`, value as unknown as Json]),
	...Object.entries(config.organisations).map(([name, value]): [string, Json] => [`${organisationPrefix}${name}`, value as unknown as Json]),
]);

const selectEntries = (config: ConfigState, prefix: string): Readonly<Record<string, Json>> =>
	config.entries
		.filter((_entry, name) => name.startsWith(prefix))
		.sortBy((_entry, name) => name)
		.mapEntries(([name, entry]) => [name.slice(prefix.length), entry.value])
		.toObject();

/**
Writes the entries in force as a configuration.

@param config - The configuration's state.
@returns The document that an operator sees.
*/
export const joinConfig = (config: ConfigState): Json => ({
	classes: selectEntries(config, classPrefix),
	organisations: selectEntries(config, organisationPrefix),
});

/**
Finds what differs between the entries in force and those wanted.

@param config - The configuration's state.
@param wanted - Every entry that is to be.
@returns The changes.
*/
export const compareConfig = (config: ConfigState, wanted: Map<string, Json>): readonly EntryChange[] => {
	const put = wanted.entrySeq().toArray()
		.filter(([name, value]) => JSON.stringify(config.entries.get(name)?.value) !== JSON.stringify(value))
		.map(([name, value]) => ({name, value}));
	const removed = config.entries.keySeq().toArray()
		.filter(name => !wanted.has(name))
		.map(name => ({name, value: null}));
	return [...put, ...removed];
};

const indexOwners = (entries: ConfigState['entries']): Map<string, string> =>
	Map(entries.entrySeq().toArray()
		.filter(([name]) => name.startsWith(organisationPrefix))
		.flatMap(([name, entry]) => (entry.value as unknown as Organisation).keys
			.map((hash): [string, string] => [hash, name.slice(organisationPrefix.length)])));

const putEntry = (entries: ConfigState['entries'], change: EntryChange, revision: number): ConfigState['entries'] => {
	if ((entries.get(change.name)?.revision ?? 0) > revision) {
		return entries;
	}

	return change.value === null ? entries.delete(change.name) : entries.set(change.name, {value: change.value, revision});
};

const canFollow = (config: ConfigState, revision: Revision, broken: string | undefined): boolean =>
	broken === 'config-highest-wins'
	|| (revision.isSnapshot ? revision.revision > config.revision : revision.revision === config.revision + 1);

/**
Puts a revision in force if it is the next one, or a newer snapshot.

@param config - The configuration's state.
@param revision - The revision.
@param broken - A safety rule to switch off; for the model check alone.
@returns The state; unchanged if the revision is old or comes too early.
*/
export const applyRevision = (config: ConfigState, revision: Revision, broken?: string): ConfigState => {
	if (!canFollow(config, revision, broken)) {
		return config;
	}

	const base = revision.isSnapshot ? Map<string, Entry>() : config.entries;
	const entries = revision.changes.reduce((current, change) => putEntry(current, change, revision.revision), base);
	const touchesOwners = revision.changes.some(change => change.name.startsWith(organisationPrefix));
	return {
		...config,
		revision: revision.revision,
		entries,
		recent: (revision.isSnapshot ? List<Revision>() : config.recent).push(revision).takeLast(maxRecent),
		owners: touchesOwners || revision.isSnapshot ? indexOwners(entries) : config.owners,
	};
};

/**
Chooses what a peer at an older revision needs.

@param config - The configuration's state.
@param revision - The peer's revision.
@returns Revisions in order: those it lacks, or one snapshot.
*/
export const listRevisions = (config: ConfigState, revision: number): readonly Revision[] => {
	if (revision >= config.revision) {
		return [];
	}

	const missing = config.recent.filter(each => each.revision > revision && !each.isSnapshot).toArray();
	return missing.length === config.revision - revision
		? missing
		: [{
			revision: config.revision,
			isSnapshot: true,
			changes: config.entries.entrySeq().toArray().map(([name, entry]) => ({name, value: entry.value})),
		}];
};
