import type {Client} from '@connectrpc/connect';
import type {
	Attempt, AttemptOutcome, FenceAnswer, SealAnswer,
} from '../attempt/index.js';
import type {AgentService, Usage} from '../gen/galena/v1/agent_pb.js';
import type {RouterEffect, RouterEvent} from './messages.js';

/** The router's functions that unary calls to agents need. */
export type AgentCallContext = Readonly<{
	post: (event: RouterEvent) => void;
	getClient: (address: string) => Client<typeof AgentService>;
}>;

/** Timeout of a unary call. */
export const agentCallTimeoutMs = 1500;

/**
Asks an agent to seal an attempt, and posts the answer; it is
undefined if the call failed.

@param effect - The effect that requests the call.
@param context - The router's functions.
*/
export const requestSeal = async (effect: RouterEffect & {kind: 'ask-seal'}, context: AgentCallContext): Promise<void> => {
	const {request, attempt, agent, address} = effect;
	try {
		const reply = await context.getClient(address).seal({attemptId: attempt, agentIncarnation: agent}, {timeoutMs: agentCallTimeoutMs});
		const answer: SealAnswer = {
			state: reply.state as SealAnswer['state'],
			tokens: reply.tokens,
			...(reply.state === 'done' && {answer: {status: reply.status, contentType: reply.contentType, body: reply.body}}),
		};
		context.post({
			kind: 'seal-answered', request, attempt, answer,
		});
	} catch {
		context.post({
			kind: 'seal-answered', request, attempt, answer: undefined,
		});
	}
};

const convertUsage = (usage: Usage, effect: RouterEffect & {kind: 'ask-fence'}): Attempt => ({
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
Asks an agent to fence a router, or only probes it, and posts the answer. If the address is unknown
or the call fails, which rejects the promise, nothing is posted, and the reclaim asks again.

@param effect - The effect that requests the call.
@param context - The router's functions.
*/
export const requestFence = async (effect: RouterEffect & {kind: 'ask-fence'}, context: AgentCallContext): Promise<void> => {
	const {router, agent, address, probe} = effect;
	if (address === undefined) {
		return;
	}

	const reply = await context.getClient(address).fence({routerIncarnation: router, agentIncarnation: agent, probe}, {timeoutMs: agentCallTimeoutMs});
	const answer: FenceAnswer = {
		state: reply.state as FenceAnswer['state'],
		usages: reply.usages.map(usage => convertUsage(usage, effect)),
	};
	context.post({
		kind: 'fence-answered', router, agent, answer,
	});
};

/**
Notifies agents that a router's row is closed. Failed calls are ignored.

@param effect - The router's incarnation and the addresses of the agents.
@param context - The router's functions.
*/
export const closeRouter = async (effect: RouterEffect & {kind: 'close-router'}, context: AgentCallContext): Promise<void> => {
	await Promise.allSettled(effect.addresses.map(async address =>
		context.getClient(address).close({routerIncarnation: effect.router}, {timeoutMs: agentCallTimeoutMs})));
};
