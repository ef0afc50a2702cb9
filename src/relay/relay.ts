import {createServer as createHttpServer} from 'node:http';
import {connect, createServer} from 'node:net';
import type {Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {Counter, Gauge, Registry} from 'prom-client';
import type {Result} from '../errors/index.js';
import type {BoundedLog} from '../log/bounded.js';
import {runInBackground} from '../loop/background.js';
import {sleep} from '../loop/sleep.js';
import {listen} from '../server/http.js';
import type {RelaySettings} from './settings.js';

/** Milliseconds for a connection to the store: routers try another way after about as long. */
const connectTimeout = 300;

/** Milliseconds without a byte after which a connection is closed: far above the longest call of the store. */
const idleTimeout = 10_000;

/** Connections at the most: a router keeps a few, so this is enough for hundreds of routers and bounds the memory. */
const maxConnections = 1000;

/** Milliseconds that a relay which ends waits for calls under way: the store's answer takes a few. */
const endDelay = 300;

/** A running relay. */
export type Relay = Readonly<{
	/** Where it listens. */
	address: string;
	stop: () => Promise<void>;
	/** Addresses are taken over at the next start alone. */
	reload: (settings: Result<RelaySettings>) => void;
}>;

/** Counters of a relay. */
const openCounters = () => {
	const registry = new Registry();
	const registers = [registry];
	return {
		connections: new Counter({name: 'galena_relay_connections_total', help: 'Connections from routers.', registers}),
		failures: new Counter({name: 'galena_relay_store_failures_total', help: 'Connections to the store that could not be opened.', registers}),
		open: new Gauge({name: 'galena_relay_open_connections', help: 'Connections from routers that are open.', registers}),
		format: async () => registry.metrics(),
	};
};

/**
Starts a relay: whatever a router sends goes to the store, and back, unread.

Load pattern: routers are cut off from the store while this host reaches it. The
store stays the one place that decides; a relay keeps nothing, so that any of them
may be lost.

@param settings - Its settings.
@param log - Its log.
@returns How to stop it.
*/
export const startRelay = async (settings: RelaySettings, log: BoundedLog): Promise<Relay> => {
	const counters = openCounters();
	let isStoreLost = false;

	const noteStore = (reason: string | undefined) => {
		if (reason !== undefined) {
			counters.failures.inc();
		}

		if (isStoreLost !== (reason !== undefined)) {
			isStoreLost = reason !== undefined;
			log.write(isStoreLost ? 'failure' : 'routine', isStoreLost ? 'store-lost' : 'store-regained', {reason});
		}
	};

	const join = (router: Socket) => {
		const store = connect({...settings.store.address, noDelay: true});
		let isOpen = false;
		const close = () => {
			clearTimeout(timer);
			router.destroy();
			store.destroy();
		};

		const timer = setTimeout(() => {
			if (!isOpen) {
				noteStore(`no connection within ${connectTimeout} ms`);
			}

			close();
		}, connectTimeout);
		counters.connections.inc();
		counters.open.inc();
		store.once('connect', () => {
			isOpen = true;
			clearTimeout(timer);
			noteStore(undefined);
		});
		store.once('error', error => {
			if (!isOpen) {
				noteStore(error.message);
			}

			close();
		});
		store.once('close', close);
		router.once('error', close);
		router.once('close', () => {
			counters.open.dec();
			close();
		});
		router.setTimeout(idleTimeout, close);
		router.pipe(store);
		store.pipe(router);
	};

	const server = createServer({noDelay: true}, join);
	server.maxConnections = maxConnections;
	const metricsServer = createHttpServer((incoming, response) => {
		incoming.resume();
		runInBackground(async () => {
			response.end(await counters.format());
		});
	});
	const {address} = await listen(server, settings.listen.routers);
	await listen(metricsServer, settings.listen.metrics);
	log.write('routine', 'started', {address, uptime: Math.round(process.uptime() * 1000)});
	const ticker = setInterval(() => {
		log.tick(performance.now());
	}, 1000);

	return {
		address,
		reload(changed) {
			if (changed.err) {
				log.write('failure', 'settings-unreadable', {reason: changed.val.detail});
				return;
			}

			log.write('routine', 'settings-reloaded', {needsRestart: JSON.stringify(changed.val) !== JSON.stringify(settings)});
		},
		async stop() {
			log.write('routine', 'stopping', {});
			server.close();
			await sleep(endDelay);
			clearInterval(ticker);
			metricsServer.close();
			log.write('routine', 'stopped', {});
		},
	};
};
