import {Buffer} from 'node:buffer';
import {randomBytes} from 'node:crypto';
import {createSocket} from 'node:dgram';
import {createServer} from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {periodic} from 'most';
import type {AllowanceBounds} from '../allowance/index.js';
import {createFault} from '../errors/index.js';
import type {Result} from '../errors/index.js';
import {parseLoads} from '../gossip/index.js';
import type {BoundedLog} from '../log/bounded.js';
import {runInBackground} from '../loop/background.js';
import {startLoop} from '../loop/loop.js';
import {sleep} from '../loop/sleep.js';
import {
	configurationKey, decodeCall, decodeCatalog, decodeEntry, openStore, tables,
} from '../platform/index.js';
import {parseAddress} from '../server/address.js';
import {listen} from '../server/http.js';
import {decideIntake, suggestReturn} from '../queue/index.js';
import type {Intake} from '../queue/index.js';
import type {StoredRow} from '../store/index.js';
import {openCarrier, sendFault} from './carrier.js';
import {followTable} from './feeds.js';
import type {FeedEvent} from './feeds.js';
import {handleEdge} from './handle.js';
import type {EdgeEffect, EdgeEvent} from './messages.js';
import {openMetrics} from './metrics.js';
import type {EdgeSettings} from './settings.js';
import {createEdge, hasReturned, isReady} from './state.js';
import {openWays} from './ways.js';

/** Milliseconds between looks at what is due. */
const tickInterval = 20;

/** Milliseconds of work in one turn of the event loop, in which one connection is accepted: a hundred and more a second under full load. */
const workSlice = 3;

/** Bytes of headers that are read at the most; a configured limit may be lower. */
const maxHeaderBytes = 65_536;

/** Bytes of a body before a configuration is known. */
const defaultBodyBytes = 4_194_304;

/** Milliseconds after the signal to stop during which new connections still come: the entry takes two probes, a second apart, to notice. */
const entryDelay = 3000;

/** Milliseconds before the kill at which the process ends in any case. */
const exitMargin = 500;

/** Milliseconds that a process which ends waits for the store to take back what it holds. */
const longestReturn = 1000;

/** Milliseconds between looks at whether all calls have ended. */
const drainInterval = 50;

/** A running edge. */
export type Edge = Readonly<{stop: () => Promise<void>; reload: (settings: Result<EdgeSettings>) => void}>;

const describeRepeats = ({bounds}: EdgeSettings): AllowanceBounds => ({ratio: bounds['repeat-ratio'], slack: bounds['repeat-slack']});

/**
Starts the edge.

@param settings - Its settings.
@param log - Its log.
@returns How to stop it.
*/
export const startEdge = async (settings: EdgeSettings, log: BoundedLog): Promise<Edge> => {
	const incarnation = randomBytes(6).toString('hex');
	const clock = () => performance.now();
	const random = () => Math.random();
	const client = openStore();
	const store = openWays({
		store: client,
		own: settings.store.address,
		relays: settings.store.relays,
		clock,
		onChange(from, to, reason) {
			log.write('failure', 'store-way-changed', {from, to, reason});
		},
	});
	const metrics = openMetrics();
	let isStopping = false;
	let {grace} = settings.bounds;
	let calls = 0;
	let lag = 0;
	let tickedAt = clock();

	const carrier = openCarrier({
		post(event) {
			loop.post(event);
		}, isClosing: () => isStopping, random,
	});

	const callStore = async (effect: EdgeEffect & {kind: 'store'}) => {
		const {call} = effect;
		const reply = call.kind === 'read' ? await store.read(call.table) : await store.transact(call.writes);
		loop.post({kind: 'store-replied', reply, random: random()});
	};

	const performers: Readonly<{[Kind in EdgeEffect['kind']]: (effect: EdgeEffect & {kind: Kind}) => void}> = {
		send: carrier.send,
		abort(effect) {
			carrier.abort(effect.call);
		},
		withdraw(effect) {
			carrier.withdraw(effect.call);
		},
		forget(effect) {
			carrier.forget(effect.address);
		},
		deliver(effect) {
			carrier.deliver(effect.call);
		},
		relay(effect) {
			carrier.relay(effect.call);
		},
		refuse(effect) {
			carrier.refuse(effect.call, effect.fault);
		},
		cut(effect) {
			carrier.cut(effect.call);
		},
		'tell-peers'(effect) {
			effect.addresses.forEach(address => {
				const {host, port} = parseAddress(address);
				peerSocket.send(effect.message, port, host);
			});
		},
		store(effect) {
			runInBackground(async () => callStore(effect));
		},
		log(effect) {
			log.write(effect.level, effect.event, effect.fields);
		},
		count: metrics.apply,
		observe: metrics.apply,
	};

	const loop = startLoop<ReturnType<typeof createEdge>, EdgeEvent, EdgeEffect>({
		initial: createEdge({
			dataCentre: settings.host['data-centre'],
			router: `${settings.host.name}/${settings.host.address}`,
			incarnation,
			peerAddress: `${settings.listen.peers.host}:${settings.listen.peers.port}`,
			repeats: describeRepeats(settings),
		}),
		handle: handleEdge,
		perform(effect) {
			(performers[effect.kind] as (effect: EdgeEffect) => void)(effect);
		},
		clock,
		slice: workSlice,
	});

	const readConfiguration = (rows: readonly StoredRow[]) => {
		// A feed may bring several versions of one row, in order.
		const row = rows.findLast(each => each.key === configurationKey);
		if (row === undefined) {
			return;
		}

		const catalog = decodeCatalog(row.value);
		if (catalog.err) {
			log.write('failure', 'configuration-unreadable', {version: row.version, reason: catalog.val.detail});
			return;
		}

		const {limits} = catalog.val;
		server.keepAliveTimeout = limits.idleTimeout;
		server.headersTimeout = limits.headerTimeout;
		loop.post({kind: 'catalog-read', catalog: catalog.val});
	};

	const readEntry = (row: StoredRow) => {
		if (row.value === undefined) {
			return undefined;
		}

		const listing = decodeEntry(row.key, row.value);
		if (listing.err) {
			log.write('failure', 'entry-unreadable', {endpoint: row.key, version: row.version, reason: listing.val.detail});
			return undefined;
		}

		return listing.val;
	};

	const logFeed = (table: string, event: FeedEvent) => {
		if (event.kind === 'lost') {
			log.write('failure', 'feed-lost', {table, reason: event.reason});
		} else if (event.kind === 'regained') {
			log.write('routine', 'feed-regained', {table});
		}
	};

	const configurationHandlers: Readonly<{[Kind in FeedEvent['kind']]: (event: FeedEvent & {kind: Kind}) => void}> = {
		all(event) {
			readConfiguration(event.rows);
		},
		changes(event) {
			readConfiguration(event.rows);
		},
		lost: () => undefined,
		regained: () => undefined,
	};
	const registryHandlers: Readonly<{[Kind in FeedEvent['kind']]: (event: FeedEvent & {kind: Kind}) => void}> = {
		all(event) {
			loop.post({kind: 'endpoints-listed', listings: event.rows.flatMap(row => readEntry(row) ?? [])});
		},
		changes(event) {
			event.rows.forEach(row => {
				loop.post({kind: 'endpoint-changed', id: row.key, listing: readEntry(row)});
			});
		},
		lost() {
			loop.post({kind: 'registry-lost'});
		},
		regained() {
			loop.post({kind: 'registry-regained'});
		},
	};

	const readBody = (incoming: IncomingMessage, limit: number, onWhole: (body: Buffer) => void, onTooLarge: () => void) => {
		let chunks: readonly Buffer[] = [];
		let size = 0;
		incoming.on('data', (chunk: Buffer) => {
			size += chunk.length;
			if (size <= limit) {
				chunks = [...chunks, chunk];
			}
		});
		incoming.on('end', () => {
			if (size > limit) {
				onTooLarge();
			} else {
				onWhole(Buffer.concat(chunks));
			}
		});
		incoming.on('error', () => undefined);
	};

	/** Connections that have brought a request. */
	const known = new WeakSet<object>();

	const receiveCall = (incoming: IncomingMessage, response: ServerResponse) => {
		const isFirst = !known.has(incoming.socket);
		known.add(incoming.socket);
		response.on('error', () => undefined);
		const head = decodeCall({
			method: incoming.method ?? 'GET', url: incoming.url ?? '/', headers: incoming.headers, rawHeaders: incoming.rawHeaders,
		});
		if (head.err) {
			incoming.resume();
			log.write('failure', 'call-malformed', {reason: head.val.detail});
			sendFault(response, head.val, isStopping);
			return;
		}

		const limit = loop.state().catalog?.limits.bodyBytes ?? defaultBodyBytes;
		const take = (body: Buffer) => {
			calls += 1;
			carrier.accept(calls, head.val, incoming.headers.host ?? '', body, response);
			loop.post({
				kind: 'call-arrived', call: calls, head: head.val, random: random(),
			});
		};

		const intakes: Readonly<Record<Intake, (body: Buffer) => void>> = {
			take,
			check(body) {
				// A close that came with the request is read within two turns of the event loop.
				setImmediate(() => {
					setImmediate(() => {
						if (response.socket?.writable === true) {
							take(body);
						} else {
							log.write('failure', 'call-left-unread', {call: head.val.key, lag: Math.round(lag)});
						}
					});
				});
			},
			refuse() {
				const retryAfter = suggestReturn(head.val.patience ?? 0, random());
				log.write('failure', 'call-ended', {
					call: head.val.key, outcome: 'overloaded', status: 503, reason: `the router is ${Math.round(Math.max(lag, loop.delay()))} ms behind`, retryAfter,
				});
				sendFault(response, createFault('overloaded', 'the router is behind', retryAfter), isStopping);
			},
		};
		readBody(incoming, limit, body => {
			intakes[decideIntake(Math.max(lag, loop.delay()), isFirst)](body);
		}, () => {
			log.write('failure', 'call-malformed', {call: head.val.key, reason: `body: is larger than ${limit} bytes`});
			sendFault(response, createFault('too-large', `body: is larger than ${limit} bytes`), isStopping);
		});
	};

	const server = createServer({
		maxHeaderSize: maxHeaderBytes, requestTimeout: 0, connectionsCheckingInterval: 1000, noDelay: true,
	}, receiveCall);
	const readyServer = createServer((incoming, response) => {
		incoming.resume();
		response.writeHead(isReady(loop.state()) ? 200 : 503, {'content-length': 0}).end();
	});
	const metricsServer = createServer((incoming, response) => {
		incoming.resume();
		runInBackground(async () => {
			response.end(await metrics.format());
		});
	});

	const peerSocket = createSocket('udp4');
	peerSocket.on('error', error => {
		log.write('failure', 'peer-socket-failed', {reason: error.message});
	});
	peerSocket.on('message', bytes => {
		const heard = parseLoads(bytes.toString('utf8'));
		if (heard.err) {
			log.write('failure', 'peer-message-unreadable', {reason: heard.val.detail});
			return;
		}

		loop.post({kind: 'peer-heard', ...heard.val});
	});
	peerSocket.bind(settings.listen.peers.port, settings.listen.peers.host);

	await Promise.all([listen(server, settings.listen.callers), listen(readyServer, settings.listen.ready), listen(metricsServer, settings.listen.metrics)]);
	const {user, system} = process.cpuUsage();
	log.write('routine', 'started', {
		incarnation, dataCentre: settings.host['data-centre'], uptime: Math.round(process.uptime() * 1000), processorTime: Math.round((user + system) / 1000),
	});

	runInBackground(async () => followTable(store, tables.configuration, event => {
		logFeed(tables.configuration, event);
		(configurationHandlers[event.kind] as (event: FeedEvent) => void)(event);
	}));
	runInBackground(async () => followTable(store, tables.endpoints, event => {
		logFeed(tables.endpoints, event);
		(registryHandlers[event.kind] as (event: FeedEvent) => void)(event);
	}));
	runInBackground(async () => periodic(tickInterval).observe(() => {
		lag = clock() - tickedAt - tickInterval;
		tickedAt = clock();
		loop.post({kind: 'tick', random: random()});
	}));
	runInBackground(async () => periodic(1000).observe(() => {
		log.tick(clock());
	}));

	const awaitDrained = async (deadline: number): Promise<void> => {
		if (clock() >= deadline || loop.state().flights.isEmpty()) {
			return;
		}

		server.closeIdleConnections();
		await sleep(drainInterval);
		return awaitDrained(deadline);
	};

	const awaitReturned = async (deadline: number): Promise<void> => {
		if (clock() >= deadline || hasReturned(loop.state())) {
			return;
		}

		await sleep(drainInterval);
		return awaitReturned(deadline);
	};

	return {
		reload(changed) {
			if (changed.err) {
				log.write('failure', 'settings-unreadable', {reason: changed.val.detail});
				return;
			}

			const next = changed.val;
			const isMoved = JSON.stringify([settings.host, settings.listen, settings.store]) !== JSON.stringify([next.host, next.listen, next.store]);
			grace = next.bounds.grace;
			loop.post({kind: 'bounds-changed', repeats: describeRepeats(next)});
			// Addresses are taken over at the next start alone.
			log.write('routine', 'settings-reloaded', {grace, repeatSlack: next.bounds['repeat-slack'], needsRestart: isMoved});
		},
		async stop() {
			isStopping = true;
			log.write('routine', 'stopping', {incarnation, calls: loop.state().flights.size});
			loop.post({kind: 'stop-wanted'});
			const deadline = clock() + grace - exitMargin;
			await sleep(entryDelay);
			server.close();
			await awaitDrained(deadline);
			loop.post({kind: 'leave-wanted', random: random()});
			await awaitReturned(Math.min(deadline, clock() + longestReturn));
			log.write('routine', 'stopped', {incarnation, calls: loop.state().flights.size});
			client.close();
			peerSocket.close();
			carrier.close();
		},
	};
};
