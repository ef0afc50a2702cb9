import {Map} from 'immutable';
import type {BillBatch} from '../bill/index.js';
import {sumBills} from '../bill/index.js';
import {countFree} from '../budget/index.js';
import type {BudgetBody, GrantBody} from '../budget/index.js';
import type {Revision} from '../config/index.js';
import type {Row} from '../table/index.js';
import {listGone} from './moves.js';
import type {World} from './state.js';

/** A promise that a world breaks, in words. */
export type Violation = Readonly<{property: string; detail: string}>;

/** What must hold of every world that can come about. */
type Property = Readonly<{name: string; describeBreach: (world: World) => string | undefined}>;

const selectRows = (world: World, table: string): readonly Row[] => world.rows.valueSeq().toArray().filter(row => row.table === table);

const listBatches = (world: World): readonly BillBatch[] => selectRows(world, 'bill').map(row => row.body as BillBatch);

const listGrants = (world: World): readonly GrantBody[] => selectRows(world, 'grant').map(row => row.body as GrantBody);

/** Lists the requests that have a bill, one entry a bill. */
const listBilled = (world: World): readonly string[] => listBatches(world).flatMap(batch => batch.bills.map(bill => bill.request));

const findRepeated = (names: readonly string[]): string | undefined => names.find((name, index) => names.indexOf(name) !== index);

const findOverspend = (world: World): string | undefined => selectRows(world, 'budget')
	.map(row => {
		const {limit, granted} = row.body as BudgetBody;
		const billed = listBatches(world).filter(batch => batch.budget === row.id).reduce((sum, batch) => sum + sumBills(batch.bills), 0);
		const held = listGrants(world).filter(grant => grant.budget === row.id).reduce((sum, grant) => sum + grant.tokens, 0);
		return {
			id: row.id, limit, granted, billed, held,
		};
	})
	.filter(budget => budget.granted > budget.limit || budget.billed > budget.limit || budget.billed + budget.held > budget.granted)
	.map(budget => `budget ${budget.id}: limit ${budget.limit}, granted ${budget.granted}, billed ${budget.billed}, held ${budget.held}`)[0];

/** What attempts have used and will use never passes the limit, billed or not. */
const findUse = (world: World): string | undefined => {
	const acknowledged = world.executions.size * world.cost;
	const limit = selectRows(world, 'budget').reduce((sum, row) => sum + (row.body as BudgetBody).limit, 0);
	const complete = world.told.filter(told => told.outcome === 'complete').map(told => world.orders.get(told.arrival)?.billId).toSet().size * world.cost;
	return complete > limit && world.orders.every(order => order.cap > 0) ? `answers worth ${complete} of ${limit} tokens were given, ${acknowledged} were used` : undefined;
};

const findNegative = (world: World): string | undefined => world.routers.valueSeq().toArray()
	.flatMap(node => node.state.pots.valueSeq().toArray().map(pot => ({router: node.state.incarnation, pot})))
	.filter(({pot}) => countFree(pot) < 0 || pot.reserved < 0)
	.map(({router, pot}) => `router ${router}: pot ${pot.budget} has ${countFree(pot)} free and ${pot.reserved} reserved`)[0];

const findDoubleBill = (world: World): string | undefined => {
	const repeated = findRepeated(listBilled(world));
	return repeated === undefined ? undefined : `request ${repeated} has two bills`;
};

const findDoubleAct = (world: World): string | undefined => {
	const repeated = findRepeated(world.executions.toArray().flatMap(execution => execution.claimKey ?? []));
	return repeated === undefined ? undefined : `the act under key ${repeated} ran twice`;
};

const findLie = (world: World): string | undefined => {
	const lie = world.lies.first();
	if (lie !== undefined) {
		return `arrival ${lie} was told "not run" after it had run`;
	}

	const refused = world.told.filter(told => told.outcome === 'not-run').map(told => told.arrival).toSet();
	const late = world.executions.find(execution => refused.has(world.sent.get(execution.attempt) ?? ''));
	return late === undefined ? undefined : `arrival ${world.sent.get(late.attempt)} was told "not run" and its attempt ${late.attempt} ran`;
};

const findForeign = (world: World): string | undefined => {
	const executed = Map(world.executions.map((execution): [string, string] => [execution.attempt, execution.request]));
	const foreign = world.told.find(told => told.text !== '' && executed.get(told.text) !== world.orders.get(told.arrival)?.billId);
	return foreign === undefined ? undefined : `arrival ${foreign.arrival} got the answer of attempt ${foreign.text}`;
};

const findDoubleAnswer = (world: World): string | undefined => {
	const repeated = findRepeated(world.told.map(told => told.arrival).toArray());
	return repeated === undefined ? undefined : `arrival ${repeated} was answered twice`;
};

const listRevisions = (world: World): readonly Revision[] => selectRows(world, 'config-revision').map(row => row.body as unknown as Revision);

const findConfigFault = (world: World): string | undefined => {
	if (world.hasReverted) {
		return 'a router went back to an older revision';
	}

	const written = new globalThis.Map(listRevisions(world).map(revision => [revision.revision, JSON.stringify(revision.changes)]));
	const foreign = world.routers.valueSeq().toArray()
		.flatMap(node => node.state.config.recent.toArray())
		.find(revision => !revision.isSnapshot && written.get(revision.revision) !== JSON.stringify(revision.changes));
	const skipped = world.routers.find(node => node.state.config.recent.some((revision, index) => index > 0 && revision.revision !== (node.state.config.recent.get(index - 1)?.revision ?? 0) + 1));
	const accepted = world.changes.filter(change => change.kind === 'config' && change.fault === undefined);
	const overwritten = findRepeated(accepted.map(change => String(change.revision)).toArray());
	return [
		foreign === undefined ? [] : [`revision ${foreign.revision} is in force though it was never accepted`],
		skipped === undefined ? [] : [`router ${skipped.state.incarnation} put revisions in force out of order`],
		overwritten === undefined ? [] : [`two changes were accepted as revision ${overwritten}`],
	].flat()[0];
};

/** The small specification: what no order of events may break. */
export const properties: readonly Property[] = [
	{name: 'spend never passes the budget', describeBreach: findOverspend},
	{name: 'answers never cost more than the budget', describeBreach: findUse},
	{name: 'a pot never promises what it does not hold', describeBreach: findNegative},
	{name: 'a request is billed once', describeBreach: findDoubleBill},
	{name: 'an act runs at most once', describeBreach: findDoubleAct},
	{name: '"not run" means that it did not run', describeBreach: findLie},
	{name: 'an answer goes to its own caller', describeBreach: findForeign},
	{name: 'a caller is answered once', describeBreach: findDoubleAnswer},
	{name: 'configuration never reverts', describeBreach: findConfigFault},
];

/**
Looks for a promise that a world breaks.

@param world - The world.
@returns The first one found.
*/
export const findViolation = (world: World): Violation | undefined => properties
	.flatMap(property => {
		const detail = property.describeBreach(world);
		return detail === undefined ? [] : [{property: property.name, detail}];
	})[0];

/** What must hold once faults have ended, all has been delivered and the routers have left. */
const findUnbilled = (world: World): string | undefined => {
	const billed = new Set(listBilled(world));
	const unbilled = world.told.filter(told => told.outcome === 'complete').find(told => !billed.has(world.orders.get(told.arrival)?.billId ?? ''));
	return unbilled === undefined ? undefined : `arrival ${unbilled.arrival} has its answer and no bill`;
};

const isStranded = (world: World): boolean => {
	const gone = listGone(world);
	return selectRows(world, 'router').some(row => row.state !== 'closed' && (row.body as {reach: readonly string[]}).reach.some(agent => gone.has(agent)));
};

const findStranded = (world: World): string | undefined => {
	const grant = listGrants(world).find(each => each.tokens > 0);
	const open = selectRows(world, 'router').find(row => row.state !== 'closed');
	const budget = selectRows(world, 'budget').find(row => {
		const billed = listBatches(world).filter(batch => batch.budget === row.id).reduce((sum, batch) => sum + sumBills(batch.bills), 0);
		return (row.body as BudgetBody).granted !== billed;
	});
	return [
		grant === undefined ? [] : [`router ${grant.router} still holds ${grant.tokens} tokens`],
		open === undefined ? [] : [`the row of router ${open.id} is ${open.state}`],
		budget === undefined ? [] : [`budget ${budget.id} has tokens that are neither billed nor free`],
	].flat()[0];
};

const findUnanswered = (world: World): string | undefined => {
	const told = new Set(world.told.map(each => each.arrival));
	const dead = new Set(world.routers.filter(node => !node.isAlive && node.state.phase !== 'closed').keys());
	const left = world.orders.keySeq().toArray().find(arrival => !told.has(arrival) && !world.left.has(arrival) && ![...dead].some(router => arrival.startsWith(`${router}:`)));
	return left === undefined ? undefined : `arrival ${left} was never answered`;
};

const findOpenClaim = (world: World): string | undefined => {
	const executed = new Set(world.executions.map(execution => execution.attempt));
	const claim = selectRows(world, 'claim').find(row => row.state === 'sent' && executed.has((row.body as {attempt: string}).attempt));
	return claim === undefined ? undefined : `claim ${claim.id} ran and is still open`;
};

const settledProperties: readonly Property[] = [
	{name: 'every answer is billed', describeBreach: findUnbilled},
	{name: 'every caller is answered', describeBreach: findUnanswered},
	{name: 'nothing that could be returned is stranded', describeBreach: findStranded},
	{name: 'every act that ran has its claim closed', describeBreach: findOpenClaim},
];

/**
Looks for something left undone in a world that has come to rest.

@param world - The world after its faults have ended and all was delivered.
@returns The first thing found. Where an agent is gone for good with a router that
had it in its reach, an operator has to decide, and only the safety properties count.
*/
export const findUnsettled = (world: World): Violation | undefined => {
	const unsafe = findViolation(world);
	if (unsafe !== undefined || isStranded(world)) {
		return unsafe;
	}

	return settledProperties
		.flatMap(property => {
			const detail = property.describeBreach(world);
			return detail === undefined ? [] : [{property: property.name, detail}];
		})[0];
};
