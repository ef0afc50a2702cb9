import {create} from '@bufbuild/protobuf';
import type {MessageInitShape} from '@bufbuild/protobuf';
import type {ConnectRouter} from '@connectrpc/connect';
import type {
	AgentEvent, Attempt, FenceAnswer, AttemptSpec, SealAnswer,
} from '../attempt/index.js';
import {AgentBatchSchema, AgentService} from '../gen/galena/v1/agent_pb.js';
import type {AgentBatch, Dispatch, RouterBatch} from '../gen/galena/v1/agent_pb.js';
import {createBatchQueue} from '../flow-control/index.js';
import type {BatchQueue} from '../flow-control/index.js';

/** Messages to a router that may be merged with others into one batch. */
export type PartialAgentBatch = MessageInitShape<typeof AgentBatchSchema>;

/** Outgoing messages of one session with a router. */
export type SessionQueue = BatchQueue<PartialAgentBatch, AgentBatch>;

/** Functions of the agent that the service calls. */
export type AgentServiceContext = Readonly<{
	post: (event: AgentEvent) => void;
	/** Posts the event made for a new call id, and waits for the reply to that call. */
	postAndWait: <Answer>(event: (call: number) => AgentEvent) => Promise<Answer>;
	/** Opens a session. Resolves with its number, or undefined if the router is rejected. */
	openSession: (router: string, queue: SessionQueue) => Promise<number | undefined>;
	closeSession: (router: string, session: number) => void;
	receiveBatch: (router: string, session: number, batch: RouterBatch) => void;
	incarnation: string;
}>;

/**
Merges queued messages into one batch.

@param partialBatches - The messages, oldest first.
@returns The merged batch.
*/
export const mergeBatches = (parts: readonly PartialAgentBatch[]): AgentBatch => {
	const batch = create(AgentBatchSchema);
	parts.forEach(partialBatch => {
		const message = create(AgentBatchSchema, partialBatch);
		batch.chunks.push(...message.chunks);
		batch.refusals.push(...message.refusals);
		batch.ends.push(...message.ends);
		batch.forgotten.push(...message.forgotten);
		batch.hello = message.hello ?? batch.hello;
		batch.load = message.load ?? batch.load;
		batch.farewell ||= message.farewell;
		batch.configRevision = Math.max(batch.configRevision, message.configRevision);
	});
	return batch;
};

/**
Converts a dispatch message to the specification of an attempt.

@param dispatch - The message from a router.
@returns The specification.
*/
export const readAttemptSpec = (dispatch: Dispatch): AttemptSpec => ({
	attempt: dispatch.attemptId,
	request: dispatch.requestId,
	agent: dispatch.agentIncarnation,
	organisation: dispatch.organisation,
	budget: dispatch.budget,
	cap: dispatch.cap,
	keyed: dispatch.keyed,
	...(dispatch.act && {claimKey: dispatch.claimKey}),
});

const buildUsage = (attempt: Attempt) => ({
	attemptId: attempt.attempt,
	requestId: attempt.request,
	budget: attempt.budget,
	organisation: attempt.organisation,
	tokens: attempt.tokens,
	keyed: attempt.keyed,
	claimKey: attempt.claimKey ?? '',
	outcome: attempt.outcome ?? '',
	status: attempt.answer?.status ?? 0,
	contentType: attempt.answer?.contentType ?? '',
	answer: new Uint8Array(attempt.answer?.body ?? []),
});

const buildSealReply = (answer: SealAnswer) => ({
	state: answer.state,
	tokens: answer.tokens,
	status: answer.answer?.status ?? 0,
	contentType: answer.answer?.contentType ?? '',
	body: new Uint8Array(answer.answer?.body ?? []),
});

/**
Creates the agent's RPC service, which routers call.

@param context - Functions of the agent that the service calls.
@returns A function that registers the service with a Connect router.
*/
export const createAgentRoutes = (context: AgentServiceContext) => (router: ConnectRouter): ConnectRouter => {
	/** Receives a router's batches until the session ends. */
	const readBatches = async (batches: AsyncIterator<RouterBatch>, routerIncarnation: string, session: number, queue: SessionQueue) => {
		try {
			for (;;) {
				const next = await batches.next();
				if (next.done) {
					return;
				}

				context.receiveBatch(routerIncarnation, session, next.value);
			}
		} catch {
			// A broken connection ends the session like a regular close.
		} finally {
			queue.close();
		}
	};

	async function * serveSession(requests: AsyncIterable<RouterBatch>): AsyncGenerator<AgentBatch> {
		const batches = requests[Symbol.asyncIterator]();
		const first = await batches.next();
		if (first.done) {
			return;
		}

		const incarnation = first.value.routerIncarnation;
		const queue: SessionQueue = createBatchQueue(mergeBatches);
		const session = await context.openSession(incarnation, queue);
		if (session === undefined) {
			yield create(AgentBatchSchema, {hello: {agentIncarnation: context.incarnation, refused: true}});
			return;
		}

		context.receiveBatch(incarnation, session, first.value);
		void readBatches(batches, incarnation, session, queue);
		try {
			yield * queue.batches;
		} finally {
			context.closeSession(incarnation, session);
		}
	}

	return router.service(AgentService, {
		session: serveSession,
		async fence(request) {
			const answer = await context.postAndWait<FenceAnswer>(call => ({
				kind: 'fence-asked', router: request.routerIncarnation, agent: request.agentIncarnation, probe: request.probe, call,
			}));
			return {state: answer.state, agentIncarnation: context.incarnation, usages: answer.usages.map(attempt => buildUsage(attempt))};
		},
		close(request) {
			context.post({kind: 'router-closed', router: request.routerIncarnation});
			return {};
		},
		async seal(request) {
			const answer = await context.postAndWait<SealAnswer>(call => ({
				kind: 'seal-asked', attempt: request.attemptId, agent: request.agentIncarnation, call,
			}));
			return buildSealReply(answer);
		},
		drain() {
			context.post({kind: 'drain-asked'});
			return {};
		},
	});
};
