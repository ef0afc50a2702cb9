import {readFileSync} from 'node:fs';
import {randomUUID} from 'node:crypto';
import type {ConfigDocument} from '../config/index.js';
import {formatLine} from '../log/index.js';
import type {Field} from '../log/index.js';
import {sleep} from '../loop/index.js';
import type {Json} from '../table/index.js';
import type {OperatorClient, OperatorReply} from './client.js';
import {parseConfigFile} from './config-file.js';

/** What a command came to: lines for a person, and the same as JSON. */
export type Outcome = Readonly<{isDone: boolean; lines: readonly string[]; json: Json}>;

type Fields = Readonly<Record<string, Json | undefined>>;

const describeFailure = (reply: OperatorReply): Outcome => {
	const {kind, detail} = reply.body as Readonly<{kind: string; detail: string}>;
	return {isDone: false, lines: [`${kind}: ${detail}`], json: reply.body};
};

const isGood = (reply: OperatorReply): boolean => reply.status < 300;

const describeFields = (fields: Fields): string => formatLine(Object.fromEntries(Object.entries(fields).map(([key, value]): [string, Field] =>
	[key, typeof value === 'object' && value !== null ? JSON.stringify(value) : value ?? undefined])));

const describeReply = (reply: OperatorReply): Outcome => isGood(reply)
	? {isDone: true, lines: [describeFields(reply.body as Fields)], json: reply.body}
	: describeFailure(reply);

/**
Shows the configuration in force.

@param client - The router.
@returns The outcome.
*/
export const showConfig = async (client: OperatorClient): Promise<Outcome> => {
	const reply = await client.call('GET', '/operator/v1/config');
	return isGood(reply) ? {isDone: true, lines: [JSON.stringify(reply.body, undefined, 2)], json: reply.body} : describeFailure(reply);
};

type Current = Readonly<{revision: number; config: ConfigDocument}>;

const putConfig = async (client: OperatorClient, base: number, config: ConfigDocument, why: string): Promise<OperatorReply> =>
	client.call('PUT', `/operator/v1/config?why=${encodeURIComponent(why)}`, config, {'if-match': String(base)});

type Status = Readonly<{
	router: string;
	revision: number;
	peers: ReadonlyArray<Readonly<{router: string; address: string; revision: number}>>;
	agents: ReadonlyArray<Readonly<{agent: string; address: string; link: string; revision: number}>>;
}>;

/** Names each host that a revision has not reached yet. */
const listBehind = (status: Status, revision: number): readonly string[] => [
	...(status.revision < revision ? [`router ${status.router}`] : []),
	...status.peers.filter(peer => peer.revision < revision).map(peer => `router ${peer.router} at ${peer.address}`),
	...status.agents.filter(agent => agent.link !== 'gone' && agent.revision < revision).map(agent => `agent ${agent.agent} at ${agent.address}`),
];

const pollInterval = 500; // Milliseconds

const waitForRevision = async (client: OperatorClient, revision: number, limit: number): Promise<readonly string[]> => {
	const reply = await client.call('GET', '/operator/v1/status');
	const behind = isGood(reply) ? listBehind(reply.body as unknown as Status, revision) : ['the router that was asked'];
	if (behind.length === 0 || limit <= 0) {
		return behind;
	}

	await sleep(pollInterval);
	return waitForRevision(client, revision, limit - pollInterval);
};

type ApplyOptions = Readonly<{file: string; why: string; base: number | undefined; wait: number | undefined}>;

/**
Applies a configuration file by compare-and-set.

@param client - The router.
@param options - The file, the revision it starts from (the one in force unless given), why, and milliseconds to wait for every host.
@returns The outcome; with `wait`, the hosts that are still behind.
*/
export const applyConfig = async (client: OperatorClient, options: ApplyOptions): Promise<Outcome> => {
	const parsed = parseConfigFile(options.file, readFileSync(options.file, 'utf8'));
	if (parsed.err) {
		return {isDone: false, lines: [parsed.val.detail], json: parsed.val};
	}

	const current = await client.call('GET', '/operator/v1/config');
	if (!isGood(current)) {
		return describeFailure(current);
	}

	const reply = await putConfig(client, options.base ?? (current.body as unknown as Current).revision, parsed.val, options.why);
	if (!isGood(reply) || options.wait === undefined) {
		return describeReply(reply);
	}

	const {revision} = reply.body as unknown as Current;
	const behind = await waitForRevision(client, revision, options.wait);
	return {
		isDone: behind.length === 0,
		lines: behind.length === 0 ? [`revision=${revision} in-force=everywhere`] : behind.map(host => `not yet: ${host}`),
		json: {revision, behind: [...behind]},
	};
};

/**
Changes the targets of a class of work.

@param client - The router.
@param name - The class.
@param targets - The targets that change, in ms.
@param why - Why, for the audit trail.
@returns The outcome.
*/
export const setTarget = async (client: OperatorClient, name: string, targets: Readonly<Record<string, number>>, why: string): Promise<Outcome> => {
	const current = await client.call('GET', '/operator/v1/config');
	if (!isGood(current)) {
		return describeFailure(current);
	}

	const {revision, config} = current.body as unknown as Current;
	const workClass = config.classes[name];
	return workClass === undefined
		? {isDone: false, lines: [`class "${name}" does not exist`], json: {kind: 'unknown-class', detail: name}}
		: describeReply(await putConfig(client, revision, {...config, classes: {...config.classes, [name]: {...workClass, ...targets}}}, why));
};

/**
Shows a budget.

@param client - The router.
@param budget - The budget.
@returns The outcome.
*/
export const showBudget = async (client: OperatorClient, budget: string): Promise<Outcome> =>
	describeReply(await client.call('GET', `/operator/v1/budgets/${budget}`));

type TopUp = Readonly<{budget: string; add: number; change: string | undefined; why: string}>;

/**
Pays tokens into a budget. The same change id is applied once, however often it is sent.

@param client - The router.
@param topUp - The budget, tokens, change id and reason.
@returns The outcome; it names the change id, for a retry.
*/
export const topUpBudget = async (client: OperatorClient, topUp: TopUp): Promise<Outcome> => {
	const change = topUp.change ?? randomUUID();
	const outcome = describeReply(await client.call('POST', `/operator/v1/budgets/${topUp.budget}`, {change, add: topUp.add, why: topUp.why}));
	return {...outcome, lines: [...outcome.lines, `change=${change}`]};
};

/**
Shows what a router knows.

@param client - The router.
@returns The outcome.
*/
export const showStatus = async (client: OperatorClient): Promise<Outcome> => {
	const reply = await client.call('GET', '/operator/v1/status');
	if (!isGood(reply)) {
		return describeFailure(reply);
	}

	const entries = Object.entries(reply.body as Readonly<Record<string, Json>>);
	const plain = Object.fromEntries(entries.filter(([, value]) => !Array.isArray(value)));
	const lists = entries.flatMap(([key, value]) => Array.isArray(value) ? value.map(item => `${key}: ${describeFields(item as Fields)}`) : []);
	return {isDone: true, lines: [describeFields(plain), ...lists], json: reply.body};
};

/**
Shows the audit trail, oldest first.

@param client - The router.
@param since - ISO 8601 time from which on; everything unless given.
@returns The outcome.
*/
export const showAudit = async (client: OperatorClient, since: string | undefined): Promise<Outcome> => {
	const reply = await client.call('GET', `/operator/v1/audit${since === undefined ? '' : `?since=${encodeURIComponent(since)}`}`);
	return isGood(reply)
		? {isDone: true, lines: (reply.body as Readonly<{changes: readonly Fields[]}>).changes.map(change => describeFields(change)), json: reply.body}
		: describeFailure(reply);
};

/**
Takes an agent out of service: no new work, and what runs may end.

@param client - The router.
@param agent - The agent's incarnation.
@param why - Why, for the audit trail.
@returns The outcome.
*/
export const drainAgent = async (client: OperatorClient, agent: string, why: string): Promise<Outcome> =>
	describeReply(await client.call('POST', `/operator/v1/agents/${agent}/drain`, {why}));

/**
Says what became of an act that nobody can tell.

@param client - The router.
@param claim - The organisation and the Idempotency-Key.
@param outcome - `ran`, or `not-run` so that the key may be used again.
@param why - Why, for the audit trail.
@returns The outcome.
*/
export const resolveClaim = async (
	client: OperatorClient,
	claim: Readonly<{organisation: string; key: string}>,
	outcome: 'ran' | 'not-run',
	why: string,
): Promise<Outcome> => describeReply(await client.call(
	'POST',
	`/operator/v1/claims/${claim.organisation}/${encodeURIComponent(claim.key)}/resolve`,
	{outcome, why},
));

/**
Says that an agent incarnation will never come back, so that what dead routers
held can be taken back without it.

@param client - The router.
@param agent - The agent's incarnation.
@param why - Why, for the audit trail.
@returns The outcome.
*/
export const resolveAgent = async (client: OperatorClient, agent: string, why: string): Promise<Outcome> =>
	describeReply(await client.call('POST', `/operator/v1/agents/${agent}/resolve`, {why}));
