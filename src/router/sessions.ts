import {create} from '@bufbuild/protobuf';
import type {MessageInitShape} from '@bufbuild/protobuf';
import {createClient} from '@connectrpc/connect';
import type {Client} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import {AgentService, RouterBatchSchema} from '../gen/galena/v1/agent_pb.js';
import type {AgentBatch, Hello, RouterBatch} from '../gen/galena/v1/agent_pb.js';
import {createOutbox} from '../link/index.js';
import type {Outbox} from '../link/index.js';

/** A part of a batch for an agent. */
export type RouterPart = MessageInitShape<typeof RouterBatchSchema>;

/** What the sessions tell the router. */
export type SessionPorts = Readonly<{
	/** The router's incarnation at present. */
	getIncarnation: () => string;
	getRevision: () => number;
	onOpen: (address: string, hello: Hello, session: number) => void;
	onBatch: (agent: string, batch: AgentBatch) => void;
	onClose: (agent: string) => void;
	onRefused: () => void;
	/** In [0, 1). */
	draw: () => number;
}>;

/** The sessions with all agents that the router knows. */
export type Sessions = Readonly<{
	/** Keeps a session open with the agent at an address. */
	add: (address: string) => void;
	/** Stops trying an address whose session is not open. */
	remove: (address: string) => void;
	addresses: () => readonly string[];
	send: (agent: string, part: RouterPart) => void;
	/** Sends on one session or not at all: an order must never leave on a later one. */
	sendOn: (agent: string, session: number, part: RouterPart) => void;
	broadcast: (part: RouterPart) => void;
	/** The client for single calls to an address. */
	getClient: (address: string) => Client<typeof AgentService>;
	/** Ends all sessions; they open again under the incarnation of that time. */
	reset: () => void;
	close: () => void;
}>;

type Session = {
	readonly address: string;
	readonly client: Client<typeof AgentService>;
	agent: string | undefined;
	outbox: Outbox<RouterPart, RouterBatch> | undefined;
	abort: AbortController;
	failures: number;
	/** Numbers the sessions at this address. */
	session: number;
	isRemoved: boolean;
};

const firstBackoff = 100; // Milliseconds
const maxBackoff = 3000; // Milliseconds
const pingInterval = 3000; // Milliseconds
const pingTimeout = 2000; // Milliseconds

const combineParts = (parts: readonly RouterPart[]): RouterBatch => {
	const batch = create(RouterBatchSchema);
	parts.forEach(part => {
		const each = create(RouterBatchSchema, part);
		batch.routerIncarnation ||= each.routerIncarnation;
		batch.configRevision = Math.max(batch.configRevision, each.configRevision);
		batch.dispatches.push(...each.dispatches);
		batch.cancels.push(...each.cancels);
		batch.settled.push(...each.settled);
		batch.credits.push(...each.credits);
	});
	return batch;
};

/**
Creates the sessions of a router. Each address has one bidirectional stream over
HTTP/2, which is opened again with jitter whenever it breaks.

@param ports - What the sessions tell the router.
@returns The sessions, none open yet.
*/
export const createSessions = (ports: SessionPorts): Sessions => {
	const sessions = new Map<string, Session>();
	const byAgent = new Map<string, Session>();
	let isClosed = false;

	const receive = (session: Session, batch: AgentBatch) => {
		if (batch.hello !== undefined) {
			if (batch.hello.refused) {
				ports.onRefused();
				return;
			}

			session.agent = batch.hello.agentIncarnation;
			session.failures = 0;
			byAgent.set(session.agent, session);
			ports.onOpen(session.address, batch.hello, session.session);
		}

		if (session.agent !== undefined) {
			ports.onBatch(session.agent, batch);
		}
	};

	const closeOne = (session: Session) => {
		session.outbox?.close();
		session.outbox = undefined;
		const {agent} = session;
		session.agent = undefined;
		if (agent !== undefined && byAgent.get(agent) === session) {
			byAgent.delete(agent);
			ports.onClose(agent);
		}
	};

	const runOnce = async (session: Session) => {
		const outbox: Outbox<RouterPart, RouterBatch> = createOutbox(combineParts);
		session.outbox = outbox;
		session.session += 1;
		session.abort = new AbortController();
		outbox.push({routerIncarnation: ports.getIncarnation(), configRevision: ports.getRevision()});
		try {
			for await (const batch of session.client.session(outbox.batches, {signal: session.abort.signal})) {
				receive(session, batch);
			}
		} catch {
			// Whatever broke the session, the next try tells whether the agent is there.
		} finally {
			closeOne(session);
		}
	};

	const keepOpen = async (session: Session) => {
		await runOnce(session);
		if (isClosed || session.isRemoved) {
			return;
		}

		const wait = Math.min(maxBackoff, firstBackoff * (2 ** session.failures)) * (0.5 + ports.draw());
		session.failures += 1;
		setTimeout(() => {
			void keepOpen(session);
		}, wait);
	};

	const createSession = (address: string): Session => ({
		address,
		client: createClient(AgentService, createConnectTransport({
			httpVersion: '2', baseUrl: `http://${address}`, pingIntervalMs: pingInterval, pingTimeoutMs: pingTimeout,
		})),
		agent: undefined,
		outbox: undefined,
		abort: new AbortController(),
		failures: 0,
		session: 0,
		isRemoved: false,
	});

	const add = (address: string) => {
		if (sessions.has(address) || isClosed) {
			return;
		}

		const session = createSession(address);
		sessions.set(address, session);
		void keepOpen(session);
	};

	return {
		add,
		remove(address) {
			const session = sessions.get(address);
			if (session !== undefined && session.agent === undefined) {
				session.isRemoved = true;
				session.abort.abort();
				sessions.delete(address);
			}
		},
		addresses: () => [...sessions.keys()],
		send(agent, part) {
			byAgent.get(agent)?.outbox?.push(part);
		},
		sendOn(agent, number, part) {
			const session = byAgent.get(agent);
			if (session?.session === number) {
				session.outbox?.push(part);
			}
		},
		broadcast(part) {
			byAgent.forEach(session => session.outbox?.push(part));
		},
		getClient: address => sessions.get(address)?.client ?? createSession(address).client,
		reset() {
			sessions.forEach(session => {
				session.failures = 0;
				session.abort.abort();
			});
		},
		close() {
			isClosed = true;
			sessions.forEach(session => {
				session.outbox?.close();
				session.abort.abort();
			});
		},
	};
};
