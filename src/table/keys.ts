import type {TableKey} from './rows.js';

/** Builds the key of each kind of row. */
export const rowKeys = {
	budget: (budget: string): TableKey => ({table: 'budget', id: budget}),
	/** An applied top-up; its change id makes the top-up idempotent. */
	topUp: (budget: string, change: string): TableKey => ({table: 'top-up', id: `${budget}/${change}`}),
	/** The tokens that a router holds of a budget. */
	grant: (router: string, budget: string): TableKey => ({table: 'grant', id: `${router}/${budget}`}),
	/** A batch of bills that was settled against a budget in one change. */
	bills: (budget: string, change: string): TableKey => ({table: 'bill', id: `${budget}/${change}`}),
	/** Marks a request with an idempotency key as billed, so that it is not billed again. */
	once: (request: string): TableKey => ({table: 'once', id: request}),
	router: (incarnation: string): TableKey => ({table: 'router', id: incarnation}),
	/** The execution state of a request with an idempotency key. */
	claim: (organisation: string, key: string): TableKey => ({table: 'claim', id: `${organisation}/${key}`}),
	/** The latest revision of the configuration. */
	configHead: (): TableKey => ({table: 'config', id: 'head'}),
	configEntry: (name: string): TableKey => ({table: 'config-entry', id: name}),
	revision: (revision: number): TableKey => ({table: 'config-revision', id: String(revision).padStart(12, '0')}),
	/** Marks an agent incarnation that an operator has declared permanently gone. */
	resolved: (agent: string): TableKey => ({table: 'resolved', id: agent}),
	audit: (id: string): TableKey => ({table: 'audit', id}),
} as const;
