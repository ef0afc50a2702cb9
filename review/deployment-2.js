import {spawn} from 'node:child_process';
import {
	mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {request} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';

const root = fileURLToPath(new URL('..', import.meta.url));

/** Delay before the platform starts a process again that has ended, in ms. */
const restartDelayMs = 300;

export const sleep = async ms => new Promise(resolve => {
	setTimeout(resolve, ms);
});

const findPort = async () => new Promise(resolve => {
	const server = createServer().listen(0, '127.0.0.1', () => {
		const {port} = server.address();
		server.close(() => {
			resolve(port);
		});
	});
});

/** Fields of the platform's settings of a small deployment; the addresses are added for each process. */
const baseSettings = {
	role: 'edge',
	machineClass: 'front',
	zone: 'z-a',
	region: 'r',
	zones: {'z-a': 'r'},
	limits: {
		cpuShare: 0.513, cores: 1, memoryMb: 350, maxFds: 4100, linkMbps: 1000, diskMb: 0,
	},
	contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'engine', 'stream', 'tenants', 'platform'],
	bounds: {
		contactMs: 3000, drainMs: 2000, graceS: 8, configMs: 2000, budgetRatio: 0.2, budgetWindowS: 10, budgetSlack: 54,
	},
};

const formatValue = value => {
	if (value === undefined || value === null) {
		return '';
	}

	return Array.isArray(value) ? value.join(',') : (typeof value === 'object' ? JSON.stringify(value) : String(value));
};

/** Fills in a template of the deploy file, as far as it has plain placeholders. */
const fillTemplate = (file, fields) => readFileSync(path.join(root, file), 'utf8').replaceAll(/\{\{(?<name>[\w.]+)\}\}/gv, (_, name) =>
	formatValue(name.split('.').reduce((value, key) => value?.[key], fields)));

/** Reads the command and the template of a role from the deploy file. */
const readRole = role => {
	const text = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8').split(`[roles.${role}]`)[1].split('\n[')[0];
	const [run, template] = ['run', 'template'].map(key => new RegExp(`^${key} = "(?<value>[^"]*)"`, 'mv').exec(text).groups.value);
	const [command, ...parameters] = run.split(' ');
	return {command, parameters, template};
};

/** Reads the state that a router reports; false if it does not answer. */
const isReady = async port => new Promise(resolve => {
	const outgoing = request({
		host: '127.0.0.1', port, path: '/v1/ready', agent: false, timeout: 500,
	}, response => {
		response.resume();
		resolve(response.statusCode === 200);
	});
	outgoing.on('timeout', () => {
		outgoing.destroy();
	});
	outgoing.on('error', () => {
		resolve(false);
	});
	outgoing.end();
});

/**
Starts a stand-in of the platform that runs routers with the command and the settings template of the deploy file.

@param storeAddress - Address of the store.
@param log - Called with each line that a router writes.
@returns The platform.
*/
export const openPlatform = (storeAddress, log = () => undefined) => {
	const folder = mkdtempSync(path.join(tmpdir(), 'galena-review-'));
	const children = new Set();
	let isClosed = false;

	const startEdge = async (name, limits = {}) => {
		const [front, ready, metrics, peers] = await Promise.all([findPort(), findPort(), findPort(), findPort()]);
		const {command, parameters, template} = readRole('edge');
		const file = path.join(folder, `${name}.ini`);
		writeFileSync(file, fillTemplate(template, {
			...baseSettings,
			limits: {...baseSettings.limits, ...limits},
			nodeName: name,
			ip: '127.0.0.1',
			listen: {front: `127.0.0.1:${front}`, readyAddress: `127.0.0.1:${ready}`},
			portRange: [metrics, peers],
			seeds: [],
			platform: {address: storeAddress},
		}));
		const state = {child: undefined, starts: 0};
		const start = () => {
			if (isClosed) {
				return;
			}

			const child = spawn(command === 'node' ? process.execPath : command, parameters, {
				cwd: root, env: {PATH: process.env.PATH, HOME: process.env.HOME, GALENAGAUGE_BOOT: file}, stdio: ['ignore', 'pipe', 'pipe'],
			});
			state.child = child;
			state.starts += 1;
			children.add(child);
			[child.stdout, child.stderr].forEach(output => {
				let rest = '';
				output.on('data', bytes => {
					const lines = (rest + String(bytes)).split('\n');
					rest = lines.pop();
					lines.forEach(line => {
						log(`${name}: ${line}`);
					});
				});
			});
			child.on('exit', () => {
				children.delete(child);
				setTimeout(start, restartDelayMs);
			});
		};

		start();
		return {
			name,
			port: front,
			metrics,
			getStarts: () => state.starts,
			getPid: () => state.child.pid,
			isReady: async () => isReady(ready),
			/** Sends a signal to the process. */
			signal(signal) {
				state.child.kill(signal);
			},
		};
	};

	return {
		startEdge,
		async awaitReady(edges, limitMs = 10_000) {
			const until = Date.now() + limitMs;
			for (;;) {
				const states = await Promise.all(edges.map(async edge => edge.isReady()));
				if (states.every(Boolean)) {
					return;
				}

				if (Date.now() > until) {
					throw new Error('the routers are not ready');
				}

				await sleep(20);
			}
		},
		close() {
			isClosed = true;
			children.forEach(child => {
				child.kill('SIGKILL');
			});
			rmSync(folder, {recursive: true, force: true});
		},
	};
};
