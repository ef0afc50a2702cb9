import {Buffer} from 'node:buffer';
import {createClient} from '@connectrpc/connect';
import type {Client, ConnectRouter} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import type {Revision} from '../config/index.js';
import {PeerService} from '../gen/galena/v1/peer_pb.js';
import type {ForwardPart, ForwardRequest} from '../gen/galena/v1/peer_pb.js';
import {createBatchQueue} from '../flow-control/index.js';
import type {PendingRequest, ResponseSink} from './pending-request.js';

/** What the RPC service for peers and agents needs from the router. */
export type PeerPorts = Readonly<{
	getIncarnation: () => string;
	getRevision: () => number;
	listMissingRevisions: (revision: number) => readonly Revision[];
	onHeartbeat: (router: string, address: string, revision: number) => void;
	onAnnounce: (address: string, agent: string, isLeaving: boolean) => void;
	/** Serves a forwarded request. The returned function is called when the peer's call has ended, so that an unfinished request is cancelled. */
	onForward: (request: ForwardRequest, sink: ResponseSink) => () => void;
}>;

type ResponsePart = Readonly<{status?: number; headers?: Record<string, string>; data?: Uint8Array; end?: boolean}>;

const combineParts = (parts: readonly ResponsePart[]) => ({
	status: parts.find(part => part.status !== undefined)?.status ?? 0,
	headers: parts.find(part => part.headers !== undefined)?.headers ?? {},
	data: new Uint8Array(Buffer.concat(parts.flatMap(part => part.data ?? []))),
	end: parts.some(part => part.end === true),
});

/** Response data buffered for a peer before the writer has to wait. */
const maxUnreadBytes = 256 * 1024;

/** Creates a sink that writes to the response stream of a peer's call. */
const createPeerSink = () => {
	const queue = createBatchQueue(combineParts);
	let unreadBytes = 0;
	let resume: () => void = () => undefined;
	async function * readParts() {
		for await (const batch of queue.batches) {
			yield batch;
			unreadBytes -= batch.data.byteLength;
			if (unreadBytes < maxUnreadBytes) {
				resume();
			}
		}
	}

	const sink: ResponseSink = {
		writeHead(status, headers) {
			queue.push({status, headers: {...headers}});
		},
		write(data) {
			const bytes = typeof data === 'string' ? Buffer.from(data) : data;
			unreadBytes += bytes.byteLength;
			queue.push({data: new Uint8Array(bytes)});
			return unreadBytes < maxUnreadBytes;
		},
		end() {
			queue.push({end: true});
			queue.close();
		},
		onDrain(callback) {
			resume = callback;
		},
	};
	return {sink, readParts};
};

/**
Creates the RPC service that routers call on each other, and agents call to announce themselves.

@param ports - Functions of the router.
@returns A function that registers the service with the Connect adapter.
*/
export const createPeerRoutes = (ports: PeerPorts) => (router: ConnectRouter): ConnectRouter => router.service(PeerService, {
	beat(request) {
		ports.onHeartbeat(request.routerIncarnation, request.address, request.configRevision);
		return {
			routerIncarnation: ports.getIncarnation(),
			configRevision: ports.getRevision(),
			revisions: ports.listMissingRevisions(request.configRevision).map(revision => JSON.stringify(revision)),
		};
	},
	announce(request) {
		ports.onAnnounce(request.address, request.agentIncarnation, request.leaving);
		return {};
	},
	async * forward(request) {
		const {sink, readParts} = createPeerSink();
		const cancelRequest = ports.onForward(request, sink);
		try {
			yield * readParts();
		} finally {
			cancelRequest();
		}
	},
});

/** RPC clients of other routers, with one connection per address. `retainOnly` drops those of all other addresses. */
export type PeerClients = Readonly<{get: (address: string) => Client<typeof PeerService>; retainOnly: (addresses: readonly string[]) => void}>;

const idleTimeoutMs = 15_000;

/**
Creates the RPC clients of other routers.

@returns The clients, without connections.
*/
export const createPeerClients = (): PeerClients => {
	const clients = new Map<string, Client<typeof PeerService>>();
	return {
		get(address) {
			const client = clients.get(address) ?? createClient(PeerService, createConnectTransport({
				httpVersion: '2', baseUrl: `http://${address}`, idleConnectionTimeoutMs: idleTimeoutMs,
			}));
			clients.set(address, client);
			return client;
		},
		retainOnly(addresses) {
			[...clients.keys()].filter(address => !addresses.includes(address)).forEach(address => {
				clients.delete(address);
			});
		},
	};
};

/** Outcome of a request that was forwarded to a peer. `unknown` means that an attempt may have run. */
export type ForwardResult = Readonly<{outcome: 'answered' | 'not-run' | 'unknown'}>;

const relayParts = async (parts: AsyncIterable<ForwardPart>, pending: PendingRequest): Promise<ForwardResult['outcome']> => {
	let outcome: ForwardResult['outcome'] = 'not-run';
	for await (const part of parts) {
		if (part.status !== 0) {
			if (part.headers['galena-outcome'] === 'not-run') {
				return 'not-run';
			}

			outcome = 'unknown';
			pending.hasSentHead = true;
			pending.sink.writeHead(part.status, part.headers);
		}

		const canWriteMore = part.data.byteLength === 0 || pending.sink.write(part.data);
		if (!canWriteMore) {
			await new Promise<void>(resolve => {
				pending.sink.onDrain(resolve);
			});
		}

		outcome = part.end ? 'answered' : outcome;
	}

	return outcome;
};

/**
Forwards a request to a peer, and the peer's response to the client.

@param client - RPC client of the peer.
@param pending - The request.
@param remainingMs - Time until the request's deadline.
@param signal - Aborted when the client disconnects.
@returns The outcome. `not-run` only if the peer reported it, or ended the call without a response; `unknown` after any RPC error.
*/
export const forwardToPeer = async (client: Client<typeof PeerService>, pending: PendingRequest, remainingMs: number, signal: AbortSignal): Promise<ForwardResult['outcome']> => {
	const timeoutMs = Math.max(1, Math.round(remainingMs));
	try {
		return await relayParts(client.forward({
			requestId: pending.checked.spec.billId,
			method: pending.method,
			path: pending.path,
			headers: {...pending.headers},
			body: new Uint8Array(pending.body),
			remainingMs: timeoutMs,
		}, {signal, timeoutMs}), pending);
	} catch {
		return 'unknown';
	}
};
