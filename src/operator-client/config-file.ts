import {z} from 'zod';
import type {ConfigDocument} from '../config/index.js';
import {fail, succeed} from '../errors/index.js';
import type {Result} from '../errors/index.js';
import {
	parseSettings, wholeNumber, duration, label,
} from '../settings/index.js';

/** A comma-separated list such as `a, b`. */
const commaSeparatedList = z.string().transform(text => text.split(',').map(item => item.trim()).filter(item => item !== ''));

const classSection = z.strictObject({
	pool: label,
	kind: z.enum(['chat', 'call', 'act']),
	'first-token': duration.optional(),
	gap: duration.optional(),
	whole: duration.optional(),
	'give-up': duration.optional(),
	priority: wholeNumber.optional(),
	'output-cap': wholeNumber.optional(),
	price: wholeNumber.optional(),
	paths: commaSeparatedList.optional(),
});

const organisationSection = z.strictObject({
	/** SHA-256 hash of each API key. */
	keys: commaSeparatedList,
	budget: label,
	classes: commaSeparatedList,
	'default-class': label.optional(),
});

const configFile = z.strictObject({
	class: z.record(label, classSection).prefault({}),
	organisation: z.record(label, organisationSection).prefault({}),
});

type ClassSection = z.output<typeof classSection>;
type OrganisationSection = z.output<typeof organisationSection>;

const defaults = {
	firstToken: 1000, gap: 200, whole: 30_000, priority: 50, outputCap: 1024, price: 0, paths: [],
};

const omitUndefined = <Fields extends Readonly<Record<string, unknown>>>(fields: Fields): Fields =>
	Object.fromEntries(Object.entries(fields).filter(([, value]) => value !== undefined)) as Fields;

const buildClass = (section: ClassSection): ConfigDocument['classes'][string] => ({
	...defaults,
	...omitUndefined({
		pool: section.pool,
		kind: section.kind,
		firstToken: section['first-token'] ?? defaults.firstToken,
		gap: section.gap ?? defaults.gap,
		whole: section.whole ?? defaults.whole,
		giveUp: section['give-up'],
		priority: section.priority ?? defaults.priority,
		outputCap: section['output-cap'] ?? defaults.outputCap,
		price: section.price ?? defaults.price,
		paths: section.paths ?? defaults.paths,
	}),
});

const buildOrganisation = (section: OrganisationSection): ConfigDocument['organisations'][string] => omitUndefined({
	keys: section.keys, budget: section.budget, classes: section.classes, defaultClass: section['default-class'],
});

const mapValues = <From, To>(record: Readonly<Record<string, From>>, convert: (value: From) => To): Readonly<Record<string, To>> =>
	Object.fromEntries(Object.entries(record).map(([key, value]) => [key, convert(value)]));

/**
Parses a configuration file in INI format, with `[class.NAME]` and `[organisation.NAME]` sections.

@param fileName - Name of the file, for error messages.
@param fileText - Content of the file.
@returns The configuration, or an error with the section, key and line.
*/
export const parseConfigFile = (fileName: string, fileText: string): Result<ConfigDocument> => {
	const result = parseSettings(fileName, fileText, configFile);
	return result.err
		? fail(result.val)
		: succeed({
			classes: mapValues(result.val.class, buildClass),
			organisations: mapValues(result.val.organisation, buildOrganisation),
		});
};
