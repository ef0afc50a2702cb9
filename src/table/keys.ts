import type {Key} from './rows.js';

/** Builds the key of each kind of row. */
export const rowKeys = {
	budget: (budget: string): Key => ({table: 'budget', id: budget}),
	/** An applied top-up; its change id makes the top-up idempotent. */
	topUp: (budget: string, change: string): Key => ({table: 'top-up', id: `${budget}/${change}`}),
	/** The tokens that a router holds of a budget. */
	grant: (router: string, budget: string): Key => ({table: 'grant', id: `${router}/${budget}`}),
	/** A batch of bills that was settled against a budget in one change. */
	bills: (budget: string, change: string): Key => ({table: 'bill', id: `${budget}/${change}`}),
	/** Marks a request with an idempotency key as billed, so that it is not billed again. */
	once: (request: string): Key => ({table: 'once', id: request}),
	router: (incarnation: string): Key => ({table: 'router', id: incarnation}),
	/** The execution state of a request with an idempotency key. */
	claim: (organisation: string, key: string): Key => ({table: 'claim', id: `${organisation}/${key}`}),
	/** The latest revision of the configuration. */
	configHead: (): Key => ({table: 'config', id: 'head'}),
	configEntry: (name: string): Key => ({table: 'config-entry', id: name}),
	revision: (revision: number): Key => ({table: 'config-revision', id: String(revision).padStart(12, '0')}),
	/** Marks an agent incarnation that an operator has declared permanently gone. */
	resolved: (agent: string): Key => ({table: 'resolved', id: agent}),
	audit: (id: string): Key => ({table: 'audit', id}),
} as const;
