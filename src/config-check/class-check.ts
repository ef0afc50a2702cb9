import type {ConfigDocument} from '../config/index.js';
import {listFields} from './difference.js';
import type {ConfigEntry} from './difference.js';
import {reportIf} from './finding.js';
import type {Finding} from './finding.js';

type WorkClass = ConfigDocument['classes'][string];

/** Returns what is wrong with a class; undefined if nothing is. */
type Rule = (workClass: WorkClass, name: string, config: ConfigDocument) => string | undefined;

const listUsers = (name: string, {organisations}: ConfigDocument): readonly string[] => Object.entries(organisations).filter(([, {classes}]) => classes.includes(name)).map(([user]) => user);

const findSharedPath: Rule = ({kind, pool, paths}, name, {classes, organisations}) => {
	const earlier = Object.values(organisations)
		.flatMap(({classes: usable}) => usable.includes(name) ? usable.slice(0, usable.indexOf(name)) : [])
		.find(each => classes[each]?.kind !== 'chat' && classes[each]?.pool === pool && paths.some(path => classes[each]!.paths.includes(path)));
	return reportIf(kind !== 'chat' && earlier !== undefined, `has a path that counts for class ${earlier ?? ''}, unless requests name their class`);
};

/** Rules for classes of work, each with the field that it is about. */
const classRules: ReadonlyArray<readonly [string, Rule]> = [
	['name', (_workClass, name, config) => reportIf(listUsers(name, config).length === 0, 'gets no requests: no organisation may use it')],
	['paths', ({kind, paths}) => reportIf(kind === 'chat' && paths.length > 0, 'has no effect: chat requests name their class')],
	['paths', findSharedPath],
	['give-up', ({giveUp, whole}) => reportIf(giveUp !== undefined && giveUp < whole, `is before the target for the whole answer: ${whole} ms`)],
	['first-token', ({firstToken, whole}) => reportIf(firstToken > whole, `is beyond the target for the whole answer: ${whole} ms`)],
	['price', ({kind, price}) => reportIf(kind === 'chat' && price > 0, 'has no effect: chat requests are charged by token')],
];

const findDefaultClassProblem = ({classes, defaultClass}: ConfigDocument['organisations'][string], config: ConfigDocument): string | undefined => {
	if (defaultClass === undefined) {
		return undefined;
	}

	return classes.includes(defaultClass)
		? reportIf(config.classes[defaultClass]?.kind !== 'chat', `is not for chat completions: ${defaultClass}`)
		: `is not among its classes: ${defaultClass}`;
};

/**
Finds what has no effect in a configuration of classes and organisations, or not the one that was meant. Routers accept such a configuration.

@param config - The configuration.
@returns The warnings.
*/
export const checkClasses = (config: ConfigDocument): readonly Finding[] => [
	...Object.entries(config.classes).flatMap(([name, workClass]) => classRules.flatMap(([field, find]): readonly Finding[] => {
		const problem = find(workClass, name, config);
		return problem === undefined ? [] : [{severity: 'warning', path: `class.${name}.${field}`, problem}];
	})),
	...Object.entries(config.organisations).flatMap(([name, organisation]): readonly Finding[] => {
		const problem = findDefaultClassProblem(organisation, config);
		return problem === undefined ? [] : [{severity: 'warning', path: `organisation.${name}.default-class`, problem}];
	}),
];

/**
Lists the entries of a configuration of classes and organisations.

@param config - The configuration.
@returns The entries, with the requests that depend on them.
*/
export const listClassEntries = (config: ConfigDocument): readonly ConfigEntry[] => [
	...Object.entries(config.classes).map(([name, workClass]) => ({
		label: `class ${name}`, scope: `requests of ${listUsers(name, config).join(', ') || 'no organisation'}`, fields: listFields(workClass),
	})),
	...Object.entries(config.organisations).map(([name, organisation]) => ({
		label: `organisation ${name}`, scope: `requests of ${name}`, fields: listFields(organisation),
	})),
];
