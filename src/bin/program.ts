import process from 'node:process';
import {createRequire} from 'node:module';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import type {z} from 'zod';
import type {Result} from '../errors/index.js';
import {runInBackground} from '../loop/index.js';
import {readSettings} from '../settings/index.js';

/** Exit codes of every program. */
export const exitCodes = {success: 0, failure: 1, usage: 2} as const;

/** The version in package.json. */
export const {version} = (createRequire(import.meta.url)('../../package.json') as {version: string});

/** A program that runs until it is told to stop. */
export type Running = Readonly<{stop: () => Promise<void>}>;

type Daemon<Schema extends z.ZodType> = Readonly<{
	name: string;
	description: string;
	schema: Schema;
	start: (settings: z.output<Schema>) => Promise<Running>;
}>;

/**
Ends a program whose command line is wrong.

@param message - What is wrong.
@param error - Thrown while it was read.
*/
export const failUsage = (message: string, error: Error): never => {
	process.stderr.write(`${message || String(error)}\n`);
	process.exit(exitCodes.usage);
};

/**
Reads settings, or ends the program with the reason.

@param settings - The settings or what is wrong with them.
@returns The settings.
*/
export const requireSettings = <Settings>(settings: Result<Settings>): Settings => {
	if (settings.err) {
		process.stderr.write(`${settings.val.detail}\n`);
		process.exit(exitCodes.usage);
	}

	return settings.val;
};

/**
Stops what runs in good order on SIGTERM or SIGINT, then ends the program.

@param running - What runs.
*/
export const stopOnSignal = (running: Running): void => {
	const stop = async () => {
		await running.stop();
		process.exit(exitCodes.success);
	};

	const stopOnce = () => {
		runInBackground(stop);
	};

	process.once('SIGTERM', stopOnce);
	process.once('SIGINT', stopOnce);
};

/**
Runs a daemon: reads its settings, starts it, and stops it in good order on
SIGTERM or SIGINT.

@param daemon - The daemon.
*/
export const runDaemon = async <Schema extends z.ZodType>(daemon: Daemon<Schema>): Promise<void> => {
	const options = await yargs(hideBin(process.argv))
		.scriptName(daemon.name)
		.usage(`$0 --settings FILE\n\n${daemon.description}`)
		.option('settings', {type: 'string', demandOption: true, describe: 'settings file, in INI'})
		.option('check', {type: 'boolean', default: false, describe: 'only check the settings'})
		.strict()
		.version(version)
		.exitProcess(true)
		.fail(failUsage)
		.parseAsync();
	const settings = requireSettings(readSettings(options.settings, daemon.schema));
	if (options.check) {
		process.stdout.write(`${options.settings}: ok\n`);
		return;
	}

	const running = await daemon.start(settings);
	stopOnSignal(running);
};
