import {Buffer} from 'node:buffer';
import {execFileSync, spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {
	mkdtempSync, readdirSync, readFileSync, writeFileSync,
} from 'node:fs';
import {createServer} from 'node:http';
import type {IncomingMessage, RequestListener, ServerResponse} from 'node:http';
import {connect, createServer as createSocketServer} from 'node:net';
import type {AddressInfo, Server as SocketServer, Socket} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect, onTestFailed, onTestFinished} from 'vitest';
import {fetchOutcome} from './http-status.js';
import type {Outcome} from './http-status.js';
import {startRateProxy} from './soak/proxy.js';
import type {RateProxy} from './soak/proxy.js';
import {createStore} from './soak/store.js';
import type {FakeStore, FakeStoreOptions} from './soak/store.js';

/** Time that clients have to send what they send, in ms. A client that the process does not read may need longer. */
const sendingMs = 8000;

/** Time after which the effects of what clients sent are looked at, in ms. */
const settlingMs = 1500;

/** A program of the bundle that runs in a child process. */
export type BundledProgram = Readonly<{
	/** Address of its clients. */
	port: number;
	/** Returns false once the process has ended. */
	isAlive: () => boolean;
	/** Returns the largest resident memory so far, in MB. */
	readPeakMemory: () => number;
	/** Returns the largest number of open descriptors seen so far. */
	getPeakDescriptors: () => number;
	/** Limits the process to a share of a core, until it is restarted. */
	limitProcessor: (share: number) => void;
	/** Kills the process and starts it again with the same settings and ports. */
	restart: () => void;
	/** Lines that the program has logged, in all its processes. */
	lines: readonly string[];
}>;

/** Bundles the programs as the deploy file does. */
export const bundlePrograms = (): void => {
	execFileSync('npm', ['run', '--silent', 'bundle']);
};

const listen = async (server: SocketServer): Promise<number> => new Promise(resolve => {
	server.listen(0, '127.0.0.1', () => {
		resolve((server.address() as AddressInfo).port);
	});
});

const findPort = async (): Promise<number> => {
	const server = createSocketServer();
	const port = await listen(server);
	await new Promise(resolve => {
		server.close(resolve);
	});
	return port;
};

const countDescriptors = (pid: number): number => {
	try {
		return readdirSync(`/proc/${pid}/fd`).length;
	} catch {
		return 0;
	}
};

/** Returns the processor time that all threads of a process have used, in ms. */
const readProcessorTime = (pid: number): number => {
	try {
		return readdirSync(`/proc/${pid}/task`)
			.map(thread => Number(readFileSync(`/proc/${pid}/task/${thread}/schedstat`, 'utf8').split(' ', 1)[0]) / 1e6)
			.reduce((sum, used) => sum + used, 0);
	} catch {
		return 0;
	}
};

/** Interval at which a capped process is stopped or continued, and the time of its share that it may save up, in ms. */
const capIntervalMs = 4;
const capPeriodMs = 100;

/** Limits a process to a share of a core: it runs until its share of a tenth of a second is used up. */
const capProcessor = (pid: number, share: number): (() => void) => {
	let usedBefore = readProcessorTime(pid);
	let cappedAt = performance.now();
	let credit = 0;
	const timer = setInterval(() => {
		const used = readProcessorTime(pid);
		const now = performance.now();
		credit = Math.min(share * capPeriodMs, credit + ((now - cappedAt) * share) - (used - usedBefore));
		usedBefore = used;
		cappedAt = now;
		process.kill(pid, credit < 0 ? 'SIGSTOP' : 'SIGCONT');
	}, capIntervalMs);
	return () => {
		clearInterval(timer);
	};
};

/** Number of its last lines of log that a program shows when its test fails. */
const shownLines = 30;

/**
Reads the largest resident memory of a process so far.

@param pid - Its process id.
@returns The memory, in MB.
*/
export const readPeakMemory = (pid: number): number => Number(/VmHWM:\s+(?<kilobytes>\d+)/v.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.groups?.kilobytes) / 1024;

/** Starts a program with the memory limit of its run line in `deploy/system.toml`. */
const startBundled = (name: string, oldSpaceMb: number, settings: string, port: number): BundledProgram => {
	const file = path.join(mkdtempSync(path.join(tmpdir(), 'galena-')), `${name}.ini`);
	writeFileSync(file, settings);
	const lines: string[] = [];
	const startChild = (): ChildProcess => {
		const started = spawn(process.execPath, [`--max-old-space-size=${oldSpaceMb}`, `target/bin/${name}.js`, '--settings', file], {stdio: ['ignore', 'pipe', 'pipe']});
		[started.stdout, started.stderr].forEach(output => {
			output.on('data', bytes => {
				lines.push(...String(bytes).trimEnd().split('\n'));
			});
		});
		return started;
	};

	let child = startChild();
	let peakDescriptors = 0;
	const timer = setInterval(() => {
		peakDescriptors = Math.max(peakDescriptors, countDescriptors(child.pid!));
	}, 20);
	let stopCap = () => undefined as void;
	const kill = () => {
		stopCap();
		child.kill('SIGKILL');
	};

	onTestFinished(() => {
		clearInterval(timer);
		kill();
	});
	onTestFailed(() => {
		console.log(lines.slice(-shownLines).join('\n'));
	});
	return {
		port,
		lines,
		isAlive: () => child.exitCode === null && child.signalCode === null,
		readPeakMemory: () => readPeakMemory(child.pid!),
		getPeakDescriptors: () => peakDescriptors,
		limitProcessor(share) {
			stopCap = capProcessor(child.pid!, share);
		},
		restart() {
			kill();
			child = startChild();
		},
	};
};

/** How the endpoint answers the paths of uncontrolled clients; it answers any other path at once. */
const endpointResponders: Readonly<Record<string, (incoming: IncomingMessage, response: ServerResponse, headers: Readonly<Record<string, string>>) => void>> = {
	'/held'(incoming, response, headers) {
		incoming.resume();
		setTimeout(() => {
			response.writeHead(200, headers).end('late');
		}, 5000);
	},
	'/large'(incoming, response, headers) {
		incoming.resume();
		response.writeHead(200, headers).end(Buffer.alloc(7 * 1024 * 1024));
	},
	'/stream'(incoming, response, headers) {
		incoming.resume();
		response.writeHead(200, {...headers, 'content-type': 'text/event-stream'});
		const event = `data: ${'x'.repeat(8000)}\n\n`;
		const timer = setInterval(() => {
			if (!response.writableNeedDrain) {
				response.write(event.repeat(8));
			}
		}, 20);
		response.on('close', () => {
			clearInterval(timer);
		});
	},
};

const respondAsUsual: RequestListener = (incoming, response) => {
	const headers = {'response-seal': 's', 'attempt-id': String(incoming.headers['attempt-id'])};
	const respond = endpointResponders[incoming.url ?? ''];
	response.on('error', () => undefined);
	if (respond !== undefined) {
		respond(incoming, response, headers);
		return;
	}

	incoming.resume();
	incoming.on('end', () => {
		response.writeHead(200, headers).end('whole');
	});
};

/** The machine of an edge process. */
type EdgeMachine = Readonly<{
	/** Memory in MB, and descriptors, of the settings. */
	memory: number;
	descriptors: number;
	/** Number of cores that the process may use once it is ready; unlimited if left out. */
	cpuShare?: number;
	/** Rate at which it receives from the store, in bytes per ms; unlimited if left out. */
	linkBytesPerMs?: number;
	/** Options of the store. */
	store?: FakeStoreOptions;
	/** Number of further routes in the first configuration. */
	routeCount?: number;
	/** Fields of the first route that differ, in the platform's terms. */
	route?: Readonly<Record<string, unknown>>;
	/** Handles the requests that reach the endpoint; replaces the usual responses. */
	respond?: RequestListener;
	/** Name and data centre of the router. */
	name?: string;
	dataCentre?: string;
	/** Store and endpoint of several routers; `store`, `routeCount`, `route` and `respond` are those of the first one. */
	system?: EdgeSystem;
}>;

/** What routers share: a store with a configuration and an endpoint. */
export type EdgeSystem = Readonly<{store: FakeStore; storePort: number}>;

/** A running edge process, its store and its link to the store. */
export type EdgeProcess = Omit<BundledProgram, 'restart'> & Readonly<{
	/** Port of the health check of its readiness. */
	readyPort: number;
	store: FakeStore;
	link: RateProxy | undefined;
	/** Kills the process and starts it again with the same settings and ports. Resolves when it is ready. */
	restart: () => Promise<void>;
}>;

/** Path prefix of a further route of a configuration. */
export const formatPrefix = (index: number): string => `/further-${index}/`;

/**
Builds a configuration.

@param version - Its version.
@param routeCount - Number of its routes beside the first one, of the length that routes have on the users' platform.
@param fields - Fields of its routes that differ from the usual ones.
@returns The configuration, in the platform's terms.
*/
export const buildConfig = (version: number, routeCount: number, fields: Readonly<Record<string, unknown>> = {}) => {
	const route = {
		name: 'r', host: 'h', prefix: '/', kind: 'unsafe', timeoutMs: 30_000, targetLatencyMs: 5000, priority: 1, service: 's', anonymous: true, ...fields,
	};
	const further = Array.from({length: routeCount}, (_, index) => ({
		...route, host: 'further', name: `r-further-${index}`, prefix: formatPrefix(index), maxAttempts: 2, sticky: true, resumable: true, gapAimMs: 300,
	}));
	return {
		version,
		routes: [route, ...further],
		services: [{name: 's', maxConnections: 200}],
		limits: {
			maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 30_000, idleTimeoutMs: 30_000,
		},
	};
};

/**
Starts a store with a configuration and an endpoint.

@param options - What the store does, the configuration, and how the endpoint responds.
@returns The store, which ends with the test.
*/
export const startEdgeSystem = async ({store: storeOptions, routeCount = 0, route, respond = respondAsUsual}: Pick<EdgeMachine, 'store' | 'routeCount' | 'route' | 'respond'>): Promise<EdgeSystem> => {
	const store = createStore(storeOptions);
	const endpoint = createServer(respond);
	const [storePort, endpointPort] = await Promise.all([listen(store.server), listen(endpoint)]);
	store.put('servers', 'i-1', {
		service: 's', address: `127.0.0.1:${endpointPort}`, zone: 'z', version: 'v1', slots: 2000, state: 'ready', born: 1,
	});
	store.put('op', 'config', buildConfig(1, routeCount, route));
	onTestFinished(() => {
		[endpoint, store.server].forEach(server => {
			server.closeAllConnections();
			server.close();
		});
	});
	return {store, storePort};
};

/**
Starts the edge with a store and an endpoint.

@param machine - What the machine has, and what its store does.
@returns The edge, which is ready.
*/
export const startEdgeProcess = async ({
	memory, descriptors, cpuShare, linkBytesPerMs, name = 'r', dataCentre = 'z', system, ...options
}: EdgeMachine): Promise<EdgeProcess> => {
	const {store, storePort} = system ?? await startEdgeSystem(options);
	const link = linkBytesPerMs === undefined ? undefined : await startRateProxy(storePort, linkBytesPerMs);
	const [storeAddress = `127.0.0.1:${storePort}`, relayAddress = ''] = link?.addresses ?? [];
	const [callers, ready, metrics, peers] = await Promise.all([findPort(), findPort(), findPort(), findPort()]);
	const program = startBundled('galena-edge', 120, `[host]
name = ${name}
address = 127.0.0.1
data-centre = ${dataCentre}
[listen]
callers = 127.0.0.1:${callers}
ready = 127.0.0.1:${ready}
metrics = 127.0.0.1:${metrics}
peers = 127.0.0.1:${peers}
[store]
address = ${storeAddress}
relays = ${relayAddress}
[bounds]
grace = 7s
config-ms = 3000
repeat-ratio = 0.2
repeat-slack = 50
[limits]
memory = ${memory}
descriptors = ${descriptors}
${cpuShare === undefined ? '' : `cpu-share = ${cpuShare}`}
`, callers);
	onTestFinished(() => {
		link?.close();
	});
	const awaitReady = async () => {
		await expect.poll(async () => fetchOutcome({port: ready}), {timeout: 20_000}).toBe(200);
		if (cpuShare !== undefined) {
			program.limitProcessor(cpuShare);
		}
	};

	await awaitReady();
	return {
		...program,
		readyPort: ready,
		store,
		link,
		async restart() {
			program.restart();
			return awaitReady();
		},
	};
};

/**
Starts the relay with a store that reads HTTP requests, and nothing else.

@param descriptors - Descriptors in the settings.
@returns The relay.
*/
export const startRelayProcess = async (descriptors: number): Promise<BundledProgram> => {
	const accepted = new Set<Socket>();
	const store = createSocketServer(socket => {
		accepted.add(socket);
		socket.on('error', () => undefined);
		socket.once('data', bytes => {
			if (String(bytes).startsWith('POST ')) {
				socket.end('HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n');
			} else {
				socket.pause();
			}
		});
	});
	const [storePort, routers, metrics] = await Promise.all([listen(store), findPort(), findPort()]);
	const program = startBundled('galena-relay', 40, `[host]
name = s
[listen]
routers = 127.0.0.1:${routers}
metrics = 127.0.0.1:${metrics}
[store]
address = 127.0.0.1:${storePort}
[limits]
memory = 210
descriptors = ${descriptors}
`, routers);
	onTestFinished(() => {
		accepted.forEach(socket => {
			socket.destroy();
		});
		store.close();
	});
	await expect.poll(async () => sendOrdinaryRequest(program), {timeout: 20_000}).toBe(200);
	return program;
};

/**
Sends a request over a connection of its own.

@param program - The program.
@param body - The body, which is small by default.
@returns The status of the response, or the error code if the connection was closed without one.
*/
export const sendOrdinaryRequest = async ({port}: Pick<BundledProgram, 'port'>, body: Buffer | string = 'small'): Promise<Outcome> => fetchOutcome({
	port, method: 'POST', path: '/plain', headers: {
		host: 'h', 'attempt-id': 'ordinary', 'request-deadline-ms': '5000', 'content-length': body.length,
	},
}, body);

/** What a client writes after it has connected, in order. */
export type Script = Iterable<Buffer | string>;

/** Clients that write and then stay connected. */
export type Clients = Readonly<{
	count: number;
	/** Returns what the client with the given index writes. */
	createScript: (index: number) => Script;
	/** Time between the connections of two clients, in ms; 0 if left out. */
	intervalMs?: number;
	/** False for clients that read nothing. */
	isReading?: boolean;
}>;

const writeScript = async (socket: Socket, script: Script): Promise<void> => {
	for (const bytes of script) {
		if (socket.destroyed) {
			return;
		}

		await new Promise<void>(resolve => {
			socket.once('close', resolve);
			socket.write(bytes, () => {
				socket.off('close', resolve);
				resolve();
			});
		});
	}
};

/**
Opens connections that write and then stay open until the test ends, and waits until what they wrote has had its effect.

@param program - The program.
@param clients - The clients.
*/
export const sendFromClients = async ({port}: Pick<BundledProgram, 'port'>, {
	count, createScript, intervalMs = 0, isReading = true,
}: Clients): Promise<void> => {
	const sockets = new Set<Socket>();
	onTestFinished(() => {
		sockets.forEach(socket => {
			socket.destroy();
		});
	});
	const run = async (index: number): Promise<void> => {
		await sleep(index * intervalMs);
		const socket = connect(port, '127.0.0.1').on('error', () => undefined);
		sockets.add(socket);
		if (isReading) {
			socket.resume();
		}

		return writeScript(socket, createScript(index));
	};

	await Promise.race([Promise.all(Array.from({length: count}, async (_, index) => run(index))), sleep(sendingMs)]);
	await sleep(settlingMs);
};
