import {execFileSync, spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {mkdtempSync} from 'node:fs';
import {connect, createServer as createSocketServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {pathToFileURL} from 'node:url';
import {sleep} from '../loop/index.js';
import {createSampleRows} from '../platform/sample.js';
import {listen} from '../server/http.js';
import {createSampleEndpoint, sendSample} from '../warm-up/index.js';
import {workStages} from '../work-time/index.js';
import {readUsage} from './measure.js';
import {writeSettings} from './processes.js';

type WriteLine = (line: string) => void;

/** Requests per second, and number of endpoints, all at one address. */
const requestsPerSecond = 80;
const endpointCount = 44;

/** Time between two events of a stream, in ms. */
const partGapMs = 25;

/** Number of the first requests, and of those of each later part. */
const firstCount = 160;
const partCount = 800;
const parts = 3;

/** Processor time of a request, as a multiple of that of the bare proxy, and that of the first ones, as a multiple of that of the last ones. */
const requestBudget = 1.5;
const firstBudget = 1.3;

/** The same for each stage. What is left of the request's budget is Node's own work on sockets and messages. */
const stageBudgets: Readonly<Record<typeof workStages[number], number>> = {
	head: 0.1, decision: 0.25, send: 0.1, stream: 0.15, log: 0.05,
};

/** Time after which a process has counted its work, in ms. */
const countedMs = 6000;

const idleMs = 3000;

type FakeStore = Readonly<{server: Server; put: (table: string, key: string, value: unknown) => void}>;

/** Loads the fake store of the tests, which are not part of the build. */
const loadFakeStore = async (): Promise<FakeStore> => {
	const file = path.join(mkdtempSync(path.join(tmpdir(), 'galena-')), 'store.mjs');
	execFileSync('npx', ['esbuild', 'test/soak/store.ts', '--bundle', '--platform=node', '--format=esm', `--outfile=${file}`, '--log-level=error']);
	const {createStore} = await import(pathToFileURL(file).href) as {createStore: () => FakeStore};
	return createStore();
};

const getPort = (server: Server): number => (server.address() as AddressInfo).port;

const loopback = {host: '127.0.0.1', port: 0} as const;

const findPort = async (): Promise<number> => {
	const server = createSocketServer();
	await listen(server, loopback);
	const port = getPort(server);
	server.close();
	return port;
};

/** A process that serves requests at a port. */
type Subject = Readonly<{child: ChildProcess; port: number; metricsPort: number | undefined}>;

const startBareProxy = async (endpointPort: number): Promise<Subject> => {
	const port = await findPort();
	return {child: spawn(process.execPath, [path.join('dist', 'bench', 'bare-proxy.js'), String(port), String(endpointPort)], {stdio: 'ignore'}), port, metricsPort: undefined};
};

/** A refused connection means that the process has not started yet. */
const checkReady = async (port: number): Promise<boolean> => {
	try {
		const {status} = await fetch(`http://127.0.0.1:${port}/`);
		return status === 200;
	} catch {
		return false;
	}
};

const startRouter = async (endpointPort: number): Promise<Subject> => {
	const store = await loadFakeStore();
	await listen(store.server, loopback);
	createSampleRows('z', Array.from({length: endpointCount}, () => `127.0.0.1:${endpointPort}`)).forEach(({table, key, value}) => {
		store.put(table, key, JSON.parse(value!));
	});
	const [port, ready, metricsPort, peers] = await Promise.all([findPort(), findPort(), findPort(), findPort()]);
	const settings = writeSettings(`[host]
name = r
address = 127.0.0.1
data-centre = z
[listen]
callers = 127.0.0.1:${port}
ready = 127.0.0.1:${ready}
metrics = 127.0.0.1:${metricsPort}
peers = 127.0.0.1:${peers}
[store]
address = 127.0.0.1:${getPort(store.server)}
[bounds]
grace = 7s
repeat-ratio = 0.2
repeat-slack = 50
`);
	const child = spawn(process.execPath, ['--max-old-space-size=120', path.join('target', 'bin', 'galena-edge.js'), '--settings', settings], {stdio: 'ignore'});
	const awaitReady = async (): Promise<void> => {
		if (!await checkReady(ready)) {
			await sleep(50);
			return awaitReady();
		}
	};

	await awaitReady();
	return {child, port, metricsPort};
};

/** Sends requests at the rate over kept connections, and returns the processor time of each, without the idle part, in ms. */
const createLoad = ({child, port}: Subject, idlePerMs: number) => {
	const idle: Socket[] = [];
	let index = 0;
	const sendNext = async (): Promise<void> => {
		index += 1;
		const socket = idle.pop() ?? connect({port, host: loopback.host, noDelay: true}).on('error', () => undefined);
		await sendSample(socket, index);
		if (!socket.destroyed) {
			idle.push(socket);
		}
	};

	return async (count: number): Promise<number> => {
		const pid = child.pid!;
		const usedBefore = readUsage(pid).cpuMs;
		const startedAt = performance.now();
		const sent: Array<Promise<void>> = [];
		while (sent.length < count) {
			while (sent.length < Math.min(count, (performance.now() - startedAt) * requestsPerSecond / 1000)) {
				sent.push(sendNext());
			}

			await sleep(2);
		}

		await Promise.all(sent);
		return (readUsage(pid).cpuMs - usedBefore - ((performance.now() - startedAt) * idlePerMs)) / count;
	};
};

type Measurement = Readonly<{firstMs: number; lastMs: number; stages: Readonly<Record<string, number>>}>;

const readStages = async (metricsPort: number): Promise<Readonly<Record<string, number>>> => {
	const response = await fetch(`http://127.0.0.1:${metricsPort}/metrics`);
	const text = await response.text();
	return Object.fromEntries(workStages.map(stage => [stage, Number(new RegExp(String.raw`galena_stage_milliseconds_total\{stage="${stage}",requests="later"\} (\S+)`, 'v').exec(text)?.[1] ?? 0)]));
};

const measureSubject = async (subject: Subject): Promise<Measurement> => {
	await sleep(1000);
	const idleBefore = readUsage(subject.child.pid!).cpuMs;
	await sleep(idleMs);
	const load = createLoad(subject, (readUsage(subject.child.pid!).cpuMs - idleBefore) / idleMs);
	const firstMs = await load(firstCount);
	let lastMs = 0;
	for (const _ of Array.from({length: parts})) {
		lastMs = await load(partCount);
	}

	await sleep(subject.metricsPort === undefined ? 0 : countedMs);
	const stages = subject.metricsPort === undefined ? {} : await readStages(subject.metricsPort);
	subject.child.kill('SIGKILL');
	return {firstMs, lastMs, stages: Object.fromEntries(Object.entries(stages).map(([stage, ms]) => [stage, ms / (parts * partCount)]))};
};

const formatBudget = (name: string, value: number, budget: number): string => `${name}: ${value.toFixed(2)} (budget ${budget.toFixed(2)})${value > budget ? ', over' : ''}`;

/**
Measures the processor time of a request at one router on a whole core, by stage, as a multiple of that of a bare proxy under the
same load.

@param write - Receives each line of the result.
*/
export const benchRequests = async (write: WriteLine): Promise<void> => {
	execFileSync('npm', ['run', '--silent', 'bundle']);
	const endpoint = createSampleEndpoint(partGapMs);
	await listen(endpoint, loopback);
	const bare = await measureSubject(await startBareProxy(getPort(endpoint)));
	const router = await measureSubject(await startRouter(getPort(endpoint)));
	write(`bare proxy: first ${bare.firstMs.toFixed(2)} ms, last ${bare.lastMs.toFixed(2)} ms of processor time a request`);
	write(`router: first ${router.firstMs.toFixed(2)} ms, last ${router.lastMs.toFixed(2)} ms`);
	write(formatBudget('router as a multiple of the bare proxy', router.lastMs / bare.lastMs, requestBudget));
	write(formatBudget('first requests as a multiple of the last ones', router.firstMs / router.lastMs, firstBudget));
	workStages.forEach(stage => {
		write(formatBudget(`stage ${stage} as a multiple of the bare proxy`, router.stages[stage]! / bare.lastMs, stageBudgets[stage]));
	});
};
