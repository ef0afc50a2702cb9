import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {explore} from './explore.js';
import type {Exploration} from './explore.js';
import {runSchedules} from './random.js';
import {breakages, scenarios} from './scenarios.js';
import type {Scenario} from './scenarios.js';

/**
`npm run check:model`: explores every scenario, or with `--runs` plays random
schedules. Ends with 1 if a promise was broken.
*/

const options = await yargs(hideBin(process.argv))
	.scriptName('check:model')
	.option('scenario', {type: 'string', choices: scenarios.map(scenario => scenario.name), describe: 'explore this one only'})
	.option('break', {type: 'string', choices: breakages.map(breakage => breakage.rule), describe: 'switch this safety rule off'})
	.option('limit', {type: 'number', default: 60_000, describe: 'transitions a scenario at the most'})
	.option('settle-every', {type: 'number', default: 20, describe: 'let one in so many states come to rest'})
	.option('runs', {type: 'number', default: 0, describe: 'play so many random schedules instead'})
	.option('seed', {type: 'number', default: 1, describe: 'seed of the random schedules'})
	.strict()
	.parseAsync();

const write = (line: string) => {
	process.stdout.write(`${line}\n`);
};

const describe = (scenario: Scenario, result: Exploration): string => {
	const end = result.isCut ? 'cut at the limit' : 'explored whole';
	return `${scenario.name}: ${result.states} states, depth ${result.depth}, ${result.settled} let come to rest, ${result.violation === undefined ? end : 'VIOLATION'}`;
};

const exploreOne = (scenario: Scenario): boolean => {
	const result = explore(scenario.create(options.break), {limit: options.limit, settleEvery: options.settleEvery});
	write(describe(scenario, result));
	result.violation?.trace.forEach((move, index) => {
		write(`  ${index + 1}. ${JSON.stringify(move)}`);
	});
	if (result.violation !== undefined) {
		write(`  ${result.violation.property}: ${result.violation.detail}`);
	}

	return result.violation === undefined;
};

const exploreAll = (): boolean => {
	const rule = breakages.find(breakage => breakage.rule === options.break);
	const name = options.scenario ?? rule?.scenario;
	return scenarios.filter(scenario => name === undefined || scenario.name === name).map(scenario => exploreOne(scenario)).every(Boolean);
};

const playAll = (): boolean => {
	const result = runSchedules({runs: options.runs, seed: options.seed, ...(options.break !== undefined && {broken: options.break})});
	write(result);
	return result.startsWith('ok');
};

process.exitCode = (options.runs > 0 ? playAll() : exploreAll()) ? 0 : 1;
