import {watchFile} from 'node:fs';
import process from 'node:process';
import {createRequire} from 'node:module';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import type {z} from 'zod';
import type {Result} from '../errors/index.js';
import {runInBackground} from '../loop/background.js';
import {readSettings} from '../settings/index.js';

/** Exit codes of all programs. */
export const exitCodes = {success: 0, failure: 1, usage: 2} as const;

/** Version of the package, from package.json. */
export const {version} = (createRequire(import.meta.url)('../../package.json') as {version: string});

/** A started program. */
export type RunningProgram<Settings = unknown> = Readonly<{
	/** Shuts the program down gracefully. */
	stop: () => Promise<void>;
	/** Called on SIGHUP and when the settings file has changed, with the new settings or the error in them. */
	reload?: (settings: Result<Settings>) => void;
}>;

/** Interval at which the settings file is checked for changes. */
const settingsPollIntervalMs = 5000;

type Daemon<Schema extends z.ZodType> = Readonly<{
	name: string;
	description: string;
	schema: Schema;
	/** Path of the settings file, if the command line does not give one. */
	defaultSettings?: string | undefined;
	start: (settings: z.output<Schema>) => Promise<RunningProgram<z.output<Schema>>>;
}>;

/**
Prints a usage error and exits with code 2.

@param message - The message of the command-line parser; may be empty.
@param error - The error that was thrown during parsing.
*/
export const exitWithUsageError = (message: string, error: Error): never => {
	process.stderr.write(`${message || String(error)}\n`);
	process.exit(exitCodes.usage);
};

/**
Returns valid settings. If they are invalid, prints the error and exits with code 2.

@param settings - The settings, or the error in them.
@returns The settings.
*/
export const getSettingsOrExit = <Settings>(settings: Result<Settings>): Settings => {
	if (settings.err) {
		process.stderr.write(`${settings.val.detail}\n`);
		process.exit(exitCodes.usage);
	}

	return settings.val;
};

/**
Shuts a program down gracefully on SIGTERM or SIGINT, then exits.

@param running - The program to stop.
*/
export const stopOnSignal = (running: Pick<RunningProgram, 'stop'>): void => {
	const stop = async () => {
		await running.stop();
		process.exit(exitCodes.success);
	};

	const stopInBackground = () => {
		runInBackground(stop);
	};

	process.once('SIGTERM', stopInBackground);
	process.once('SIGINT', stopInBackground);
};

/** Reloads the settings on SIGHUP, which would otherwise terminate the process, and when the file has changed. */
const reloadOnChange = <Settings>(path: string, read: () => Result<Settings>, reload: (settings: Result<Settings>) => void): void => {
	process.on('SIGHUP', () => {
		reload(read());
	});
	watchFile(path, {interval: settingsPollIntervalMs, persistent: false}, () => {
		reload(read());
	});
};

/**
Runs a daemon: reads its settings, starts it, and shuts it down gracefully on SIGTERM or SIGINT.

@param daemon - Name, settings schema and start function of the daemon.
*/
export const runDaemon = async <Schema extends z.ZodType>(daemon: Daemon<Schema>): Promise<void> => {
	const options = await yargs(hideBin(process.argv))
		.scriptName(daemon.name)
		.usage(`$0 --settings FILE\n\n${daemon.description}`)
		.option('settings', {
			type: 'string', demandOption: daemon.defaultSettings === undefined, default: daemon.defaultSettings, describe: 'settings file, in INI format',
		})
		.option('check', {type: 'boolean', default: false, describe: 'check the settings and exit'})
		.strict()
		.version(version)
		.exitProcess(true)
		.fail(exitWithUsageError)
		.parseAsync();
	const path = options.settings!;
	const settings = getSettingsOrExit(readSettings(path, daemon.schema));
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
