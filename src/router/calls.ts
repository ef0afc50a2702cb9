import type {Client} from '@connectrpc/connect';
import type {
	Attempt, AttemptOutcome, FenceAnswer, SealAnswer,
} from '../attempt/index.js';
import type {AgentService, Usage} from '../gen/galena/v1/agent_pb.js';
import type {RouterEffect, RouterEvent} from './messages.js';

/** What single calls to agents need of the router. */
export type CallPorts = Readonly<{
	post: (event: RouterEvent) => void;
	getClient: (address: string) => Client<typeof AgentService>;
}>;

/** Milliseconds that an answer is waited for. */
export const callTimeout = 1500;

/**
Asks an agent to seal an attempt, and posts what it says.

@param effect - What is asked.
@param ports - The router.
*/
export const askSeal = async (effect: RouterEffect & {kind: 'ask-seal'}, ports: CallPorts): Promise<void> => {
	const {request, attempt, agent, address} = effect;
	try {
		const reply = await ports.getClient(address).seal({attemptId: attempt, agentIncarnation: agent}, {timeoutMs: callTimeout});
		const answer: SealAnswer = {
			state: reply.state as SealAnswer['state'],
			tokens: reply.tokens,
			...(reply.state === 'done' && {answer: {status: reply.status, contentType: reply.contentType, body: reply.body}}),
		};
		ports.post({
			kind: 'seal-answered', request, attempt, answer,
		});
	} catch {
		ports.post({
			kind: 'seal-answered', request, attempt, answer: undefined,
		});
	}
};

const readUsage = (usage: Usage, effect: RouterEffect & {kind: 'ask-fence'}): Attempt => ({
	attempt: usage.attemptId,
	request: usage.requestId,
	agent: effect.agent,
	organisation: usage.organisation,
	budget: usage.budget,
	cap: usage.tokens,
	keyed: usage.keyed,
	router: effect.router,
	state: 'ended',
	outcome: usage.outcome as AttemptOutcome,
	tokens: usage.tokens,
	...(usage.claimKey !== '' && {claimKey: usage.claimKey}),
	...(usage.status !== 0 && {answer: {status: usage.status, contentType: usage.contentType, body: usage.answer}}),
});

/**
Asks an agent to fence a router, and posts what it says. Without an answer the
reclaim asks again.

@param effect - What is asked.
@param ports - The router.
*/
export const askFence = async (effect: RouterEffect & {kind: 'ask-fence'}, ports: CallPorts): Promise<void> => {
	const {router, agent, address, probe} = effect;
	if (address === undefined) {
		return;
	}

	const reply = await ports.getClient(address).fence({routerIncarnation: router, agentIncarnation: agent, probe}, {timeoutMs: callTimeout});
	const answer: FenceAnswer = {
		state: reply.state as FenceAnswer['state'],
		usages: reply.usages.map(usage => readUsage(usage, effect)),
	};
	ports.post({
		kind: 'fence-answered', router, agent, answer,
	});
};

/**
Tells agents that a router's row is closed.

@param effect - Which router, and where the agents are.
@param ports - The router.
*/
export const closeRouter = async (effect: RouterEffect & {kind: 'close-router'}, ports: CallPorts): Promise<void> => {
	await Promise.allSettled(effect.addresses.map(async address =>
		ports.getClient(address).close({routerIncarnation: effect.router}, {timeoutMs: callTimeout})));
};
