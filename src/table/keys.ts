import type {Key} from './rows.js';

/** Where each kind of row lives. */
export const rowKeys = {
	budget: (budget: string): Key => ({table: 'budget', id: budget}),
	topUp: (budget: string, change: string): Key => ({table: 'top-up', id: `${budget}/${change}`}),
	grant: (router: string, budget: string): Key => ({table: 'grant', id: `${router}/${budget}`}),
	bills: (budget: string, change: string): Key => ({table: 'bill', id: `${budget}/${change}`}),
	once: (request: string): Key => ({table: 'once', id: request}),
	router: (incarnation: string): Key => ({table: 'router', id: incarnation}),
	claim: (organisation: string, key: string): Key => ({table: 'claim', id: `${organisation}/${key}`}),
	configHead: (): Key => ({table: 'config', id: 'head'}),
	configEntry: (name: string): Key => ({table: 'config-entry', id: name}),
	revision: (revision: number): Key => ({table: 'config-revision', id: String(revision).padStart(12, '0')}),
	/** An agent incarnation that an operator has declared gone for good. */
	resolved: (agent: string): Key => ({table: 'resolved', id: agent}),
	audit: (id: string): Key => ({table: 'audit', id}),
} as const;
