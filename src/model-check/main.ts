import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {explore} from './explore.js';
import type {Exploration} from './explore.js';
import {runSchedules} from './random.js';
import {disabledRuleCases, scenarios} from './scenarios.js';
import type {Scenario} from './scenarios.js';

/**
`npm run check:model`: explores every scenario, or with `--runs` runs random
schedules. Exits with 1 if a property was violated.
*/

const options = await yargs(hideBin(process.argv))
	.scriptName('check:model')
	.option('scenario', {type: 'string', choices: scenarios.map(scenario => scenario.name), describe: 'explore only this scenario'})
	.option('break', {type: 'string', choices: disabledRuleCases.map(ruleCase => ruleCase.rule), describe: 'disable this safety rule'})
	.option('limit', {type: 'number', default: 60_000, describe: 'maximum number of transitions per scenario'})
	.option('settle-every', {type: 'number', default: 20, describe: 'also check the settled cluster for one in this many states; 0 for none'})
	.option('runs', {type: 'number', default: 0, describe: 'run this many random schedules instead'})
	.option('seed', {type: 'number', default: 1, describe: 'seed of the random schedules'})
	.strict()
	.parseAsync();

const writeLine = (line: string) => {
	process.stdout.write(`${line}\n`);
};

const formatResult = (scenario: Scenario, result: Exploration): string => {
	const end = result.isLimitReached ? 'stopped at the transition limit' : 'explored completely';
	return `${scenario.name}: ${result.states} states, depth ${result.depth}, ${result.settled} settled, ${result.violation === undefined ? end : 'VIOLATION'}`;
};

const exploreOne = (scenario: Scenario): boolean => {
	const result = explore(scenario.create(options.break), {limit: options.limit, settleEvery: options.settleEvery});
	writeLine(formatResult(scenario, result));
	result.violation?.trace.forEach((transition, index) => {
		writeLine(`  ${index + 1}. ${JSON.stringify(transition)}`);
	});
	if (result.violation !== undefined) {
		writeLine(`  ${result.violation.property}: ${result.violation.detail}`);
	}

	return result.violation === undefined;
};

const exploreAll = (): boolean => {
	const ruleCase = disabledRuleCases.find(candidate => candidate.rule === options.break);
	const name = options.scenario ?? ruleCase?.scenario;
	return scenarios.filter(scenario => name === undefined || scenario.name === name).map(scenario => exploreOne(scenario)).every(Boolean);
};

const runRandomSchedules = (): boolean => {
	const result = runSchedules({runs: options.runs, seed: options.seed, ...(options.break !== undefined && {disabledRule: options.break})});
	writeLine(result);
	return result.startsWith('ok');
};

process.exitCode = (options.runs > 0 ? runRandomSchedules() : exploreAll()) ? 0 : 1;
