import {randomUUID} from 'node:crypto';
import {startAgent} from '../agent/agent.js';
import type {Agent} from '../agent/agent.js';
import {defaultPolicy} from '../budget/index.js';
import type {GrantPolicy} from '../budget/index.js';
import type {Log} from '../log/index.js';
import {sleep} from '../loop/index.js';
import {hashKey} from '../router/front.js';
import {openHostList} from '../router/hosts.js';
import {startRouter} from '../router/router.js';
import type {Router, RouterOptions} from '../router/router.js';
import {parseAddress} from '../server/index.js';
import {
	defaultSize, startEngine, startHosts, startService, startTable,
} from '../standin/index.js';
import type {
	EngineStandin, HostsStandin, ServiceStandin, TableStandin,
} from '../standin/index.js';
import {openTable} from '../table/index.js';
import type {Table} from '../table/index.js';
import {describeConfig} from './deployments.js';
import type {Deployment, PoolPlan} from './deployments.js';

/** One agent with the stand-in endpoint beside it. */
export type Replica = Readonly<{agent: Agent; pool: string; engine: EngineStandin | undefined; service: ServiceStandin | undefined}>;

/** A deployment with all its processes' duties in this one process. */
export type Fleet = Readonly<{
	deployment: Deployment;
	table: TableStandin;
	hosts: HostsStandin;
	routers: readonly Router[];
	replicas: readonly Replica[];
	/** The key of the operator `demo`. */
	operatorKey: string;
	startReplica: (pool: PoolPlan, dataCentre: string) => Promise<Replica>;
	startRouter: (dataCentre: string) => Promise<Router>;
	stop: () => Promise<void>;
}>;

type FleetOptions = Readonly<{
	deployment: Deployment;
	log: Log;
	policy?: GrantPolicy;
	/** Where the first router listens for callers; any free port unless stated. */
	listen?: string;
	writesPerSecond?: number;
	/** Milliseconds that the host list lags. */
	lag?: number;
	record?: RouterOptions['record'];
	/** Puts something between a router and the table, such as a cut. */
	wrapTable?: (table: Table) => Table;
}>;

const anyPort = '127.0.0.1:0';
const operatorKey = 'operator-key-for-demonstrations';
const storeTimeout = 1000; // Milliseconds
const serviceCapacity = 16;
const maxBody = 4 * 1024 * 1024; // Bytes
const maxHeaders = 16 * 1024; // Bytes

const describeHost = (id: string, service: 'galena-router' | 'galena-agent', control: string) => {
	const {host, port} = parseAddress(control);
	return {
		id, service, address: host, port, isLeaving: false,
	};
};

/**
Starts a deployment on loopback ports: the stand-ins of the platform, an agent
beside each stand-in endpoint, and a router for each data centre.

@param options - What to start.
@returns The running fleet, with its configuration applied and budgets paid in.
*/
export const startFleet = async (options: FleetOptions): Promise<Fleet> => {
	const {deployment, log} = options;
	const table = await startTable({
		at: parseAddress(anyPort), writesPerSecond: options.writesPerSecond ?? 500, readsPerSecond: 2000, seed: 1,
	});
	const hosts = await startHosts({at: parseAddress(anyPort), lag: options.lag ?? 50});
	const hostList = openHostList(`http://${hosts.address}`);

	const openClient = (): Table => {
		const client = openTable({address: `http://${table.address}`, tableName: 'galena', timeout: storeTimeout});
		return options.wrapTable?.(client) ?? client;
	};

	const startOneRouter = async (dataCentre: string, listen = anyPort): Promise<Router> => {
		const router = await startRouter({
			listen: parseAddress(listen),
			control: parseAddress(anyPort),
			dataCentre,
			table: openClient(),
			hosts: hostList,
			policy: options.policy ?? defaultPolicy,
			operators: {demo: hashKey(operatorKey)},
			maxBody,
			maxHeaders,
			seed: 1,
			log,
			...(options.record !== undefined && {record: options.record}),
		});
		hosts.register(describeHost(router.control, 'galena-router', router.control));
		return router;
	};

	const startReplica = async (pool: PoolPlan, dataCentre: string): Promise<Replica> => {
		const engine = pool.kind === 'engine' ? await startEngine({at: parseAddress(anyPort), model: pool.model, size: defaultSize}) : undefined;
		const service = pool.kind === 'service' ? await startService(parseAddress(anyPort)) : undefined;
		const agent = await startAgent({
			listen: parseAddress(anyPort),
			dataCentre,
			pool: pool.name,
			endpoint: `http://${(engine ?? service)?.address ?? ''}`,
			kind: pool.kind,
			capacity: pool.kind === 'engine' ? defaultSize.maxRunning : serviceCapacity,
			async listRouters() {
				const routers = await hostList.list('galena-router');
				return routers.map(router => router.address);
			},
			incarnation: `a-${randomUUID()}`,
			log,
		});
		hosts.register(describeHost(agent.address, 'galena-agent', agent.address));
		return {
			agent, pool: pool.name, engine, service,
		};
	};

	const pickDataCentre = (index: number): string => deployment.dataCentres[index % deployment.dataCentres.length] ?? '';
	const plans = deployment.pools.flatMap(pool => Array.from({length: pool.replicas}, (_, index) => ({pool, dataCentre: pickDataCentre(index)})));
	const replicas = await Promise.all(plans.map(async ({pool, dataCentre}) => startReplica(pool, dataCentre)));
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
	await applyPlan(fleet);
	return fleet;
};

const pollInterval = 50; // Milliseconds

/**
Waits until something holds.

@param what - What is waited for, for the error.
@param holds - Tells whether it holds.
@param limit - Milliseconds at the most.
*/
export const waitFor = async (what: string, holds: () => boolean | Promise<boolean>, limit = 20_000): Promise<void> => {
	if (await holds()) {
		return;
	}

	if (limit <= 0) {
		throw new Error(`gave up waiting for ${what}`);
	}

	await sleep(pollInterval);
	await waitFor(what, holds, limit - pollInterval);
};

/** Calls the operators' interface of a router. */
const callOperator = async (fleet: Fleet, method: string, path: string, body: unknown, headers: Readonly<Record<string, string>> = {}): Promise<Response> => {
	const [router] = fleet.routers;
	return fetch(`http://${router?.address ?? ''}${path}`, {
		method, headers: {authorization: `Bearer ${fleet.operatorKey}`, 'content-type': 'application/json', ...headers}, body: JSON.stringify(body),
	});
};

const isReady = (fleet: Fleet): boolean => fleet.routers.every(router => {
	const state = router.getState();
	const open = state.members.filter(member => member.link === 'open' && state.reach.members.has(member.agent));
	return state.config.revision > 0 && state.reach.row === 'active' && open.size === fleet.replicas.length;
});

const applyPlan = async (fleet: Fleet): Promise<void> => {
	await waitFor('a configuration to be accepted', async () => {
		const response = await callOperator(fleet, 'PUT', '/operator/v1/config?why=first', describeConfig(fleet.deployment), {'if-match': '0'});
		return response.ok;
	});
	await Promise.all(fleet.deployment.organisations.map(async organisation => {
		const response = await callOperator(fleet, 'POST', `/operator/v1/budgets/${organisation.name}`, {change: `first-${organisation.name}`, add: organisation.tokens, why: 'prepaid'});
		if (!response.ok) {
			throw new Error(`top-up of ${organisation.name}: ${await response.text()}`);
		}
	}));
	await waitFor('every router to reach every agent', () => isReady(fleet));
};
