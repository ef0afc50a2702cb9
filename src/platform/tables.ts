/** Tables of the store, and what each holds. */
export const tables = {
	/** The operator's: the configuration under one key. */
	configuration: 'op',
	/** The endpoints' own entries, by id. */
	endpoints: 'servers',
} as const;

/** The configuration's key in its table. */
export const configurationKey = 'config';

