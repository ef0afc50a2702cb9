import {sumBills} from '../bill/index.js';
import type {BillBatch} from '../bill/index.js';
import type {BudgetBody, GrantBody} from '../budget/index.js';
import {expectAnswer} from '../standin/index.js';
import type {Deployment, OrganisationPlan} from './deployments.js';
import {waitFor} from './fleet.js';
import type {Fleet} from './fleet.js';

/** One thing that the demonstration shows, and whether it went as promised. */
export type Finding = Readonly<{what: string; isGood: boolean; detail: string}>;

/** A request as a caller saw it. */
type Seen = Readonly<{
	organisation: string;
	requestId: string;
	status: number;
	outcome: string;
	text: string;
}>;

type Chat = Readonly<{
	choices?: ReadonlyArray<Readonly<{delta?: Readonly<{content?: string}>; message?: Readonly<{content?: string}>}>>;
	galena?: Readonly<{outcome?: string}>;
}>;

const chatCount = 60;
const outputCap = 64; // Tokens
const cutAfter = 25; // Tokens

const pickRouter = (fleet: Fleet, index: number): string => fleet.routers[index % fleet.routers.length]?.address ?? '';

const readStream = (text: string): Readonly<{content: string; outcome: string}> => {
	const events = text.split('\n').filter(line => line.startsWith('data: {')).map(line => JSON.parse(line.slice(6)) as Chat);
	return {
		content: events.map(event => event.choices?.[0]?.delta?.content ?? '').join(''),
		outcome: text.includes('data: [DONE]') ? events.at(-1)?.galena?.outcome ?? '' : 'unknown',
	};
};

const readChat = (text: string): string => (JSON.parse(text) as Chat).choices?.[0]?.message?.content ?? '';

type Question = Readonly<{organisation: OrganisationPlan; model: string; content: string; isStream: boolean}>;

/** Asks a question as a caller does, and reads the whole answer. */
const askChat = async (address: string, question: Question): Promise<Seen> => {
	const response = await fetch(`http://${address}/v1/chat/completions`, {
		method: 'POST',
		headers: {authorization: `Bearer ${question.organisation.key}`, 'content-type': 'application/json'},
		body: JSON.stringify({
			model: question.model, messages: [{role: 'user', content: question.content}], stream: question.isStream, max_tokens: outputCap,
		}),
	});
	const text = await response.text();
	const isStream = response.headers.get('content-type') === 'text/event-stream';
	const stream = isStream ? readStream(text) : undefined;
	const content = response.ok && stream === undefined ? readChat(text) : '';
	return {
		organisation: question.organisation.name,
		requestId: response.headers.get('galena-request-id') ?? '',
		status: response.status,
		outcome: stream?.outcome ?? response.headers.get('galena-outcome') ?? '',
		text: stream?.content ?? content,
	};
};

const isWhole = (seen: Seen, content: string): boolean =>
	seen.outcome === 'complete' && seen.text === expectAnswer([{role: 'user', content}], outputCap);

/** Carries out an act as a caller does. */
const sendAct = async (address: string, organisation: OrganisationPlan, path: string, key: string): Promise<Seen> => {
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

const actPaths: Readonly<Record<string, string>> = {studio: '/v1/services/shop/orders', association: '/v1/services/filing-desk/lodgings'};

const countExecutions = (fleet: Fleet): number => fleet.replicas.reduce((sum, replica) => sum + (replica.service?.executions().length ?? 0), 0);

const findModel = (deployment: Deployment): string => deployment.pools.find(pool => pool.kind === 'engine')?.model ?? '';

const showAnswers = async (fleet: Fleet, seen: Seen[]): Promise<Finding> => {
	const {organisations} = fleet.deployment;
	const questions = Array.from({length: chatCount}, (_, index): Question => ({
		organisation: organisations[index % (organisations.length - 1)]!, model: findModel(fleet.deployment), content: `question ${index}`, isStream: index % 2 === 0,
	}));
	const answers = await Promise.all(questions.map(async (question, index) => askChat(pickRouter(fleet, index), question)));
	seen.push(...answers);
	const whole = answers.filter((answer, index) => isWhole(answer, questions[index]?.content ?? '')).length;
	return {what: 'callers get the whole answer to their own question', isGood: whole === chatCount, detail: `${whole} of ${chatCount}, half of them streamed`};
};

const showResumption = async (fleet: Fleet, seen: Seen[]): Promise<Finding> => {
	const [organisation] = fleet.deployment.organisations;
	fleet.replicas.forEach(replica => replica.engine?.faults.set({breakStreams: 1, breakAfter: cutAfter}));
	const content = 'a question whose stream breaks';
	const answer = await askChat(pickRouter(fleet, 0), {
		organisation: organisation!, model: findModel(fleet.deployment), content, isStream: true,
	});
	fleet.replicas.forEach(replica => replica.engine?.faults.set({breakStreams: 0}));
	seen.push(answer);
	const broken = fleet.replicas.filter(replica => replica.engine !== undefined).length;
	const detail = `cut after ${cutAfter} tokens at the first of ${broken} engines, outcome ${answer.outcome}`;
	return {what: 'a stream that breaks at the engine is resumed', isGood: isWhole(answer, content), detail};
};

const showAct = async (fleet: Fleet, seen: Seen[]): Promise<Finding> => {
	const [organisation] = fleet.deployment.organisations;
	const path = actPaths[fleet.deployment.name] ?? '';
	const before = countExecutions(fleet);
	const sent = await Promise.all([0, 1].map(async index => sendAct(pickRouter(fleet, index), organisation!, path, 'once')));
	const again = await sendAct(pickRouter(fleet, 2), organisation!, path, 'once');
	seen.push(...sent.filter(answer => answer.outcome === 'complete').slice(0, 1));
	const ran = countExecutions(fleet) - before;
	return {what: 'an act sent three times runs once', isGood: ran === 1 && again.status === 201, detail: `ran ${ran} time(s); answers ${[...sent, again].map(answer => answer.status).join(', ')}`};
};

const showUnknown = async (fleet: Fleet): Promise<Finding> => {
	const [organisation] = fleet.deployment.organisations;
	const path = actPaths[fleet.deployment.name] ?? '';
	const before = countExecutions(fleet);
	fleet.replicas.forEach(replica => replica.service?.faults.set({loseReplies: 1}));
	const first = await sendAct(pickRouter(fleet, 0), organisation!, path, 'lost');
	const second = await sendAct(pickRouter(fleet, 1), organisation!, path, 'lost');
	fleet.replicas.forEach(replica => replica.service?.faults.set({loseReplies: 0}));
	const ran = countExecutions(fleet) - before;
	const isGood = ran === 1 && first.outcome === 'unknown' && second.outcome === 'unknown';
	return {what: 'an act whose reply is lost is never run again', isGood, detail: `ran ${ran} time(s); both callers are told "${first.outcome}"`};
};

/** Uses a small budget up, from every router at once. */
const showExhaustion = async (fleet: Fleet, seen: Seen[]): Promise<Finding> => {
	const organisation = fleet.deployment.organisations.at(-1)!;
	const answers = await Promise.all(Array.from({length: chatCount}, async (_, index) => askChat(pickRouter(fleet, index), {
		organisation, model: findModel(fleet.deployment), content: `small ${index}`, isStream: false,
	})));
	seen.push(...answers.filter(answer => answer.status === 200));
	const refused = answers.filter(answer => answer.status === 402 && answer.outcome === 'not-run').length;
	const served = answers.filter(answer => answer.status === 200).length;
	return {what: 'a budget that runs out refuses with "not run"', isGood: refused > 0 && refused + served === chatCount, detail: `${served} served, ${refused} refused with 402`};
};

/** An agent leaves while it works: what runs there ends, and nothing new begins. */
const showLeaving = async (fleet: Fleet, seen: Seen[]): Promise<Finding> => {
	const [organisation] = fleet.deployment.organisations;
	const leaving = fleet.replicas.find(replica => replica.engine !== undefined)!;
	const questions = Array.from({length: chatCount / 2}, (_, index) => `leaving ${index}`);
	const asked = questions.map(async (content, index) => askChat(pickRouter(fleet, index), {
		organisation: organisation!, model: findModel(fleet.deployment), content, isStream: true,
	}));
	const drained = leaving.agent.drain();
	const answers = await Promise.all(asked);
	seen.push(...answers);
	await drained;
	const whole = answers.filter((answer, index) => isWhole(answer, questions[index] ?? '')).length;
	return {what: 'an agent that leaves interrupts nothing', isGood: whole === questions.length, detail: `${whole} of ${questions.length} whole`};
};

/** How many times slower engines get while streams have to stay open. */
const slowEngine = 20;

const setSlowness = (fleet: Fleet, slowness: number) => {
	fleet.replicas.forEach(replica => replica.engine?.faults.set({slowness}));
};

/** A router shuts down with streams open: they end, and it returns what it holds. */
const showShutdown = async (fleet: Fleet, seen: Seen[]): Promise<Finding> => {
	const [, organisation] = fleet.deployment.organisations;
	const router = fleet.routers.at(-1)!;
	const questions = Array.from({length: 8}, (_, index) => `shutdown ${index}`);
	setSlowness(fleet, slowEngine);
	const asked = questions.map(async content => askChat(router.address, {
		organisation: organisation!, model: findModel(fleet.deployment), content, isStream: true,
	}));
	await waitFor('streams to open', () => router.getState().attempts.size === questions.length);
	const drained = router.drain();
	setSlowness(fleet, 1);
	const answers = await Promise.all(asked);
	seen.push(...answers);
	await drained;
	const whole = answers.filter((answer, index) => isWhole(answer, questions[index] ?? '')).length;
	const {incarnation} = router.getState();
	const held = listRows(fleet, 'grant').map(row => row.body as GrantBody).filter(grant => grant.router === incarnation).reduce((sum, grant) => sum + grant.tokens, 0);
	return {
		what: 'a router that shuts down finishes its streams and returns its grants',
		isGood: whole === questions.length && held === 0,
		detail: `${whole} of ${questions.length} whole, ${held} tokens left behind`,
	};
};

const listRows = (fleet: Fleet, table: string) => fleet.table.rows().valueSeq().toArray().filter(row => row.table === table);

const listBatches = (fleet: Fleet): readonly BillBatch[] => listRows(fleet, 'bill').map(row => row.body as BillBatch);

const checkBills = async (fleet: Fleet, seen: readonly Seen[]): Promise<Finding> => {
	const countMissing = () => {
		const billed = new Set(listBatches(fleet).flatMap(batch => batch.bills.map(bill => bill.request)));
		return seen.filter(answer => !billed.has(answer.requestId)).length;
	};

	try {
		await waitFor('every bill to be durable', () => countMissing() === 0, 15_000);
	} catch {
		// The finding tells how many are missing.
	}

	const all = listBatches(fleet).flatMap(batch => batch.bills.map(bill => bill.request));
	const doubled = all.length - new Set(all).size;
	return {what: 'every answered request is billed once', isGood: countMissing() === 0 && doubled === 0, detail: `${seen.length} answered, ${countMissing()} unbilled, ${doubled} billed twice`};
};

const checkSpend = (fleet: Fleet): Finding => {
	const over = listRows(fleet, 'budget').filter(row => {
		const {limit, granted} = row.body as BudgetBody;
		const spent = listBatches(fleet).filter(batch => batch.budget === row.id).reduce((sum, batch) => sum + sumBills(batch.bills), 0);
		const held = listRows(fleet, 'grant').map(grant => grant.body as GrantBody).filter(grant => grant.budget === row.id).reduce((sum, grant) => sum + grant.tokens, 0);
		return spent > limit || granted > limit || spent + held > granted;
	});
	return {what: 'no budget is overspent', isGood: over.length === 0, detail: `${over.length} of ${listRows(fleet, 'budget').length} budgets overspent`};
};

/**
Runs sample work through a fleet and checks what was promised.

@param fleet - A running fleet.
@returns What was found, in order.
*/
export const runDemo = async (fleet: Fleet): Promise<readonly Finding[]> => {
	const seen: Seen[] = [];
	return [
		await showAnswers(fleet, seen),
		await showResumption(fleet, seen),
		await showAct(fleet, seen),
		await showUnknown(fleet),
		await showExhaustion(fleet, seen),
		await showLeaving(fleet, seen),
		await showShutdown(fleet, seen),
		await checkBills(fleet, seen),
		checkSpend(fleet),
	];
};
