import {sumBills} from '../bill/index.js';
import type {BillBatch} from '../bill/index.js';
import type {BudgetBody, GrantBody} from '../budget/index.js';
import {computeExpectedAnswer} from '../standin/index.js';
import type {Deployment, OrganisationSpec} from './deployments.js';
import {waitFor} from './fleet.js';
import type {Fleet} from './fleet.js';

/** The outcome of one check of the demonstration: what is checked, whether it passed, and the figures behind it. */
export type CheckResult = Readonly<{description: string; hasPassed: boolean; detail: string}>;

/** A response as the client received it. */
type ClientResponse = Readonly<{
	organisation: string;
	requestId: string;
	status: number;
	outcome: string;
	text: string;
}>;

type ChatBody = Readonly<{
	choices?: ReadonlyArray<Readonly<{delta?: Readonly<{content?: string}>; message?: Readonly<{content?: string}>}>>;
	galena?: Readonly<{outcome?: string}>;
}>;

const requestCount = 60;
const maxOutputTokens = 64;
const breakAfterTokens = 25;

const pickRouterAddress = (fleet: Fleet, index: number): string => fleet.routers[index % fleet.routers.length]?.address ?? '';

const readStream = (text: string): Readonly<{content: string; outcome: string}> => {
	const events = text.split('\n').filter(line => line.startsWith('data: {')).map(line => JSON.parse(line.slice(6)) as ChatBody);
	return {
		content: events.map(event => event.choices?.[0]?.delta?.content ?? '').join(''),
		outcome: text.includes('data: [DONE]') ? events.at(-1)?.galena?.outcome ?? '' : 'unknown',
	};
};

const readChat = (text: string): string => (JSON.parse(text) as ChatBody).choices?.[0]?.message?.content ?? '';

type ChatRequest = Readonly<{organisation: OrganisationSpec; model: string; content: string; isStream: boolean}>;

/** Sends a chat request to a router and reads the complete response. */
const sendChat = async (address: string, request: ChatRequest): Promise<ClientResponse> => {
	const response = await fetch(`http://${address}/v1/chat/completions`, {
		method: 'POST',
		headers: {authorization: `Bearer ${request.organisation.key}`, 'content-type': 'application/json'},
		body: JSON.stringify({
			model: request.model, messages: [{role: 'user', content: request.content}], stream: request.isStream, max_tokens: maxOutputTokens,
		}),
	});
	const text = await response.text();
	const isStream = response.headers.get('content-type') === 'text/event-stream';
	const stream = isStream ? readStream(text) : undefined;
	const content = response.ok && stream === undefined ? readChat(text) : '';
	return {
		organisation: request.organisation.name,
		requestId: response.headers.get('galena-request-id') ?? '',
		status: response.status,
		outcome: stream?.outcome ?? response.headers.get('galena-outcome') ?? '',
		text: stream?.content ?? content,
	};
};

const isExpectedAnswer = (response: ClientResponse, content: string): boolean =>
	response.outcome === 'complete' && response.text === computeExpectedAnswer([{role: 'user', content}], maxOutputTokens);

/** Sends a service call with an idempotency key to a router. */
const sendServiceCall = async (address: string, organisation: OrganisationSpec, path: string, key: string): Promise<ClientResponse> => {
	const response = await fetch(`http://${address}${path}`, {
		method: 'POST',
		headers: {authorization: `Bearer ${organisation.key}`, 'content-type': 'application/json', 'idempotency-key': key},
		body: JSON.stringify({item: key}),
	});
	return {
		organisation: organisation.name,
		requestId: response.headers.get('galena-request-id') ?? '',
		status: response.status,
		outcome: response.headers.get('galena-outcome') ?? '',
		text: await response.text(),
	};
};

const servicePaths: Readonly<Record<string, string>> = {studio: '/v1/services/shop/orders', association: '/v1/services/filing-desk/lodgings'};

const countExecutions = (fleet: Fleet): number => fleet.replicas.reduce((sum, replica) => sum + (replica.service?.executions().length ?? 0), 0);

const findEngineModel = (deployment: Deployment): string => deployment.pools.find(pool => pool.kind === 'engine')?.model ?? '';

const checkAnswers = async (fleet: Fleet, responses: ClientResponse[]): Promise<CheckResult> => {
	const {organisations} = fleet.deployment;
	const requests = Array.from({length: requestCount}, (_, index): ChatRequest => ({
		organisation: organisations[index % (organisations.length - 1)]!, model: findEngineModel(fleet.deployment), content: `question ${index}`, isStream: index % 2 === 0,
	}));
	const answers = await Promise.all(requests.map(async (request, index) => sendChat(pickRouterAddress(fleet, index), request)));
	responses.push(...answers);
	const completeCount = answers.filter((answer, index) => isExpectedAnswer(answer, requests[index]?.content ?? '')).length;
	return {description: 'clients get the complete answer to their own request', hasPassed: completeCount === requestCount, detail: `${completeCount} of ${requestCount}, half of them streamed`};
};

const checkResumption = async (fleet: Fleet, responses: ClientResponse[]): Promise<CheckResult> => {
	const [organisation] = fleet.deployment.organisations;
	fleet.replicas.forEach(replica => replica.engine?.faults.set({breakStreams: 1, breakAfter: breakAfterTokens}));
	const content = 'a question whose stream breaks';
	const answer = await sendChat(pickRouterAddress(fleet, 0), {
		organisation: organisation!, model: findEngineModel(fleet.deployment), content, isStream: true,
	});
	fleet.replicas.forEach(replica => replica.engine?.faults.set({breakStreams: 0}));
	responses.push(answer);
	const engineCount = fleet.replicas.filter(replica => replica.engine !== undefined).length;
	const detail = `broken off after ${breakAfterTokens} tokens at the first of ${engineCount} engines, outcome ${answer.outcome}`;
	return {description: 'a stream that the engine breaks off is resumed', hasPassed: isExpectedAnswer(answer, content), detail};
};

const checkDeduplication = async (fleet: Fleet, responses: ClientResponse[]): Promise<CheckResult> => {
	const [organisation] = fleet.deployment.organisations;
	const path = servicePaths[fleet.deployment.name] ?? '';
	const before = countExecutions(fleet);
	const sent = await Promise.all([0, 1].map(async index => sendServiceCall(pickRouterAddress(fleet, index), organisation!, path, 'once')));
	const repeated = await sendServiceCall(pickRouterAddress(fleet, 2), organisation!, path, 'once');
	responses.push(...sent.filter(answer => answer.outcome === 'complete').slice(0, 1));
	const executionCount = countExecutions(fleet) - before;
	return {
		description: 'a non-idempotent call sent three times under one key is executed once',
		hasPassed: executionCount === 1 && repeated.status === 201,
		detail: `executed ${executionCount} time(s); status ${[...sent, repeated].map(answer => answer.status).join(', ')}`,
	};
};

const checkLostReply = async (fleet: Fleet): Promise<CheckResult> => {
	const [organisation] = fleet.deployment.organisations;
	const path = servicePaths[fleet.deployment.name] ?? '';
	const before = countExecutions(fleet);
	fleet.replicas.forEach(replica => replica.service?.faults.set({loseReplies: 1}));
	const first = await sendServiceCall(pickRouterAddress(fleet, 0), organisation!, path, 'lost');
	const second = await sendServiceCall(pickRouterAddress(fleet, 1), organisation!, path, 'lost');
	fleet.replicas.forEach(replica => replica.service?.faults.set({loseReplies: 0}));
	const executionCount = countExecutions(fleet) - before;
	const hasPassed = executionCount === 1 && first.outcome === 'unknown' && second.outcome === 'unknown';
	return {description: 'a non-idempotent call whose reply is lost is not retried', hasPassed, detail: `executed ${executionCount} time(s); the first client got outcome "${first.outcome}"`};
};

/** Exhausts a small budget through all routers concurrently. */
const checkBudgetExhaustion = async (fleet: Fleet, responses: ClientResponse[]): Promise<CheckResult> => {
	const organisation = fleet.deployment.organisations.at(-1)!;
	const answers = await Promise.all(Array.from({length: requestCount}, async (_, index) => sendChat(pickRouterAddress(fleet, index), {
		organisation, model: findEngineModel(fleet.deployment), content: `small ${index}`, isStream: false,
	})));
	responses.push(...answers.filter(answer => answer.status === 200));
	const refusedCount = answers.filter(answer => answer.status === 402 && answer.outcome === 'not-run').length;
	const servedCount = answers.filter(answer => answer.status === 200).length;
	return {
		description: 'requests beyond an exhausted budget are refused with outcome "not-run"',
		hasPassed: refusedCount > 0 && refusedCount + servedCount === requestCount,
		detail: `${servedCount} served, ${refusedCount} refused with 402`,
	};
};

/** Drains an agent with requests in flight: they complete, and no new ones start there. */
const checkAgentDrain = async (fleet: Fleet, responses: ClientResponse[]): Promise<CheckResult> => {
	const [organisation] = fleet.deployment.organisations;
	const drainingReplica = fleet.replicas.find(replica => replica.engine !== undefined)!;
	const requests = Array.from({length: requestCount / 2}, (_, index) => `leaving ${index}`);
	const pendingResponses = requests.map(async (content, index) => sendChat(pickRouterAddress(fleet, index), {
		organisation: organisation!, model: findEngineModel(fleet.deployment), content, isStream: true,
	}));
	const drainCompletion = drainingReplica.agent.drain();
	const answers = await Promise.all(pendingResponses);
	responses.push(...answers);
	await drainCompletion;
	const completeCount = answers.filter((answer, index) => isExpectedAnswer(answer, requests[index] ?? '')).length;
	return {description: 'draining an agent interrupts no request', hasPassed: completeCount === requests.length, detail: `${completeCount} of ${requests.length} complete`};
};

/** Factor by which engines are slowed down to keep streams open. */
const slowdownFactor = 20;

const setEngineSlowness = (fleet: Fleet, slowness: number) => {
	fleet.replicas.forEach(replica => replica.engine?.faults.set({slowness}));
};

/** Shuts a router down with streams open: the streams complete, and the router returns its grants. */
const checkRouterShutdown = async (fleet: Fleet, responses: ClientResponse[]): Promise<CheckResult> => {
	const [, organisation] = fleet.deployment.organisations;
	const router = fleet.routers.at(-1)!;
	const requests = Array.from({length: 8}, (_, index) => `shutdown ${index}`);
	setEngineSlowness(fleet, slowdownFactor);
	const pendingResponses = requests.map(async content => sendChat(router.address, {
		organisation: organisation!, model: findEngineModel(fleet.deployment), content, isStream: true,
	}));
	await waitFor('streams to open', () => router.getState().attempts.size === requests.length);
	const drainCompletion = router.drain();
	setEngineSlowness(fleet, 1);
	const answers = await Promise.all(pendingResponses);
	responses.push(...answers);
	await drainCompletion;
	const completeCount = answers.filter((answer, index) => isExpectedAnswer(answer, requests[index] ?? '')).length;
	const {incarnation} = router.getState();
	const held = listRows(fleet, 'grant').map(row => row.body as GrantBody).filter(grant => grant.router === incarnation).reduce((sum, grant) => sum + grant.tokens, 0);
	return {
		description: 'a graceful shutdown of a router completes its streams and returns its grants',
		hasPassed: completeCount === requests.length && held === 0,
		detail: `${completeCount} of ${requests.length} complete, ${held} tokens not returned`,
	};
};

const listRows = (fleet: Fleet, table: string) => fleet.table.rows().valueSeq().toArray().filter(row => row.table === table);

const listBillBatches = (fleet: Fleet): readonly BillBatch[] => listRows(fleet, 'bill').map(row => row.body as BillBatch);

const checkBilling = async (fleet: Fleet, responses: readonly ClientResponse[]): Promise<CheckResult> => {
	const countUnbilled = () => {
		const billed = new Set(listBillBatches(fleet).flatMap(batch => batch.bills.map(bill => bill.request)));
		return responses.filter(answer => !billed.has(answer.requestId)).length;
	};

	try {
		await waitFor('every bill to be durable', () => countUnbilled() === 0, 15_000);
	} catch {
		// The check result reports how many are missing after the timeout.
	}

	const billedRequests = listBillBatches(fleet).flatMap(batch => batch.bills.map(bill => bill.request));
	const duplicateCount = billedRequests.length - new Set(billedRequests).size;
	return {
		description: 'every answered request is billed exactly once',
		hasPassed: countUnbilled() === 0 && duplicateCount === 0,
		detail: `${responses.length} answered, ${countUnbilled()} unbilled, ${duplicateCount} billed twice`,
	};
};

const checkBudgets = (fleet: Fleet): CheckResult => {
	const overspent = listRows(fleet, 'budget').filter(row => {
		const {limit, granted} = row.body as BudgetBody;
		const spent = listBillBatches(fleet).filter(batch => batch.budget === row.id).reduce((sum, batch) => sum + sumBills(batch.bills), 0);
		const held = listRows(fleet, 'grant').map(grant => grant.body as GrantBody).filter(grant => grant.budget === row.id).reduce((sum, grant) => sum + grant.tokens, 0);
		return spent > limit || granted > limit || spent + held > granted;
	});
	return {description: 'no budget is overspent', hasPassed: overspent.length === 0, detail: `${overspent.length} of ${listRows(fleet, 'budget').length} budgets overspent`};
};

/**
Runs a sample workload through a fleet and checks its guarantees.

@param fleet - A running fleet.
@returns The results of the checks, in the order in which they ran.
*/
export const runDemo = async (fleet: Fleet): Promise<readonly CheckResult[]> => {
	const responses: ClientResponse[] = [];
	return [
		await checkAnswers(fleet, responses),
		await checkResumption(fleet, responses),
		await checkDeduplication(fleet, responses),
		await checkLostReply(fleet),
		await checkBudgetExhaustion(fleet, responses),
		await checkAgentDrain(fleet, responses),
		await checkRouterShutdown(fleet, responses),
		await checkBilling(fleet, responses),
		checkBudgets(fleet),
	];
};
