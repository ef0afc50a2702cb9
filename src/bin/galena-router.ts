#!/usr/bin/env node
import {openLog} from '../log/index.js';
import {openServiceRegistry} from '../router/service-registry.js';
import {startRouter} from '../router/router.js';
import {routerSettings} from '../router/settings.js';
import {createTableClient} from '../table/index.js';
import {runDaemon} from './program.js';

await runDaemon({
	name: 'galena-router',
	description: 'Accepts client and operator requests on an ingress host.',
	schema: routerSettings,
	async start(settings) {
		const {router, table, grants, limits} = settings;
		const log = openLog({program: 'galena-router', level: settings.log.level, metrics: settings.log.metrics});
		const started = await startRouter({
			listen: router.listen,
			control: router.control,
			dataCentre: router['data-centre'],
			table: createTableClient({address: table.address, tableName: table.name, timeout: table.timeout}),
			serviceRegistry: openServiceRegistry(router.hosts, log),
			policy: {
				kind: grants.policy, size: grants.size, horizon: grants.horizon / 1000, share: grants.share, refusalCost: grants['refusal-cost'],
			},
			operators: settings.operators,
			maxBodyBytes: limits.body,
			maxHeaderBytes: limits.headers,
			machine: {memoryMb: limits.memory, descriptors: limits.descriptors},
			seed: router.seed,
			log,
		});
		return {stop: started.drain};
	},
});
