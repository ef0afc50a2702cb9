import {create} from '@bufbuild/protobuf';
import type {MessageInitShape} from '@bufbuild/protobuf';
import {createClient} from '@connectrpc/connect';
import type {Client} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import {AgentService, RouterBatchSchema} from '../gen/galena/v1/agent_pb.js';
import type {AgentBatch, Hello, RouterBatch} from '../gen/galena/v1/agent_pb.js';
import {createBatchQueue} from '../flow-control/index.js';
import type {BatchQueue} from '../flow-control/index.js';

/** Fields of a message for an agent; several are combined into one batch. */
export type RouterPart = MessageInitShape<typeof RouterBatchSchema>;

/** What the sessions need from the router. */
export type SessionPorts = Readonly<{
	/** Returns the router's current incarnation. */
	getIncarnation: () => string;
	getRevision: () => number;
	/** Called after the agent's hello. `session` is the sequence number for `sendOnSession`. */
	onOpen: (address: string, hello: Hello, session: number) => void;
	onBatch: (agent: string, batch: AgentBatch) => void;
	onClose: (agent: string) => void;
	/** Called if an agent refuses the session, because the router is fenced. */
	onRefused: () => void;
	/** Returns a random number in [0, 1). */
	drawRandom: () => number;
}>;

/** The sessions with all known agents. */
export type Sessions = Readonly<{
	/** Opens a session with the agent at an address, and reopens it whenever it ends. */
	add: (address: string) => void;
	/** Stops reconnecting to an address, unless its session is open. */
	remove: (address: string) => void;
	listAddresses: () => readonly string[];
	send: (agent: string, part: RouterPart) => void;
	/** Sends only if the agent's current session has this sequence number. A dispatch must not be sent on a later session. */
	sendOnSession: (agent: string, session: number, part: RouterPart) => void;
	broadcast: (part: RouterPart) => void;
	/** Returns the RPC client for unary calls to an address, a new one if the address has no session. */
	getClient: (address: string) => Client<typeof AgentService>;
	/** Ends all sessions. They are reopened with the router's current incarnation. */
	reset: () => void;
	close: () => void;
}>;

type Session = {
	readonly address: string;
	readonly client: Client<typeof AgentService>;
	agent: string | undefined;
	queue: BatchQueue<RouterPart, RouterBatch> | undefined;
	abortController: AbortController;
	/** Number of sessions that have ended since the agent's last hello. */
	failures: number;
	/** Counts the sessions opened with this address, and identifies the current one. */
	sequenceNumber: number;
	isRemoved: boolean;
};

const initialBackoffMs = 100;
const maxBackoffMs = 3000;
const pingIntervalMs = 3000;
const pingTimeoutMs = 2000;

const combineParts = (parts: readonly RouterPart[]): RouterBatch => {
	const batch = create(RouterBatchSchema);
	parts.forEach(part => {
		const fields = create(RouterBatchSchema, part);
		batch.routerIncarnation ||= fields.routerIncarnation;
		batch.configRevision = Math.max(batch.configRevision, fields.configRevision);
		batch.dispatches.push(...fields.dispatches);
		batch.cancels.push(...fields.cancels);
		batch.settled.push(...fields.settled);
		batch.credits.push(...fields.credits);
	});
	return batch;
};

/**
Creates the sessions of a router. Each address has one bidirectional stream over
HTTP/2, which is reopened after an exponential back-off with jitter.

@param ports - Functions of the router.
@returns The sessions, none of them open.
*/
export const createSessions = (ports: SessionPorts): Sessions => {
	const sessions = new Map<string, Session>();
	const sessionsByAgent = new Map<string, Session>();
	let isClosed = false;

	const receiveBatch = (session: Session, batch: AgentBatch) => {
		if (batch.hello !== undefined) {
			if (batch.hello.refused) {
				ports.onRefused();
				return;
			}

			session.agent = batch.hello.agentIncarnation;
			session.failures = 0;
			sessionsByAgent.set(session.agent, session);
			ports.onOpen(session.address, batch.hello, session.sequenceNumber);
		}

		if (session.agent !== undefined) {
			ports.onBatch(session.agent, batch);
		}
	};

	const endSession = (session: Session) => {
		session.queue?.close();
		session.queue = undefined;
		const {agent} = session;
		session.agent = undefined;
		if (agent !== undefined && sessionsByAgent.get(agent) === session) {
			sessionsByAgent.delete(agent);
			ports.onClose(agent);
		}
	};

	const runSession = async (session: Session) => {
		const queue: BatchQueue<RouterPart, RouterBatch> = createBatchQueue(combineParts);
		session.queue = queue;
		session.sequenceNumber += 1;
		session.abortController = new AbortController();
		queue.push({routerIncarnation: ports.getIncarnation(), configRevision: ports.getRevision()});
		try {
			for await (const batch of session.client.session(queue.batches, {signal: session.abortController.signal})) {
				receiveBatch(session, batch);
			}
		} catch {
			// Errors are ignored: the next attempt to connect shows whether the agent is reachable.
		} finally {
			endSession(session);
		}
	};

	const maintainSession = async (session: Session) => {
		await runSession(session);
		if (isClosed || session.isRemoved) {
			return;
		}

		const backoffMs = Math.min(maxBackoffMs, initialBackoffMs * (2 ** session.failures)) * (0.5 + ports.drawRandom());
		session.failures += 1;
		setTimeout(() => {
			void maintainSession(session);
		}, backoffMs);
	};

	const createSession = (address: string): Session => ({
		address,
		client: createClient(AgentService, createConnectTransport({
			httpVersion: '2', baseUrl: `http://${address}`, pingIntervalMs, pingTimeoutMs,
		})),
		agent: undefined,
		queue: undefined,
		abortController: new AbortController(),
		failures: 0,
		sequenceNumber: 0,
		isRemoved: false,
	});

	const add = (address: string) => {
		if (sessions.has(address) || isClosed) {
			return;
		}

		const session = createSession(address);
		sessions.set(address, session);
		void maintainSession(session);
	};

	return {
		add,
		remove(address) {
			const session = sessions.get(address);
			if (session !== undefined && session.agent === undefined) {
				session.isRemoved = true;
				session.abortController.abort();
				sessions.delete(address);
			}
		},
		listAddresses: () => [...sessions.keys()],
		send(agent, part) {
			sessionsByAgent.get(agent)?.queue?.push(part);
		},
		sendOnSession(agent, sequenceNumber, part) {
			const session = sessionsByAgent.get(agent);
			if (session?.sequenceNumber === sequenceNumber) {
				session.queue?.push(part);
			}
		},
		broadcast(part) {
			sessionsByAgent.forEach(session => session.queue?.push(part));
		},
		getClient: address => sessions.get(address)?.client ?? createSession(address).client,
		reset() {
			sessions.forEach(session => {
				session.failures = 0;
				session.abortController.abort();
			});
		},
		close() {
			isClosed = true;
			sessions.forEach(session => {
				session.queue?.close();
				session.abortController.abort();
			});
		},
	};
};
