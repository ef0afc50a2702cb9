import {stay} from '../loop/index.js';
import type {Step} from '../loop/index.js';
import {rowKeys} from '../table/index.js';
import type {
	Json, Row, StoreCall, StoreReply,
} from '../table/index.js';
import {applyRevision} from './state.js';
import type {ConfigState, EntryChange, Revision} from './state.js';

/** What happens to the configuration. */
export type ConfigEvent =
	| Readonly<{kind: 'tick'}>
	| Readonly<{kind: 'store-replied'; reply: StoreReply}>
	/** A peer told which revisions it has. */
	| Readonly<{kind: 'revisions-heard'; revisions: readonly Revision[]}>;

/** What the configuration asks for. */
export type ConfigEffect =
	| Readonly<{kind: 'store'; call: StoreCall}>
	| Readonly<{kind: 'config-in-force'; revision: number}>;

/** The body of the head row. */
export type HeadBody = Readonly<{revision: number}>;

/** The body of an entry's row. */
export type EntryBody = Readonly<{value: Json; revision: number}>;

type ConfigStep = Step<ConfigState, ConfigEffect>;

const pollInterval = 3000; // Milliseconds
const pollTimeout = 20_000; // Milliseconds
const maxRevisionsPerQuery = 50;
const maxEntriesPerQuery = 10_000;

const announce = (before: ConfigState, after: ConfigState): ConfigStep => ({
	state: after,
	effects: after.revision === before.revision ? [] : [{kind: 'config-in-force', revision: after.revision}],
});

const readRevisions = (config: ConfigState): ConfigStep => ({
	state: {...config, poll: {...config.poll, step: 'revisions'}},
	effects: [{
		kind: 'store',
		call: {
			kind: 'query', table: 'config-revision', prefix: '', after: rowKeys.revision(config.revision).id, limit: maxRevisionsPerQuery,
		},
	}],
});

/** A process with no configuration, or one far behind, takes all entries instead of every revision. */
const readEntries = (config: ConfigState): ConfigStep => ({
	state: {...config, poll: {...config.poll, step: 'entries'}},
	effects: [{
		kind: 'store', call: {
			kind: 'query', table: 'config-entry', prefix: '', limit: maxEntriesPerQuery,
		},
	}],
});

const receiveHead = (config: ConfigState, rows: ReadonlyArray<Row | undefined>): ConfigStep => {
	const head = (rows[0]?.body as HeadBody | undefined)?.revision ?? 0;
	const next = {...config, poll: {...config.poll, step: 'idle' as const, head}};
	if (head <= config.revision) {
		return stay(next);
	}

	return head - config.revision > maxRevisionsPerQuery ? readEntries(next) : readRevisions(next);
};

const receiveEntries = (config: ConfigState, rows: ReadonlyArray<Row | undefined>): ConfigStep => {
	const changes = rows.flatMap((row): readonly EntryChange[] => row === undefined ? [] : [{name: row.id, value: (row.body as unknown as EntryBody).value}]);
	// Entries read after the head may be newer than it; the revisions that follow say the same again.
	const snapshot: Revision = {revision: config.poll.head, isSnapshot: true, changes};
	return announce(config, applyRevision({...config, poll: {...config.poll, step: 'idle'}}, snapshot));
};

const receiveRevisions = (config: ConfigState, rows: ReadonlyArray<Row | undefined>): ConfigStep => {
	const next = rows
		.flatMap(row => row === undefined ? [] : [row.body as unknown as Revision])
		.reduce((current, revision) => applyRevision(current, revision), config);
	return announce(config, {...next, poll: {...next.poll, step: 'idle'}});
};

const receivers: Readonly<Record<ConfigState['poll']['step'], (config: ConfigState, rows: ReadonlyArray<Row | undefined>) => ConfigStep>> = {
	idle: config => stay(config),
	head: receiveHead,
	entries: receiveEntries,
	revisions: receiveRevisions,
};

type Decide<Event> = (config: ConfigState, event: Event, now: number, broken: string | undefined) => ConfigStep;

const pollHead: Decide<ConfigEvent & {kind: 'tick'}> = (config, _event, now) => {
	const age = now - config.poll.at;
	const isDue = config.poll.step === 'idle' ? age >= pollInterval : age >= pollTimeout;
	return isDue
		? {
			state: {...config, poll: {...config.poll, step: 'head', at: now}},
			effects: [{kind: 'store', call: {kind: 'read', keys: [rowKeys.configHead()]}}],
		}
		: stay(config);
};

const handlers: Readonly<{[Kind in ConfigEvent['kind']]: Decide<ConfigEvent & {kind: Kind}>}> = {
	tick: pollHead,
	'store-replied': (config, {reply}) => reply.kind === 'rows'
		? receivers[config.poll.step](config, reply.rows)
		: stay({...config, poll: {...config.poll, step: 'idle'}}),
	'revisions-heard': (config, {revisions}, _now, broken) =>
		announce(config, revisions.reduce((current, revision) => applyRevision(current, revision, broken), config)),
};

/**
Decides what canFollow for the configuration in force.

@param config - The configuration's state.
@param event - What happened.
@param now - The time in ms.
@param broken - A safety rule to switch off; for the model check alone.
@returns The state and what it asks for.
*/
export const handleConfig = (config: ConfigState, event: ConfigEvent, now: number, broken?: string): ConfigStep => {
	const decide = handlers[event.kind] as Decide<ConfigEvent>;
	return decide(config, event, now, broken);
};
