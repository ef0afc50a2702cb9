import {type Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {z} from 'zod';
import {
	checkConfig, diffEntries, buildDocument, listEntries,
} from '../config/index.js';
import type {ConfigState} from '../config/index.js';
import {
	createFault, createErrorResponse, createValidationFault, fail, succeed,
} from '../errors/index.js';
import type {Fault, Result} from '../errors/index.js';
import type {OperatorChange} from '../operation/index.js';
import {readBody, sendJson} from '../server/index.js';
import type {JsonValue, StoreCall, StoreReply} from '../table/index.js';
import {compareHashes, hashSha256, readBearerToken} from './validate-request.js';
import type {RouterState} from './state.js';

/** What the operator API needs from the router. */
export type OperatorPorts = Readonly<{
	getState: () => RouterState;
	/** SHA-256 of each operator's API key, by operator name. */
	operators: Readonly<Record<string, string>>;
	/** Applies a change. The promise resolves once it is durable or has been rejected. */
	applyChange: (change: OperatorChange) => Promise<Result<JsonValue>>;
	read: (call: StoreCall) => Promise<StoreReply>;
	/** Asks an agent to shut down gracefully. Resolves to false if it can't be reached. */
	drainAgent: (agent: string) => Promise<boolean>;
	createId: () => string;
}>;

type OperatorRequest = Readonly<{
	/** Name of the operator. */
	who: string;
	/** Match of the route's pattern with the path. */
	pathMatch: readonly string[];
	url: URL;
	body: JsonValue;
	/** Value of the If-Match header. */
	ifMatch: string | undefined;
}>;

type OperatorReply = Result<Readonly<{body: JsonValue; headers?: Readonly<Record<string, string>>}>>;
type Handler = (request: OperatorRequest, ports: OperatorPorts) => Promise<OperatorReply>;

const maxBodyBytes = 2_000_000;
const maxAuditRows = 1000;

const createReply = (body: JsonValue, headers: Readonly<Record<string, string>> = {}): OperatorReply => succeed({body, headers});

const topUpSchema = z.strictObject({
	change: z.string().regex(/^[\w.\-]{1,100}$/v, 'use up to 100 of letters, digits, "_", "." and "-"'),
	add: z.number().int(),
	why: z.string().default(''),
});

const resolutionSchema = z.strictObject({outcome: z.enum(['ran', 'not-run']), why: z.string().default('')});

const reasonSchema = z.strictObject({why: z.string().default('')});

const validateBody = <Schema extends z.ZodType>(schema: Schema, body: JsonValue): Result<z.output<Schema>> => {
	const parsed = schema.safeParse(body);
	return parsed.success ? succeed(parsed.data) : fail(createValidationFault(parsed.error, 'body'));
};

const createChange = (request: OperatorRequest, ports: OperatorPorts, fields: Pick<OperatorChange, 'kind' | 'subject' | 'fields' | 'why'> & Readonly<{id?: string}>): OperatorChange => ({
	id: ports.createId(), who: request.who, at: new Date().toISOString(), ...fields,
});

const getConfig: Handler = async (_request, ports) => {
	const {config} = ports.getState();
	return createReply({revision: config.revision, config: buildDocument(config)}, {etag: `"${config.revision}"`});
};

const readRevision = (ifMatch: string | undefined): Result<number> => {
	if (ifMatch === undefined) {
		return fail(createFault('revision-required', 'If-Match: must name the revision that the change starts from'));
	}

	const text = ifMatch.replaceAll('"', '');
	return /^\d+$/v.test(text) ? succeed(Number(text)) : fail(createFault('bad-request', 'If-Match: must be a revision number'));
};

/** Lists the entries that an operator with an outdated revision would overwrite. */
const describeConflict = (config: ConfigState, proposedConfig: JsonValue): Fault => {
	const checked = checkConfig(proposedConfig);
	const names = checked.ok ? diffEntries(config, listEntries(checked.val)).map(change => change.name) : [];
	return createFault('revision-conflict', `revision ${config.revision} is in force; yours differs from it in: ${names.join(', ') || 'nothing'}`);
};

const putConfig: Handler = async (request, ports) => {
	const {config} = ports.getState();
	const baseRevision = readRevision(request.ifMatch);
	if (baseRevision.err) {
		return fail(baseRevision.val);
	}

	if (baseRevision.val !== config.revision) {
		return fail(describeConflict(config, request.body));
	}

	const checked = checkConfig(request.body);
	if (checked.err) {
		return fail(checked.val);
	}

	const changes = diffEntries(config, listEntries(checked.val));
	if (changes.length === 0) {
		return createReply({revision: config.revision}, {etag: `"${config.revision}"`});
	}

	const before = changes.map(change => ({name: change.name, value: config.entries.get(change.name)?.value ?? null}));
	const result = await ports.applyChange(createChange(request, ports, {
		kind: 'config', subject: 'config', why: request.url.searchParams.get('why') ?? '', fields: {base: baseRevision.val, changes, before},
	}));
	return result.map(body => ({body, headers: {etag: `"${(body as {revision: number}).revision}"`}}));
};

const getBudget: Handler = async (request, ports) => {
	const [, budget = ''] = request.pathMatch;
	const result = await ports.applyChange(createChange(request, ports, {
		kind: 'budget', subject: budget, fields: {}, why: '',
	}));
	const grant = ports.getState().pots.get(budget);
	return result.map(body => ({body: {...(body as Record<string, JsonValue>), heldHere: grant?.granted ?? 0, reservedHere: grant?.reserved ?? 0}}));
};

const topUpBudget: Handler = async (request, ports) => {
	const checked = validateBody(topUpSchema, request.body);
	if (checked.err) {
		return fail(checked.val);
	}

	const {change, add, why} = checked.val;
	const result = await ports.applyChange(createChange(request, ports, {
		id: change, kind: 'top-up', subject: request.pathMatch[1] ?? '', fields: {add}, why,
	}));
	return result.map(body => ({body}));
};

const describeStatus = (state: RouterState): JsonValue => ({
	router: state.incarnation,
	phase: state.phase,
	row: state.reach.row,
	revision: state.config.revision,
	requests: state.requests.size,
	attempts: state.attempts.size,
	peers: state.peers.valueSeq().toArray().map(peer => ({router: peer.router, address: peer.address, revision: peer.revision})),
	agents: state.agents.valueSeq().toArray().map(view => ({
		agent: view.agent,
		address: view.address,
		pool: view.pool,
		dataCentre: view.dataCentre,
		link: view.link,
		isLeaving: view.isLeaving,
		running: view.load.running,
		capacity: view.load.capacity,
		failures: view.failures,
		revision: view.revision,
	})),
	reclaims: state.reclaims.valueSeq().toArray().map(reclaim => ({
		router: reclaim.router, step: reclaim.step, waitsFor: (reclaim.body?.reach ?? []).filter(agent => !reclaim.usages.has(agent) && !reclaim.resolved.includes(agent)),
	})),
	pots: state.pots.valueSeq().toArray().slice(0, maxStatusGrants).map(grant => ({
		budget: grant.budget, granted: grant.granted, reserved: grant.reserved, unsettled: grant.unsettled.size,
	})),
});

const maxStatusGrants = 100;

const getStatus: Handler = async (_request, ports) => createReply(describeStatus(ports.getState()));

const getAudit: Handler = async (request, ports) => {
	const since = request.url.searchParams.get('since') ?? undefined;
	const rows = await ports.read({
		kind: 'query', table: 'audit', prefix: '', limit: maxAuditRows, ...(since !== undefined && {after: since}),
	});
	return rows.kind === 'rows'
		? createReply({changes: rows.rows.flatMap(row => row === undefined ? [] : [row.body])})
		: fail(createFault('store-unavailable', 'the audit trail cannot be read at present'));
};

/** Decodes the escapes of a segment of a path. */
const decodeSegment = (name: string, segment: string): Result<string> => {
	try {
		return succeed(decodeURIComponent(segment));
	} catch {
		return fail(createFault('bad-request', `${name}: "${segment}" has a malformed escape`));
	}
};

const resolveClaim: Handler = async (request, ports) => {
	const [, organisation = '', escapedKey = ''] = request.pathMatch;
	const key = decodeSegment('key', escapedKey);
	if (key.err) {
		return fail(key.val);
	}

	const checked = validateBody(resolutionSchema, request.body);
	if (checked.err) {
		return fail(checked.val);
	}

	const {outcome, why} = checked.val;
	const result = await ports.applyChange(createChange(request, ports, {
		kind: 'resolve-claim', subject: `${organisation}/${key.val}`, fields: {outcome}, why,
	}));
	return result.map(body => ({body}));
};

const resolveAgent: Handler = async (request, ports) => {
	const checked = validateBody(reasonSchema, request.body);
	if (checked.err) {
		return fail(checked.val);
	}

	const result = await ports.applyChange(createChange(request, ports, {
		kind: 'resolve-agent', subject: request.pathMatch[1] ?? '', fields: {}, why: checked.val.why,
	}));
	return result.map(body => ({body}));
};

const drainAgent: Handler = async (request, ports) => {
	const [, agent = ''] = request.pathMatch;
	const checked = validateBody(reasonSchema, request.body);
	if (checked.err) {
		return fail(checked.val);
	}

	const result = await ports.applyChange(createChange(request, ports, {
		kind: 'drain', subject: agent, fields: {agent}, why: checked.val.why,
	}));
	if (result.err) {
		return fail(result.val);
	}

	return await ports.drainAgent(agent) ? createReply({agent, state: 'leaving'}) : fail(createFault('not-found', `agent: "${agent}" cannot be reached from here`));
};

type Route = Readonly<{pattern: RegExp; methods: Readonly<Record<string, Handler>>}>;

const routes: readonly Route[] = [
	{pattern: /^\/operator\/v1\/config$/v, methods: {GET: getConfig, PUT: putConfig}},
	{pattern: /^\/operator\/v1\/budgets\/([a-z\d][a-z\d.\-]{0,62})$/v, methods: {GET: getBudget, POST: topUpBudget}},
	{pattern: /^\/operator\/v1\/status$/v, methods: {GET: getStatus}},
	{pattern: /^\/operator\/v1\/audit$/v, methods: {GET: getAudit}},
	{pattern: /^\/operator\/v1\/claims\/([^\/]+)\/([^\/]+)\/resolve$/v, methods: {POST: resolveClaim}},
	{pattern: /^\/operator\/v1\/agents\/([^\/]+)\/resolve$/v, methods: {POST: resolveAgent}},
	{pattern: /^\/operator\/v1\/agents\/([^\/]+)\/drain$/v, methods: {POST: drainAgent}},
];

const authenticateOperator = (request: IncomingMessage, operators: OperatorPorts['operators']): string | undefined => {
	const hash = hashSha256(readBearerToken(request.headers) ?? '');
	return Object.entries(operators).find(([, keyHash]) => compareHashes(keyHash, hash))?.[0];
};

const parseBody = (body: Buffer): Result<JsonValue> => {
	try {
		return succeed(body.byteLength === 0 ? {} : JSON.parse(body.toString('utf8')) as JsonValue);
	} catch {
		return fail(createFault('bad-request', 'body: is not JSON'));
	}
};

const handleRequest = async (request: IncomingMessage, url: URL, ports: OperatorPorts): Promise<OperatorReply> => {
	const who = authenticateOperator(request, ports.operators);
	if (who === undefined) {
		return fail(createFault('unauthorised', 'Authorization: names no known operator key'));
	}

	const route = routes.find(candidate => candidate.pattern.test(url.pathname));
	const handler = route?.methods[request.method ?? ''];
	if (route === undefined || handler === undefined) {
		return fail(route === undefined
			? createFault('not-found', `path: "${url.pathname}" does not exist`)
			: createFault('method-not-allowed', `method: "${request.method ?? ''}" is not allowed here`));
	}

	const raw = await readBody(request, maxBodyBytes);
	const body = raw.andThen(bytes => parseBody(bytes));
	return body.err
		? fail(body.val)
		: handler({
			who, pathMatch: route.pattern.exec(url.pathname) ?? [], url, body: body.val, ifMatch: request.headers['if-match'],
		}, ports);
};

/**
Handles a request to the operator API.

@param request - The request.
@param response - The response.
@param url - URL of the request.
@param ports - Functions of the router.
*/
export const serveOperator = async (request: IncomingMessage, response: ServerResponse, url: URL, ports: OperatorPorts): Promise<void> => {
	const result = await handleRequest(request, url, ports);
	if (result.ok) {
		sendJson(response, 200, result.val.body, result.val.headers);
		return;
	}

	const {status, headers, problem} = createErrorResponse(result.val);
	sendJson(response, status, problem, headers);
};
