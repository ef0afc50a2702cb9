/** A named entry of a configuration. */
export type ConfigEntry = Readonly<{
	/** For example `route r1`. Unique in its configuration. */
	label: string;
	/** Which requests depend on it, as in `requests to shop.example/cart/`. */
	scope: string;
	/** Its values, by their paths in the entry. */
	fields: Readonly<Record<string, string>>;
}>;

/** A difference between two configurations. */
export type Change = Readonly<{
	kind: 'added' | 'removed' | 'changed';
	/** Label of the entry. */
	entry: string;
	/** Path of the field in the entry; undefined for an entry that was added or removed. */
	field: string | undefined;
	/** Values before and after; undefined where there is none. */
	before: string | undefined;
	after: string | undefined;
	/** Which requests it takes effect for. */
	scope: string;
}>;

/** Names by which the elements of a list are told apart, in order of preference. */
const elementNames = ['name', 'service'] as const;

const formatScalar = (value: unknown): string => typeof value === 'string' ? value : JSON.stringify(value);

const isObject = (value: unknown): value is Readonly<Record<string, unknown>> => typeof value === 'object' && value !== null && !Array.isArray(value);

const joinPath = (path: string, key: string): string => path === '' ? key : `${path}.${key}`;

const listElement = (element: unknown, path: string): ReadonlyArray<readonly [string, string]> => {
	if (!isObject(element)) {
		return [[joinPath(path, formatScalar(element)), 'listed']];
	}

	const nameField = elementNames.find(field => typeof element[field] === 'string');
	const {[nameField ?? '']: name, ...rest} = element;
	return listValues(rest, joinPath(path, formatScalar(name ?? '')));
};

const listValues = (value: unknown, path: string): ReadonlyArray<readonly [string, string]> => {
	if (Array.isArray(value)) {
		return value.flatMap(element => listElement(element, path));
	}

	return isObject(value)
		? Object.entries(value).flatMap(([key, each]) => listValues(each, joinPath(path, key)))
		: (value === undefined || value === null ? [] : [[path, formatScalar(value)]]);
};

/**
Lists the values of an entry. Elements of a list are told apart by their names, so that their order makes no difference.

@param value - The entry, as JSON.
@returns The values by path, such as `engine.slots`.
*/
export const listFields = (value: unknown): Readonly<Record<string, string>> => Object.fromEntries(listValues(value, ''));

const diffFields = (before: ConfigEntry, after: ConfigEntry): readonly Change[] => [...new Set([...Object.keys(before.fields), ...Object.keys(after.fields)])]
	.filter(field => before.fields[field] !== after.fields[field])
	.map(field => ({
		kind: 'changed', entry: after.label, field, before: before.fields[field], after: after.fields[field], scope: after.scope,
	}));

/**
Compares two configurations.

@param before - Entries of the one in force.
@param after - Entries of the one that is to replace it.
@returns What was removed, changed and added, in the order of the entries.
*/
export const diffConfigs = (before: readonly ConfigEntry[], after: readonly ConfigEntry[]): readonly Change[] => {
	const known = new Map(before.map(entry => [entry.label, entry]));
	const kept = new Set(after.map(({label}) => label));
	const whole = {field: undefined, before: undefined, after: undefined};
	return [
		...before.filter(({label}) => !kept.has(label)).map(({label, scope}): Change => ({
			kind: 'removed', entry: label, scope, ...whole,
		})),
		...after.flatMap((entry): readonly Change[] => {
			const earlier = known.get(entry.label);
			return earlier === undefined
				? [{
					kind: 'added', entry: entry.label, scope: entry.scope, ...whole,
				}]
				: diffFields(earlier, entry);
		}),
	];
};

/**
Formats a change for an operator.

@param change - The change.
@returns One line.
*/
export const formatChange = ({
	kind, entry, field, before = 'none', after = 'none', scope,
}: Change): string => field === undefined
	? `${entry}: ${kind} (${scope})`
	: `${entry}: ${field}: ${before} -> ${after} (${scope})`;
