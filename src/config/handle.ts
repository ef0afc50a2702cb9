import {keepState} from '../loop/index.js';
import type {Step} from '../loop/index.js';
import {rowKeys} from '../table/index.js';
import type {
	JsonValue, Row, StoreCall, StoreReply,
} from '../table/index.js';
import {applyRevision} from './state.js';
import type {ConfigState, EntryChange, Revision} from './state.js';

/** Events that change the configuration's state. */
export type ConfigEvent =
	| Readonly<{kind: 'tick'}>
	| Readonly<{kind: 'store-replied'; reply: StoreReply}>
	/** Revisions received from a peer. */
	| Readonly<{kind: 'revisions-heard'; revisions: readonly Revision[]}>;

/** Effects that the configuration requests. */
export type ConfigEffect =
	| Readonly<{kind: 'store'; call: StoreCall}>
	| Readonly<{kind: 'config-in-force'; revision: number}>;

/** The body of the head row, which holds the latest revision. */
export type HeadBody = Readonly<{revision: number}>;

/** The body of an entry's row. */
export type EntryBody = Readonly<{value: JsonValue; revision: number}>;

type ConfigStep = Step<ConfigState, ConfigEffect>;

const pollIntervalMs = 3000;
const pollTimeoutMs = 20_000;
const maxRevisionsPerQuery = 50;
const maxEntriesPerQuery = 10_000;

const emitIfRevised = (before: ConfigState, after: ConfigState): ConfigStep => ({
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

/** Reads all entries instead of single revisions, for a process without a configuration or one that is far behind. */
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
		return keepState(next);
	}

	return head - config.revision > maxRevisionsPerQuery ? readEntries(next) : readRevisions(next);
};

const receiveEntries = (config: ConfigState, rows: ReadonlyArray<Row | undefined>): ConfigStep => {
	const changes = rows.flatMap((row): readonly EntryChange[] => row === undefined ? [] : [{name: row.id, value: (row.body as unknown as EntryBody).value}]);
	// Entries are read after the head, so some may be newer than it; the revisions that follow set the same values again.
	const snapshot: Revision = {revision: config.poll.head, isSnapshot: true, changes};
	return emitIfRevised(config, applyRevision({...config, poll: {...config.poll, step: 'idle'}}, snapshot));
};

const receiveRevisions = (config: ConfigState, rows: ReadonlyArray<Row | undefined>): ConfigStep => {
	const next = rows
		.flatMap(row => row === undefined ? [] : [row.body as unknown as Revision])
		.reduce((current, revision) => applyRevision(current, revision), config);
	return emitIfRevised(config, {...next, poll: {...next.poll, step: 'idle'}});
};

const rowHandlers: Readonly<Record<ConfigState['poll']['step'], (config: ConfigState, rows: ReadonlyArray<Row | undefined>) => ConfigStep>> = {
	idle: config => keepState(config),
	head: receiveHead,
	entries: receiveEntries,
	revisions: receiveRevisions,
};

type EventHandler<Event> = (config: ConfigState, event: Event, now: number, disabledRule: string | undefined) => ConfigStep;

const pollHead: EventHandler<ConfigEvent & {kind: 'tick'}> = (config, _event, now) => {
	const age = now - config.poll.at;
	const isDue = config.poll.step === 'idle' ? age >= pollIntervalMs : age >= pollTimeoutMs;
	return isDue
		? {
			state: {...config, poll: {...config.poll, step: 'head', at: now}},
			effects: [{kind: 'store', call: {kind: 'read', keys: [rowKeys.configHead()]}}],
		}
		: keepState(config);
};

const handlers: Readonly<{[Kind in ConfigEvent['kind']]: EventHandler<ConfigEvent & {kind: Kind}>}> = {
	tick: pollHead,
	'store-replied': (config, {reply}) => reply.kind === 'rows'
		? rowHandlers[config.poll.step](config, reply.rows)
		: keepState({...config, poll: {...config.poll, step: 'idle'}}),
	'revisions-heard': (config, {revisions}, _now, disabledRule) =>
		emitIfRevised(config, revisions.reduce((current, revision) => applyRevision(current, revision, disabledRule), config)),
};

/**
Applies an event to the configuration's state.

@param config - The configuration's state.
@param event - The event.
@param now - The time in ms.
@param disabledRule - A safety rule to disable; used only by the model checker.
@returns The new state and the effects that it requests.
*/
export const handleConfig = (config: ConfigState, event: ConfigEvent, now: number, disabledRule?: string): ConfigStep => {
	const handleEvent = handlers[event.kind] as EventHandler<ConfigEvent>;
	return handleEvent(config, event, now, disabledRule);
};
