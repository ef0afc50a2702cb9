import type {Socket} from 'node:net';
import {buildConnector, Client, Pool} from 'undici';
import type {Dispatcher} from 'undici';

type Interceptor = Dispatcher.DispatcherComposeInterceptor;
type Handler = Dispatcher.DispatchHandler;

/**
Checks whether the peer has reset a connection that seems to have ended normally.

libuv reports a reset that arrives right after data as a normal close. An empty write fails on a connection that was reset,
and sends nothing on any other connection.
*/
const hasBeenReset = (socket: Socket | undefined): boolean => {
	socket?.write('');
	return socket !== undefined && socket.errored !== null;
};

/** Fails a response without a length or chunks if its connection was reset, since it may be incomplete. */
const withResetCheck = (handler: Handler, getSocket: () => Socket | undefined): Handler => {
	let isFramed = true;
	return {
		onRequestStart(controller, context) {
			handler.onRequestStart?.(controller, context);
		},
		onResponseStart(controller, status, headers, message) {
			isFramed = headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
			handler.onResponseStart?.(controller, status, headers, message);
		},
		onResponseData(controller, chunk) {
			handler.onResponseData?.(controller, chunk);
		},
		onResponseEnd(controller, trailers) {
			if (!isFramed && hasBeenReset(getSocket())) {
				handler.onResponseError?.(controller, new Error('connection reset at the end of the response'));
			} else {
				handler.onResponseEnd?.(controller, trailers);
			}
		},
		onResponseError(controller, error) {
			handler.onResponseError?.(controller, error);
		},
	};
};

/**
Opens a pool of connections to one endpoint, each for one request, in which a response that was cut by a reset never ends as complete.

@param origin - For example `http://127.0.0.1:9000`.
@param maxConnections - Maximum number of open connections.
@param connectTimeoutMs - Time limit for opening a connection.
@returns The pool.
*/
export const openConnectionPool = (origin: string, maxConnections: number, connectTimeoutMs: number): Dispatcher => {
	const connect = buildConnector({timeout: connectTimeoutMs});
	return new Pool(origin, {
		connections: maxConnections,
		// Closes each connection after its response: a second copy of a response that arrives late cannot be told from the next one.
		pipelining: 0,
		factory(clientOrigin, options) {
			// A client has one connection at a time.
			let current: Socket | undefined;
			const checkResets: Interceptor = dispatch => (request, handler) => dispatch(request, withResetCheck(handler, () => current));
			return new Client(clientOrigin, {
				...options,
				connect(target: buildConnector.Options, callback: buildConnector.Callback) {
					connect(target, (...result: Parameters<buildConnector.Callback>) => {
						current = result[1] ?? undefined;
						callback(...result);
					});
				},
			}).compose(checkResets);
		},
	});
};
