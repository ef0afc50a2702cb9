#!/usr/bin/env node
import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {checkConfigFile} from '../operator-client/check-config.js';
import {createOperatorClient} from '../operator-client/client.js';
import type {OperatorClient} from '../operator-client/client.js';
import {
	applyConfig, drainAgent, resolveAgent, resolveClaim, updateClassTargets, showAudit, showBudget, showConfig, showStatus, topUpBudget,
} from '../operator-client/commands.js';
import type {CommandResult} from '../operator-client/commands.js';
import {duration} from '../settings/index.js';
import {exitCodes, exitWithUsageError, version} from './program.js';

type CommonOptions = Readonly<{router: string; key: string; json: boolean}>;

const reportResult = async (commonOptions: CommonOptions, command: () => Promise<CommandResult>): Promise<void> => {
	try {
		const result = await command();
		const output = commonOptions.json ? JSON.stringify(result.json) : result.lines.join('\n');
		(result.isDone ? process.stdout : process.stderr).write(`${output}\n`);
		process.exitCode = result.isDone ? exitCodes.success : exitCodes.failure;
	} catch (error) {
		const isFileError = error instanceof Error && 'path' in error;
		process.stderr.write(`${isFileError ? '' : `${commonOptions.router}: `}${error instanceof Error ? error.message || error.name : String(error)}\n`);
		process.exitCode = isFileError ? exitCodes.usage : exitCodes.failure;
	}
};

const runCommand = async (commonOptions: CommonOptions, command: (client: OperatorClient) => Promise<CommandResult>): Promise<void> =>
	reportResult(commonOptions, async () => command(createOperatorClient(commonOptions.router, commonOptions.key)));

const parseDuration = (optionName: string) => (text: string): number => {
	const parsed = duration.safeParse(text);
	if (!parsed.success) {
		throw new Error(`--${optionName}: ${parsed.error.issues[0]?.message ?? 'is not a duration'}`);
	}

	return parsed.data;
};

const reasonOption = {type: 'string', default: '', describe: 'reason, for the audit trail'} as const;

const omitUndefined = (targets: Readonly<Record<string, number | undefined>>): Readonly<Record<string, number>> =>
	Object.fromEntries(Object.entries(targets).flatMap(([name, value]): Array<[string, number]> => value === undefined ? [] : [[name, value]]));

await yargs(hideBin(process.argv))
	.scriptName('galenactl')
	.usage('$0 <command>\n\nShows and changes the configuration, budgets and state of a galenagauge deployment.')
	.env('GALENA')
	.option('router', {type: 'string', default: 'http://127.0.0.1:8080', describe: 'address of a router (GALENA_ROUTER)'})
	.option('key', {type: 'string', describe: 'the operator\'s API key (GALENA_KEY); not needed for a check without --current'})
	.option('json', {type: 'boolean', default: false, describe: 'print JSON'})
	.command('status', 'show the status of a router', {}, async options => runCommand(options as unknown as CommonOptions, showStatus))
	.command('audit', 'show the audit trail of operator changes', builder => builder.option('since', {type: 'string', describe: 'ISO 8601 time of the earliest change to show'}), async options =>
		runCommand(options as unknown as CommonOptions, async client => showAudit(client, options.since)))
	.command('config <action> [file]', 'show the configuration, or apply a file', builder => builder
		.positional('action', {choices: ['show', 'apply'] as const, demandOption: true})
		.positional('file', {type: 'string', describe: 'configuration file, in INI format'})
		.option('base', {type: 'number', describe: 'revision that the file is based on'})
		.option('wait', {type: 'string', coerce: parseDuration('wait'), describe: 'maximum time to wait until all routers and agents have applied it, as in 15s'})
		.option('why', reasonOption)
		.check(options => options.action === 'show' || options.file !== undefined || 'config apply needs a file'), async options =>
		runCommand(options as unknown as CommonOptions, async client => options.action === 'show'
			? showConfig(client)
			: applyConfig(client, {
				file: options.file ?? '', why: options.why, base: options.base, wait: options.wait,
			})))
	.command('check <file>', 'check a configuration file, and list what it changes', builder => builder
		.positional('file', {type: 'string', demandOption: true, describe: 'configuration of organisations and classes in INI format, or of the platform\'s operator in JSON'})
		.option('base', {type: 'string', describe: 'file of the version to compare with', conflicts: 'current'})
		.option('current', {type: 'boolean', describe: 'compare with the version in force at the router'})
		.option('settings', {type: 'string', describe: 'settings file of the routers, for what they permit'}), async options => {
		const commonOptions = options as unknown as CommonOptions;
		return reportResult(commonOptions, async () => checkConfigFile({
			file: options.file,
			base: options.base,
			settings: options.settings,
			client: options.current ? createOperatorClient(commonOptions.router, commonOptions.key) : undefined,
		}));
	})
	.command('target <class>', 'change the latency targets of a request class', builder => builder
		.positional('class', {type: 'string', demandOption: true})
		.option('first-token', {type: 'string', coerce: parseDuration('first-token')})
		.option('gap', {type: 'string', coerce: parseDuration('gap')})
		.option('whole', {type: 'string', coerce: parseDuration('whole')})
		.option('why', reasonOption), async options =>
		runCommand(options as unknown as CommonOptions, async client => updateClassTargets(client, options.class, omitUndefined({
			firstToken: options.firstToken, gap: options.gap, whole: options.whole,
		}), options.why)))
	.command('budget <budget>', 'show a budget, or add tokens to it', builder => builder
		.positional('budget', {type: 'string', demandOption: true})
		.option('add', {type: 'number', describe: 'tokens to add'})
		.option('change', {type: 'string', describe: 'change id; a change with the same id is applied only once'})
		.option('why', reasonOption), async options =>
		runCommand(options as unknown as CommonOptions, async client => options.add === undefined
			? showBudget(client, options.budget)
			: topUpBudget(client, {
				budget: options.budget, add: options.add, change: options.change, why: options.why,
			})))
	.command('drain <agent>', 'drain an agent: running attempts may end, new ones are not accepted', builder => builder
		.positional('agent', {type: 'string', demandOption: true})
		.option('why', reasonOption), async options =>
		runCommand(options as unknown as CommonOptions, async client => drainAgent(client, options.agent, options.why)))
	.command('resolve', 'record the outcome of a request that must not be repeated, or that an agent will not return', builder => builder
		.option('organisation', {type: 'string', implies: 'idempotency-key'})
		.option('idempotency-key', {type: 'string', implies: 'outcome'})
		.option('outcome', {choices: ['ran', 'not-run'] as const})
		.option('agent', {type: 'string', conflicts: 'organisation'})
		.option('why', reasonOption)
		.check(options => options.agent !== undefined || options.organisation !== undefined || 'resolve needs --agent or --organisation'), async options =>
		runCommand(options as unknown as CommonOptions, async client => options.agent === undefined
			? resolveClaim(client, {organisation: options.organisation ?? '', key: options.idempotencyKey ?? ''}, options.outcome ?? 'ran', options.why)
			: resolveAgent(client, options.agent, options.why)))
	.demandCommand(1, 'a command is required')
	.check(options => options.key !== undefined || (options._[0] === 'check' && options.current !== true) || 'Missing required argument: key')
	.strict()
	.version(version)
	.fail(exitWithUsageError)
	.parseAsync();
