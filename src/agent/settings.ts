import {z} from 'zod';
import {
	address, count, httpAddress, label, logSection,
} from '../settings/index.js';

/** The settings of `galena-agent`, by section. */
export const agentSettings = z.strictObject({
	agent: z.strictObject({
		/** Where routers reach it. */
		listen: address,
		'data-centre': label,
		pool: label,
		/** The endpoint beside it. */
		endpoint: httpAddress,
		kind: z.enum(['engine', 'service']),
		/** Attempts that may run at once. */
		capacity: count.default(32),
		/** The host list. */
		hosts: httpAddress,
	}),
	log: logSection,
});

/** Checked settings of an agent. */
export type AgentSettings = z.output<typeof agentSettings>;
