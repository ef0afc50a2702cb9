export {startControlServer} from './control.js';
export type {ControlServer} from './control.js';
export {
	createHttpServer, listen, parseAddress, readBody, sendJson,
} from './http.js';
export type {Endpoint, Listening} from './http.js';
