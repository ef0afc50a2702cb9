#!/usr/bin/env node
import {randomUUID} from 'node:crypto';
import {startAgent} from '../agent/agent.js';
import {agentSettings} from '../agent/settings.js';
import {openLog} from '../log/index.js';
import {openServiceRegistry} from '../router/service-registry.js';
import {runDaemon} from './program.js';

await runDaemon({
	name: 'galena-agent',
	description: 'Runs next to an endpoint and forwards all requests to it.',
	schema: agentSettings,
	async start({agent, log: {level, metrics}}) {
		const log = openLog({program: 'galena-agent', level, metrics});
		const registry = openServiceRegistry(agent.hosts, log);
		const started = await startAgent({
			listen: agent.listen,
			dataCentre: agent['data-centre'],
			pool: agent.pool,
			endpoint: agent.endpoint,
			kind: agent.kind,
			capacity: agent.capacity,
			async listRouters() {
				const routers = await registry.list('galena-router');
				return routers.map(router => router.address);
			},
			incarnation: `a-${randomUUID()}`,
			log,
		});
		return {stop: started.drain};
	},
});
