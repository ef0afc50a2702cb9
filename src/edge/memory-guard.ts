import process from 'node:process';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {
	admitRequest, canKeepAll, computeAccountLimits, createAccount, listExcess, removeHolding, setHolding,
} from '../memory-account/index.js';
import type {HoldingKind, MachineLimits} from '../memory-account/index.js';
import {openGarbageCollector} from './garbage.js';
import {getReadTurns} from './read-gate.js';

/** Memory that a connection takes up besides the bytes of requests, in bytes. */
const connectionBytes = 12 * 1024;

/** Memory that a request takes up besides its body, in bytes. */
const requestBytes = 8 * 1024;

/** Memory of a byte of an incomplete head, in bytes. Headers of 5 bytes take up two strings each. */
const bytesPerHeadByte = 12;

/** Smallest change of a request's memory that is taken into the account, in bytes. */
const minChangeBytes = 4096;

/** Released blocks that count as large, in bytes. Smaller ones are collected with the young garbage. */
const minBlockBytes = 256 * 1024;

/** Interval at which the bytes of incomplete heads are counted, in ms. */
const headCheckIntervalMs = 100;

/** What a request holds. */
export type RequestHolding = Readonly<{
	/** Sets what the request is held for, and its bytes. Returns false if the account is full although all else was given up that may be. */
	set: (kind: HoldingKind, bytes: number) => boolean;
	/** Removes the request from the account. */
	release: () => void;
}>;

/** Bounds what a process holds for its clients. */
export type MemoryGuard = Readonly<{
	/** Follows the connections of a server that has accepted none yet. */
	watch: (server: Server) => void;
	/** Admits a request whose body is about to be read; undefined if there is no room. `giveUp` is called if it must make room for others. */
	admit: (bytes: number, giveUp: (kind: HoldingKind) => void) => RequestHolding | undefined;
	/** Lets connections without a request be read one in each iteration of the event loop, as other connections bring requests that take long to read. */
	spreadReads: () => void;
	/** Counts bytes that were read in pieces. */
	addRead: (bytes: number) => void;
	/** Returns the memory and connections that are held. */
	count: () => Readonly<{bytes: number; connections: number}>;
	/** Connections that the process may have open itself. */
	maxOutgoingConnections: number;
	close: () => void;
}>;

type MemoryGuardOptions = Readonly<{
	machine: MachineLimits;
	clock: () => number;
	/** Called for each connection, request or response that is given up, and for each request that is not read. */
	onGivenUp: (kind: HoldingKind | 'refused', bytes: number, ageMs: number) => void;
}>;

/** A connection of the account. */
type WatchedConnection = Readonly<{set: (kind: 'reading' | 'running') => void; rest: () => void}>;

/** A connection without a request. */
type QuietConnection = Readonly<{socket: Socket; startBytes: number; headBytes: number}>;

/**
Opens the guard of a process.

@param options - Limits of the machine, and what is told of their effects.
@returns The guard.
*/
export const openMemoryGuard = ({machine, clock, onGivenUp}: MemoryGuardOptions): MemoryGuard => {
	const limits = computeAccountLimits({...machine, residentMb: process.memoryUsage.rss() / (1024 * 1024)});
	const garbage = openGarbageCollector(limits.collectAboveBytes);
	let account = createAccount(limits);
	let holdingCount = 0;
	const releases = new Map<number, (kind: HoldingKind) => void>();
	const quiet = new Map<number, QuietConnection>();

	const giveUp = (ids: readonly number[]): void => {
		ids.forEach(id => {
			const holding = account.holdings.get(id);
			const release = releases.get(id);
			if (holding !== undefined && release !== undefined) {
				onGivenUp(holding.kind, holding.bytes, clock() - holding.since);
				release(holding.kind);
			}
		});
	};

	const remove = (id: number): void => {
		const bytes = account.holdings.get(id)?.bytes ?? 0;
		account = removeHolding(account, id);
		releases.delete(id);
		if (bytes > minBlockBytes) {
			garbage.addReleased(bytes);
		}
	};

	const setConnection = (id: number, kind: HoldingKind, headBytes: number): void => {
		const existing = account.holdings.get(id);
		account = setHolding(account, id, {
			kind, bytes: connectionBytes + (headBytes * bytesPerHeadByte), since: existing?.kind === kind ? existing.since : clock(), isConnection: true,
		});
	};

	/** Follows a connection; tells it what it is held for while it has requests, and when it has none. */
	const watchConnection = (socket: Socket): WatchedConnection => {
		holdingCount += 1;
		const id = holdingCount;
		const rest = () => {
			quiet.set(id, {socket, startBytes: socket.bytesRead, headBytes: 0});
			setConnection(id, 'idle', 0);
		};

		const drop = () => {
			quiet.delete(id);
			remove(id);
		};

		releases.set(id, () => {
			drop();
			socket.destroy();
		});
		rest();
		giveUp(listExcess(account));
		if (!canKeepAll(account) && releases.has(id)) {
			giveUp([id]);
		}

		socket.on('close', drop);
		return {
			set(kind) {
				if (releases.has(id)) {
					quiet.delete(id);
					setConnection(id, kind, 0);
				}
			},
			rest() {
				if (releases.has(id)) {
					rest();
				}
			},
		};
	};

	/** Counts the bytes of incomplete heads, which Node.js does not report. */
	const checkHeads = (): void => {
		quiet.forEach((connection, id) => {
			const headBytes = connection.socket.bytesRead - connection.startBytes;
			if (headBytes !== connection.headBytes) {
				quiet.set(id, {...connection, headBytes});
				setConnection(id, 'reading', headBytes);
			}
		});
		giveUp(listExcess(account));
	};

	const timer = setInterval(checkHeads, headCheckIntervalMs);

	return {
		watch(server) {
			const connections = new WeakMap<Socket, {openRequests: number; readonly watched: WatchedConnection}>();
			const watchRequest = (incoming: IncomingMessage, response: ServerResponse) => {
				const connection = connections.get(incoming.socket);
				if (connection === undefined) {
					return;
				}

				connection.openRequests += 1;
				if (connection.openRequests === 1) {
					connection.watched.set('reading');
				}

				incoming.on('end', () => {
					connection.watched.set('running');
				});
				response.on('close', () => {
					connection.openRequests -= 1;
					if (connection.openRequests === 0) {
						connection.watched.rest();
					}
				});
			};

			server.on('connection', (socket: Socket) => {
				if (!socket.destroyed) {
					connections.set(socket, {openRequests: 0, watched: watchConnection(socket)});
				}
			});
			server.prependListener('request', watchRequest);
		},
		admit(bytes, onGiveUp) {
			const {isAdmitted, givenUp} = admitRequest(account, bytes + requestBytes, clock());
			giveUp(givenUp);
			if (!isAdmitted) {
				onGivenUp('refused', bytes, 0);
				return undefined;
			}

			holdingCount += 1;
			const id = holdingCount;
			releases.set(id, kind => {
				remove(id);
				onGiveUp(kind);
			});
			account = setHolding(account, id, {
				kind: 'reading', bytes: bytes + requestBytes, since: clock(), isConnection: false,
			});
			return {
				set(kind, newBytes) {
					const holding = account.holdings.get(id);
					if (holding === undefined) {
						return false;
					}

					if (holding.kind !== kind || Math.abs(newBytes + requestBytes - holding.bytes) >= minChangeBytes) {
						account = setHolding(account, id, {
							kind, bytes: newBytes + requestBytes, since: holding.kind === kind ? holding.since : clock(), isConnection: false,
						});
						giveUp(listExcess(account));
					}

					return canKeepAll(account) && account.holdings.has(id);
				},
				release() {
					remove(id);
				},
			};
		},
		spreadReads() {
			quiet.forEach(({socket}) => {
				getReadTurns(socket)();
			});
		},
		addRead: garbage.addRead,
		count: () => ({bytes: account.bytes, connections: account.connections}),
		maxOutgoingConnections: limits.outgoingConnections,
		close() {
			clearInterval(timer);
		},
	};
};
