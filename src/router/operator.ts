import {type Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {z} from 'zod';
import {
	checkConfig, compareConfig, joinConfig, splitConfig,
} from '../config/index.js';
import type {ConfigState} from '../config/index.js';
import {
	createFault, describeFault, describeIssue, fail, succeed,
} from '../errors/index.js';
import type {Fault, Result} from '../errors/index.js';
import type {Change} from '../operation/index.js';
import {readBody, sendJson} from '../server/index.js';
import type {Json, StoreCall, StoreReply} from '../table/index.js';
import {equalHashes, hashKey, readBearer} from './front.js';
import type {RouterState} from './state.js';

/** What the operators' interface needs of the router. */
export type OperatorPorts = Readonly<{
	getState: () => RouterState;
	/** SHA-256 of each operator's key, by name. */
	operators: Readonly<Record<string, string>>;
	/** Makes a change; settles when it is durable or refused. */
	change: (change: Change) => Promise<Result<Json>>;
	read: (call: StoreCall) => Promise<StoreReply>;
	drainAgent: (agent: string) => Promise<boolean>;
	createId: () => string;
}>;

type Request = Readonly<{
	who: string;
	match: readonly string[];
	url: URL;
	body: Json;
	ifMatch: string | undefined;
}>;

type Reply = Result<Readonly<{body: Json; headers?: Readonly<Record<string, string>>}>>;
type Handle = (request: Request, ports: OperatorPorts) => Promise<Reply>;

const maxBody = 2_000_000; // Bytes
const maxAuditRows = 1000;

const createReply = (body: Json, headers: Readonly<Record<string, string>> = {}): Reply => succeed({body, headers});

const topUp = z.strictObject({
	change: z.string().regex(/^[\w.\-]{1,100}$/v, 'use up to 100 of letters, digits, "_", "." and "-"'),
	add: z.number().int(),
	why: z.string().default(''),
});

const resolution = z.strictObject({outcome: z.enum(['ran', 'not-run']), why: z.string().default('')});

const reason = z.strictObject({why: z.string().default('')});

const checkBody = <Schema extends z.ZodType>(schema: Schema, body: Json): Result<z.output<Schema>> => {
	const parsed = schema.safeParse(body);
	return parsed.success ? succeed(parsed.data) : fail(describeIssue(parsed.error, 'body'));
};

const createChange = (request: Request, ports: OperatorPorts, fields: Pick<Change, 'kind' | 'subject' | 'fields' | 'why'> & Readonly<{id?: string}>): Change => ({
	id: ports.createId(), who: request.who, at: new Date().toISOString(), ...fields,
});

const getConfig: Handle = async (_request, ports) => {
	const {config} = ports.getState();
	return createReply({revision: config.revision, config: joinConfig(config)}, {etag: `"${config.revision}"`});
};

const readRevision = (ifMatch: string | undefined): Result<number> => {
	if (ifMatch === undefined) {
		return fail(createFault('revision-required', 'If-Match: must name the revision that the change starts from'));
	}

	const text = ifMatch.replaceAll('"', '');
	return /^\d+$/v.test(text) ? succeed(Number(text)) : fail(createFault('bad-request', 'If-Match: must be a revision number'));
};

/** Names what an operator who lost the race would undo. */
const describeConflict = (config: ConfigState, wanted: Json): Fault => {
	const checked = checkConfig(wanted);
	const names = checked.ok ? compareConfig(config, splitConfig(checked.val)).map(change => change.name) : [];
	return createFault('revision-conflict', `revision ${config.revision} is in force; yours differs from it in: ${names.join(', ') || 'nothing'}`);
};

const putConfig: Handle = async (request, ports) => {
	const {config} = ports.getState();
	const base = readRevision(request.ifMatch);
	if (base.err) {
		return fail(base.val);
	}

	if (base.val !== config.revision) {
		return fail(describeConflict(config, request.body));
	}

	const checked = checkConfig(request.body);
	if (checked.err) {
		return fail(checked.val);
	}

	const changes = compareConfig(config, splitConfig(checked.val));
	if (changes.length === 0) {
		return createReply({revision: config.revision}, {etag: `"${config.revision}"`});
	}

	const before = changes.map(change => ({name: change.name, value: config.entries.get(change.name)?.value ?? null}));
	const ended = await ports.change(createChange(request, ports, {
		kind: 'config', subject: 'config', why: request.url.searchParams.get('why') ?? '', fields: {base: base.val, changes, before},
	}));
	return ended.map(body => ({body, headers: {etag: `"${(body as {revision: number}).revision}"`}}));
};

const getBudget: Handle = async (request, ports) => {
	const [, budget = ''] = request.match;
	const ended = await ports.change(createChange(request, ports, {
		kind: 'budget', subject: budget, fields: {}, why: '',
	}));
	const pot = ports.getState().pots.get(budget);
	return ended.map(body => ({body: {...(body as Record<string, Json>), heldHere: pot?.granted ?? 0, reservedHere: pot?.reserved ?? 0}}));
};

const postBudget: Handle = async (request, ports) => {
	const checked = checkBody(topUp, request.body);
	if (checked.err) {
		return fail(checked.val);
	}

	const {change, add, why} = checked.val;
	const ended = await ports.change(createChange(request, ports, {
		id: change, kind: 'top-up', subject: request.match[1] ?? '', fields: {add}, why,
	}));
	return ended.map(body => ({body}));
};

const describeStatus = (state: RouterState): Json => ({
	router: state.incarnation,
	phase: state.phase,
	row: state.reach.row,
	revision: state.config.revision,
	requests: state.requests.size,
	attempts: state.attempts.size,
	peers: state.peers.valueSeq().toArray().map(peer => ({router: peer.router, address: peer.address, revision: peer.revision})),
	agents: state.members.valueSeq().toArray().map(member => ({
		agent: member.agent,
		address: member.address,
		pool: member.pool,
		dataCentre: member.dataCentre,
		link: member.link,
		isLeaving: member.isLeaving,
		running: member.load.running,
		capacity: member.load.capacity,
		failures: member.failures,
		revision: member.revision,
	})),
	reclaims: state.reclaims.valueSeq().toArray().map(reclaim => ({
		router: reclaim.router, step: reclaim.step, waitsFor: (reclaim.body?.reach ?? []).filter(agent => !reclaim.usages.has(agent) && !reclaim.resolved.includes(agent)),
	})),
	pots: state.pots.valueSeq().toArray().slice(0, maxStatusPots).map(pot => ({
		budget: pot.budget, granted: pot.granted, reserved: pot.reserved, unsettled: pot.unsettled.size,
	})),
});

const maxStatusPots = 100;

const getStatus: Handle = async (_request, ports) => createReply(describeStatus(ports.getState()));

const getAudit: Handle = async (request, ports) => {
	const since = request.url.searchParams.get('since') ?? undefined;
	const rows = await ports.read({
		kind: 'query', table: 'audit', prefix: '', limit: maxAuditRows, ...(since !== undefined && {after: since}),
	});
	return rows.kind === 'rows'
		? createReply({changes: rows.rows.flatMap(row => row === undefined ? [] : [row.body])})
		: fail(createFault('store-unavailable', 'the audit trail cannot be read at present'));
};

const resolveClaim: Handle = async (request, ports) => {
	const [, organisation = '', key = ''] = request.match;
	const checked = checkBody(resolution, request.body);
	if (checked.err) {
		return fail(checked.val);
	}

	const {outcome, why} = checked.val;
	const ended = await ports.change(createChange(request, ports, {
		kind: 'resolve-claim', subject: `${organisation}/${decodeURIComponent(key)}`, fields: {outcome}, why,
	}));
	return ended.map(body => ({body}));
};

const resolveAgent: Handle = async (request, ports) => {
	const checked = checkBody(reason, request.body);
	if (checked.err) {
		return fail(checked.val);
	}

	const ended = await ports.change(createChange(request, ports, {
		kind: 'resolve-agent', subject: request.match[1] ?? '', fields: {}, why: checked.val.why,
	}));
	return ended.map(body => ({body}));
};

const drainAgent: Handle = async (request, ports) => {
	const [, agent = ''] = request.match;
	const checked = checkBody(reason, request.body);
	if (checked.err) {
		return fail(checked.val);
	}

	const ended = await ports.change(createChange(request, ports, {
		kind: 'drain', subject: agent, fields: {agent}, why: checked.val.why,
	}));
	if (ended.err) {
		return fail(ended.val);
	}

	return await ports.drainAgent(agent) ? createReply({agent, state: 'leaving'}) : fail(createFault('not-found', `agent: "${agent}" cannot be reached from here`));
};

type Route = Readonly<{pattern: RegExp; methods: Readonly<Record<string, Handle>>}>;

const routes: readonly Route[] = [
	{pattern: /^\/operator\/v1\/config$/v, methods: {GET: getConfig, PUT: putConfig}},
	{pattern: /^\/operator\/v1\/budgets\/([a-z\d][a-z\d.\-]{0,62})$/v, methods: {GET: getBudget, POST: postBudget}},
	{pattern: /^\/operator\/v1\/status$/v, methods: {GET: getStatus}},
	{pattern: /^\/operator\/v1\/audit$/v, methods: {GET: getAudit}},
	{pattern: /^\/operator\/v1\/claims\/([^\/]+)\/([^\/]+)\/resolve$/v, methods: {POST: resolveClaim}},
	{pattern: /^\/operator\/v1\/agents\/([^\/]+)\/resolve$/v, methods: {POST: resolveAgent}},
	{pattern: /^\/operator\/v1\/agents\/([^\/]+)\/drain$/v, methods: {POST: drainAgent}},
];

const findOperator = (request: IncomingMessage, operators: OperatorPorts['operators']): string | undefined => {
	const hash = hashKey(readBearer(request.headers) ?? '');
	return Object.entries(operators).find(([, known]) => equalHashes(known, hash))?.[0];
};

const parseBody = (body: Buffer): Result<Json> => {
	try {
		return succeed(body.byteLength === 0 ? {} : JSON.parse(body.toString('utf8')) as Json);
	} catch {
		return fail(createFault('bad-request', 'body: is not JSON'));
	}
};

const answer = async (request: IncomingMessage, url: URL, ports: OperatorPorts): Promise<Reply> => {
	const who = findOperator(request, ports.operators);
	if (who === undefined) {
		return fail(createFault('unauthorised', 'Authorization: names no known operator key'));
	}

	const route = routes.find(each => each.pattern.test(url.pathname));
	const handle = route?.methods[request.method ?? ''];
	if (route === undefined || handle === undefined) {
		return fail(route === undefined
			? createFault('not-found', `path: "${url.pathname}" does not exist`)
			: createFault('method-not-allowed', `method: "${request.method ?? ''}" is not allowed here`));
	}

	const raw = await readBody(request, maxBody);
	const body = raw.andThen(bytes => parseBody(bytes));
	return body.err
		? fail(body.val)
		: handle({
			who, match: route.pattern.exec(url.pathname) ?? [], url, body: body.val, ifMatch: request.headers['if-match'],
		}, ports);
};

/**
Answers an operator's request.

@param request - The request.
@param response - Where to.
@param url - Its URL.
@param ports - What it needs of the router.
*/
export const serveOperator = async (request: IncomingMessage, response: ServerResponse, url: URL, ports: OperatorPorts): Promise<void> => {
	const result = await answer(request, url, ports);
	if (result.ok) {
		sendJson(response, 200, result.val.body, result.val.headers);
		return;
	}

	const {status, headers, problem} = describeFault(result.val);
	sendJson(response, status, problem, headers);
};
