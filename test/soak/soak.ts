import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {mkdtempSync, writeFileSync} from 'node:fs';
import {Agent, request} from 'node:http';
import {createServer} from 'node:net';
import type {AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {createRandom} from '../../src/random/index.js';
import type {Random} from '../../src/random/index.js';
import {eventCount, startEndpoint} from './endpoint.js';
import type {EndpointStandIn, Run} from './endpoint.js';
import {startProxy} from './proxy.js';
import type {FaultProxy, Weather} from './proxy.js';
import {createStore} from './store.js';

/** What a soak of one seed came to. */
export type SoakResult = Readonly<{
	violations: readonly string[];
	/** The faults, with their times in ms. */
	faults: readonly string[];
	asked: number;
	served: number;
	/** The last lines of each process, for a seed that fails. */
	logs: readonly string[];
}>;

/** One call of a caller, and what came of it. */
type Call = {
	readonly id: string;
	readonly router: number;
	readonly organisation: string;
	readonly sentAt: number;
	status: number | undefined;
	body: string;
	isWhole: boolean;
	/** True if the caller itself went away. */
	hasLeft: boolean;
	endedAt: number;
};

type Router = {
	readonly ports: readonly number[];
	readonly settings: string;
	readonly proxy: FaultProxy;
	readonly agent: Agent;
	child: ChildProcess;
	readonly lines: string[];
};

/** When something was wrong that may cut a call: from, until, in ms since the start. */
type Span = Readonly<{from: number; until: number}>;

const wait = async (milliseconds: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, milliseconds);
});

/** The first port that is tried, and how many there are: below those that the system gives out, so that no connection takes one meanwhile. */
const ports = {first: 20_000, count: 10_000} as const;

let nextPort = process.pid % ports.count;

/** Finds a port that nobody listens on. Each is given out once. */
const findPort = async (): Promise<number> => {
	nextPort = (nextPort + 1) % ports.count;
	const port = ports.first + nextPort;
	const server = createServer();
	const isFree = await new Promise<boolean>(resolve => {
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, '127.0.0.1', () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
	return isFree ? port : findPort();
};

/** Tokens that organisations have paid for: one that never runs out, and one that does. */
const budgets: Readonly<Record<string, number>> = {rich: 100_000_000, poor: 25_000};

const configuration = {
	version: 1,
	routes: [
		{
			name: 'chat', host: 'h', prefix: '/chat/', kind: 'streaming', timeoutMs: 3000, targetLatencyMs: 500, priority: 1, service: 's', maxAttempts: 2, resumable: true, gapAimMs: 500,
		},
		{
			name: 'act', host: 'h', prefix: '/act/', kind: 'unsafe', timeoutMs: 3000, targetLatencyMs: 500, priority: 1, service: 's', maxAttempts: 2,
		},
	],
	services: [{
		name: 's', maxConnections: 200, engine: {slots: 64, kvCapacity: 500_000, stride: 1},
	}],
	limits: {
		maxHeaderBytes: 16_384, maxBodyBytes: 100_000, headerTimeoutMs: 3000, idleTimeoutMs: 10_000,
	},
	tenants: Object.entries(budgets).map(([name, prepaid]) => ({name, apiKeys: [`key-${name}`], prepaid})),
};

/** Milliseconds: of the faults, and after them until the fleet must serve again. */
const faultTime = 6000;
const calmTime = 3500;

/** Milliseconds between calls. */
const callGap = 12;

/** Statuses that promise that a call has not run and never will. */
const promises = new Set([408, 421, 429, 503]);

const folder = mkdtempSync(path.join(tmpdir(), 'galena-soak-'));

const describeRouter = (name: string, own: readonly number[], store: string, relay: string): string => `[host]
name = ${name}
address = 127.0.0.1
data-centre = z
[listen]
callers = 127.0.0.1:${own[0]}
ready = 127.0.0.1:${own[1]}
metrics = 127.0.0.1:${own[2]}
peers = 127.0.0.1:${own[3]}
[store]
address = ${store}
relays = ${relay}
[bounds]
grace = 5s
repeat-ratio = 0.2
repeat-slack = 50
`;

const startProcess = (program: string, settings: string, lines: string[]): ChildProcess => {
	const child = spawn(process.execPath, [path.join('dist', 'bin', `${program}.js`), '--settings', settings], {stdio: ['ignore', 'pipe', 'pipe']});
	[child.stdout, child.stderr].forEach(output => {
		output?.on('data', bytes => {
			lines.push(...String(bytes).trimEnd().split('\n'));
			lines.splice(0, Math.max(0, lines.length - 4000));
		});
	});
	return child;
};

const awaitExit = async (child: ChildProcess): Promise<void> => new Promise(resolve => {
	if (child.exitCode !== null || child.signalCode !== null) {
		resolve();
		return;
	}

	child.once('exit', () => {
		resolve();
	});
});

const expected = (id: string): string => Array.from({length: eventCount}, (_, index) => `id: ${index + 1}\ndata: ${id}:${index + 1}\n\n`).join('');

const countDelivered = (call: Call): number => call.body.split('\n').filter(line => line.startsWith('data: ')).length;

/** Everything that callers and endpoints may have seen go wrong. */
const judge = (calls: readonly Call[], runs: ReadonlyMap<string, Run>, planned: readonly Span[], unplanned: readonly Span[]): readonly string[] => {
	const byId = new Map(calls.map(call => [call.id, call]));
	const spent = Object.keys(budgets).map(organisation => ({
		organisation,
		tokens: [...runs].filter(([, run]) => run.organisation === organisation && !run.isAct).reduce((sum, [id, run]) => sum + run.promptTokens + countDelivered(byId.get(id)!), 0),
	}));
	const isWithin = (call: Call, stop: Span) => call.sentAt < stop.from + 2500 && call.endedAt > stop.from && call.endedAt < stop.until;
	const isCalm = (call: Call) => !unplanned.some(span => span.from - 1000 < call.endedAt && span.until + 3000 > call.sentAt);
	return [
		...spent.filter(({organisation, tokens}) => tokens > budgets[organisation]!).map(({organisation, tokens}) => `${organisation} got ${tokens} tokens of ${budgets[organisation]}`),
		...[...runs].filter(([, run]) => run.isAct && run.times > 1).map(([id, run]) => `act ${id} ran ${run.times} times`),
		...[...runs].filter(([id]) => !byId.has(id)).map(([id]) => `${id} ran, and nobody had asked for it`),
		...calls.filter(call => call.status !== undefined && promises.has(call.status) && runs.has(call.id)).map(call => `${call.id} was answered ${call.status} and ran`),
		...calls.filter(call => call.status === 200 && call.isWhole && call.body !== (call.id.startsWith('act') ? call.id : expected(call.id)))
			.map(call => `${call.id} got another answer: ${JSON.stringify(call.body)}`),
		...calls.filter(call => !call.isWhole && !call.hasLeft && isCalm(call) && planned.some(span => isWithin(call, span)))
			.map(call => `${call.id} was cut by a graceful stop`),
	];
};

/** Runs one seed: real routers and a relay as processes, faults from outside, callers that go on all the while. */
export const runSoak = async (seed: number): Promise<SoakResult> => {
	const random: Random = createRandom(seed);
	const startedAt = Date.now();
	const getNow = () => Date.now() - startedAt;
	const store = createStore();
	await new Promise<void>(resolve => {
		store.server.listen(0, '127.0.0.1', resolve);
	});
	const storePort = (store.server.address() as AddressInfo).port;
	store.put('op', 'config', configuration);
	const runs = new Map<string, Run>();
	const violations: string[] = [];
	const report = (violation: string) => {
		violations.push(violation);
	};

	const endpoints: readonly EndpointStandIn[] = await Promise.all(['a', 'b', 'c'].map(async name => startEndpoint(name, store, runs, report)));
	const relayPorts = await Promise.all([findPort(), findPort()]);
	const relaySettings = path.join(folder, `relay-${seed}.ini`);
	writeFileSync(relaySettings, `[host]\nname = relay\n[listen]\nrouters = 127.0.0.1:${relayPorts[0]}\nmetrics = 127.0.0.1:${relayPorts[1]}\n[store]\naddress = 127.0.0.1:${storePort}\n`);
	const relayLines: string[] = [];
	let relay = startProcess('galena-relay', relaySettings, relayLines);
	const routers: readonly Router[] = await Promise.all([0, 1, 2].map(async index => {
		const own = await Promise.all([findPort(), findPort(), findPort(), findPort()]);
		const proxy = await startProxy(storePort);
		const settings = path.join(folder, `router-${seed}-${index}.ini`);
		writeFileSync(settings, describeRouter(`router-${index}`, own, proxy.address, `127.0.0.1:${relayPorts[0]}`));
		const lines: string[] = [];
		return {
			ports: own, settings, proxy, agent: new Agent({keepAlive: true, maxSockets: 20}), child: startProcess('galena-edge', settings, lines), lines,
		};
	}));

	const calls: Call[] = [];
	const ask = () => {
		const isAct = random.pick(4) === 0;
		const organisation = random.pick(2) === 0 ? 'rich' : 'poor';
		const index = random.pick(routers.length);
		const router = routers[index]!;
		const call: Call = {
			id: `${isAct ? 'act' : 'chat'}-${seed}-${calls.length}`,
			router: index,
			organisation,
			sentAt: getNow(),
			status: undefined,
			body: '',
			isWhole: false,
			hasLeft: false,
			endedAt: Number.POSITIVE_INFINITY,
		};
		calls.push(call);
		const end = () => {
			call.endedAt = Math.min(call.endedAt, getNow());
		};

		const outgoing = request({
			agent: router.agent, host: '127.0.0.1', port: router.ports[0], path: isAct ? '/act/x' : '/chat/x', method: 'POST', headers: {
				host: 'h',
				'attempt-id': call.id,
				'request-deadline-ms': '2500',
				authorization: `Token key-${organisation}`,
				...(!isAct && {'token-counts': `${50 + random.pick(300)},${eventCount}`, model: 'm'}),
			},
		}, incoming => {
			call.status = incoming.statusCode;
			incoming.on('data', bytes => {
				call.body += String(bytes);
			});
			incoming.on('end', () => {
				call.isWhole = incoming.complete;
				end();
			});
			incoming.on('error', end);
			incoming.on('close', end);
		});
		outgoing.on('error', end);
		outgoing.end();
		if (random.pick(15) === 0) {
			setTimeout(() => {
				call.hasLeft = true;
				outgoing.destroy();
			}, random.pick(100));
		}
	};

	const faults: string[] = [];
	const planned: Span[] = [];
	const unplanned: Span[] = [];
	const note = (fault: string) => {
		faults.push(`${Math.round(getNow())} ${fault}`);
	};

	/** Something that may cut calls, for a while. */
	const during = async (fault: string, begin: () => void, length: number, end: () => void) => {
		note(`${fault} for ${length}`);
		unplanned.push({from: getNow(), until: getNow() + length});
		begin();
		await wait(length);
		end();
	};

	const restart = (router: Router) => {
		router.child = startProcess('galena-edge', router.settings, router.lines);
	};

	const setWeather = async (index: number, weather: Weather, length: number) => during(`router ${index} ${weather}`, () => {
		routers[index]!.proxy.setWeather(weather);
	}, length, () => {
		routers[index]!.proxy.setWeather('calm');
	});

	const kinds: ReadonlyArray<(index: number, length: number) => Promise<void>> = [
		async (index, length) => {
			const router = routers[index]!;
			await during(`router ${index} killed`, () => {
				router.child.kill('SIGKILL');
			}, Math.min(length, 500), () => {
				restart(router);
			});
		},
		async (index, length) => during(`router ${index} paused`, () => {
			routers[index]!.child.kill('SIGSTOP');
		}, length, () => {
			routers[index]!.child.kill('SIGCONT');
		}),
		async index => {
			const router = routers[index]!;
			const {child} = router;
			note(`router ${index} stopped`);
			const from = getNow();
			child.kill('SIGTERM');
			await awaitExit(child);
			planned.push({from, until: getNow()});
			if (router.child === child) {
				restart(router);
			}
		},
		async (index, length) => setWeather(index, 'slow', length),
		async (index, length) => setWeather(index, 'no-answers', length),
		async (index, length) => setWeather(index, 'silent', length),
		async (index, length) => setWeather(index, 'reset', length),
		async (_, length) => during('store refuses', () => {
			store.setRefusing(true);
		}, length, () => {
			store.setRefusing(false);
		}),
		async (_, length) => during('store loses answers', () => {
			store.setSilent(true);
		}, length, () => {
			store.setSilent(false);
		}),
		async index => during(`endpoint ${index} crashes`, () => {
			endpoints[index]!.crash();
		}, 100, () => undefined),
		async index => {
			note(`endpoint ${index} leaves`);
			endpoints[index]!.drain();
			await wait(3000);
			endpoints[index]!.crash();
		},
		async (_, length) => during('relay killed', () => {
			relay.kill('SIGKILL');
		}, length, () => {
			relay = startProcess('galena-relay', relaySettings, relayLines);
		}),
	];

	await wait(1500);
	const caller = setInterval(ask, callGap);
	const faultsFrom = getNow();
	const count = 3 + random.pick(4);
	const strikes = Array.from({length: count}, () => ({
		at: random.pick(faultTime), kind: random.pick(kinds.length), index: random.pick(3), length: 300 + random.pick(2000),
	}));
	// A process that is paused or stopped must not be struck again by signals that it cannot get.
	const isSignal = (kind: number) => kind < 3;
	const allowed = strikes.filter((strike, position) => !isSignal(strike.kind) || !strikes.slice(0, position).some(other => isSignal(other.kind) && other.index === strike.index));
	await Promise.all(allowed.map(async ({at, kind, index, length}) => {
		await wait(at);
		await kinds[kind]!(index, length);
	}));
	await wait(Math.max(0, faultsFrom + faultTime - getNow()) + calmTime);
	clearInterval(caller);
	const askedUntil = getNow();
	await wait(2700);

	const lastCalls = calls.filter(call => call.sentAt > askedUntil - 1000 && call.organisation === 'rich');
	const lastServed = lastCalls.filter(call => call.status === 200 && call.isWhole).length;
	const isServing = lastServed >= lastCalls.length / 2;
	[...routers.map(router => router.child), relay].forEach(child => {
		child.kill('SIGKILL');
	});
	endpoints.forEach(endpoint => {
		endpoint.close();
	});
	routers.forEach(router => {
		router.agent.destroy();
		router.proxy.close();
	});
	store.server.closeAllConnections();
	store.server.close();
	return {
		violations: [
			...violations,
			...judge(calls, runs, planned, unplanned),
			...(isServing ? [] : [`after the faults ${lastServed} of ${lastCalls.length} calls were served`]),
		],
		faults,
		asked: calls.length,
		served: calls.filter(call => call.status === 200 && call.isWhole).length,
		logs: routers.flatMap(router => router.lines.slice(-400)),
	};
};
