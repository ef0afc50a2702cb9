import {watchFile} from 'node:fs';
import process from 'node:process';
import {createRequire} from 'node:module';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import type {z} from 'zod';
import type {Result} from '../errors/index.js';
import {runInBackground} from '../loop/background.js';
import {readSettings} from '../settings/index.js';

/** Exit codes of every program. */
export const exitCodes = {success: 0, failure: 1, usage: 2} as const;

/** The version in package.json. */
export const {version} = (createRequire(import.meta.url)('../../package.json') as {version: string});

/** A program that runs until it is told to stop. */
export type Running<Settings = unknown> = Readonly<{
	stop: () => Promise<void>;
	/** Told the settings again on SIGHUP, and when the file has changed: the new ones, or what is wrong with them. */
	reload?: (settings: Result<Settings>) => void;
}>;

/** Milliseconds between looks at whether the settings file has changed without a signal. */
const settingsInterval = 5000;

type Daemon<Schema extends z.ZodType> = Readonly<{
	name: string;
	description: string;
	schema: Schema;
	/** The settings file unless the command line names one. */
	defaultSettings?: string | undefined;
	start: (settings: z.output<Schema>) => Promise<Running<z.output<Schema>>>;
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
export const stopOnSignal = (running: Pick<Running, 'stop'>): void => {
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

/** Reads the settings again on SIGHUP, which would otherwise end the process, and when the file has changed. */
const reloadOnChange = <Settings>(path: string, read: () => Result<Settings>, reload: (settings: Result<Settings>) => void): void => {
	process.on('SIGHUP', () => {
		reload(read());
	});
	watchFile(path, {interval: settingsInterval, persistent: false}, () => {
		reload(read());
	});
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
		.option('settings', {
			type: 'string', demandOption: daemon.defaultSettings === undefined, default: daemon.defaultSettings, describe: 'settings file, in INI',
		})
		.option('check', {type: 'boolean', default: false, describe: 'only check the settings'})
		.strict()
		.version(version)
		.exitProcess(true)
		.fail(failUsage)
		.parseAsync();
	const path = options.settings!;
	const settings = requireSettings(readSettings(path, daemon.schema));
	if (options.check) {
		process.stdout.write(`${path}: ok\n`);
		return;
	}

	const running = await daemon.start(settings);
	stopOnSignal(running);
	if (running.reload !== undefined) {
		reloadOnChange(path, () => readSettings(path, daemon.schema), running.reload);
	}
};
