import type {Socket} from 'node:net';

/** The refusals that connections to endpoints have carried, by the key of the refused request. */
export type RefusalHistory = Readonly<{
	/** Records a refusal. Returns false once the connection has carried as many as are remembered, and must not be kept. */
	record: (socket: Socket, key: string) => boolean;
	/** Tells whether a connection has carried a refusal of a request. */
	has: (socket: Socket, key: string) => boolean;
}>;

/** Limit of refusals remembered for one connection. */
const maxRefusalsPerConnection = 200;

/**
Creates a history. A faulty endpoint may write a refusal again when the connection has been kept; if the refused request
is sent there once more, such a copy cannot be told from a refusal of the later sending.

@returns The history, which forgets a connection with its socket.
*/
export const createRefusalHistory = (): RefusalHistory => {
	const keysBySocket = new WeakMap<Socket, Set<string>>();
	return {
		record(socket, key) {
			const keys = keysBySocket.get(socket) ?? new Set<string>();
			keysBySocket.set(socket, keys.add(key));
			return keys.size < maxRefusalsPerConnection;
		},
		has: (socket, key) => keysBySocket.get(socket)?.has(key) ?? false,
	};
};
