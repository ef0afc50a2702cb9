import type {ConfigDocument} from '../config/index.js';
import {hashKey} from '../router/front.js';

/** A pool of like endpoints. */
export type PoolPlan = Readonly<{
	name: string;
	kind: 'engine' | 'service';
	replicas: number;
	/** The model, for engines. */
	model: string;
}>;

/** An organisation with its key and its prepaid tokens. */
export type OrganisationPlan = Readonly<{
	name: string;
	key: string;
	tokens: number;
	classes: readonly string[];
	defaultClass: string;
}>;

/** A deployment as one of the users runs it. */
export type Deployment = Readonly<{
	name: string;
	dataCentres: readonly string[];
	pools: readonly PoolPlan[];
	organisations: readonly OrganisationPlan[];
	classes: ConfigDocument['classes'];
}>;

type ClassFields = Partial<ConfigDocument['classes'][string]> & Pick<ConfigDocument['classes'][string], 'pool' | 'kind'>;

const describeClass = (fields: ClassFields): ConfigDocument['classes'][string] => ({
	firstToken: 1000, gap: 200, whole: 15_000, priority: 50, outputCap: 128, price: 0, paths: [], ...fields,
});

const largeBudget = 5_000_000; // Tokens
const smallBudget = 200_000; // Tokens
const tinyBudget = 3000; // Tokens

/** A few organisations are large, and the last one is nearly out of tokens. */
const planTokens = (index: number, count: number): number => {
	if (index === count - 1) {
		return tinyBudget;
	}

	return index < 3 ? largeBudget : smallBudget;
};

const planOrganisations = (prefix: string, count: number, classes: readonly string[], defaultClass: string): readonly OrganisationPlan[] =>
	Array.from({length: count}, (_, index) => ({
		name: `${prefix}-${index + 1}`,
		key: `key-${prefix}-${index + 1}`,
		tokens: planTokens(index, count),
		classes,
		defaultClass,
	}));

/** The ring shop: customers wait at the screen, orders are placed once. */
export const studio: Deployment = {
	name: 'studio',
	dataCentres: ['pl-central-1', 'pl-central-2', 'pl-central-3', 'pl-central-4'],
	pools: [
		{
			name: 'studio-models', kind: 'engine', replicas: 8, model: 'stone-advice',
		},
		{
			name: 'shop', kind: 'service', replicas: 4, model: '',
		},
	],
	organisations: planOrganisations('studio', 10, ['advice', 'shop-order', 'shop-lookup'], 'advice'),
	classes: {
		advice: describeClass({
			pool: 'studio-models', kind: 'chat', firstToken: 800, priority: 80,
		}),
		'shop-order': describeClass({
			pool: 'shop', kind: 'act', price: 50, paths: ['/orders'],
		}),
		'shop-lookup': describeClass({
			pool: 'shop', kind: 'call', price: 1, paths: ['/status'],
		}),
	},
};

/** The court bundle preparers: long indexes, lodgings made once, lookups at any time. */
export const association: Deployment = {
	name: 'association',
	dataCentres: ['sapporo', 'asahikawa', 'hakodate', 'kushiro'],
	pools: [
		{
			name: 'drafting-models', kind: 'engine', replicas: 8, model: 'bundle-draft',
		},
		{
			name: 'filing-desk', kind: 'service', replicas: 4, model: '',
		},
	],
	organisations: planOrganisations('member', 10, ['indexing', 'lodging', 'status'], 'indexing'),
	classes: {
		indexing: describeClass({
			pool: 'drafting-models', kind: 'chat', firstToken: 3000, whole: 60_000, priority: 40, outputCap: 256,
		}),
		lodging: describeClass({
			pool: 'filing-desk', kind: 'act', price: 100, paths: ['/lodgings'],
		}),
		status: describeClass({
			pool: 'filing-desk', kind: 'call', price: 1, paths: ['/status'],
		}),
	},
};

/**
Writes the configuration of a deployment.

@param deployment - The deployment.
@returns The document that an operator would apply.
*/
export const describeConfig = (deployment: Deployment): ConfigDocument => ({
	classes: deployment.classes,
	organisations: Object.fromEntries(deployment.organisations.map(organisation => [organisation.name, {
		keys: [hashKey(organisation.key)],
		budget: organisation.name,
		classes: organisation.classes,
		defaultClass: organisation.defaultClass,
	}])),
});
