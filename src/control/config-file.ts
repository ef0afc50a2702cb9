import {z} from 'zod';
import type {ConfigDocument} from '../config/index.js';
import {fail, succeed} from '../errors/index.js';
import type {Result} from '../errors/index.js';
import {
	checkSettings, count, duration, label,
} from '../settings/index.js';

/** Splits a list such as `a, b`. */
const list = z.string().transform(text => text.split(',').map(item => item.trim()).filter(item => item !== ''));

const classSection = z.strictObject({
	pool: label,
	kind: z.enum(['chat', 'call', 'act']),
	'first-token': duration.optional(),
	gap: duration.optional(),
	whole: duration.optional(),
	'give-up': duration.optional(),
	priority: count.optional(),
	'output-cap': count.optional(),
	price: count.optional(),
	paths: list.optional(),
});

const organisationSection = z.strictObject({
	/** SHA-256 of each API key. */
	keys: list,
	budget: label,
	classes: list,
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

const omitMissing = <Fields extends Readonly<Record<string, unknown>>>(fields: Fields): Fields =>
	Object.fromEntries(Object.entries(fields).filter(([, value]) => value !== undefined)) as Fields;

const describeClass = (section: ClassSection): ConfigDocument['classes'][string] => ({
	...defaults,
	...omitMissing({
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

const describeOrganisation = (section: OrganisationSection): ConfigDocument['organisations'][string] => omitMissing({
	keys: section.keys, budget: section.budget, classes: section.classes, defaultClass: section['default-class'],
});

const mapValues = <From, To>(record: Readonly<Record<string, From>>, change: (value: From) => To): Readonly<Record<string, To>> =>
	Object.fromEntries(Object.entries(record).map(([key, value]) => [key, change(value)]));

/**
Reads a configuration that an operator wrote in INI: `[class.NAME]` and
`[organisation.NAME]` sections.

@param name - The file's name, for messages.
@param text - The file's text.
@returns The configuration, or a fault that names section, key and line.
*/
export const parseConfigFile = (name: string, text: string): Result<ConfigDocument> => {
	const checked = checkSettings(name, text, configFile);
	return checked.err
		? fail(checked.val)
		: succeed({
			classes: mapValues(checked.val.class, describeClass),
			organisations: mapValues(checked.val.organisation, describeOrganisation),
		});
};
