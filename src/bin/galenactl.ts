#!/usr/bin/env node
import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {openOperator} from '../control/client.js';
import type {OperatorClient} from '../control/client.js';
import {
	applyConfig, drainAgent, resolveAgent, resolveClaim, setTarget, showAudit, showBudget, showConfig, showStatus, topUpBudget,
} from '../control/commands.js';
import type {Outcome} from '../control/commands.js';
import {duration} from '../settings/index.js';
import {exitCodes, failUsage, version} from './program.js';

type Common = Readonly<{router: string; key: string; json: boolean}>;

const run = async (common: Common, command: (client: OperatorClient) => Promise<Outcome>): Promise<void> => {
	try {
		const outcome = await command(openOperator(common.router, common.key));
		const text = common.json ? JSON.stringify(outcome.json) : outcome.lines.join('\n');
		(outcome.isDone ? process.stdout : process.stderr).write(`${text}\n`);
		process.exitCode = outcome.isDone ? exitCodes.success : exitCodes.failure;
	} catch (error) {
		process.stderr.write(`${common.router}: ${error instanceof Error ? error.message || error.name : String(error)}\n`);
		process.exitCode = exitCodes.failure;
	}
};

const readDuration = (name: string) => (text: string): number => {
	const parsed = duration.safeParse(text);
	if (!parsed.success) {
		throw new Error(`--${name}: ${parsed.error.issues[0]?.message ?? 'is not a duration'}`);
	}

	return parsed.data;
};

const why = {type: 'string', default: '', describe: 'why, for the audit trail'} as const;

const omitMissing = (targets: Readonly<Record<string, number | undefined>>): Readonly<Record<string, number>> =>
	Object.fromEntries(Object.entries(targets).flatMap(([name, value]): Array<[string, number]> => value === undefined ? [] : [[name, value]]));

await yargs(hideBin(process.argv))
	.scriptName('galenactl')
	.usage('$0 <command>\n\nChanges and shows what operators of galenagauge may change and see.')
	.env('GALENA')
	.option('router', {type: 'string', default: 'http://127.0.0.1:8080', describe: 'a router (GALENA_ROUTER)'})
	.option('key', {type: 'string', demandOption: true, describe: 'the operator\'s key (GALENA_KEY)'})
	.option('json', {type: 'boolean', default: false, describe: 'write JSON'})
	.command('status', 'show what a router knows', {}, async options => run(options as unknown as Common, showStatus))
	.command('audit', 'show every change that operators made', builder => builder.option('since', {type: 'string', describe: 'ISO 8601 time'}), async options =>
		run(options as unknown as Common, async client => showAudit(client, options.since)))
	.command('config <action> [file]', 'show the configuration, or apply a file', builder => builder
		.positional('action', {choices: ['show', 'apply'] as const, demandOption: true})
		.positional('file', {type: 'string', describe: 'configuration file, in INI'})
		.option('base', {type: 'number', describe: 'revision that the file starts from'})
		.option('wait', {type: 'string', coerce: readDuration('wait'), describe: 'wait so long until it is in force everywhere, as in 15s'})
		.option('why', why)
		.check(options => options.action === 'show' || options.file !== undefined || 'config apply needs a file'), async options =>
		run(options as unknown as Common, async client => options.action === 'show'
			? showConfig(client)
			: applyConfig(client, {
				file: options.file ?? '', why: options.why, base: options.base, wait: options.wait,
			})))
	.command('target <class>', 'change the targets of a class of work', builder => builder
		.positional('class', {type: 'string', demandOption: true})
		.option('first-token', {type: 'string', coerce: readDuration('first-token')})
		.option('gap', {type: 'string', coerce: readDuration('gap')})
		.option('whole', {type: 'string', coerce: readDuration('whole')})
		.option('why', why), async options =>
		run(options as unknown as Common, async client => setTarget(client, options.class, omitMissing({
			firstToken: options.firstToken, gap: options.gap, whole: options.whole,
		}), options.why)))
	.command('budget <budget>', 'show a budget, or pay tokens into it', builder => builder
		.positional('budget', {type: 'string', demandOption: true})
		.option('add', {type: 'number', describe: 'tokens to pay in'})
		.option('change', {type: 'string', describe: 'change id: the same one is applied once'})
		.option('why', why), async options =>
		run(options as unknown as Common, async client => options.add === undefined
			? showBudget(client, options.budget)
			: topUpBudget(client, {
				budget: options.budget, add: options.add, change: options.change, why: options.why,
			})))
	.command('drain <agent>', 'take an agent out of service', builder => builder
		.positional('agent', {type: 'string', demandOption: true})
		.option('why', why), async options =>
		run(options as unknown as Common, async client => drainAgent(client, options.agent, options.why)))
	.command('resolve', 'say what became of an act, or that an agent is gone for good', builder => builder
		.option('organisation', {type: 'string', implies: 'idempotency-key'})
		.option('idempotency-key', {type: 'string', implies: 'outcome'})
		.option('outcome', {choices: ['ran', 'not-run'] as const})
		.option('agent', {type: 'string', conflicts: 'organisation'})
		.option('why', why)
		.check(options => options.agent !== undefined || options.organisation !== undefined || 'resolve needs --agent or --organisation'), async options =>
		run(options as unknown as Common, async client => options.agent === undefined
			? resolveClaim(client, {organisation: options.organisation ?? '', key: options.idempotencyKey ?? ''}, options.outcome ?? 'ran', options.why)
			: resolveAgent(client, options.agent, options.why)))
	.demandCommand(1, 'name a command')
	.strict()
	.version(version)
	.fail(failUsage)
	.parseAsync();
