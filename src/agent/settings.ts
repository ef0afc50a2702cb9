import {z} from 'zod';
import {
	address, wholeNumber, httpAddress, label, logSection,
} from '../settings/index.js';

/** The settings of `galena-agent`, by section. */
export const agentSettings = z.strictObject({
	agent: z.strictObject({
		/** Address that routers connect to. */
		listen: address,
		'data-centre': label,
		pool: label,
		/** HTTP address of the endpoint that the agent serves. */
		endpoint: httpAddress,
		kind: z.enum(['engine', 'service']),
		/** Maximum number of concurrent attempts. */
		capacity: wholeNumber.default(32),
		/** HTTP address of the service registry that lists the routers. */
		hosts: httpAddress,
	}),
	log: logSection,
});

/** The validated settings of `galena-agent`. */
export type AgentSettings = z.output<typeof agentSettings>;
