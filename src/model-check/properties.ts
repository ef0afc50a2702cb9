import {Map} from 'immutable';
import type {BillBatch} from '../bill/index.js';
import {sumBills} from '../bill/index.js';
import {countFreeTokens} from '../budget/index.js';
import type {BudgetBody, GrantBody} from '../budget/index.js';
import type {Revision} from '../config/index.js';
import type {Row} from '../table/index.js';
import {listEndedAgents} from './transitions.js';
import type {ClusterState} from './state.js';

/** A property that a state violates, with a description of the violation. */
export type Violation = Readonly<{property: string; detail: string}>;

/** A property that must hold in every reachable state. */
type Property = Readonly<{name: string; describeViolation: (cluster: ClusterState) => string | undefined}>;

const selectRows = (cluster: ClusterState, table: string): readonly Row[] => cluster.rows.valueSeq().toArray().filter(row => row.table === table);

const listBatches = (cluster: ClusterState): readonly BillBatch[] => selectRows(cluster, 'bill').map(row => row.body as BillBatch);

const listGrants = (cluster: ClusterState): readonly GrantBody[] => selectRows(cluster, 'grant').map(row => row.body as GrantBody);

/** Lists the requests that have been billed, with one entry per bill. */
const listBilled = (cluster: ClusterState): readonly string[] => listBatches(cluster).flatMap(batch => batch.bills.map(bill => bill.request));

const findDuplicate = (names: readonly string[]): string | undefined => names.find((name, index) => names.indexOf(name) !== index);

const findOverspend = (cluster: ClusterState): string | undefined => selectRows(cluster, 'budget')
	.map(row => {
		const {limit, granted} = row.body as BudgetBody;
		const billed = listBatches(cluster).filter(batch => batch.budget === row.id).reduce((sum, batch) => sum + sumBills(batch.bills), 0);
		const held = listGrants(cluster).filter(grant => grant.budget === row.id).reduce((sum, grant) => sum + grant.tokens, 0);
		return {
			id: row.id, limit, granted, billed, held,
		};
	})
	.filter(budget => budget.granted > budget.limit || budget.billed > budget.limit || budget.billed + budget.held > budget.granted)
	.map(budget => `budget ${budget.id}: limit ${budget.limit}, granted ${budget.granted}, billed ${budget.billed}, held ${budget.held}`)[0];

/** Complete responses never cost more than the limit, whether or not they have been billed yet. */
const findExcessResponses = (cluster: ClusterState): string | undefined => {
	const executedTokens = cluster.executions.size * cluster.costTokens;
	const limit = selectRows(cluster, 'budget').reduce((sum, row) => sum + (row.body as BudgetBody).limit, 0);
	const answeredTokens = cluster.responses.filter(response => response.outcome === 'complete').map(response => cluster.requestSpecs.get(response.arrival)?.billId).toSet().size * cluster.costTokens;
	return answeredTokens > limit && cluster.requestSpecs.every(spec => spec.cap > 0) ? `complete responses cost ${answeredTokens} of ${limit} tokens; attempts used ${executedTokens}` : undefined;
};

const findOvercommittedGrant = (cluster: ClusterState): string | undefined => cluster.routers.valueSeq().toArray()
	.flatMap(node => node.state.pots.valueSeq().toArray().map(grant => ({router: node.state.incarnation, grant})))
	.filter(({grant}) => countFreeTokens(grant) < 0 || grant.reserved < 0)
	.map(({router, grant}) => `router ${router}: grant of budget ${grant.budget} has ${countFreeTokens(grant)} tokens free and ${grant.reserved} reserved`)[0];

const findDuplicateBill = (cluster: ClusterState): string | undefined => {
	const duplicate = findDuplicate(listBilled(cluster));
	return duplicate === undefined ? undefined : `request ${duplicate} was billed twice`;
};

const findRepeatedAct = (cluster: ClusterState): string | undefined => {
	const duplicate = findDuplicate(cluster.executions.toArray().flatMap(execution => execution.claimKey ?? []));
	return duplicate === undefined ? undefined : `the act under idempotency key ${duplicate} ran twice`;
};

const findFalseNotRun = (cluster: ClusterState): string | undefined => {
	const falseNotRun = cluster.falseNotRuns.first();
	if (falseNotRun !== undefined) {
		return `arrival ${falseNotRun} got "not run" although it had run`;
	}

	const notRunArrivals = cluster.responses.filter(response => response.outcome === 'not-run').map(response => response.arrival).toSet();
	const contradicting = cluster.executions.find(execution => notRunArrivals.has(cluster.arrivalByAttempt.get(execution.attempt) ?? ''));
	return contradicting === undefined ? undefined : `arrival ${cluster.arrivalByAttempt.get(contradicting.attempt)} got "not run" but its attempt ${contradicting.attempt} ran`;
};

const findMisroutedResponse = (cluster: ClusterState): string | undefined => {
	const executed = Map(cluster.executions.map((execution): [string, string] => [execution.attempt, execution.request]));
	const misrouted = cluster.responses.find(response => response.text !== '' && executed.get(response.text) !== cluster.requestSpecs.get(response.arrival)?.billId);
	return misrouted === undefined ? undefined : `arrival ${misrouted.arrival} got the response of attempt ${misrouted.text}, which did not run for it`;
};

const findDuplicateResponse = (cluster: ClusterState): string | undefined => {
	const duplicate = findDuplicate(cluster.responses.map(response => response.arrival).toArray());
	return duplicate === undefined ? undefined : `arrival ${duplicate} got two responses`;
};

const listRevisions = (cluster: ClusterState): readonly Revision[] => selectRows(cluster, 'config-revision').map(row => row.body as unknown as Revision);

const findConfigViolation = (cluster: ClusterState): string | undefined => {
	if (cluster.hasReverted) {
		return 'a router reverted to an older configuration revision';
	}

	const writtenChanges = new globalThis.Map(listRevisions(cluster).map(revision => [revision.revision, JSON.stringify(revision.changes)]));
	const unwritten = cluster.routers.valueSeq().toArray()
		.flatMap(node => node.state.config.recent.toArray())
		.find(revision => !revision.isSnapshot && writtenChanges.get(revision.revision) !== JSON.stringify(revision.changes));
	const unordered = cluster.routers.find(node => node.state.config.recent.some((revision, index) => index > 0 && revision.revision !== (node.state.config.recent.get(index - 1)?.revision ?? 0) + 1));
	const accepted = cluster.changes.filter(change => change.kind === 'config' && change.fault === undefined);
	const conflicting = findDuplicate(accepted.map(change => String(change.revision)).toArray());
	return [
		unwritten === undefined ? [] : [`revision ${unwritten.revision} is in force but was never accepted`],
		unordered === undefined ? [] : [`router ${unordered.state.incarnation} applied revisions out of order`],
		conflicting === undefined ? [] : [`two changes were accepted as revision ${conflicting}`],
	].flat()[0];
};

/** The specification: safety properties that must hold after every order of events. */
export const properties: readonly Property[] = [
	{name: 'spending never exceeds the budget', describeViolation: findOverspend},
	{name: 'responses never cost more than the budget', describeViolation: findExcessResponses},
	{name: 'a grant never reserves more tokens than it has', describeViolation: findOvercommittedGrant},
	{name: 'a request is billed at most once', describeViolation: findDuplicateBill},
	{name: 'an act runs at most once', describeViolation: findRepeatedAct},
	{name: 'a request reported as "not run" never runs', describeViolation: findFalseNotRun},
	{name: 'a response goes to the client that sent the request', describeViolation: findMisroutedResponse},
	{name: 'a client gets at most one response', describeViolation: findDuplicateResponse},
	{name: 'the configuration never reverts', describeViolation: findConfigViolation},
];

/**
Finds a safety property that a state violates.

@param cluster - The state of the cluster.
@returns The first violation found, or undefined.
*/
export const findViolation = (cluster: ClusterState): Violation | undefined => properties
	.flatMap(property => {
		const detail = property.describeViolation(cluster);
		return detail === undefined ? [] : [{property: property.name, detail}];
	})[0];

/** Like the checks below, holds once faults have ended, all messages are delivered and the routers have shut down. */
const findUnbilled = (cluster: ClusterState): string | undefined => {
	const billed = new Set(listBilled(cluster));
	const unbilled = cluster.responses.filter(response => response.outcome === 'complete').find(response => !billed.has(cluster.requestSpecs.get(response.arrival)?.billId ?? ''));
	return unbilled === undefined ? undefined : `arrival ${unbilled.arrival} got a complete response but was not billed`;
};

const hasEndedAgents = (cluster: ClusterState): boolean => {
	const endedAgents = listEndedAgents(cluster);
	return selectRows(cluster, 'router').some(row => row.state !== 'closed' && (row.body as {reach: readonly string[]}).reach.some(agent => endedAgents.has(agent)));
};

const findUnreturned = (cluster: ClusterState): string | undefined => {
	const grant = listGrants(cluster).find(each => each.tokens > 0);
	const open = selectRows(cluster, 'router').find(row => row.state !== 'closed');
	const budget = selectRows(cluster, 'budget').find(row => {
		const billed = listBatches(cluster).filter(batch => batch.budget === row.id).reduce((sum, batch) => sum + sumBills(batch.bills), 0);
		return (row.body as BudgetBody).granted !== billed;
	});
	return [
		grant === undefined ? [] : [`router ${grant.router} still holds ${grant.tokens} tokens`],
		open === undefined ? [] : [`the row of router ${open.id} is ${open.state} instead of closed`],
		budget === undefined ? [] : [`budget ${budget.id} has granted tokens that are neither billed nor returned`],
	].flat()[0];
};

const findUnanswered = (cluster: ClusterState): string | undefined => {
	const answered = new Set(cluster.responses.map(each => each.arrival));
	const down = new Set(cluster.routers.filter(node => !node.isAlive && node.state.phase !== 'closed').keys());
	const unanswered = cluster.requestSpecs.keySeq().toArray().find(arrival => !answered.has(arrival) && !cluster.departed.has(arrival) && ![...down].some(router => arrival.startsWith(`${router}:`)));
	return unanswered === undefined ? undefined : `arrival ${unanswered} got no response`;
};

const findOpenClaim = (cluster: ClusterState): string | undefined => {
	const executed = new Set(cluster.executions.map(execution => execution.attempt));
	const claim = selectRows(cluster, 'claim').find(row => row.state === 'sent' && executed.has((row.body as {attempt: string}).attempt));
	return claim === undefined ? undefined : `claim ${claim.id} is still open although its attempt ran`;
};

const livenessProperties: readonly Property[] = [
	{name: 'every complete response is billed', describeViolation: findUnbilled},
	{name: 'every client gets a response', describeViolation: findUnanswered},
	{name: 'all unused tokens are returned', describeViolation: findUnreturned},
	{name: 'the claim of every act that ran is closed', describeViolation: findOpenClaim},
];

/**
Finds a property that a settled cluster violates.

@param cluster - The state after faults have ended and all messages are delivered.
@returns The first violation found, or undefined. If a router that is not closed
still lists an agent incarnation that has ended, an operator has to resolve it,
and only the safety properties are checked.
*/
export const findSettledViolation = (cluster: ClusterState): Violation | undefined => {
	const safetyViolation = findViolation(cluster);
	if (safetyViolation !== undefined || hasEndedAgents(cluster)) {
		return safetyViolation;
	}

	return livenessProperties
		.flatMap(property => {
			const detail = property.describeViolation(cluster);
			return detail === undefined ? [] : [{property: property.name, detail}];
		})[0];
};
