import {List, Map} from 'immutable';
import type {JsonValue} from '../table/index.js';
import type {ConfigDocument, Organisation, WorkClass} from './document.js';

/** The new value of one entry; null removes the entry. */
export type EntryChange = Readonly<{name: string; value: JsonValue}>;

/** An accepted change of the configuration, numbered in order. */
export type Revision = Readonly<{
	revision: number;
	changes: readonly EntryChange[];
	/** True if the revision holds every entry, so that it can be applied on top of any older revision. */
	isSnapshot?: boolean;
}>;

/** An entry and the revision that last set it. */
export type Entry = Readonly<{value: JsonValue; revision: number}>;

/**
The configuration in force in this process.

Invariant: neither `revision` nor the revision of any entry decreases.
*/
export type ConfigState = Readonly<{
	revision: number;
	entries: Map<string, Entry>;
	/** The latest revisions, oldest first, kept for peers that are behind. */
	recent: List<Revision>;
	/** Organisation names by the hash of each API key. */
	organisationsByKeyHash: Map<string, string>;
	/** Progress of polling the store: `head` is the latest revision read there, `at` the start of the last poll in ms. */
	poll: Readonly<{step: 'idle' | 'head' | 'entries' | 'revisions'; head: number; at: number}>;
}>;

/** Number of revisions kept for peers. */
export const maxRecentRevisions = 200;

/** The configuration of a process that has not received any. */
export const emptyConfig: ConfigState = {
	revision: 0,
	entries: Map(),
	recent: List(),
	organisationsByKeyHash: Map(),
	poll: {step: 'idle', head: 0, at: Number.NEGATIVE_INFINITY},
};

const classPrefix = 'class/';
const organisationPrefix = 'organisation/';

/**
Finds a class of work.

@param config - The configuration.
@param name - The name of the class.
@returns The class, if it exists.
*/
export const findClass = (config: ConfigState, name: string): WorkClass | undefined =>
	config.entries.get(`${classPrefix}${name}`)?.value as WorkClass | undefined;

/**
Finds an organisation.

@param config - The configuration.
@param name - The name of the organisation.
@returns The organisation, if it exists.
*/
export const findOrganisation = (config: ConfigState, name: string): Organisation | undefined =>
	config.entries.get(`${organisationPrefix}${name}`)?.value as Organisation | undefined;

/**
Converts a configuration document to entries.

@param config - The configuration.
@returns The entries by name.
*/
export const listEntries = (config: ConfigDocument): Map<string, JsonValue> => Map([
	...Object.entries(config.classes).map(([name, value]): [string, JsonValue] => [`${classPrefix}${name}`, value as unknown as JsonValue]),
	...Object.entries(config.organisations).map(([name, value]): [string, JsonValue] => [`${organisationPrefix}${name}`, value as unknown as JsonValue]),
]);

const selectEntries = (config: ConfigState, prefix: string): Readonly<Record<string, JsonValue>> =>
	config.entries
		.filter((_entry, name) => name.startsWith(prefix))
		.sortBy((_entry, name) => name)
		.mapEntries(([name, entry]) => [name.slice(prefix.length), entry.value])
		.toObject();

/**
Converts the entries in force to a configuration document.

@param config - The configuration's state.
@returns The document, as shown to operators.
*/
export const buildDocument = (config: ConfigState): JsonValue => ({
	classes: selectEntries(config, classPrefix),
	organisations: selectEntries(config, organisationPrefix),
});

/**
Compares the entries in force with the desired ones.

@param config - The configuration's state.
@param desired - All entries that the configuration should have.
@returns The changes that lead to the desired entries.
*/
export const diffEntries = (config: ConfigState, desired: Map<string, JsonValue>): readonly EntryChange[] => {
	const upserts = desired.entrySeq().toArray()
		.filter(([name, value]) => JSON.stringify(config.entries.get(name)?.value) !== JSON.stringify(value))
		.map(([name, value]) => ({name, value}));
	const removals = config.entries.keySeq().toArray()
		.filter(name => !desired.has(name))
		.map(name => ({name, value: null}));
	return [...upserts, ...removals];
};

const indexKeyHashes = (entries: ConfigState['entries']): Map<string, string> =>
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

const canApply = (config: ConfigState, revision: Revision, disabledRule: string | undefined): boolean =>
	disabledRule === 'config-highest-wins'
	|| (revision.isSnapshot ? revision.revision > config.revision : revision.revision === config.revision + 1);

/**
Applies a revision if it is the next one, or a newer snapshot.

@param config - The configuration's state.
@param revision - The revision.
@param disabledRule - A safety rule to disable; used only by the model checker.
@returns The new state; unchanged if the revision is not newer or an earlier one is missing.
*/
export const applyRevision = (config: ConfigState, revision: Revision, disabledRule?: string): ConfigState => {
	if (!canApply(config, revision, disabledRule)) {
		return config;
	}

	const base = revision.isSnapshot ? Map<string, Entry>() : config.entries;
	const entries = revision.changes.reduce((current, change) => putEntry(current, change, revision.revision), base);
	const hasOrganisationChange = revision.changes.some(change => change.name.startsWith(organisationPrefix));
	return {
		...config,
		revision: revision.revision,
		entries,
		recent: (revision.isSnapshot ? List<Revision>() : config.recent).push(revision).takeLast(maxRecentRevisions),
		organisationsByKeyHash: hasOrganisationChange || revision.isSnapshot ? indexKeyHashes(entries) : config.organisationsByKeyHash,
	};
};

/**
Selects the revisions that a peer at an older revision needs.

@param config - The configuration's state.
@param revision - The peer's revision.
@returns The missing revisions in order, or one snapshot if not all of them are kept.
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
