import {Map} from 'immutable';
import {z} from 'zod';
import type {Regions} from '../home/index.js';
import {limitsSchema} from '../settings/limits.js';
import {
	address, addresses, duration, label, fraction, names,
} from '../settings/settings.js';

/** A text that has a default if it is left out or empty, as the platform leaves it for what a deployment does not set. */
const createOptionalText = (otherwise: string) => z.string().default('').transform(text => text.trim() === '' ? otherwise : text);

/** A number that is undefined if it is left out or empty. */
const optionalNumber = createOptionalText('').transform(text => text === '' ? undefined : Number(text));

const nonNegativeNumber = z.string().regex(/^\d+(?:\.\d+)?$/v, 'must be a number that is not negative').transform(Number);

/** A table from name to name, as JSON. */
const nameTable = z.string().transform((text, context): unknown => {
	try {
		return JSON.parse(text);
	} catch {
		context.addIssue({code: 'custom', message: 'must be a JSON object of names'});
		return z.NEVER;
	}
}).pipe(z.record(z.string(), z.string(), 'must be a JSON object of names'));

/** Schema of the `galena-edge` settings, by section. */
export const edgeSettings = z.object({
	host: z.object({
		/** Unique name of this host among all routers. */
		name: label,
		/** Distinguishes this host from an earlier one of the same name. */
		address: z.string(),
		'data-centre': label,
		/** Parts of the service agreement that are in force; they switch on what only some deployments need. */
		contracts: names.default([]),
	}),
	listen: z.object({
		callers: address,
		/** Readiness health check: whether new connections are accepted. */
		ready: address,
		/** Counters and histograms, in the Prometheus text format. */
		metrics: address,
		/** UDP address that receives the load reports of peers. */
		peers: address,
	}),
	store: z.object({
		address,
		/** Relays used when this host cannot reach the store directly. */
		relays: addresses.default([]),
	}),
	bounds: z.object({
		/** Time between the stop signal and the forced kill, in ms. */
		grace: duration,
		/** Time for which an endpoint goes on serving after the store has accepted that it leaves, in ms. */
		drain: duration.default(2000),
		/** Time within which a confirmed version of the configuration is in force, in ms; requests are rejected if the one in force was last known to be current longer ago. Empty for no limit. */
		'config-ms': optionalNumber.pipe(z.number('must be a number').positive().optional()),
		/** Retry budget: retries per client request, over all routers. */
		'repeat-ratio': fraction,
		/** Retry budget: additional retries per time window, over all routers. */
		'repeat-slack': nonNegativeNumber,
		/** Multiple of its rate that all routers together may send to a cold endpoint in any second, and number of requests beyond that. */
		'cold-over': createOptionalText('1.5').pipe(nonNegativeNumber),
		'cold-slack': createOptionalText('5').pipe(nonNegativeNumber),
		/** Time of waiting that a megabyte between data centres is worth, in ms; empty for a constant cost of 30 ms for each request. */
		'remote-cost': optionalNumber.pipe(z.number('must be a number').nonnegative().optional()),
	}),
	start: z.object({
		/** False if the process starts while the fleet is in use, as after a crash: it is needed at once then, and serves no samples. */
		initial: z.union([z.boolean(), z.literal('')], 'must be true or false').default(true).transform(isInitial => isInitial !== false),
		/** Time for which a new process at most serves samples of requests before it is ready, in ms. A client's request ends it at once. */
		'warm-up': duration.default(8000),
		/** Number of these samples; 0 for none. */
		'warm-up-requests': createOptionalText('480').pipe(nonNegativeNumber),
	}).prefault({}),
	places: z.object({
		/** Region of this host's data centre. */
		region: createOptionalText(''),
		/** Table from data centre to region. */
		zones: createOptionalText('{}').pipe(nameTable),
	}).prefault({}),
	/** Limits of the machine; an empty or absent CPU share is none. */
	limits: limitsSchema.extend({
		/** Cores that the process may use, such as 0.184. Below 0.4, an overloaded router says that it is not ready, and sheds load earlier. */
		'cpu-share': optionalNumber.pipe(z.number('must be a number').positive().optional()),
	}).prefault({}),
});

/** Validated settings of the edge process. */
export type EdgeSettings = z.output<typeof edgeSettings>;

/**
Lists the regions of the data centres.

@param settings - The settings.
@returns The region of each data centre that the settings name, which include that of the host.
*/
export const listRegions = ({host, places: {region, zones}}: EdgeSettings): Regions => {
	const named = Map(Object.entries(zones));
	return region === '' ? named : named.set(host['data-centre'], region);
};
