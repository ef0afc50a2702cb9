#!/usr/bin/env node
import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {runDemo} from '../local/demo.js';
import {association, studio} from '../local/deployments.js';
import type {Deployment} from '../local/deployments.js';
import {startFleet} from '../local/fleet.js';
import {openLog} from '../log/index.js';
import type {Log} from '../log/index.js';
import {
	exitCodes, failUsage, stopOnSignal, version,
} from './program.js';

const deployments: Readonly<Record<string, Deployment>> = {studio, association};

const write = (line: string) => {
	process.stdout.write(`${line}\n`);
};

const demonstrate = async (deployment: Deployment, log: Log): Promise<boolean> => {
	const pools = deployment.pools.map(pool => `${pool.replicas} x ${pool.name}`).join(', ');
	write(`${deployment.name}: ${deployment.dataCentres.length} data centres, ${pools}, ${deployment.organisations.length} organisations`);
	const fleet = await startFleet({deployment, log});
	const findings = await runDemo(fleet);
	findings.forEach(finding => {
		write(`  ${finding.isGood ? 'kept  ' : 'BROKEN'} ${finding.what}: ${finding.detail}`);
	});
	await fleet.stop();
	return findings.every(finding => finding.isGood);
};

const demonstrateAll = async (log: Log): Promise<void> => {
	const results = await Promise.all(Object.values(deployments).map(async deployment => demonstrate(deployment, log)));
	const isGood = results.every(Boolean);
	write(isGood ? 'every promise was kept' : 'a promise was broken');
	process.exit(isGood ? exitCodes.success : exitCodes.failure);
};

const stayUp = async (deployment: Deployment, listen: string, log: Log): Promise<void> => {
	const fleet = await startFleet({deployment, log, listen});
	const [router] = fleet.routers;
	const [organisation] = deployment.organisations;
	const model = deployment.pools.find(pool => pool.kind === 'engine')?.model ?? '';
	const body = JSON.stringify({model, stream: true, messages: [{role: 'user', content: 'Which stone suits a rose gold ring?'}]});
	write(`${deployment.name} is up. Ask it something:\n`);
	write(`curl -N http://${router?.address}/v1/chat/completions -H 'Authorization: Bearer ${organisation?.key}' -H 'Content-Type: application/json' -d '${body}'\n`);
	write(`See what it knows:\n\nGALENA_ROUTER=http://${router?.address} GALENA_KEY=${fleet.operatorKey} npx galenactl status\n`);
	stopOnSignal({
		async stop() {
			await Promise.all(fleet.routers.map(async each => each.drain()));
			await fleet.stop();
		},
	});
};

/** The commands' own options hide the type of the common one. */
const openDemoLog = (options: Readonly<Record<string, unknown>>): Log =>
	openLog({program: 'galena-local', level: options.log as 'silent' | 'info' | 'warn', metrics: undefined});

await yargs(hideBin(process.argv))
	.scriptName('galena-local')
	.usage('$0 <command>\n\nA whole fleet with its stand-ins in one process, on loopback ports.')
	.option('log', {choices: ['silent', 'info', 'warn'] as const, default: 'silent', describe: 'how much is logged'})
	.command('demo', 'run sample work of both deployments and check the promises', {}, async options =>
		demonstrateAll(openDemoLog(options)))
	.command('start', 'stay up, and print a request to try', builder => builder
		.option('deployment', {choices: ['studio', 'association'] as const, default: 'studio' as const})
		.option('listen', {type: 'string', default: '127.0.0.1:8080', describe: 'where the first router listens for callers'}), async options =>
		stayUp(deployments[options.deployment] ?? studio, options.listen, openDemoLog(options)))
	.demandCommand(1, 'name a command')
	.strict()
	.version(version)
	.fail(failUsage)
	.parseAsync();
