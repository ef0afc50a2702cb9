import {type Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {describeConfig, studio} from '../local/deployments.js';
import {waitFor} from '../local/fleet.js';
import {hashKey} from '../router/front.js';

/** A program of the package that runs as a process of its own. */
export type Program = Readonly<{
	child: ChildProcess;
	/** Fields of the log line that says it has started. */
	started: Readonly<Record<string, string>>;
	/** Everything that it has logged. */
	lines: () => readonly string[];
	/** Settles with the exit code. */
	exited: Promise<number | undefined>;
}>;

const folder = mkdtempSync(path.join(tmpdir(), 'galena-'));
let programs: readonly Program[] = [];
let files = 0;

const parseLine = (line: string): Readonly<Record<string, string>> =>
	Object.fromEntries(line.split(' ').map(pair => {
		const index = pair.indexOf('=');
		return [pair.slice(0, index), pair.slice(index + 1)];
	}));

/**
Runs one of the package's programs to its end.

@param name - The program.
@param commandLine - Its arguments.
@returns Its exit code and what it wrote.
*/
export const runProgram = async (name: string, commandLine: readonly string[]): Promise<Readonly<{code: number | undefined; output: string}>> => {
	const child = spawn(process.execPath, [path.join('dist', 'bin', `${name}.js`), ...commandLine]);
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
Writes a settings file.

@param text - The settings.
@returns The file's path.
*/
export const writeSettings = (text: string): string => {
	files += 1;
	const file = path.join(folder, `settings-${files}.ini`);
	writeFileSync(file, text);
	return file;
};

/**
Starts one of the package's programs.

@param name - The program.
@param settings - Its settings, in INI.
@returns The program once it has started.
*/
export const startProgram = async (name: string, settings: string): Promise<Program> => {
	const child = spawn(process.execPath, [path.join('dist', 'bin', `${name}.js`), '--settings', writeSettings(settings)]);
	let text = '';
	child.stderr.on('data', (data: Buffer) => {
		text += data.toString();
	});
	const lines = () => text.split('\n');
	const findStart = () => lines().find(line => / event=(?:router|agent|standin)-started /v.test(line));
	await waitFor(`${name} to start`, () => {
		if (child.exitCode !== null) {
			throw new Error(`${name} ended with ${child.exitCode}: ${text}`);
		}

		return findStart() !== undefined;
	});
	const program: Program = {
		child,
		lines,
		started: parseLine(findStart() ?? ''),
		exited: new Promise(resolve => {
			child.on('close', code => {
				resolve(code ?? undefined);
			});
		}),
	};
	programs = [...programs, program];
	return program;
};

/** Ends every program that is still running. */
export const stopPrograms = (): void => {
	programs.forEach(({child}) => {
		child.kill('SIGKILL');
	});
	programs = [];
};

const operatorKey = 'operator-key-for-tests';
/**
Puts a process on the host list.

@param hosts - The host list.
@param service - What it is.
@param control - Its control address.
*/
export const register = async (hosts: string, service: string, control: string) => {
	const [address, port] = control.split(':');
	await fetch(`http://${hosts}/v1/agent/service/register`, {
		method: 'PUT', body: JSON.stringify({
			ID: control, Name: service, Address: address, Port: Number(port),
		}),
	});
};

/** A small fleet of separate processes. */
export type ProcessFleet = Readonly<{
	table: Program;
	hosts: Program;
	engine: Program;
	service: Program;
	engineAgent: Program;
	serviceAgent: Program;
	routers: readonly Program[];
	startRouter: () => Promise<Program>;
	call: (router: Program, path: string, body: unknown, headers?: Readonly<Record<string, string>>) => Promise<Response>;
	operate: (router: Program, method: string, path: string, body?: unknown, headers?: Readonly<Record<string, string>>) => Promise<Response>;
	setFaults: (standin: Program, faults: unknown) => Promise<void>;
}>;

const listRows = `
[log]
level = info
`;

/**
Starts the stand-ins, one agent beside each stand-in endpoint, and routers, each
as a process of its own, with a configuration in force and budgets paid in.

@param routerCount - How many routers.
@param options - Sequences that the engine runs at once.
@returns The fleet.
*/
export const startProcesses = async (routerCount: number, options: Readonly<{engineCapacity?: number}> = {}): Promise<ProcessFleet> => {
	const capacity = options.engineCapacity ?? 32;
	const [table, hosts, engine, service] = await Promise.all([
		startProgram('galena-standin', `[table]\nlisten = 127.0.0.1:0\n${listRows}`),
		startProgram('galena-standin', `[hosts]\nlisten = 127.0.0.1:0\nlag = 50ms\n${listRows}`),
		startProgram('galena-standin', `[engine]\nlisten = 127.0.0.1:0\nmodel = stone-advice\nmax-running = ${capacity}\n${listRows}`),
		startProgram('galena-standin', `[service]\nlisten = 127.0.0.1:0\n${listRows}`),
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
		await register(hostList, 'galena-agent', agent.started.address ?? '');
		return agent;
	};

	const startRouter = async () => {
		const router = await startProgram('galena-router', `[router]
listen = 127.0.0.1:0
control = 127.0.0.1:0
data-centre = pl-central-1
hosts = http://${hostList}

[table]
address = http://${table.started.address}
timeout = 500ms

[operators]
tester = ${hashKey(operatorKey)}
`);
		await register(hostList, 'galena-router', router.started.control ?? '');
		return router;
	};

	const [engineAgent, serviceAgent] = await Promise.all([startAgent('studio-models', 'engine', engine), startAgent('shop', 'service', service)]);
	const routers = await Promise.all(Array.from({length: routerCount}, async () => startRouter()));

	const call: ProcessFleet['call'] = async (router, where, body, headers = {}) => fetch(`http://${router.started.address}${where}`, {
		method: 'POST',
		headers: {authorization: 'Bearer key-studio-1', 'content-type': 'application/json', ...headers},
		body: JSON.stringify(body),
	});
	const operate: ProcessFleet['operate'] = async (router, method, where, body, headers = {}) => fetch(`http://${router.started.address}${where}`, {
		method, headers: {authorization: `Bearer ${operatorKey}`, 'content-type': 'application/json', ...headers}, ...(body !== undefined && {body: JSON.stringify(body)}),
	});
	const [first] = routers;
	if (first === undefined) {
		throw new Error('a fleet needs a router');
	}

	await waitFor('a configuration to be accepted', async () => {
		const response = await operate(first, 'PUT', '/operator/v1/config', describeConfig(studio), {'if-match': '0'});
		return response.ok;
	});
	await operate(first, 'POST', '/operator/v1/budgets/studio-1', {change: 'first', add: 100_000});
	await Promise.all(routers.map(async router => waitForAgents(router, operate, 2)));
	return {
		table, hosts, engine, service, engineAgent, serviceAgent, routers, startRouter, call, operate,
		async setFaults(standin, faults) {
			await fetch(`http://${standin.started.address}/_faults`, {method: 'POST', body: JSON.stringify(faults)});
		},
	};
};

/** What `GET /operator/v1/status` tells. */
export type Status = Readonly<{
	router: string;
	row: string;
	revision: number;
	agents: ReadonlyArray<Readonly<{agent: string; address: string; link: string; isLeaving: boolean; revision: number}>>;
	peers: ReadonlyArray<Readonly<{router: string}>>;
	pots: ReadonlyArray<Readonly<{budget: string; granted: number; reserved: number; unsettled: number}>>;
}>;

/**
Waits until a router has a configuration, its row, and open sessions.

@param router - The router.
@param operate - Calls the operators' interface.
@param count - How many agents it is to reach.
*/
export const waitForAgents = async (router: Program, operate: ProcessFleet['operate'], count: number): Promise<void> => {
	await waitFor('a router to reach its agents', async () => {
		const response = await operate(router, 'GET', '/operator/v1/status');
		const status = await response.json() as Status;
		return status.revision > 0 && status.row === 'active' && status.agents.filter(agent => agent.link === 'open').length === count;
	});
};
