import {createFault} from '../errors/index.js';
import type {Fault} from '../errors/index.js';
import {stay} from '../loop/index.js';
import type {Step} from '../loop/index.js';
import type {
	Json, Key, Row, StoreCall, StoreReply, Write,
} from '../table/index.js';
import {operations} from './operations.js';

/** What an operator asks for, with who asks and why. */
export type Change = Readonly<{
	/** Named by the operator: the same change is applied once, however often it is sent. */
	id: string;
	kind: keyof typeof operations;
	/** What the kind needs to know. */
	subject: string;
	fields: Readonly<Record<string, Json>>;
	who: string;
	why: string;
	/** ISO 8601. */
	at: string;
}>;

/** What an operation makes of the rows that it read. */
export type Verdict =
	| Readonly<{kind: 'write'; writes: readonly Write[]; result: Json}>
	| Readonly<{kind: 'done'; result: Json}>
	| Readonly<{kind: 'refused'; fault: Fault}>;

/** One kind of change: which rows it reads and what it makes of them. */
export type OperationKind = Readonly<{
	keys: (change: Change) => readonly Key[];
	decide: (change: Change, rows: ReadonlyArray<Row | undefined>) => Verdict;
}>;

/** An operator's change under way: read, decide, write, and again after a conflict. */
export type Operation = Readonly<{
	change: Change;
	step: 'reading' | 'writing';
	result: Json;
	tries: number;
}>;

/** What an operation asks for. */
export type OperationEffect =
	| Readonly<{kind: 'store'; operation: string; call: StoreCall}>
	| Readonly<{kind: 'operation-ended'; operation: string; change: Change; result: Json; fault: Fault | undefined}>;

type OperationStep = Step<Operation | undefined, OperationEffect>;

const maxTries = 6;

const readRows = (operation: Operation): OperationStep => ({
	state: {...operation, step: 'reading', tries: operation.tries + 1},
	effects: [{kind: 'store', operation: operation.change.id, call: {kind: 'read', keys: operations[operation.change.kind].keys(operation.change)}}],
});

const endOperation = (operation: Operation, result: Json, fault?: Fault): OperationStep => ({
	state: undefined,
	effects: [{
		kind: 'operation-ended', operation: operation.change.id, change: operation.change, result, fault,
	}],
});

/**
Starts an operator's change.

@param change - The change.
@returns The operation and its first call.
*/
export const startOperation = (change: Change): OperationStep =>
	readRows({
		change, step: 'reading', result: null, tries: 0,
	});

const receiveRows = (operation: Operation, rows: ReadonlyArray<Row | undefined>): OperationStep => {
	const verdict = operations[operation.change.kind].decide(operation.change, rows);
	const verdicts: Readonly<Record<Verdict['kind'], () => OperationStep>> = {
		write: () => verdict.kind === 'write'
			? {
				state: {...operation, step: 'writing', result: verdict.result},
				effects: [{kind: 'store', operation: operation.change.id, call: {kind: 'write', writes: verdict.writes}}],
			}
			: stay(operation),
		done: () => endOperation(operation, verdict.kind === 'done' ? verdict.result : null),
		refused: () => endOperation(operation, null, verdict.kind === 'refused' ? verdict.fault : undefined),
	};
	return verdicts[verdict.kind]();
};

/**
Decides how an operation goes on. A lost reply is followed by a new read, which
finds the change if it took effect.

@param operation - The operation.
@param reply - What the store answered.
@returns The operation, or undefined once it has ended.
*/
export const handleOperation = (operation: Operation, reply: StoreReply): OperationStep => {
	if (reply.kind === 'applied') {
		return endOperation(operation, operation.result);
	}

	if (reply.kind === 'rows') {
		return receiveRows(operation, reply.rows);
	}

	return operation.tries >= maxTries
		? endOperation(operation, null, createFault('store-unavailable', `change "${operation.change.id}" may or may not have been applied; send it again under the same id`))
		: readRows(operation);
};
