import {randomUUID} from 'node:crypto';
import {startAgent} from '../agent/agent.js';
import type {Agent} from '../agent/agent.js';
import {defaultPolicy} from '../budget/index.js';
import type {GrantPolicy} from '../budget/index.js';
import type {Log} from '../log/index.js';
import {sleep} from '../loop/index.js';
import {defaultMachineLimits} from '../memory-account/index.js';
import {hashSha256} from '../router/validate-request.js';
import {openServiceRegistry} from '../router/service-registry.js';
import {startRouter} from '../router/router.js';
import type {Router, RouterOptions} from '../router/router.js';
import {parseAddress} from '../server/index.js';
import {
	defaultEngineProfile, startEngine, startHosts, startService, startTable,
} from '../standin/index.js';
import type {
	EngineStandin, HostsStandin, ServiceStandin, TableStandin,
} from '../standin/index.js';
import {createTableClient} from '../table/index.js';
import type {TableClient} from '../table/index.js';
import {buildConfigDocument} from './deployments.js';
import type {Deployment, PoolSpec} from './deployments.js';

/** An agent with its stand-in endpoint. */
export type Replica = Readonly<{agent: Agent; pool: string; engine: EngineStandin | undefined; service: ServiceStandin | undefined}>;

/** A running deployment whose routers, agents and stand-ins all run in the current process. */
export type Fleet = Readonly<{
	deployment: Deployment;
	table: TableStandin;
	hosts: HostsStandin;
	routers: readonly Router[];
	replicas: readonly Replica[];
	/** The API key of the operator `demo`. */
	operatorKey: string;
	startReplica: (pool: PoolSpec, dataCentre: string) => Promise<Replica>;
	startRouter: (dataCentre: string) => Promise<Router>;
	stop: () => Promise<void>;
}>;

type FleetOptions = Readonly<{
	deployment: Deployment;
	log: Log;
	policy?: GrantPolicy;
	/** Client address of the first router; by default, a free loopback port. */
	listen?: string;
	writesPerSecond?: number;
	/** Propagation delay of the host list, in milliseconds. */
	lag?: number;
	record?: RouterOptions['record'];
	/** Wraps the table client of each router, for example to inject faults. */
	wrapTable?: (table: TableClient) => TableClient;
}>;

const ephemeralAddress = '127.0.0.1:0';
const operatorKey = 'operator-key-for-demonstrations';
const storeTimeoutMs = 1000;
const serviceCapacity = 16;
const maxBodyBytes = 4 * 1024 * 1024;
const maxHeaderBytes = 16 * 1024;

const buildHostEntry = (id: string, service: 'galena-router' | 'galena-agent', control: string) => {
	const {host, port} = parseAddress(control);
	return {
		id, service, address: host, port, isLeaving: false,
	};
};

/**
Starts a deployment on loopback ports: the stand-ins for the platform, an agent for
each stand-in endpoint, and a router for each data centre.

@param options - The deployment and how to run it.
@returns The running fleet, with its configuration applied and its budgets topped up.
@throws Error if a budget cannot be topped up, or if the routers are not ready in time.
*/
export const startFleet = async (options: FleetOptions): Promise<Fleet> => {
	const {deployment, log} = options;
	const table = await startTable({
		at: parseAddress(ephemeralAddress), writesPerSecond: options.writesPerSecond ?? 500, readsPerSecond: 2000, seed: 1,
	});
	const hosts = await startHosts({at: parseAddress(ephemeralAddress), lag: options.lag ?? 50});
	const hostList = openServiceRegistry(`http://${hosts.address}`, log);

	const openTableClient = (): TableClient => {
		const client = createTableClient({address: `http://${table.address}`, tableName: 'galena', timeout: storeTimeoutMs});
		return options.wrapTable?.(client) ?? client;
	};

	const startOneRouter = async (dataCentre: string, listen = ephemeralAddress): Promise<Router> => {
		const router = await startRouter({
			listen: parseAddress(listen),
			control: parseAddress(ephemeralAddress),
			dataCentre,
			table: openTableClient(),
			serviceRegistry: hostList,
			policy: options.policy ?? defaultPolicy,
			operators: {demo: hashSha256(operatorKey)},
			maxBodyBytes,
			maxHeaderBytes,
			machine: defaultMachineLimits,
			seed: 1,
			log,
			...(options.record !== undefined && {record: options.record}),
		});
		hosts.register(buildHostEntry(router.control, 'galena-router', router.control));
		return router;
	};

	const startReplica = async (pool: PoolSpec, dataCentre: string): Promise<Replica> => {
		const engine = pool.kind === 'engine' ? await startEngine({at: parseAddress(ephemeralAddress), model: pool.model, size: defaultEngineProfile}) : undefined;
		const service = pool.kind === 'service' ? await startService(parseAddress(ephemeralAddress)) : undefined;
		const agent = await startAgent({
			listen: parseAddress(ephemeralAddress),
			dataCentre,
			pool: pool.name,
			endpoint: `http://${(engine ?? service)?.address ?? ''}`,
			kind: pool.kind,
			capacity: pool.kind === 'engine' ? defaultEngineProfile.maxRunning : serviceCapacity,
			async listRouters() {
				const routers = await hostList.list('galena-router');
				return routers.map(router => router.address);
			},
			incarnation: `a-${randomUUID()}`,
			log,
		});
		hosts.register(buildHostEntry(agent.address, 'galena-agent', agent.address));
		return {
			agent, pool: pool.name, engine, service,
		};
	};

	const pickDataCentre = (index: number): string => deployment.dataCentres[index % deployment.dataCentres.length] ?? '';
	const replicaSpecs = deployment.pools.flatMap(pool => Array.from({length: pool.replicas}, (_, index) => ({pool, dataCentre: pickDataCentre(index)})));
	const replicas = await Promise.all(replicaSpecs.map(async ({pool, dataCentre}) => startReplica(pool, dataCentre)));
	const routers = await Promise.all(deployment.dataCentres.map(async (dataCentre, index) =>
		startOneRouter(dataCentre, index === 0 ? options.listen : undefined)));

	const fleet: Fleet = {
		deployment,
		table,
		hosts,
		routers,
		replicas,
		operatorKey,
		startReplica,
		startRouter: startOneRouter,
		async stop() {
			await Promise.all(routers.map(async router => router.kill()));
			await Promise.all(replicas.map(async ({agent, engine, service}) => {
				await agent.kill();
				await engine?.close();
				await service?.close();
			}));
			await hosts.close();
			await table.close();
		},
	};
	await applyInitialConfig(fleet);
	return fleet;
};

const pollIntervalMs = 50;

/**
Polls a condition until it is satisfied.

@param description - What is awaited, for the error message.
@param isSatisfied - Evaluates the condition.
@param timeoutMs - Maximum total time between polls.
@throws Error if the condition is not satisfied in time.
*/
export const waitFor = async (description: string, isSatisfied: () => boolean | Promise<boolean>, timeoutMs = 20_000): Promise<void> => {
	if (await isSatisfied()) {
		return;
	}

	if (timeoutMs <= 0) {
		throw new Error(`timed out waiting for ${description}`);
	}

	await sleep(pollIntervalMs);
	await waitFor(description, isSatisfied, timeoutMs - pollIntervalMs);
};

/** Calls the operator API of the first router. */
const callOperatorApi = async (fleet: Fleet, method: string, path: string, body: unknown, headers: Readonly<Record<string, string>> = {}): Promise<Response> => {
	const [router] = fleet.routers;
	return fetch(`http://${router?.address ?? ''}${path}`, {
		method, headers: {authorization: `Bearer ${fleet.operatorKey}`, 'content-type': 'application/json', ...headers}, body: JSON.stringify(body),
	});
};

const isReady = (fleet: Fleet): boolean => fleet.routers.every(router => {
	const state = router.getState();
	const open = state.agents.filter(view => view.link === 'open' && state.reach.registeredAgents.has(view.agent));
	return state.config.revision > 0 && state.reach.row === 'active' && open.size === fleet.replicas.length;
});

const applyInitialConfig = async (fleet: Fleet): Promise<void> => {
	await waitFor('a configuration to be accepted', async () => {
		const response = await callOperatorApi(fleet, 'PUT', '/operator/v1/config?why=first', buildConfigDocument(fleet.deployment), {'if-match': '0'});
		return response.ok;
	});
	await Promise.all(fleet.deployment.organisations.map(async organisation => {
		const response = await callOperatorApi(fleet, 'POST', `/operator/v1/budgets/${organisation.name}`, {change: `first-${organisation.name}`, add: organisation.tokens, why: 'prepaid'});
		if (!response.ok) {
			throw new Error(`cannot top up the budget of ${organisation.name}: ${await response.text()}`);
		}
	}));
	await waitFor('every router to reach every agent', () => isReady(fleet));
};
