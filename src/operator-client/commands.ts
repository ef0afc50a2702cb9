import {readFileSync} from 'node:fs';
import {randomUUID} from 'node:crypto';
import type {ConfigDocument} from '../config/index.js';
import {formatLine} from '../log/index.js';
import type {Field} from '../log/index.js';
import {sleep} from '../loop/index.js';
import type {JsonValue} from '../table/index.js';
import type {OperatorClient, OperatorReply} from './client.js';
import {parseConfigFile} from './config-file.js';

/** The result of a command, as lines of text and as JSON. */
export type CommandResult = Readonly<{isDone: boolean; lines: readonly string[]; json: JsonValue}>;

type Fields = Readonly<Record<string, JsonValue | undefined>>;

const buildFailure = (reply: OperatorReply): CommandResult => {
	const {kind, detail} = reply.body as Readonly<{kind: string; detail: string}>;
	return {isDone: false, lines: [`${kind}: ${detail}`], json: reply.body};
};

/**
Tells whether a router did what it was asked to do.

@param reply - Its reply.
@returns False if the body is a fault.
*/
export const isSuccess = (reply: OperatorReply): boolean => reply.status < 300;

const formatFields = (fields: Fields): string => formatLine(Object.fromEntries(Object.entries(fields).map(([key, value]): [string, Field] =>
	[key, typeof value === 'object' && value !== null ? JSON.stringify(value) : value ?? undefined])));

const buildResult = (reply: OperatorReply): CommandResult => isSuccess(reply)
	? {isDone: true, lines: [formatFields(reply.body as Fields)], json: reply.body}
	: buildFailure(reply);

/**
Shows the configuration in force.

@param client - The router's operator API.
@returns The configuration, or the error that the router reported.
*/
export const showConfig = async (client: OperatorClient): Promise<CommandResult> => {
	const reply = await client.call('GET', '/operator/v1/config');
	return isSuccess(reply) ? {isDone: true, lines: [JSON.stringify(reply.body, undefined, 2)], json: reply.body} : buildFailure(reply);
};

/** Body of the reply with the configuration in force. */
export type CurrentConfig = Readonly<{revision: number; config: ConfigDocument}>;

const putConfig = async (client: OperatorClient, base: number, config: ConfigDocument, why: string): Promise<OperatorReply> =>
	client.call('PUT', `/operator/v1/config?why=${encodeURIComponent(why)}`, config, {'if-match': String(base)});

type RouterStatus = Readonly<{
	router: string;
	revision: number;
	peers: ReadonlyArray<Readonly<{router: string; address: string; revision: number}>>;
	agents: ReadonlyArray<Readonly<{agent: string; address: string; link: string; revision: number}>>;
}>;

/** Lists the routers and agents that have not applied a revision yet. */
const listOutdatedInstances = (status: RouterStatus, revision: number): readonly string[] => [
	...(status.revision < revision ? [`router ${status.router}`] : []),
	...status.peers.filter(peer => peer.revision < revision).map(peer => `router ${peer.router} at ${peer.address}`),
	...status.agents.filter(agent => agent.link !== 'gone' && agent.revision < revision).map(agent => `agent ${agent.agent} at ${agent.address}`),
];

const pollIntervalMs = 500;

const waitForRevision = async (client: OperatorClient, revision: number, timeoutMs: number): Promise<readonly string[]> => {
	const reply = await client.call('GET', '/operator/v1/status');
	const outdated = isSuccess(reply) ? listOutdatedInstances(reply.body as unknown as RouterStatus, revision) : ['the router that was asked'];
	if (outdated.length === 0 || timeoutMs <= 0) {
		return outdated;
	}

	await sleep(pollIntervalMs);
	return waitForRevision(client, revision, timeoutMs - pollIntervalMs);
};

type ApplyOptions = Readonly<{
	file: string;
	/** Reason, for the audit trail. */
	why: string;
	/** Revision that the file is based on; the one in force if undefined. */
	base: number | undefined;
	/** Maximum time to wait for all routers and agents, in milliseconds; undefined to return at once. */
	wait: number | undefined;
}>;

/**
Applies a configuration file by compare-and-set on the revision.

@param client - The router's operator API.
@param options - The file, its base revision, the reason, and the time to wait in milliseconds.
@returns The new revision or the error; with `wait`, also the routers and agents that have not applied it in time.
@throws If the file cannot be read.
*/
export const applyConfig = async (client: OperatorClient, options: ApplyOptions): Promise<CommandResult> => {
	const parsed = parseConfigFile(options.file, readFileSync(options.file, 'utf8'));
	if (parsed.err) {
		return {isDone: false, lines: [parsed.val.detail], json: parsed.val};
	}

	const current = await client.call('GET', '/operator/v1/config');
	if (!isSuccess(current)) {
		return buildFailure(current);
	}

	const reply = await putConfig(client, options.base ?? (current.body as unknown as CurrentConfig).revision, parsed.val, options.why);
	if (!isSuccess(reply) || options.wait === undefined) {
		return buildResult(reply);
	}

	const {revision} = reply.body as unknown as CurrentConfig;
	const outdated = await waitForRevision(client, revision, options.wait);
	return {
		isDone: outdated.length === 0,
		lines: outdated.length === 0 ? [`revision=${revision} in-force=everywhere`] : outdated.map(instance => `not yet in force: ${instance}`),
		json: {revision, behind: [...outdated]},
	};
};

/**
Changes the latency targets of a request class.

@param client - The router's operator API.
@param className - The name of the class.
@param targets - The targets to change, in milliseconds.
@param why - Reason, for the audit trail.
@returns The new revision, or the error.
*/
export const updateClassTargets = async (client: OperatorClient, className: string, targets: Readonly<Record<string, number>>, why: string): Promise<CommandResult> => {
	const current = await client.call('GET', '/operator/v1/config');
	if (!isSuccess(current)) {
		return buildFailure(current);
	}

	const {revision, config} = current.body as unknown as CurrentConfig;
	const workClass = config.classes[className];
	return workClass === undefined
		? {isDone: false, lines: [`class "${className}" does not exist`], json: {kind: 'unknown-class', detail: className}}
		: buildResult(await putConfig(client, revision, {...config, classes: {...config.classes, [className]: {...workClass, ...targets}}}, why));
};

/**
Shows a budget.

@param client - The router's operator API.
@param budget - The name of the budget.
@returns The budget, or the error.
*/
export const showBudget = async (client: OperatorClient, budget: string): Promise<CommandResult> =>
	buildResult(await client.call('GET', `/operator/v1/budgets/${budget}`));

type TopUp = Readonly<{
	budget: string;
	/** Tokens to add. */
	add: number;
	/** Change id, which makes the top-up idempotent; generated if undefined. */
	change: string | undefined;
	/** Reason, for the audit trail. */
	why: string;
}>;

/**
Adds tokens to a budget. The change id makes this idempotent: a change that is sent again is applied only once.

@param client - The router's operator API.
@param topUp - The budget, tokens, change id and reason.
@returns The result, which includes the change id for a retry.
*/
export const topUpBudget = async (client: OperatorClient, topUp: TopUp): Promise<CommandResult> => {
	const changeId = topUp.change ?? randomUUID();
	const result = buildResult(await client.call('POST', `/operator/v1/budgets/${topUp.budget}`, {change: changeId, add: topUp.add, why: topUp.why}));
	return {...result, lines: [...result.lines, `change=${changeId}`]};
};

/**
Shows a router's view of its peers, agents and configuration.

@param client - The router's operator API.
@returns The status, or the error.
*/
export const showStatus = async (client: OperatorClient): Promise<CommandResult> => {
	const reply = await client.call('GET', '/operator/v1/status');
	if (!isSuccess(reply)) {
		return buildFailure(reply);
	}

	const entries = Object.entries(reply.body as Readonly<Record<string, JsonValue>>);
	const scalars = Object.fromEntries(entries.filter(([, value]) => !Array.isArray(value)));
	const listLines = entries.flatMap(([key, value]) => Array.isArray(value) ? value.map(item => `${key}: ${formatFields(item as Fields)}`) : []);
	return {isDone: true, lines: [formatFields(scalars), ...listLines], json: reply.body};
};

/**
Shows the audit trail, oldest entry first.

@param client - The router's operator API.
@param since - ISO 8601 time of the earliest entry to show; all entries if undefined.
@returns The entries, or the error.
*/
export const showAudit = async (client: OperatorClient, since: string | undefined): Promise<CommandResult> => {
	const reply = await client.call('GET', `/operator/v1/audit${since === undefined ? '' : `?since=${encodeURIComponent(since)}`}`);
	return isSuccess(reply)
		? {isDone: true, lines: (reply.body as Readonly<{changes: readonly Fields[]}>).changes.map(change => formatFields(change)), json: reply.body}
		: buildFailure(reply);
};

/**
Drains an agent: it accepts no new attempts, and running ones may end.

@param client - The router's operator API.
@param agent - The agent's incarnation.
@param why - Reason, for the audit trail.
@returns The result of the request.
*/
export const drainAgent = async (client: OperatorClient, agent: string, why: string): Promise<CommandResult> =>
	buildResult(await client.call('POST', `/operator/v1/agents/${agent}/drain`, {why}));

/**
Records the outcome of a request that must not be repeated and whose outcome is unknown.

@param client - The router's operator API.
@param claim - The organisation and the Idempotency-Key.
@param outcome - `ran`, or `not-run` to allow the key to be used again.
@param why - Reason, for the audit trail.
@returns The result of the request.
*/
export const resolveClaim = async (
	client: OperatorClient,
	claim: Readonly<{organisation: string; key: string}>,
	outcome: 'ran' | 'not-run',
	why: string,
): Promise<CommandResult> => buildResult(await client.call(
	'POST',
	`/operator/v1/claims/${claim.organisation}/${encodeURIComponent(claim.key)}/resolve`,
	{outcome, why},
));

/**
Records that an agent incarnation will never return, so that tokens reserved by failed routers can be reclaimed without
its report.

@param client - The router's operator API.
@param agent - The agent's incarnation.
@param why - Reason, for the audit trail.
@returns The result of the request.
*/
export const resolveAgent = async (client: OperatorClient, agent: string, why: string): Promise<CommandResult> =>
	buildResult(await client.call('POST', `/operator/v1/agents/${agent}/resolve`, {why}));
