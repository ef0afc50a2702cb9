import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import type {StoreStandIn} from './store.js';

/** What the endpoints saw of one call. */
export type Run = {
	/** How often it was begun: with its first output, or at once for an act. */
	times: number;
	readonly organisation: string;
	readonly promptTokens: number;
	readonly isAct: boolean;
};

/** A stand-in of an endpoint that registers itself. */
export type EndpointStandIn = Readonly<{
	/** Breaks all connections off; another incarnation starts at the same address. */
	crash: () => void;
	/** Says that it leaves; it serves on, and counts calls that come too late. */
	drain: () => void;
	close: () => void;
}>;

/** Events of a whole stream. */
export const eventCount = 6;

/** Milliseconds after "draining" from which a new call is one too many. */
const drainTime = 2000;

/** Milliseconds of an act, between events, and to the first event. */
const times = {act: 20, event: 15, first: 40} as const;

/**
Starts an endpoint.

@param name - Its id begins so.
@param store - Where it registers.
@param runs - What it runs, by call, shared by all endpoints.
@param report - Told what must not happen.
@returns The endpoint.
*/
export const startEndpoint = async (name: string, store: StoreStandIn, runs: Map<string, Run>, report: (violation: string) => void): Promise<EndpointStandIn> => {
	let incarnation = 0;
	let drainedAt = Number.POSITIVE_INFINITY;
	const sockets = new Set<Socket>();
	const getId = () => `${name}-${incarnation}`;

	const register = (state: 'ready' | 'draining') => {
		store.put('servers', getId(), {
			service: 's', address: `127.0.0.1:${(server.address() as AddressInfo).port}`, zone: 'z', slots: 64, state, coldRemainingMs: 0, sequence: 1, born: 1000 + incarnation,
		});
	};

	const begin = (incoming: IncomingMessage, isAct: boolean) => {
		const id = String(incoming.headers['attempt-id']);
		const run = runs.get(id) ?? {
			times: 0, organisation: String(incoming.headers.tenant), promptTokens: Number(String(incoming.headers['token-counts'] ?? '0').split(',')[0]), isAct,
		};
		run.times += 1;
		runs.set(id, run);
	};

	const describe = (incoming: IncomingMessage) => ({'response-seal': 's', 'attempt-id': String(incoming.headers['attempt-id']), 'replica-load': '1,0,64'});

	const serveAct = (incoming: IncomingMessage, response: ServerResponse) => {
		begin(incoming, true);
		setTimeout(() => {
			response.writeHead(200, describe(incoming)).end(String(incoming.headers['attempt-id']));
		}, times.act);
	};

	const serveStream = (incoming: IncomingMessage, response: ServerResponse) => {
		const id = String(incoming.headers['attempt-id']);
		const start = Number(incoming.headers['last-event-id'] ?? 0);
		const emit = (index: number) => {
			if (response.destroyed || incoming.socket.destroyed) {
				return;
			}

			if (index === start + 1) {
				begin(incoming, false);
				response.writeHead(200, {...describe(incoming), 'content-type': 'text/event-stream'});
			}

			response.write(`id: ${index}\ndata: ${id}:${index}\n\n`);
			if (index >= eventCount) {
				response.end();
			} else {
				setTimeout(emit, times.event, index + 1);
			}
		};

		setTimeout(emit, times.first, start + 1);
	};

	const server: Server = createServer((incoming, response) => {
		response.on('error', () => undefined);
		incoming.resume();
		incoming.on('end', () => {
			if (incoming.headers['expect-instance'] !== getId()) {
				response.writeHead(421).end();
				return;
			}

			if (Date.now() > drainedAt + drainTime) {
				report(`${getId()} got ${String(incoming.headers['attempt-id'])} ${Date.now() - drainedAt} ms after it said that it leaves`);
			}

			(incoming.url?.startsWith('/act/') === true ? serveAct : serveStream)(incoming, response);
		});
	});
	server.on('connection', socket => {
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.on('close', () => {
			sockets.delete(socket);
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	register('ready');

	const breakOff = () => {
		[...sockets].forEach(socket => {
			socket.destroy();
		});
	};

	return {
		crash() {
			breakOff();
			store.put('servers', getId(), undefined);
			incarnation += 1;
			drainedAt = Number.POSITIVE_INFINITY;
			register('ready');
		},
		drain() {
			register('draining');
			drainedAt = Date.now();
		},
		close() {
			server.close();
			breakOff();
		},
	};
};
