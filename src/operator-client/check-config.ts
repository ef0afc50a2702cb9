import {readFileSync} from 'node:fs';
import {
	checkClasses, checkRouting, diffConfigs, formatChange, formatFinding, listClassEntries,
} from '../config-check/index.js';
import type {
	Change, ConfigEntry, Finding, RouterBounds,
} from '../config-check/index.js';
import {checkConfig} from '../config/index.js';
import {edgeSettings, listRegions} from '../edge/settings.js';
import {fail, succeed} from '../errors/index.js';
import type {Fault, Result} from '../errors/index.js';
import {decodeWrittenConfig, describeWarning} from '../platform/stated-config.js';
import {readSettings} from '../settings/index.js';
import type {OperatorClient} from './client.js';
import {isSuccess} from './commands.js';
import type {CommandResult, CurrentConfig} from './commands.js';
import {parseConfigFile} from './config-file.js';

/** A configuration that routers accept. */
type AcceptedConfig = Readonly<{warnings: readonly Finding[]; entries: readonly ConfigEntry[]}>;

/** Checks a text; fails with what routers refuse. */
type Check = (file: string, text: string, bounds: RouterBounds) => Result<AcceptedConfig, readonly Fault[]>;

/** Checks by the format of the text. */
const checks: Readonly<Record<'ini' | 'json', Check>> = {
	ini(file, text) {
		const config = parseConfigFile(file, text).andThen(document => checkConfig(document));
		return config.err ? fail([config.val]) : succeed({warnings: checkClasses(config.val), entries: listClassEntries(config.val)});
	},
	json: (_file, text, bounds) => decodeWrittenConfig(text).map(({config, entries}) => ({
		entries,
		warnings: [
			...config.homeRegions.flatMap(({field, problem}): readonly Finding[] => problem === undefined ? [] : [{severity: 'warning', path: field, problem}]),
			...checkRouting(config, bounds).map(warning => describeWarning(warning)),
		],
	})),
};

/**
Checks a configuration: that of organisations and classes, in INI format, or that of the platform's operator, in JSON.

@param file - Name of the file, for messages.
@param text - Its content.
@param bounds - Settings of the routers that read it.
@returns Its entries and warnings, or the faults with which routers refuse it.
*/
export const checkConfigText: Check = (file, text, bounds) => checks[text.trimStart().startsWith('{') ? 'json' : 'ini'](file, text, bounds);

/** Splits the detail of a fault into the field and the problem. */
const convertFault = ({detail}: Fault): Finding => {
	const [path = '', ...problem] = detail.split(': ');
	return {severity: 'error', path, problem: problem.join(': ')};
};

/** Bounds of routers whose settings are not known. */
const unknownBounds: RouterBounds = {retries: undefined, regions: undefined};

const readBounds = (file: string | undefined): Result<RouterBounds> => file === undefined
	? succeed(unknownBounds)
	: readSettings(file, edgeSettings).map(settings => ({
		retries: {ratio: settings.bounds['repeat-ratio'], slack: settings.bounds['repeat-slack']}, regions: listRegions(settings),
	}));

const formatResult = (file: string, findings: readonly Finding[], changes: readonly Change[]): CommandResult => {
	const errorCount = findings.filter(({severity}) => severity === 'error').length;
	const counts = errorCount > 0 ? `${errorCount} errors` : `ok, ${findings.length} warnings`;
	return {
		isDone: errorCount === 0,
		lines: [...findings.map(finding => formatFinding(finding)), ...changes.map(change => formatChange(change)), `${file}: ${counts}`],
		json: {
			file,
			findings: findings.map(finding => ({...finding})),
			changes: changes.map(change => Object.fromEntries(Object.entries(change).flatMap(([key, value]) => value === undefined ? [] : [[key, value]]))),
		},
	};
};

type CheckOptions = Readonly<{
	file: string;
	/** File of the version that the file is compared with; undefined for no comparison. */
	base: string | undefined;
	/** Settings file of the routers. */
	settings: string | undefined;
	/** The router whose version in force the file is compared with; undefined for no comparison. */
	client: OperatorClient | undefined;
}>;

const readBaseEntries = async ({base, client}: CheckOptions): Promise<Result<readonly ConfigEntry[] | undefined, readonly Fault[]>> => {
	if (client !== undefined) {
		const reply = await client.call('GET', '/operator/v1/config');
		return isSuccess(reply) ? succeed(listClassEntries((reply.body as unknown as CurrentConfig).config)) : fail([reply.body as unknown as Fault]);
	}

	return base === undefined
		? succeed(undefined)
		: checkConfigText(base, readFileSync(base, 'utf8'), unknownBounds).map(({entries}) => entries);
};

/**
Checks a configuration file before it is sent, and lists what it changes.

@param options - The file, what it is compared with, and the settings of the routers.
@returns The findings and changes; not done if routers refuse the file, or what it is compared with cannot be read.
@throws If a file cannot be read, or the router cannot be reached.
*/
export const checkConfigFile = async (options: CheckOptions): Promise<CommandResult> => {
	const {file, settings} = options;
	const bounds = readBounds(settings);
	if (bounds.err) {
		return formatResult(file, [convertFault(bounds.val)], []);
	}

	const checked = checkConfigText(file, readFileSync(file, 'utf8'), bounds.val);
	if (checked.err) {
		return formatResult(file, checked.val.map(fault => convertFault(fault)), []);
	}

	const base = await readBaseEntries(options);
	return base.err
		? formatResult(file, base.val.map(fault => convertFault(fault)), [])
		: formatResult(file, checked.val.warnings, base.val === undefined ? [] : diffConfigs(base.val, checked.val.entries));
};
