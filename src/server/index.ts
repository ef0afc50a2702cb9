export {startRpcServer} from './control.js';
export type {RpcServer} from './control.js';
export {parseAddress} from './address.js';
export type {SocketAddress} from './address.js';
export {
	createHttpServer, listen, readBody, sendJson,
} from './http.js';
export type {ListeningServer} from './http.js';
