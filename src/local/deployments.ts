import type {ConfigDocument} from '../config/index.js';
import {hashSha256} from '../router/validate-request.js';

/** A pool of interchangeable endpoints. */
export type PoolSpec = Readonly<{
	name: string;
	kind: 'engine' | 'service';
	replicas: number;
	/** The model that engines serve; empty for services. */
	model: string;
}>;

/** An organisation with its API key and its prepaid tokens. */
export type OrganisationSpec = Readonly<{
	name: string;
	key: string;
	tokens: number;
	classes: readonly string[];
	defaultClass: string;
}>;

/** A sample deployment: its data centres, pools, organisations and request classes. */
export type Deployment = Readonly<{
	name: string;
	dataCentres: readonly string[];
	pools: readonly PoolSpec[];
	organisations: readonly OrganisationSpec[];
	classes: ConfigDocument['classes'];
}>;

type ClassFields = Partial<ConfigDocument['classes'][string]> & Pick<ConfigDocument['classes'][string], 'pool' | 'kind'>;

const buildClass = (fields: ClassFields): ConfigDocument['classes'][string] => ({
	firstToken: 1000, gap: 200, whole: 15_000, priority: 50, outputCap: 128, price: 0, paths: [], ...fields,
});

const largeBudgetTokens = 5_000_000;
const smallBudgetTokens = 200_000;
const tinyBudgetTokens = 3000;

/** Gives the first three organisations a large budget, and the last one a budget that is soon exhausted. */
const pickBudgetTokens = (index: number, count: number): number => {
	if (index === count - 1) {
		return tinyBudgetTokens;
	}

	return index < 3 ? largeBudgetTokens : smallBudgetTokens;
};

const buildOrganisations = (prefix: string, count: number, classes: readonly string[], defaultClass: string): readonly OrganisationSpec[] =>
	Array.from({length: count}, (_, index) => ({
		name: `${prefix}-${index + 1}`,
		key: `key-${prefix}-${index + 1}`,
		tokens: pickBudgetTokens(index, count),
		classes,
		defaultClass,
	}));

/** A jewellery shop: interactive chats that need a fast first token, and orders that must not be placed twice. */
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
	organisations: buildOrganisations('studio', 10, ['advice', 'shop-order', 'shop-lookup'], 'advice'),
	classes: {
		advice: buildClass({
			pool: 'studio-models', kind: 'chat', firstToken: 800, priority: 80,
		}),
		'shop-order': buildClass({
			pool: 'shop', kind: 'act', price: 50, paths: ['/orders'],
		}),
		'shop-lookup': buildClass({
			pool: 'shop', kind: 'call', price: 1, paths: ['/status'],
		}),
	},
};

/** An association that prepares court bundles: long generated indexes, lodgings that must not be repeated, and status lookups. */
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
	organisations: buildOrganisations('member', 10, ['indexing', 'lodging', 'status'], 'indexing'),
	classes: {
		indexing: buildClass({
			pool: 'drafting-models', kind: 'chat', firstToken: 3000, whole: 60_000, priority: 40, outputCap: 256,
		}),
		lodging: buildClass({
			pool: 'filing-desk', kind: 'act', price: 100, paths: ['/lodgings'],
		}),
		status: buildClass({
			pool: 'filing-desk', kind: 'call', price: 1, paths: ['/status'],
		}),
	},
};

/**
Builds the configuration document of a deployment.

@param deployment - The deployment.
@returns The document that an operator would apply.
*/
export const buildConfigDocument = (deployment: Deployment): ConfigDocument => ({
	classes: deployment.classes,
	organisations: Object.fromEntries(deployment.organisations.map(organisation => [organisation.name, {
		keys: [hashSha256(organisation.key)],
		budget: organisation.name,
		classes: organisation.classes,
		defaultClass: organisation.defaultClass,
	}])),
});
