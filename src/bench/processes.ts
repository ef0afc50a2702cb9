import {type Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {buildConfigDocument, studio} from '../local/deployments.js';
import {waitFor} from '../local/fleet.js';
import {hashSha256} from '../router/validate-request.js';

/** One of the package's programs, running in a child process. */
export type Program = Readonly<{
	child: ChildProcess;
	/** Fields of the log line that reports the start. */
	started: Readonly<Record<string, string>>;
	/** All lines that the program has logged. */
	lines: () => readonly string[];
	/** Resolves with the exit code, or with undefined if a signal ended the process. */
	exited: Promise<number | undefined>;
}>;

const settingsFolder = mkdtempSync(path.join(tmpdir(), 'galena-'));
let runningPrograms: readonly Program[] = [];
let settingsFileCount = 0;

const parseLogLine = (line: string): Readonly<Record<string, string>> =>
	Object.fromEntries(line.split(' ').map(pair => {
		const index = pair.indexOf('=');
		return [pair.slice(0, index), pair.slice(index + 1)];
	}));

/**
Runs one of the package's programs until it exits.

@param name - The program's name.
@param programArguments - Its command-line arguments.
@returns Its exit code, and its output to stdout and stderr.
*/
export const runProgram = async (name: string, programArguments: readonly string[]): Promise<Readonly<{code: number | undefined; output: string}>> => {
	const child = spawn(process.execPath, [path.join('dist', 'bin', `${name}.js`), ...programArguments]);
	let output = '';
	child.stdout.on('data', (data: Buffer) => {
		output += data.toString();
	});
	child.stderr.on('data', (data: Buffer) => {
		output += data.toString();
	});
	return new Promise(resolve => {
		child.on('close', code => {
			resolve({code: code ?? undefined, output});
		});
	});
};

/**
Writes a settings file to a temporary folder.

@param text - The settings, in INI format.
@returns The path of the file.
*/
export const writeSettings = (text: string): string => {
	settingsFileCount += 1;
	const file = path.join(settingsFolder, `settings-${settingsFileCount}.ini`);
	writeFileSync(file, text);
	return file;
};

/**
Starts one of the package's programs and waits until it logs its start.

@param name - The program's name.
@param settings - Its settings, in INI format.
@returns The running program.
@throws Error if the program exits, or does not start in time.
*/
export const startProgram = async (name: string, settings: string): Promise<Program> => {
	const child = spawn(process.execPath, [path.join('dist', 'bin', `${name}.js`), '--settings', writeSettings(settings)]);
	let text = '';
	child.stderr.on('data', (data: Buffer) => {
		text += data.toString();
	});
	const lines = () => text.split('\n');
	const findStartLine = () => lines().find(line => / event=(?:router|agent|standin)-started /v.test(line));
	await waitFor(`${name} to start`, () => {
		if (child.exitCode !== null) {
			throw new Error(`${name} exited with code ${child.exitCode}: ${text}`);
		}

		return findStartLine() !== undefined;
	});
	const program: Program = {
		child,
		lines,
		started: parseLogLine(findStartLine() ?? ''),
		exited: new Promise(resolve => {
			child.on('close', code => {
				resolve(code ?? undefined);
			});
		}),
	};
	runningPrograms = [...runningPrograms, program];
	return program;
};

/** Kills all programs that are still running. */
export const stopPrograms = (): void => {
	runningPrograms.forEach(({child}) => {
		child.kill('SIGKILL');
	});
	runningPrograms = [];
};

const operatorKey = 'operator-key-for-tests';
/**
Registers a process in the host list.

@param hosts - The address of the host list.
@param service - The service name, `galena-router` or `galena-agent`.
@param control - The control address of the process.
*/
export const registerService = async (hosts: string, service: string, control: string) => {
	const [address, port] = control.split(':');
	await fetch(`http://${hosts}/v1/agent/service/register`, {
		method: 'PUT', body: JSON.stringify({
			ID: control, Name: service, Address: address, Port: Number(port),
		}),
	});
};

/** A small fleet in which each program runs in its own process. */
export type ProcessFleet = Readonly<{
	table: Program;
	hosts: Program;
	engine: Program;
	service: Program;
	engineAgent: Program;
	serviceAgent: Program;
	routers: readonly Program[];
	/** Starts a further router, with keys of its `[limits]` section. */
	startRouter: (limits?: string) => Promise<Program>;
	/** Sends a client request as organisation `studio-1`. */
	call: (router: Program, path: string, body: unknown, headers?: Readonly<Record<string, string>>) => Promise<Response>;
	/** Calls the operator API as operator `tester`. */
	callOperatorApi: (router: Program, method: string, path: string, body?: unknown, headers?: Readonly<Record<string, string>>) => Promise<Response>;
	/** Changes the faults that a stand-in injects. */
	setFaults: (standin: Program, faults: unknown) => Promise<void>;
}>;

const logSettings = `
[log]
level = info
`;

/**
Starts the stand-ins, an agent for each stand-in endpoint, and the routers, each in
its own process, and applies a configuration and the initial top-up of a budget.

@param routerCount - The number of routers; at least one.
@param options - The maximum number of sequences that the engine runs concurrently.
@returns The running fleet.
@throws Error if there is no router, or if the fleet does not become ready in time.
*/
export const startProcesses = async (routerCount: number, options: Readonly<{engineCapacity?: number}> = {}): Promise<ProcessFleet> => {
	const capacity = options.engineCapacity ?? 32;
	const [table, hosts, engine, service] = await Promise.all([
		startProgram('galena-standin', `[table]\nlisten = 127.0.0.1:0\n${logSettings}`),
		startProgram('galena-standin', `[hosts]\nlisten = 127.0.0.1:0\nlag = 50ms\n${logSettings}`),
		startProgram('galena-standin', `[engine]\nlisten = 127.0.0.1:0\nmodel = stone-advice\nmax-running = ${capacity}\n${logSettings}`),
		startProgram('galena-standin', `[service]\nlisten = 127.0.0.1:0\n${logSettings}`),
	]);
	const hostList = hosts.started.address ?? '';
	const startAgent = async (pool: string, kind: string, endpoint: Program) => {
		const agent = await startProgram('galena-agent', `[agent]
listen = 127.0.0.1:0
data-centre = pl-central-1
pool = ${pool}
kind = ${kind}
capacity = ${capacity}
endpoint = http://${endpoint.started.address}
hosts = http://${hostList}
`);
		await registerService(hostList, 'galena-agent', agent.started.address ?? '');
		return agent;
	};

	const startRouter = async (limits = '') => {
		const router = await startProgram('galena-router', `[router]
listen = 127.0.0.1:0
control = 127.0.0.1:0
data-centre = pl-central-1
hosts = http://${hostList}

[table]
address = http://${table.started.address}
timeout = 500ms

[operators]
tester = ${hashSha256(operatorKey)}

[limits]
${limits}
`);
		await registerService(hostList, 'galena-router', router.started.control ?? '');
		return router;
	};

	const [engineAgent, serviceAgent] = await Promise.all([startAgent('studio-models', 'engine', engine), startAgent('shop', 'service', service)]);
	const routers = await Promise.all(Array.from({length: routerCount}, async () => startRouter()));

	const call: ProcessFleet['call'] = async (router, urlPath, body, headers = {}) => fetch(`http://${router.started.address}${urlPath}`, {
		method: 'POST',
		headers: {authorization: 'Bearer key-studio-1', 'content-type': 'application/json', ...headers},
		body: JSON.stringify(body),
	});
	const callOperatorApi: ProcessFleet['callOperatorApi'] = async (router, method, urlPath, body, headers = {}) => fetch(`http://${router.started.address}${urlPath}`, {
		method, headers: {authorization: `Bearer ${operatorKey}`, 'content-type': 'application/json', ...headers}, ...(body !== undefined && {body: JSON.stringify(body)}),
	});
	const [first] = routers;
	if (first === undefined) {
		throw new Error('a fleet needs at least one router');
	}

	await waitFor('a configuration to be accepted', async () => {
		const response = await callOperatorApi(first, 'PUT', '/operator/v1/config', buildConfigDocument(studio), {'if-match': '0'});
		return response.ok;
	});
	await callOperatorApi(first, 'POST', '/operator/v1/budgets/studio-1', {change: 'first', add: 100_000});
	await Promise.all(routers.map(async router => waitForAgents(router, callOperatorApi, 2)));
	return {
		table, hosts, engine, service, engineAgent, serviceAgent, routers, startRouter, call, callOperatorApi,
		async setFaults(standin, faults) {
			await fetch(`http://${standin.started.address}/_faults`, {method: 'POST', body: JSON.stringify(faults)});
		},
	};
};

/** The fields of the response to `GET /operator/v1/status` that tests use. */
export type RouterStatus = Readonly<{
	router: string;
	row: string;
	revision: number;
	agents: ReadonlyArray<Readonly<{agent: string; address: string; link: string; isLeaving: boolean; revision: number}>>;
	peers: ReadonlyArray<Readonly<{router: string}>>;
	pots: ReadonlyArray<Readonly<{budget: string; granted: number; reserved: number; unsettled: number}>>;
}>;

/**
Waits until a router has a configuration, an active row in the store, and open
sessions to a number of agents.

@param router - The router.
@param callOperatorApi - Calls the operator API.
@param count - The expected number of agents with an open session.
@throws Error if the router is not ready in time.
*/
export const waitForAgents = async (router: Program, callOperatorApi: ProcessFleet['callOperatorApi'], count: number): Promise<void> => {
	await waitFor('a router to reach its agents', async () => {
		const response = await callOperatorApi(router, 'GET', '/operator/v1/status');
		const status = await response.json() as RouterStatus;
		return status.revision > 0 && status.row === 'active' && status.agents.filter(agent => agent.link === 'open').length === count;
	});
};
