export {startRpcServer} from './rpc.js';
export type {RpcServer} from './rpc.js';
export {parseAddress} from './address.js';
export type {SocketAddress} from './address.js';
export {
	createHttpServer, listen, readBody, sendJson,
} from './http.js';
export type {ListeningServer} from './http.js';
export {trackResponses} from './open-responses.js';
