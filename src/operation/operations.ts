import type {BudgetBody} from '../budget/index.js';
import {decodeClaim, buildClaimWrite} from '../claim/index.js';
import type {EntryBody, EntryChange, HeadBody} from '../config/index.js';
import {createFault} from '../errors/index.js';
import type {ErrorKind} from '../errors/index.js';
import {
	deleteRow, maxWritesPerTransaction, putRow, replaceRow, rowKeys,
} from '../table/index.js';
import type {JsonValue, Row, TableWrite} from '../table/index.js';
import type {OperatorChange, OperationKind, OperationDecision} from './operation.js';

const refuse = (kind: ErrorKind, detail: string): OperationDecision => ({kind: 'refused', fault: createFault(kind, detail)});

/** Builds the write of an audit row. Each operator change adds one in its own transaction. */
const writeAudit = (change: OperatorChange, from: JsonValue, to: JsonValue): TableWrite => putRow(rowKeys.audit(`${change.at}/${change.id}`), 0, {
	id: change.id, kind: change.kind, subject: change.subject, who: change.who, why: change.why, at: change.at, from, to,
});

const describeBudget = (budget: string, body: BudgetBody): JsonValue => ({
	budget, limit: body.limit, granted: body.granted, ungranted: body.limit - body.granted,
});

const topUpBudget: OperationKind = {
	keys: change => [rowKeys.budget(change.subject), rowKeys.topUp(change.subject, change.id)],
	decide(change, [budgetRow, topUpRow]) {
		const before = (budgetRow?.body as BudgetBody | undefined) ?? {limit: 0, granted: 0};
		const add = Number(change.fields.add);
		if (topUpRow !== undefined) {
			return (topUpRow.body as {add: number}).add === add
				? {kind: 'done', result: describeBudget(change.subject, before)}
				: refuse('key-conflict', `change "${change.id}" was applied with another amount`);
		}

		const after = {limit: before.limit + add, granted: before.granted};
		if (after.limit < after.granted) {
			return refuse('bad-request', `add: ${add} would put the limit below the ${after.granted} tokens that are granted or spent`);
		}

		const writes = [
			putRow(rowKeys.budget(change.subject), budgetRow?.version ?? 0, after),
			putRow(rowKeys.topUp(change.subject, change.id), 0, {add}),
			writeAudit(change, before.limit, after.limit),
		];
		return {kind: 'write', writes, result: describeBudget(change.subject, after)};
	},
};

const maxEntryChanges = maxWritesPerTransaction - 4;

const readConfigHead = (row: Row | undefined): HeadBody => (row?.body as HeadBody | undefined) ?? {revision: 0};

const applyConfig: OperationKind = {
	keys: change => [rowKeys.configHead(), rowKeys.revision(Number(change.fields.base) + 1)],
	decide(change, [headRow, revisionRow]) {
		const head = readConfigHead(headRow);
		const base = Number(change.fields.base);
		const changes = change.fields.changes as unknown as readonly EntryChange[];
		if ((revisionRow?.body as {change: string} | undefined)?.change === change.id) {
			return {kind: 'done', result: {revision: base + 1}};
		}

		if (head.revision !== base) {
			return refuse('revision-conflict', `If-Match names revision ${base}, but ${head.revision} is in force`);
		}

		if (changes.length > maxEntryChanges) {
			return refuse('too-large', `${changes.length} entries differ; one revision may change ${maxEntryChanges}`);
		}

		const revision = base + 1;
		const before = change.fields.before ?? null;
		const writes = [
			putRow(rowKeys.configHead(), headRow?.version ?? 0, {revision}),
			putRow(rowKeys.revision(revision), 0, {revision, change: change.id, changes}),
			...changes.map((entry): TableWrite => entry.value === null
				? {...rowKeys.configEntry(entry.name), op: 'delete', condition: {kind: 'any'}}
				: replaceRow(rowKeys.configEntry(entry.name), {value: entry.value, revision} satisfies EntryBody)),
			writeAudit(change, {revision: base, entries: before}, {revision, entries: changes as unknown as JsonValue}),
		];
		return {kind: 'write', writes, result: {revision}};
	},
};

const resolveClaim: OperationKind = {
	keys(change) {
		const [organisation = '', ...key] = change.subject.split('/');
		return [rowKeys.claim(organisation, key.join('/')), rowKeys.audit(`${change.at}/${change.id}`)];
	},
	decide(change, [claimRow, auditRow]) {
		const [organisation = '', ...key] = change.subject.split('/');
		const claim = decodeClaim(claimRow);
		const hasRun = change.fields.outcome === 'ran';
		if (auditRow !== undefined) {
			return {kind: 'done', result: {claim: change.subject, state: hasRun ? 'done' : 'removed'}};
		}

		if (claimRow === undefined || claim === undefined) {
			return refuse('not-found', `claim "${change.subject}" does not exist`);
		}

		if (claim.state === 'done') {
			return refuse('bad-request', `claim "${change.subject}" is done already`);
		}

		const write = hasRun
			? buildClaimWrite(organisation, key.join('/'), claim.version, 'done', claim.body)
			: deleteRow(claimRow, claim.version);
		const result = {claim: change.subject, state: hasRun ? 'done' : 'removed'};
		return {kind: 'write', writes: [write, writeAudit(change, claim.state, result.state)], result};
	},
};

const recordChange: OperationKind = {
	keys: change => [rowKeys.audit(`${change.at}/${change.id}`)],
	decide: (change, [auditRow]) => auditRow === undefined
		? {kind: 'write', writes: [writeAudit(change, null, change.fields)], result: change.fields}
		: {kind: 'done', result: change.fields},
};

const resolveAgent: OperationKind = {
	keys: change => [rowKeys.resolved(change.subject)],
	decide: (change, [row]) => row === undefined
		? {
			kind: 'write',
			writes: [putRow(rowKeys.resolved(change.subject), 0, {who: change.who}), writeAudit(change, 'unknown', 'gone')],
			result: {agent: change.subject, state: 'gone'},
		}
		: {kind: 'done', result: {agent: change.subject, state: 'gone'}},
};

const readBudget: OperationKind = {
	keys: change => [rowKeys.budget(change.subject)],
	decide: (change, [row]) => row === undefined
		? refuse('not-found', `budget "${change.subject}" does not exist`)
		: {kind: 'done', result: describeBudget(change.subject, row.body as BudgetBody)},
};

/** The kinds of operator changes. */
export const operations = {
	'top-up': topUpBudget,
	config: applyConfig,
	'resolve-claim': resolveClaim,
	/** Applies to processes, not to rows: only the audit row is written. */
	drain: recordChange,
	'resolve-agent': resolveAgent,
	budget: readBudget,
} as const satisfies Readonly<Record<string, OperationKind>>;
