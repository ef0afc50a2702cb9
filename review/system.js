import {spawn} from 'node:child_process';
import {
	mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {get, request} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {startStore} from './store.js';

/** Root of the repository. */
const root = fileURLToPath(new URL('..', import.meta.url));

/** Longest time of a script, in ms. */
const maxPlayMs = 110_000;

/** Delay after which the platform starts a process again that has ended, in ms. */
export const restartDelayMs = 300;

/** Bounds of the platform's settings, as on the sheet of pierscien-konfig. */
const bounds = {
	graceS: 8, drainMs: 2000, budgetRatio: 0.2, budgetSlack: 54,
};

export const sleep = async milliseconds => new Promise(resolve => {
	setTimeout(resolve, milliseconds);
});

/** Exit code of a play that breaks the rule; `run.sh` makes 1 of it, and 2 of any other failure. */
const brokenExitCode = 101;

const usedPorts = new Set();

/** Finds a free loopback port that was not returned before. */
const findPort = async () => {
	const port = await new Promise(resolve => {
		const server = createServer().listen(0, '127.0.0.1', () => {
			const found = server.address().port;
			server.close(() => {
				resolve(found);
			});
		});
	});
	if (usedPorts.has(port)) {
		return findPort();
	}

	usedPorts.add(port);
	return port;
};

/** Fills in a template of the deploy folder, whose placeholders name fields of the platform's settings. */
const fillTemplate = (name, fields) => readFileSync(path.join(root, 'deploy', name), 'utf8').replaceAll(/\{\{(?<field>[^\}]+)\}\}/gv, (_, field) => {
	const value = field.split('.').reduce((current, key) => current?.[key], fields);
	return Array.isArray(value) ? value.join(',') : String(value ?? '');
});

/** Reads the command of a role in the deploy file. */
const readCommand = role => {
	const text = readFileSync(path.join(root, 'deploy', 'system.toml'), 'utf8');
	return new RegExp(`\\[roles\\.${role}\\]\\s+run = "(?<run>[^"]+)"`, 'v').exec(text).groups.run.split(' ');
};

/**
Runs a play: starts the store, lets `play` start the rest, and ends every process in any case.

@param url - `import.meta.url` of the play, beside which the record is written.
@param play - Plays the case; resolves to `broken`, the reasons why the rule is broken, and `summary` lines.
*/
export const runPlay = async (url, play) => {
	const startedAt = performance.now();
	const folder = mkdtempSync(path.join(tmpdir(), 'review-'));
	const recordPath = path.join(path.dirname(fileURLToPath(url)), 'record.txt');
	const lines = [];
	const children = new Set();
	const record = text => {
		lines.push(`${String(Math.round(performance.now() - startedAt)).padStart(6)} ${text}`);
	};

	const store = await startStore();

	/** Starts a role of the deploy file as a process of its own, and keeps it running until `end`, as the platform does. */
	const startRole = async (role, fields) => {
		const settingsPath = path.join(folder, `${fields.nodeName}.ini`);
		const template = `${role}.ini`;
		const writeSettings = () => {
			writeFileSync(settingsPath, fillTemplate(template, {...fields, bounds, platform: {address: store.address}}));
		};

		const [program, ...parameters] = readCommand(role);
		const daemon = {
			name: fields.nodeName, fields, child: undefined, ends: [], isWanted: true, log: [], writeSettings,
		};
		const start = () => {
			const child = spawn(program, parameters, {
				cwd: root, env: {PATH: process.env.PATH, HOME: process.env.HOME, GALENAGAUGE_BOOT: settingsPath}, stdio: ['ignore', 'pipe', 'pipe'],
			});
			daemon.child = child;
			daemon.spawnedAt = performance.now();
			children.add(child);
			record(`${daemon.name}: process ${daemon.ends.length + 1} started`);
			[child.stdout, child.stderr].forEach(output => {
				output.on('data', bytes => {
					daemon.log.push(...String(bytes).trimEnd().split('\n'));
				});
			});
			child.on('exit', (code, signal) => {
				children.delete(child);
				const end = {
					at: performance.now(), code, signal, isOwn: daemon.sent === undefined, sent: daemon.sent,
				};
				daemon.ends.push(end);
				record(`${daemon.name}: process ${daemon.ends.length} ended${end.isOwn ? ' by itself' : ''}, code ${code}, signal ${signal}`);
				daemon.sent = undefined;
				if (daemon.isWanted) {
					setTimeout(start, restartDelayMs);
				}
			});
		};

		daemon.signal = name => {
			record(`${daemon.name}: ${name} sent`);
			daemon.sent = name === 'SIGHUP' ? undefined : name;
			daemon.child.kill(name);
		};

		writeSettings();
		start();
		return daemon;
	};

	const startEdge = async (nodeName, seeds = []) => {
		const [front, readyAddress, metrics, peers] = await Promise.all([findPort(), findPort(), findPort(), findPort()]);
		return startRole('edge', {
			nodeName,
			ip: '127.0.0.1',
			zone: 'zone-a',
			listen: {front: `127.0.0.1:${front}`, readyAddress: `127.0.0.1:${readyAddress}`},
			portRange: [metrics, peers],
			seeds,
			port: front,
			readyPort: readyAddress,
		});
	};

	const startRelay = async nodeName => {
		const [control, metrics] = await Promise.all([findPort(), findPort()]);
		return startRole('relay', {
			nodeName, ip: '127.0.0.1', zone: 'zone-a', listen: {control: `127.0.0.1:${control}`}, portRange: [metrics, metrics], seeds: [],
		});
	};

	/** Asks a daemon whether it is ready, as the platform does. */
	const isReady = async ({fields}) => new Promise(resolve => {
		const outgoing = get({
			host: '127.0.0.1', port: fields.readyPort, path: '/v1/ready', timeout: 1000,
		}, incoming => {
			incoming.resume();
			resolve(incoming.statusCode === 200);
		});
		outgoing.on('timeout', () => {
			outgoing.destroy();
		});
		outgoing.on('error', () => {
			resolve(false);
		});
	});

	const awaitReady = async (daemon, limitMs = 10_000) => {
		const until = performance.now() + limitMs;
		while (performance.now() < until) {
			if (await isReady(daemon)) {
				return true;
			}

			await sleep(20);
		}

		throw new Error(`${daemon.name} is not ready within ${limitMs} ms`);
	};

	let code = 2;
	/** Rejects once the play takes too long; its timer does not matter later, as the process ends. */
	const expire = async () => {
		await sleep(maxPlayMs);
		throw new Error(`not done within ${maxPlayMs} ms`);
	};

	try {
		const system = {
			store, record, startEdge, startRelay, isReady, awaitReady, hasTrouble: process.env.TROUBLE !== '0', trouble: process.env.TROUBLE ?? '1',
		};
		const {broken, summary} = await Promise.race([play(system), expire()]);
		lines.push(...summary, broken.length === 0 ? 'the rule held' : `the rule was broken: ${broken.join('; ')}`);
		process.stdout.write(`${[...summary, lines.at(-1)].join('\n')}\n`);
		code = broken.length === 0 ? 0 : brokenExitCode;
	} catch (error) {
		lines.push(`the case could not run: ${error.stack}`);
		process.stderr.write(`${error.stack}\n`);
	}

	await Promise.all([...children].map(async child => new Promise(resolve => {
		child.removeAllListeners('exit');
		child.on('exit', resolve);
		child.kill('SIGCONT');
		child.kill('SIGKILL');
	})));
	writeFileSync(recordPath, `${lines.join('\n')}\n`);
	rmSync(folder, {recursive: true, force: true});
	process.exit(code); // eslint-disable-line unicorn/no-process-exit -- Timers and connections of the stand-ins are still open.
};

/**
Sends a request as a client does, and resolves with what it got.

@param options - Port of the router, path, headers, agent and body.
@returns Status, body, whether the answer is complete, the error if any, and the times in ms.
*/
export const sendRequest = async ({port, path: requestPath, headers, agent, method = 'POST', body = 'x', limitMs}) => new Promise(resolve => {
	const sentAt = performance.now();
	const result = {
		status: undefined, text: '', headers: {}, isComplete: false, error: undefined, sentAt, endedAt: undefined,
	};
	let timer;
	const finish = () => {
		if (result.endedAt === undefined) {
			clearTimeout(timer);
			result.endedAt = performance.now();
			resolve(result);
		}
	};

	const outgoing = request({
		host: '127.0.0.1', port, path: requestPath, method, agent, headers: {...headers, 'Content-Length': body.length},
	}, incoming => {
		result.status = incoming.statusCode;
		result.headers = incoming.headers;
		incoming.on('data', bytes => {
			result.text += bytes.toString('latin1');
		});
		incoming.on('end', () => {
			result.isComplete = incoming.complete;
			finish();
		});
		incoming.on('error', error => {
			result.error = error.message;
			finish();
		});
	});
	outgoing.on('error', error => {
		result.error = error.message;
		finish();
	});
	if (limitMs !== undefined) {
		timer = setTimeout(() => {
			result.error = `the client gave up after ${limitMs} ms`;
			outgoing.destroy();
			finish();
		}, limitMs);
	}

	outgoing.end(body);
});

/** Limits of the manifest. */
export const manifestLimits = {
	maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 10_000,
};
