import {create} from '@bufbuild/protobuf';
import type {MessageInitShape} from '@bufbuild/protobuf';
import type {ConnectRouter} from '@connectrpc/connect';
import type {
	AgentEvent, Attempt, FenceAnswer, Order, SealAnswer,
} from '../attempt/index.js';
import {AgentBatchSchema, AgentService} from '../gen/galena/v1/agent_pb.js';
import type {AgentBatch, Dispatch, RouterBatch} from '../gen/galena/v1/agent_pb.js';
import {createOutbox} from '../link/index.js';
import type {Outbox} from '../link/index.js';

/** A part of a batch for a router. */
export type AgentPart = MessageInitShape<typeof AgentBatchSchema>;

/** Where an agent's messages for one session go. */
export type SessionOutbox = Outbox<AgentPart, AgentBatch>;

/** What the service needs of the agent. */
export type ServicePorts = Readonly<{
	post: (event: AgentEvent) => void;
	/** Waits for the answer to a call number. */
	ask: <Answer>(event: (call: number) => AgentEvent) => Promise<Answer>;
	/** Opens a session; settles with its number, or undefined if the router is refused. */
	openSession: (router: string, outbox: SessionOutbox) => Promise<number | undefined>;
	closeSession: (router: string, session: number) => void;
	receive: (router: string, session: number, batch: RouterBatch) => void;
	incarnation: string;
}>;

/**
Joins parts into one batch.

@param parts - The parts, oldest first.
@returns The batch.
*/
export const combineParts = (parts: readonly AgentPart[]): AgentBatch => {
	const batch = create(AgentBatchSchema);
	parts.forEach(part => {
		const each = create(AgentBatchSchema, part);
		batch.chunks.push(...each.chunks);
		batch.refusals.push(...each.refusals);
		batch.ends.push(...each.ends);
		batch.forgotten.push(...each.forgotten);
		batch.hello = each.hello ?? batch.hello;
		batch.load = each.load ?? batch.load;
		batch.farewell ||= each.farewell;
		batch.configRevision = Math.max(batch.configRevision, each.configRevision);
	});
	return batch;
};

/**
Reads an order from a dispatch.

@param dispatch - The message.
@returns The order.
*/
export const readOrder = (dispatch: Dispatch): Order => ({
	attempt: dispatch.attemptId,
	request: dispatch.requestId,
	agent: dispatch.agentIncarnation,
	organisation: dispatch.organisation,
	budget: dispatch.budget,
	cap: dispatch.cap,
	keyed: dispatch.keyed,
	...(dispatch.act && {claimKey: dispatch.claimKey}),
});

const describeUsage = (attempt: Attempt) => ({
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

const describeSeal = (answer: SealAnswer) => ({
	state: answer.state,
	tokens: answer.tokens,
	status: answer.answer?.status ?? 0,
	contentType: answer.answer?.contentType ?? '',
	body: new Uint8Array(answer.answer?.body ?? []),
});

/**
Builds the agent's side of the protocol between routers and agents.

@param ports - What the service needs of the agent.
@returns Routes for the connect adapter.
*/
export const createAgentRoutes = (ports: ServicePorts) => (router: ConnectRouter): ConnectRouter => {
	/** Reads what a router sends until its session ends. */
	const readBatches = async (batches: AsyncIterator<RouterBatch>, name: string, session: number, outbox: SessionOutbox) => {
		try {
			for (;;) {
				const next = await batches.next();
				if (next.done) {
					return;
				}

				ports.receive(name, session, next.value);
			}
		} catch {
			// The connection broke: the same as an end.
		} finally {
			outbox.close();
		}
	};

	async function * serveSession(requests: AsyncIterable<RouterBatch>): AsyncGenerator<AgentBatch> {
		const batches = requests[Symbol.asyncIterator]();
		const first = await batches.next();
		if (first.done) {
			return;
		}

		const name = first.value.routerIncarnation;
		const outbox: SessionOutbox = createOutbox(combineParts);
		const session = await ports.openSession(name, outbox);
		if (session === undefined) {
			yield create(AgentBatchSchema, {hello: {agentIncarnation: ports.incarnation, refused: true}});
			return;
		}

		ports.receive(name, session, first.value);
		void readBatches(batches, name, session, outbox);
		try {
			yield * outbox.batches;
		} finally {
			ports.closeSession(name, session);
		}
	}

	return router.service(AgentService, {
		session: serveSession,
		async fence(request) {
			const answer = await ports.ask<FenceAnswer>(call => ({
				kind: 'fence-asked', router: request.routerIncarnation, agent: request.agentIncarnation, probe: request.probe, call,
			}));
			return {state: answer.state, agentIncarnation: ports.incarnation, usages: answer.usages.map(attempt => describeUsage(attempt))};
		},
		close(request) {
			ports.post({kind: 'router-closed', router: request.routerIncarnation});
			return {};
		},
		async seal(request) {
			const answer = await ports.ask<SealAnswer>(call => ({
				kind: 'seal-asked', attempt: request.attemptId, agent: request.agentIncarnation, call,
			}));
			return describeSeal(answer);
		},
		drain() {
			ports.post({kind: 'drain-asked'});
			return {};
		},
	});
};
