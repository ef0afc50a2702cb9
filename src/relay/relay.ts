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
import {
	canKeepAll, computeAccountLimits, createAccount, listExcess, removeHolding, setHolding,
} from '../memory-account/index.js';
import {listen} from '../server/http.js';
import {awaitPeerEnd} from '../server/resets.js';
import type {RelaySettings} from './settings.js';

/** Time limit for connecting to the store. Routers switch to another path after about the same time. */
const connectTimeoutMs = 300;

/** Idle time after which a connection is closed. Well above the longest request to the store. */
const idleTimeoutMs = 10_000;

/** Maximum number of connections, whatever the machine has. A router keeps a few, so this serves hundreds of routers. */
const maxConnections = 1000;

/** Memory that a connection takes up, in bytes: a read of 64 KB waits in at most one of its directions, as requests and replies alternate. */
const connectionBytes = 48 * 1024;

/** Time that a stopping relay waits for in-flight requests. The store replies within a few milliseconds. */
const drainDelayMs = 300;

/** A running relay. */
export type Relay = Readonly<{
	/** The address on which the relay listens. */
	address: string;
	stop: () => Promise<void>;
	/** Logs whether the settings have changed. Changed addresses take effect at the next start. */
	reload: (settings: Result<RelaySettings>) => void;
}>;

/** Creates the metrics of a relay. */
const createMetrics = () => {
	const registry = new Registry();
	const registers = [registry];
	return {
		connections: new Counter({name: 'galena_relay_connections_total', help: 'Connections from routers.', registers}),
		givenUp: new Counter({name: 'galena_relay_given_up_total', help: 'Connections closed for lack of memory or descriptors.', registers}),
		failures: new Counter({name: 'galena_relay_store_failures_total', help: 'Connections to the store that could not be opened.', registers}),
		open: new Gauge({name: 'galena_relay_open_connections', help: 'Connections from routers that are open.', registers}),
		format: async () => registry.metrics(),
	};
};

/**
Starts a TCP relay that forwards bytes between routers and the store.

Relays serve routers that are cut off from the store while this host can reach it.
Only the store makes decisions. A relay keeps no state, so that the loss of any
relay is harmless.

@param settings - Settings of the relay.
@param log - Log of the relay.
@returns The listening address, and functions that stop the relay and reload its settings.
*/
export const startRelay = async (settings: RelaySettings, log: BoundedLog): Promise<Relay> => {
	const metrics = createMetrics();
	let isStoreUnreachable = false;

	const recordStoreState = (reason: string | undefined) => {
		if (reason !== undefined) {
			metrics.failures.inc();
		}

		if (isStoreUnreachable !== (reason !== undefined)) {
			isStoreUnreachable = reason !== undefined;
			log.write(isStoreUnreachable ? 'failure' : 'routine', isStoreUnreachable ? 'store-lost' : 'store-regained', {reason});
		}
	};

	const machineLimits = computeAccountLimits({memoryMb: settings.limits.memory, descriptors: settings.limits.descriptors});
	let account = createAccount({...machineLimits, connections: Math.min(maxConnections, machineLimits.connections)});
	let connectionCount = 0;
	const openConnections = new Map<number, Readonly<{getLastActivity: () => number; close: () => void}>>();

	const setConnection = (id: number, since: number) => {
		account = setHolding(account, id, {
			kind: 'idle', bytes: connectionBytes, since, isConnection: true,
		});
	};

	/** Closes the connections that have carried nothing for the longest time, if there are too many. */
	const giveUpExcess = () => {
		if (canKeepAll(account)) {
			return;
		}

		openConnections.forEach(({getLastActivity}, id) => {
			setConnection(id, getLastActivity());
		});
		listExcess(account).forEach(id => {
			const connection = openConnections.get(id);
			metrics.givenUp.inc();
			log.write('failure', 'connection-given-up', {age: Math.round(performance.now() - (connection?.getLastActivity() ?? 0)), connections: account.connections});
			connection?.close();
		});
	};

	const forwardConnection = (router: Socket) => {
		connectionCount += 1;
		const id = connectionCount;
		let lastActivity = performance.now();
		const recordActivity = () => {
			lastActivity = performance.now();
		};

		const store = connect({...settings.store.address, noDelay: true});
		let isConnected = false;
		const release = () => {
			clearTimeout(timer);
			openConnections.delete(id);
			account = removeHolding(account, id);
		};

		const close = () => {
			release();
			router.destroy();
			store.destroy();
		};

		/** Resets what is left of both connections: after an ordinary close, a response without a length would look complete. */
		const reset = () => {
			release();
			[router, store].filter(socket => !socket.destroyed).forEach(socket => {
				socket.resetAndDestroy();
			});
		};

		const timer = setTimeout(() => {
			if (!isConnected) {
				recordStoreState(`no connection within ${connectTimeoutMs} ms`);
			}

			close();
		}, connectTimeoutMs);
		metrics.connections.inc();
		metrics.open.inc();
		store.once('connect', () => {
			isConnected = true;
			clearTimeout(timer);
			recordStoreState(undefined);
		});
		store.once('error', error => {
			if (!isConnected) {
				recordStoreState(error.message);
			}

			reset();
		});
		store.once('close', close);
		router.once('error', reset);
		router.once('close', () => {
			metrics.open.dec();
			close();
		});
		router.setTimeout(idleTimeoutMs, close);
		router.pipe(store);
		store.pipe(router, {end: false});
		runInBackground(async () => {
			if (await awaitPeerEnd(store)) {
				router.end();
			} else {
				reset();
			}
		});
		router.on('data', recordActivity);
		store.on('data', recordActivity);
		openConnections.set(id, {getLastActivity: () => lastActivity, close});
		setConnection(id, lastActivity);
		giveUpExcess();
	};

	const server = createServer({noDelay: true}, forwardConnection);
	const metricsServer = createHttpServer((incoming, response) => {
		incoming.resume();
		runInBackground(async () => {
			response.end(await metrics.format());
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
		reload(reloaded) {
			if (reloaded.err) {
				log.write('failure', 'settings-unreadable', {reason: reloaded.val.detail});
				return;
			}

			log.write('routine', 'settings-reloaded', {needsRestart: JSON.stringify(reloaded.val) !== JSON.stringify(settings)});
		},
		async stop() {
			log.write('routine', 'stopping', {});
			server.close();
			await sleep(drainDelayMs);
			clearInterval(ticker);
			metricsServer.close();
			log.write('routine', 'stopped', {});
		},
	};
};
