#!/usr/bin/env node
import {openLog} from '../log/index.js';
import {
	defaultEngineProfile, startEngine, startHosts, startService, startTable,
} from '../standin/index.js';
import {standinSettings} from '../standin/settings.js';
import {runDaemon} from './program.js';

await runDaemon({
	name: 'galena-standin',
	description: 'Simulates the platform or an endpoint in tests and demonstrations.',
	schema: standinSettings,
	async start(settings) {
		const log = openLog({program: 'galena-standin', level: settings.log.level, metrics: settings.log.metrics});
		const {table, hosts, engine, service} = settings;
		const started = await Promise.all([
			table && startTable({
				at: table.listen, writesPerSecond: table['writes-per-second'], readsPerSecond: table['reads-per-second'], seed: table.seed,
			}),
			hosts && startHosts({at: hosts.listen, lag: hosts.lag}),
			engine && startEngine({at: engine.listen, model: engine.model, size: {...defaultEngineProfile, maxRunning: engine['max-running']}}),
			service && startService(service.listen),
		]);
		const standins = started.flatMap(standin => standin ?? []);
		standins.forEach(standin => {
			log.event('standin-started', {address: standin.address});
		});
		return {
			async stop() {
				await Promise.all(standins.map(async standin => standin.close()));
			},
		};
	},
});
