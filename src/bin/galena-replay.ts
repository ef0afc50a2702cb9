#!/usr/bin/env node
import {readFileSync} from 'node:fs';
import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {replayTrace} from '../trace/index.js';
import {exitCodes, exitWithUsageError, version} from './program.js';

const options = await yargs(hideBin(process.argv))
	.scriptName('galena-replay')
	.usage('$0 <file..>\n\nReplays recorded traces and compares the results with the recorded ones.')
	.command('$0 <file..>', false, builder => builder.positional('file', {type: 'string', array: true, demandOption: true}))
	.strict()
	.version(version)
	.fail(exitWithUsageError)
	.parseAsync();

const replayFile = (file: string): boolean => {
	const report = replayTrace(readFileSync(file, 'utf8'));
	if (report.err) {
		process.stderr.write(`${file}: ${report.val.detail}\n`);
		return false;
	}

	const {events, told} = report.val;
	process.stdout.write(`${file}: ok, ${events} events, ${Object.keys(told).length} clients answered\n`);
	return true;
};

const files = (options as unknown as Readonly<{file: readonly string[]}>).file;
process.exitCode = files.map(file => replayFile(file)).every(Boolean) ? exitCodes.success : exitCodes.failure;
