/** Names of the tables in the store. */
export const tables = {
	/** The operator's configuration, in a single row. */
	configuration: 'op',
	/** Entries that the endpoints write themselves, by endpoint id. */
	endpoints: 'servers',
} as const;

/** Key of the configuration row. */
export const configurationKey = 'config';

/** Keys of the rows beside the configuration that name evacuated data centres begin with this. */
export const evacuationKeyPrefix = 'evacuate/';
