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
	exitCodes, exitWithUsageError, stopOnSignal, version,
} from './program.js';

const deployments: Readonly<Record<string, Deployment>> = {studio, association};

const writeLine = (line: string) => {
	process.stdout.write(`${line}\n`);
};

const runDeploymentDemo = async (deployment: Deployment, log: Log): Promise<boolean> => {
	const pools = deployment.pools.map(pool => `${pool.replicas} x ${pool.name}`).join(', ');
	writeLine(`${deployment.name}: ${deployment.dataCentres.length} data centres, ${pools}, ${deployment.organisations.length} organisations`);
	const fleet = await startFleet({deployment, log});
	const findings = await runDemo(fleet);
	findings.forEach(finding => {
		writeLine(`  ${finding.hasPassed ? 'passed' : 'FAILED'} ${finding.description}: ${finding.detail}`);
	});
	await fleet.stop();
	return findings.every(finding => finding.hasPassed);
};

const runAllDemos = async (log: Log): Promise<void> => {
	const results = await Promise.all(Object.values(deployments).map(async deployment => runDeploymentDemo(deployment, log)));
	const hasPassed = results.every(Boolean);
	writeLine(hasPassed ? 'all checks passed' : 'some checks failed');
	process.exit(hasPassed ? exitCodes.success : exitCodes.failure);
};

const serveDeployment = async (deployment: Deployment, listen: string, log: Log): Promise<void> => {
	const fleet = await startFleet({deployment, log, listen});
	const [router] = fleet.routers;
	const [organisation] = deployment.organisations;
	const model = deployment.pools.find(pool => pool.kind === 'engine')?.model ?? '';
	const body = JSON.stringify({model, stream: true, messages: [{role: 'user', content: 'Which stone suits a rose gold ring?'}]});
	writeLine(`${deployment.name} is running. Send it a request:\n`);
	writeLine(`curl -N http://${router?.address}/v1/chat/completions -H 'Authorization: Bearer ${organisation?.key}' -H 'Content-Type: application/json' -d '${body}'\n`);
	writeLine(`Show its status:\n\nGALENA_ROUTER=http://${router?.address} GALENA_KEY=${fleet.operatorKey} npx galenactl status\n`);
	stopOnSignal({
		async stop() {
			await Promise.all(fleet.routers.map(async runningRouter => runningRouter.drain()));
			await fleet.stop();
		},
	});
};

/** Takes untyped options, as the types of a command's own options hide the common `log` option. */
const openLocalLog = (options: Readonly<Record<string, unknown>>): Log =>
	openLog({program: 'galena-local', level: options.log as 'silent' | 'info' | 'warn', metrics: undefined});

await yargs(hideBin(process.argv))
	.scriptName('galena-local')
	.usage('$0 <command>\n\nRuns a complete deployment in one process on loopback ports, with a simulated platform and simulated endpoints.')
	.option('log', {choices: ['silent', 'info', 'warn'] as const, default: 'silent', describe: 'log level'})
	.command('demo', 'run sample requests in both deployments and check the results', {}, async options =>
		runAllDemos(openLocalLog(options)))
	.command('start', 'run a deployment until stopped, and print an example request', builder => builder
		.option('deployment', {choices: ['studio', 'association'] as const, default: 'studio' as const})
		.option('listen', {type: 'string', default: '127.0.0.1:8080', describe: 'address on which the first router accepts client requests'}), async options =>
		serveDeployment(deployments[options.deployment] ?? studio, options.listen, openLocalLog(options)))
	.demandCommand(1, 'a command is required')
	.strict()
	.version(version)
	.fail(exitWithUsageError)
	.parseAsync();
