export {startControlServer} from './control.js';
export type {ControlServer} from './control.js';
export {parseAddress} from './address.js';
export type {Endpoint} from './address.js';
export {
	createHttpServer, listen, readBody, sendJson,
} from './http.js';
export type {Listening} from './http.js';
