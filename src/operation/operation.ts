import {createFault} from '../errors/index.js';
import type {Fault} from '../errors/index.js';
import {keepState} from '../loop/index.js';
import type {Step} from '../loop/index.js';
import type {
	JsonValue, TableKey, Row, StoreCall, StoreReply, TableWrite,
} from '../table/index.js';
import {operations} from './operations.js';

/** A change requested by an operator, with the operator's name and reason. */
export type OperatorChange = Readonly<{
	/** Id set by the operator, which makes the change idempotent: it is applied once, however often it is sent. */
	id: string;
	kind: keyof typeof operations;
	/** What the change applies to, such as a budget, a claim or an agent. */
	subject: string;
	/** Parameters of the kind. */
	fields: Readonly<Record<string, JsonValue>>;
	who: string;
	why: string;
	/** Time of the request, in ISO 8601. */
	at: string;
}>;

/** The decision of an operation on the rows that it read. */
export type OperationDecision =
	| Readonly<{kind: 'write'; writes: readonly TableWrite[]; result: JsonValue}>
	| Readonly<{kind: 'done'; result: JsonValue}>
	| Readonly<{kind: 'refused'; fault: Fault}>;

/** A kind of change: the rows that it reads and its decision on them. */
export type OperationKind = Readonly<{
	keys: (change: OperatorChange) => readonly TableKey[];
	decide: (change: OperatorChange, rows: ReadonlyArray<Row | undefined>) => OperationDecision;
}>;

/** An operator's change in progress: it reads, decides and writes, and starts again after a conflict or a lost reply. */
export type Operation = Readonly<{
	change: OperatorChange;
	step: 'reading' | 'writing';
	result: JsonValue;
	tries: number;
}>;

/** An effect of an operation. */
export type OperationEffect =
	| Readonly<{kind: 'store'; operation: string; call: StoreCall}>
	| Readonly<{kind: 'operation-ended'; operation: string; change: OperatorChange; result: JsonValue; fault: Fault | undefined}>;

type OperationStep = Step<Operation | undefined, OperationEffect>;

const maxTries = 6;

const readRows = (operation: Operation): OperationStep => ({
	state: {...operation, step: 'reading', tries: operation.tries + 1},
	effects: [{kind: 'store', operation: operation.change.id, call: {kind: 'read', keys: operations[operation.change.kind].keys(operation.change)}}],
});

const endOperation = (operation: Operation, result: JsonValue, fault?: Fault): OperationStep => ({
	state: undefined,
	effects: [{
		kind: 'operation-ended', operation: operation.change.id, change: operation.change, result, fault,
	}],
});

/**
Starts an operator's change.

@param change - The change.
@returns The operation and its first store call.
*/
export const startOperation = (change: OperatorChange): OperationStep =>
	readRows({
		change, step: 'reading', result: null, tries: 0,
	});

const receiveRows = (operation: Operation, rows: ReadonlyArray<Row | undefined>): OperationStep => {
	const decision = operations[operation.change.kind].decide(operation.change, rows);
	const decisionHandlers: Readonly<Record<OperationDecision['kind'], () => OperationStep>> = {
		write: () => decision.kind === 'write'
			? {
				state: {...operation, step: 'writing', result: decision.result},
				effects: [{kind: 'store', operation: operation.change.id, call: {kind: 'write', writes: decision.writes}}],
			}
			: keepState(operation),
		done: () => endOperation(operation, decision.kind === 'done' ? decision.result : null),
		refused: () => endOperation(operation, null, decision.kind === 'refused' ? decision.fault : undefined),
	};
	return decisionHandlers[decision.kind]();
};

/**
Handles a reply of the store to an operation. After a conflict or a lost reply, the
rows are read again, which shows whether the change was applied.

@param operation - The operation.
@param reply - The store's reply.
@returns The next state of the operation, undefined once it has ended, and its effects.
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
