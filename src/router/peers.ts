import {Buffer} from 'node:buffer';
import {createClient} from '@connectrpc/connect';
import type {Client, ConnectRouter} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import type {Revision} from '../config/index.js';
import {PeerService} from '../gen/galena/v1/peer_pb.js';
import type {ForwardPart, ForwardRequest} from '../gen/galena/v1/peer_pb.js';
import {createOutbox} from '../link/index.js';
import type {Caller, Sink} from './caller.js';

/** What peers and agents may ask of a router. */
export type PeerPorts = Readonly<{
	getIncarnation: () => string;
	getRevision: () => number;
	listMissing: (revision: number) => readonly Revision[];
	onBeat: (router: string, address: string, revision: number) => void;
	onAnnounce: (address: string, agent: string, isLeaving: boolean) => void;
	/** Serves a forwarded request; the returned function says that the caller has gone. */
	onForward: (request: ForwardRequest, sink: Sink) => () => void;
}>;

type Part = Readonly<{status?: number; headers?: Record<string, string>; data?: Uint8Array; end?: boolean}>;

const combineParts = (parts: readonly Part[]) => ({
	status: parts.find(part => part.status !== undefined)?.status ?? 0,
	headers: parts.find(part => part.headers !== undefined)?.headers ?? {},
	data: new Uint8Array(Buffer.concat(parts.flatMap(part => part.data ?? []))),
	end: parts.some(part => part.end === true),
});

const maxUnread = 256 * 1024; // Bytes

/** Makes a stream to a peer the place where an answer goes. */
const createPeerSink = () => {
	const outbox = createOutbox(combineParts);
	let unread = 0;
	let resume: () => void = () => undefined;
	async function * readParts() {
		for await (const batch of outbox.batches) {
			yield batch;
			unread -= batch.data.byteLength;
			if (unread < maxUnread) {
				resume();
			}
		}
	}

	const sink: Sink = {
		writeHead(status, headers) {
			outbox.push({status, headers: {...headers}});
		},
		write(data) {
			const bytes = typeof data === 'string' ? Buffer.from(data) : data;
			unread += bytes.byteLength;
			outbox.push({data: new Uint8Array(bytes)});
			return unread < maxUnread;
		},
		end() {
			outbox.push({end: true});
			outbox.close();
		},
		onDrain(callback) {
			resume = callback;
		},
	};
	return {sink, readParts};
};

/**
Builds a router's side of the protocol between routers, and with agents that announce themselves.

@param ports - What it asks the router.
@returns Routes for the connect adapter.
*/
export const createPeerRoutes = (ports: PeerPorts) => (router: ConnectRouter): ConnectRouter => router.service(PeerService, {
	beat(request) {
		ports.onBeat(request.routerIncarnation, request.address, request.configRevision);
		return {
			routerIncarnation: ports.getIncarnation(),
			configRevision: ports.getRevision(),
			revisions: ports.listMissing(request.configRevision).map(revision => JSON.stringify(revision)),
		};
	},
	announce(request) {
		ports.onAnnounce(request.address, request.agentIncarnation, request.leaving);
		return {};
	},
	async * forward(request) {
		const {sink, readParts} = createPeerSink();
		const leave = ports.onForward(request, sink);
		try {
			yield * readParts();
		} finally {
			leave();
		}
	},
});

/** Clients of other routers, one connection each. */
export type PeerClients = Readonly<{get: (address: string) => Client<typeof PeerService>; keep: (addresses: readonly string[]) => void}>;

const idleTimeout = 15_000; // Milliseconds

/**
Creates the clients of other routers.

@returns The clients.
*/
export const createPeerClients = (): PeerClients => {
	const clients = new Map<string, Client<typeof PeerService>>();
	return {
		get(address) {
			const client = clients.get(address) ?? createClient(PeerService, createConnectTransport({
				httpVersion: '2', baseUrl: `http://${address}`, idleConnectionTimeoutMs: idleTimeout,
			}));
			clients.set(address, client);
			return client;
		},
		keep(addresses) {
			[...clients.keys()].filter(address => !addresses.includes(address)).forEach(address => {
				clients.delete(address);
			});
		},
	};
};

/** How a forwarded request ended at a peer. */
export type ForwardEnd = Readonly<{outcome: 'answered' | 'not-run' | 'unknown'}>;

const passParts = async (parts: AsyncIterable<ForwardPart>, caller: Caller): Promise<ForwardEnd['outcome']> => {
	let outcome: ForwardEnd['outcome'] = 'not-run';
	for await (const part of parts) {
		if (part.status !== 0) {
			if (part.headers['galena-outcome'] === 'not-run') {
				return 'not-run';
			}

			outcome = 'unknown';
			caller.hasHead = true;
			caller.sink.writeHead(part.status, part.headers);
		}

		const isOpen = part.data.byteLength === 0 || caller.sink.write(part.data);
		if (!isOpen) {
			await new Promise<void>(resolve => {
				caller.sink.onDrain(resolve);
			});
		}

		outcome = part.end ? 'answered' : outcome;
	}

	return outcome;
};

/**
Asks a peer to serve a request.

@param client - The peer.
@param caller - The caller whose request it is.
@param remaining - Milliseconds that the caller still waits.
@param signal - Aborted when the caller leaves.
@returns How it ended. `not-run` only if the peer said so, or was never reached.
*/
export const forwardTo = async (client: Client<typeof PeerService>, caller: Caller, remaining: number, signal: AbortSignal): Promise<ForwardEnd['outcome']> => {
	const timeoutMs = Math.max(1, Math.round(remaining));
	try {
		return await passParts(client.forward({
			requestId: caller.checked.order.billId,
			method: caller.method,
			path: caller.path,
			headers: {...caller.headers},
			body: new Uint8Array(caller.body),
			remainingMs: timeoutMs,
		}, {signal, timeoutMs}), caller);
	} catch {
		return 'unknown';
	}
};
