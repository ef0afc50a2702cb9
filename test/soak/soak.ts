import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {mkdtempSync, writeFileSync} from 'node:fs';
import {Agent, request} from 'node:http';
import type {RequestOptions} from 'node:http';
import {connect, createServer} from 'node:net';
import type {AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {createRandom} from '../../src/random/index.js';
import type {Random} from '../../src/random/index.js';
import {oddEntries, oddIds, soundEntry} from '../odd-entries.js';
import {
	eventCount, killerSegment, poisonPart, slowSegment, startEndpoint,
} from './endpoint.js';
import type {CrashCause, Execution, FakeEndpoint} from './endpoint.js';
import {startProxy} from './proxy.js';
import type {FaultProxy, ProxyMode} from './proxy.js';
import {createStore} from './store.js';

/** The result of a soak run with one seed. */
export type SoakResult = Readonly<{
	violations: readonly string[];
	/** The injected faults, each with its time in ms since the start. */
	faults: readonly string[];
	sentCount: number;
	servedCount: number;
	/** Streams that clients resumed after an interruption, and those of them that went on. */
	resumedCount: number;
	continuedCount: number;
	/** The last log lines of each router. */
	logs: readonly string[];
}>;

/** A client request and its result. Times are in ms since the start. */
type Call = {
	readonly id: string;
	readonly router: number;
	readonly organisation: string;
	readonly sentAt: number;
	/** For a resumed stream: the call that brought its first event, and the last event received since. */
	readonly resumed: Readonly<{origin: Call; lastEvent: number}> | undefined;
	status: number | undefined;
	body: string;
	isComplete: boolean;
	/** True if the client closed the connection on purpose. */
	hasDisconnected: boolean;
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

/** A period in which a fault or a shutdown may have truncated responses, in ms since the start. */
type Span = Readonly<{from: number; until: number}>;

const wait = async (milliseconds: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, milliseconds);
});

/**
The first port, and the number of ports. They lie below the system's ephemeral ports, so that no
outgoing connection takes one before its process listens on it.
*/
const portRange = {first: 20_000, count: 10_000} as const;

let nextPort = process.pid % portRange.count;

/**
Finds a free port. Each port is returned only once, because two seeds that run at the same time
would otherwise get the same port before either process listens on it.
*/
const findPort = async (): Promise<number> => {
	nextPort = (nextPort + 1) % portRange.count;
	const port = portRange.first + nextPort;
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

/** Prepaid tokens by organisation: one budget that outlasts the run, and one that is exhausted. */
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

/** Duration of the faults, and the time after them within which the routers must recover, in ms. */
const faultPhaseMs = 6000;
const recoveryPhaseMs = 3500;

/** Time between client requests, in ms. */
const callIntervalMs = 12;

/** Rate limit that the endpoint with the most requests states during the fault phase of seeds with an odd number, in requests per second: far below its part of the load. */
const statedRateLimit = 4;

/** Requests whose clients pause before they send the rest of the body. */
const slowBodies = {oneIn: 8, pauseMs: 200} as const;

/** On seeds with this remainder by 3, the store comes back from an older copy after it was away for a moment. */
const restore = {
	remainder: 2, awayMs: 150, minAgeMs: 300, maxAgeMs: 3000,
} as const;

/**
Requests on which endpoints crash, by what causes it. They come all the time on seeds with the given remainder by 4,
one of so many, and hardly reach endpoints some time after the given number of crashes.
*/
const crashRules: Readonly<Record<CrashCause, Readonly<{remainder: number; oneIn: number; crashes: number}>>> = {
	part: {remainder: 2, oneIn: 30, crashes: 5},
	request: {remainder: 1, oneIn: 40, crashes: 3},
};
const crashNoticeMs = 3000;
const maxLateCrashes = 3;

/** On seeds with this remainder, endpoints turn requests away at random and ask their routers for a rest. */
const rests = {oneIn: 2, remainder: 0} as const;

/** On seeds with this remainder by 3, an endpoint says in its responses alone that it is leaving, and ends after a while. */
const leave = {remainder: 1, serveMs: 3500} as const;

/** On seeds with this remainder, another writer leaves odd entries among those of the endpoints, beside them and over them, at this interval. */
const oddEntry = {
	oneIn: 2, remainder: 0, intervalMs: 120, renewMs: 300,
} as const;

/** On seeds with this remainder by 3, some answers of endpoints stop in the middle of their heads. */
const brokenHeads = {oneIn: 3, remainder: 1} as const;

/** On seeds with this remainder by 4, endpoints write refusals once more on their connections, and answer resumed streams with errors. */
const copiedAnswers = {oneIn: 4, remainder: 0} as const;

/** On seeds with this remainder, endpoints have one version at first. While one router is cut off from the store or stands still, endpoints of another version join, and break their streams. */
const release = {
	oneIn: 4, remainder: 3, outOfStepMs: 2500, joinMs: 300, serveMs: 1200,
} as const;

/** Acts that take long: one in so many. */
const slowActOneIn = 25;

/** Connections that are opened before a shutdown and used only late in it, and when they are, in ms after its begin. */
const lateConnections = {count: 4, fromMs: 1500, untilMs: 4200} as const;

/** Resumed streams from which on the share of those that go on counts. */
const minResumed = 12;

/** Statuses that guarantee that a request has not been executed and never will be. */
const notRunStatuses = new Set([408, 421, 429, 503]);

const folder = mkdtempSync(path.join(tmpdir(), 'galena-soak-'));

const formatRouterSettings = (name: string, listenPorts: readonly number[], store: string, relay: string): string => `[host]
name = ${name}
address = 127.0.0.1
data-centre = z
[listen]
callers = 127.0.0.1:${listenPorts[0]}
ready = 127.0.0.1:${listenPorts[1]}
metrics = 127.0.0.1:${listenPorts[2]}
peers = 127.0.0.1:${listenPorts[3]}
[store]
address = ${store}
relays = ${relay}
[bounds]
grace = 5s
repeat-ratio = 0.2
repeat-slack = 50
`;

const startProcess = (program: string, settings: string, lines: string[], onFailure: (violation: string) => void): ChildProcess => {
	const child = spawn(process.execPath, [path.join('dist', 'bin', `${program}.js`), '--settings', settings], {stdio: ['ignore', 'pipe', 'pipe']});
	child.on('exit', code => {
		// A process that is stopped exits with 0, and one that is killed has no exit code.
		if (code !== null && code !== 0) {
			onFailure(`${program} ended by itself with code ${code}: ${lines.slice(-8).join(' / ')}`);
		}
	});
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

/** A line in each event that names the version of the endpoint that wrote it. */
const versionLine = /^: (?<version>\S+)\n/gmv;

const formatExpectedBody = ({id, resumed}: Call): string => {
	const first = (resumed?.lastEvent ?? 0) + 1;
	return Array.from({length: eventCount - first + 1}, (_, index) => `id: ${index + first}\ndata: ${id}:${index + first}\n\n`).join('');
};

const listVersions = (call: Call): readonly string[] => [...call.body.matchAll(versionLine)].map(match => match.groups!.version!);

/** Finds streams with events of more than one version, in one response or over their client's calls. */
const findMixedStreams = (calls: readonly Call[]): readonly string[] => {
	const versions = new Map<Call, ReadonlySet<string>>();
	calls.forEach(call => {
		const origin = call.resumed?.origin ?? call;
		versions.set(origin, new Set([...versions.get(origin) ?? [], ...listVersions(call)]));
	});
	return [...versions].filter(([, each]) => each.size > 1).map(([origin, each]) => `${origin.id} has events of the versions ${[...each].join(', ')}`);
};

const countDelivered = (call: Call): number => call.body.split('\n').filter(line => line.startsWith('data: ')).length;

/** The last event that a client has of a stream; an event counts once its end has arrived. */
const findLastEvent = (call: Call): number => (call.resumed?.lastEvent ?? 0) + call.body.split('\n\n').length - 1;

/** The graceful shutdown of a router. */
type Shutdown = Span & Readonly<{router: number}>;

/** Checks what clients and endpoints recorded against the guarantees of the routers. */
const findViolations = (calls: readonly Call[], executions: ReadonlyMap<string, Execution>, shutdowns: readonly Shutdown[], faultSpans: readonly Span[]): readonly string[] => {
	const byId = new Map(calls.map(call => [call.id, call]));
	const usages = Object.keys(budgets).map(organisation => ({
		organisation,
		tokens: [...executions].filter(([, run]) => run.organisation === organisation && !run.isAct).reduce((sum, [id, run]) => sum + run.promptTokens + countDelivered(byId.get(id)!), 0),
	}));
	const isDuringShutdown = (call: Call, shutdown: Shutdown) =>
		call.router === shutdown.router && (call.sentAt < shutdown.from + 2500 || executions.has(call.id)) && call.endedAt > shutdown.from && call.endedAt < shutdown.until;
	const isOutsideFaults = (call: Call) => !faultSpans.some(span => span.from - 1000 < call.endedAt && span.until + 3000 > call.sentAt);
	return [
		...usages.filter(({organisation, tokens}) => tokens > budgets[organisation]!).map(({organisation, tokens}) => `${organisation} used ${tokens} of ${budgets[organisation]} tokens`),
		...[...executions].filter(([, execution]) => execution.isAct && execution.startCount > 1).map(([id, execution]) => `unsafe request ${id} was executed ${execution.startCount} times`),
		...[...executions].filter(([id]) => !byId.has(id)).map(([id]) => `${id} was executed, but no client sent it`),
		...calls.filter(call => call.status !== undefined && notRunStatuses.has(call.status) && executions.has(call.id)).map(call => `${call.id} was executed despite status ${call.status}`),
		...calls.filter(call => call.status === 200 && call.isComplete && call.body.replaceAll(versionLine, '') !== (call.id.startsWith('act') ? call.id : formatExpectedBody(call)))
			.map(call => `${call.id} got an unexpected response body: ${JSON.stringify(call.body)}`),
		...findMixedStreams(calls),
		...calls.filter(call => !call.isComplete && !call.hasDisconnected && isOutsideFaults(call) && shutdowns.some(span => isDuringShutdown(call, span)))
			.map(call => `the response to ${call.id} was truncated during a graceful shutdown`),
	];
};

/** What a client asks for. */
type Request = Readonly<{
	isAct: boolean;
	/** Whether it is the one request of the run that comes again and crashes endpoints. */
	isKiller: boolean;
	/** The last segment of its path. */
	segment: string;
	/** What its id begins with. */
	idPrefix: string;
	promptParts: readonly string[];
}>;

/**
Picks what the next client asks for.

@param seed - The seed of the run, which determines the request that comes again: an act or a stream.
@param index - The number of calls so far, which makes the last prompt part unique.
@param random - Picks the kind.
@param crashRandom - Picks the prompt and the requests on which endpoints crash.
@param interrupted - The stream that the client resumes, if any.
@returns The request.
*/
const pickRequest = (seed: number, index: number, random: Random, crashRandom: Random, interrupted: Call | undefined): Request => {
	const isCausing = (cause: CrashCause) => seed % 4 === crashRules[cause].remainder && interrupted === undefined && crashRandom.pick(crashRules[cause].oneIn) === 0;
	if (isCausing('request')) {
		return {
			isAct: seed % 8 < 4, isKiller: true, segment: killerSegment, idPrefix: `${seed % 8 < 4 ? 'act' : 'crash'}-${killerSegment}`, promptParts: ['a0', 'b0', killerSegment],
		};
	}

	const isAct = interrupted === undefined && random.pick(4) === 0;
	const isPoison = !isAct && isCausing('part');
	return {
		isAct,
		isKiller: false,
		segment: isAct && index % slowActOneIn === 0 ? slowSegment : 'x',
		idPrefix: isAct ? 'act' : (isPoison ? 'crash' : 'chat'),
		promptParts: [`a${crashRandom.pick(2)}`, ...(isPoison ? [poisonPart] : []), `b${crashRandom.pick(3)}`, `own${index}`],
	};
};

const createPromptHeaders = (promptParts: readonly string[], random: Random) => ({
	'token-counts': `${50 + random.pick(300)},${eventCount}`, model: 'm', 'prompt-prefix': promptParts.map(part => `${part}:10`).join(','),
});

/**
Runs one seed: starts three routers and a relay as processes, injects faults that the seed
determines while clients keep sending requests, and checks that service recovers afterwards.

@param seed - A whole number.
@returns The violations, the injected faults, the request counts and the last log lines.
*/
export const runSoak = async (seed: number): Promise<SoakResult> => {
	const random: Random = createRandom(seed);
	const startedAt = Date.now();
	const crashRandom: Random = createRandom(seed + 3_000_000);
	const restRandom: Random = createRandom(seed + 5_000_000);
	const getNow = () => Date.now() - startedAt;
	const store = createStore();
	await new Promise<void>(resolve => {
		store.server.listen(0, '127.0.0.1', resolve);
	});
	const storePort = (store.server.address() as AddressInfo).port;
	store.put('op', 'config', configuration);
	const executions = new Map<string, Execution>();
	const violations: string[] = [];
	const report = (violation: string) => {
		violations.push(violation);
	};

	/** Times at which a router could not act, in ms since the epoch; the router is undefined if that holds for all. */
	const pauses: Array<Readonly<{router: number | undefined; from: number; until: number}>> = [];
	const hasPaused = (router: number, since: number) => pauses.some(pause => (pause.router ?? router) === router && pause.until >= since);
	const crashArrivals: Array<Readonly<{cause: CrashCause; id: string; at: number}>> = [];
	const crashes: Array<Readonly<{cause: CrashCause; at: number}>> = [];
	const faultSpans: Span[] = [];
	const recordCrashCause = (cause: CrashCause, id: string, isCrash: boolean) => {
		if (isCrash) {
			crashes.push({cause, at: Date.now()});
			// As after any other crash, the streams that ran there may be truncated.
			faultSpans.push({from: getNow(), until: getNow() + 100});
		} else {
			crashArrivals.push({cause, id, at: Date.now()});
		}
	};

	const calls: Call[] = [];
	const findRouter = (id: string) => calls.find(call => call.id === id)?.router;
	const isRelease = seed % release.oneIn === release.remainder;
	const startVersion = async (name: string, softwareVersion: string): Promise<FakeEndpoint> => startEndpoint({
		name,
		softwareVersion,
		store,
		executions,
		report,
		senders: {findRouter, hasPaused},
		onCrashCause: recordCrashCause,
		restRandom: seed % rests.oneIn === rests.remainder ? restRandom : undefined,
		faultRandom: seed % copiedAnswers.oneIn === copiedAnswers.remainder ? createRandom(seed + 9_000_000) : undefined,
		breakRandom: seed % brokenHeads.oneIn === brokenHeads.remainder ? createRandom(seed + 6_000_000) : undefined,
	});
	const endpoints: readonly FakeEndpoint[] = await Promise.all(['a', 'b', 'c', 'd'].map(async (name, index) => startVersion(name, isRelease || index < 2 ? 'v1' : 'v2')));
	const newcomers: FakeEndpoint[] = [];
	const relayPorts = await Promise.all([findPort(), findPort()]);
	const relaySettings = path.join(folder, `relay-${seed}.ini`);
	writeFileSync(relaySettings, `[host]\nname = relay\n[listen]\nrouters = 127.0.0.1:${relayPorts[0]}\nmetrics = 127.0.0.1:${relayPorts[1]}\n[store]\naddress = 127.0.0.1:${storePort}\n`);
	const relayLines: string[] = [];
	let relay = startProcess('galena-relay', relaySettings, relayLines, report);
	const routers: readonly Router[] = await Promise.all([0, 1, 2].map(async index => {
		const listenPorts = await Promise.all([findPort(), findPort(), findPort(), findPort()]);
		const proxy = await startProxy(storePort);
		const settings = path.join(folder, `router-${seed}-${index}.ini`);
		writeFileSync(settings, formatRouterSettings(`router-${index}`, listenPorts, proxy.address, `127.0.0.1:${relayPorts[0]}`));
		const lines: string[] = [];
		return {
			ports: listenPorts, settings, proxy, agent: new Agent({keepAlive: true, maxSockets: 20}), child: startProcess('galena-edge', settings, lines, report), lines,
		};
	}));

	let isLoading = true;
	const pickConnection = () => {
		const router = random.pick(routers.length);
		return {router, options: {agent: routers[router]!.agent}};
	};

	/** Sends a request, which may resume a stream, over a connection to the given router. */
	const sendCall = (interrupted?: Call, getConnection: () => Readonly<{router: number; options: RequestOptions}> = pickConnection) => {
		const {isAct, isKiller, segment, idPrefix, promptParts} = pickRequest(seed, calls.length, random, crashRandom, interrupted);
		const organisation = interrupted?.organisation ?? (isKiller || random.pick(2) === 0 ? 'rich' : 'poor');
		const {router, options} = getConnection();
		const call: Call = {
			id: `${idPrefix}-${seed}-${calls.length}`,
			router,
			organisation,
			sentAt: getNow(),
			resumed: interrupted === undefined ? undefined : {origin: interrupted.resumed?.origin ?? interrupted, lastEvent: findLastEvent(interrupted)},
			status: undefined,
			body: '',
			isComplete: false,
			hasDisconnected: false,
			endedAt: Number.POSITIVE_INFINITY,
		};
		calls.push(call);
		// Some clients lose their connection and resume at any router; others leave for good.
		const isLeaving = random.pick(15) === 0;
		const isResuming = !isLeaving && !isAct && random.pick(10) === 0;
		const recordEnd = () => {
			const isFirst = call.endedAt === Number.POSITIVE_INFINITY;
			call.endedAt = Math.min(call.endedAt, getNow());
			if (isFirst && !isAct && !call.isComplete && (!call.hasDisconnected || isResuming) && findLastEvent(call) > 0 && isLoading) {
				sendCall(call);
			}
		};

		const outgoing = request({
			...options,
			host: '127.0.0.1', port: routers[router]!.ports[0], path: `/${isAct ? 'act' : 'chat'}/${segment}`, method: 'POST', headers: {
				host: 'h',
				'attempt-id': call.id,
				'request-deadline-ms': '2500',
				authorization: `Token key-${organisation}`,
				...(!isAct && createPromptHeaders(promptParts, random)),
				...(call.resumed !== undefined && {'last-event-id': String(call.resumed.lastEvent), resumes: call.resumed.origin.id}),
			},
		}, incoming => {
			call.status = incoming.statusCode;
			incoming.on('data', bytes => {
				call.body += String(bytes);
			});
			incoming.on('end', () => {
				call.isComplete = incoming.complete;
				recordEnd();
			});
			incoming.on('error', recordEnd);
			incoming.on('close', recordEnd);
		});
		outgoing.on('error', recordEnd);
		if (isAct && !isKiller && calls.length % slowBodies.oneIn === 0) {
			outgoing.write('first part');
			setTimeout(() => {
				outgoing.end('second part');
			}, slowBodies.pauseMs);
		} else {
			outgoing.end();
		}

		if (isLeaving || isResuming) {
			setTimeout(() => {
				call.hasDisconnected = !call.isComplete;
				outgoing.destroy();
			}, random.pick(isLeaving ? 100 : 400));
		}
	};

	const lateRandom = createRandom(seed + 7_000_000);

	/** Opens connections to a router that is about to be stopped, and uses them late. */
	const sendLate = (router: number) => {
		Array.from({length: lateConnections.count}, () => connect(routers[router]!.ports[0]!, '127.0.0.1')).forEach(socket => {
			socket.on('error', () => undefined);
			setTimeout(() => {
				if (!socket.destroyed) {
					sendCall(undefined, () => ({router, options: {createConnection: () => socket}}));
				}
			}, lateConnections.fromMs + lateRandom.pick(lateConnections.untilMs - lateConnections.fromMs));
		});
	};

	const faults: string[] = [];
	const shutdowns: Shutdown[] = [];
	const recordFault = (fault: string) => {
		faults.push(`${Math.round(getNow())} ${fault}`);
	};

	/** Injects a fault for a time, and records the period in which it may truncate responses. */
	const runFault = async (fault: string, startFault: () => void, durationMs: number, stopFault: () => void) => {
		recordFault(`${fault} for ${durationMs} ms`);
		faultSpans.push({from: getNow(), until: getNow() + durationMs});
		startFault();
		await wait(durationMs);
		stopFault();
	};

	/** Records that a router cannot act for a time; it counts as back only some seconds later. */
	const recordPause = (router: number | undefined, durationMs: number) => {
		pauses.push({router, from: Date.now(), until: Date.now() + durationMs + crashNoticeMs});
	};

	const restartRouter = (router: Router) => {
		router.child = startProcess('galena-edge', router.settings, router.lines, report);
	};

	const runProxyFault = async (index: number, mode: ProxyMode, durationMs: number) => runFault(`router ${index} ${mode}`, () => {
		routers[index]!.proxy.setMode(mode);
	}, durationMs, () => {
		routers[index]!.proxy.setMode('calm');
	});

	const faultActions: ReadonlyArray<(index: number, durationMs: number) => Promise<void>> = [
		async (index, durationMs) => {
			const router = routers[index]!;
			recordPause(index, durationMs);
			await runFault(`router ${index} killed`, () => {
				router.child.kill('SIGKILL');
			}, Math.min(durationMs, 500), () => {
				restartRouter(router);
			});
		},
		async (index, durationMs) => {
			recordPause(index, durationMs);
			await runFault(`router ${index} paused`, () => {
				routers[index]!.child.kill('SIGSTOP');
			}, durationMs, () => {
				routers[index]!.child.kill('SIGCONT');
			});
		},
		async index => {
			const router = routers[index]!;
			const {child} = router;
			recordFault(`router ${index} stopped`);
			const from = getNow();
			sendLate(index);
			child.kill('SIGTERM');
			await awaitExit(child);
			recordPause(index, 0);
			shutdowns.push({router: index, from, until: getNow()});
			if (router.child === child) {
				restartRouter(router);
			}
		},
		async (index, durationMs) => runProxyFault(index, 'slow', durationMs),
		async (index, durationMs) => runProxyFault(index, 'drop-responses', durationMs),
		async (index, durationMs) => runProxyFault(index, 'silent', durationMs),
		async (index, durationMs) => runProxyFault(index, 'reset', durationMs),
		async (_, durationMs) => runFault('store unavailable', () => {
			store.setUnavailable(true);
		}, durationMs, () => {
			store.setUnavailable(false);
		}),
		async (_, durationMs) => runFault('store drops responses', () => {
			store.setDroppingResponses(true);
		}, durationMs, () => {
			store.setDroppingResponses(false);
		}),
		async index => runFault(`endpoint ${index} crashes`, () => {
			endpoints[index]!.crash();
		}, 100, () => undefined),
		async index => {
			recordFault(`endpoint ${index} draining`);
			endpoints[index]!.drain();
			await wait(3000);
			endpoints[index]!.crash();
		},
		async (_, durationMs) => runFault('relay killed', () => {
			relay.kill('SIGKILL');
		}, durationMs, () => {
			relay = startProcess('galena-relay', relaySettings, relayLines, report);
		}),
	];

	/** Places in the list of the faults that take a router out of step. */
	const outOfStepFaults = {paused: 1, silent: 5} as const;

	await wait(1500);
	const callTimer = setInterval(() => {
		sendCall();
	}, callIntervalMs);
	const faultPhaseStartedAt = getNow();
	const limited = endpoints[0]!;
	limited.setRateLimit(seed % 2 === 1 ? statedRateLimit : undefined);
	const count = 3 + random.pick(4);
	const candidates = Array.from({length: count}, () => ({
		at: random.pick(faultPhaseMs), kind: random.pick(faultActions.length), index: random.pick(3), durationMs: 300 + random.pick(2000),
	}));
	// At most one signal fault for each process: one that is paused or has exited does not handle another signal.
	const isSignalFault = (kind: number) => kind < 3;
	const isRelayFault = (kind: number) => kind === faultActions.length - 1;
	const isOfSameProcess = (fault: typeof candidates[number], other: typeof candidates[number]) =>
		(isSignalFault(fault.kind) && isSignalFault(other.kind) && other.index === fault.index) || (isRelayFault(fault.kind) && isRelayFault(other.kind));
	const scheduled = candidates.filter((fault, position) => !candidates.slice(0, position).some(other => isOfSameProcess(fault, other)));
	const restoreRandom = createRandom(seed + 1_000_000);
	const restoreStore = async () => {
		await wait(restoreRandom.pick(faultPhaseMs));
		const ageMs = restore.minAgeMs + restoreRandom.pick(restore.maxAgeMs - restore.minAgeMs);
		await runFault(`store comes back from a copy ${ageMs} ms old, away`, () => {
			store.setUnavailable(true);
		}, restore.awayMs, () => {
			store.restore(ageMs);
			store.setUnavailable(false);
		});
	};

	const leaveRandom = createRandom(seed + 2_000_000);
	const leaveEndpoint = async () => {
		await wait(leaveRandom.pick(faultPhaseMs - leave.serveMs));
		const index = leaveRandom.pick(endpoints.length);
		recordFault(`endpoint ${index} leaving`);
		endpoints[index]!.leave();
		await wait(leave.serveMs);
		endpoints[index]!.crash();
	};

	const releaseRandom = createRandom(seed + 11_000_000);
	const releaseVersion = async () => {
		await wait(releaseRandom.pick(faultPhaseMs - release.outOfStepMs));
		const router = releaseRandom.pick(routers.length);
		const join = async () => {
			await wait(release.joinMs);
			recordFault('endpoints of another version join');
			newcomers.push(...await Promise.all(['e', 'f'].map(async name => startVersion(name, 'v2'))));
			await wait(release.serveMs);
			await Promise.all([0, 1].map(async index => runFault(`newcomer ${index} crashes`, () => {
				newcomers[index]!.crash();
			}, 100, () => undefined)));
		};

		await Promise.all([join(), faultActions[releaseRandom.pick(2) === 0 ? outOfStepFaults.paused : outOfStepFaults.silent]!(router, release.outOfStepMs)]);
	};

	const oddRandom = createRandom(seed + 8_000_000);
	const writeOddEntry = () => {
		const [, text] = oddEntries[oddRandom.pick(oddEntries.length)]!;
		const isOver = oddRandom.pick(8) === 0;
		const endpoint = endpoints[oddRandom.pick(endpoints.length)]!;
		store.putText('servers', isOver ? endpoint.getId() : `odd-${oddRandom.pick(20)}`, text);
		store.put('servers', oddIds[oddRandom.pick(oddIds.length)]!, soundEntry);
		setTimeout(() => {
			if (isOver) {
				endpoint.renew();
			}
		}, oddEntry.renewMs);
	};

	const oddTimer = seed % oddEntry.oneIn === oddEntry.remainder ? setInterval(writeOddEntry, oddEntry.intervalMs) : undefined;
	const seeded = [
		seed % 3 === restore.remainder ? restoreStore() : undefined,
		seed % 3 === leave.remainder ? leaveEndpoint() : undefined,
		isRelease ? releaseVersion() : undefined,
	];
	await Promise.all([...seeded, ...scheduled.map(async ({at, kind, index, durationMs}) => {
		await wait(at);
		await faultActions[kind]!(index, durationMs);
	})]);
	await wait(Math.max(0, faultPhaseStartedAt + faultPhaseMs - getNow()));
	limited.setRateLimit(undefined);
	clearInterval(oddTimer);
	await wait(recoveryPhaseMs);
	clearInterval(callTimer);
	isLoading = false;
	const loadEndedAt = getNow();
	await wait(2700);

	const findCondemnedAt = (cause: CrashCause) => crashes.filter(crash => crash.cause === cause)[crashRules[cause].crashes - 1]?.at ?? Number.POSITIVE_INFINITY;
	// Until routers know the cause, it may end all endpoints of a version at once.
	const isAmidCrashes = (call: Call) => {
		const sentAt = startedAt + call.sentAt;
		const knownAt = Math.min(findCondemnedAt('part'), findCondemnedAt('request'), crashes.at(-1)?.at ?? 0);
		return sentAt > (crashes[0]?.at ?? Number.POSITIVE_INFINITY) - 1000 && sentAt < knownAt + (2 * crashNoticeMs);
	};

	const findLateCrashCauses = (cause: CrashCause): readonly string[] => {
		const {crashes: count} = crashRules[cause];
		const since = findCondemnedAt(cause);
		const late = crashArrivals.filter(arrival => arrival.cause === cause && arrival.at > since + crashNoticeMs && !hasPaused(findRouter(arrival.id)!, since));
		return late.length <= maxLateCrashes
			? []
			: [`${late.length} requests that crash endpoints (${cause}) reached them later than ${crashNoticeMs} ms after crash ${count} of ${crashes.length}`];
	};

	const [resumed, begun] = [true, false].map(isResumed => calls.filter(call =>
		call.id.startsWith('chat') && (call.resumed !== undefined) === isResumed && !isAmidCrashes(call)));
	const countShare = (group: readonly Call[]) => group.filter(call => countDelivered(call) > 0).length / Math.max(1, group.length);
	const isResumable = resumed!.length < minResumed || countShare(resumed!) >= countShare(begun!) / 2;
	const recentCalls = calls.filter(call => !call.id.startsWith('crash') && !call.id.includes(killerSegment) && call.sentAt > loadEndedAt - 1000 && call.organisation === 'rich');
	const recentServedCount = recentCalls.filter(call => call.status === 200 && call.isComplete).length;
	const isServing = recentServedCount >= recentCalls.length / 2;
	[...routers.map(router => router.child), relay].forEach(child => {
		child.kill('SIGKILL');
	});
	[...endpoints, ...newcomers].forEach(endpoint => {
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
			...findViolations(calls, executions, shutdowns, faultSpans),
			...findLateCrashCauses('part'),
			...findLateCrashCauses('request'),
			...(isResumable ? [] : [`of ${resumed!.length} resumed streams a share of ${countShare(resumed!).toFixed(2)} went on, of new ones ${countShare(begun!).toFixed(2)} began`]),
			...(isServing ? [] : [`after the faults, ${recentServedCount} of the last ${recentCalls.length} requests were served`]),
		],
		faults,
		sentCount: calls.length,
		servedCount: calls.filter(call => call.status === 200 && call.isComplete).length,
		resumedCount: resumed!.length,
		continuedCount: resumed!.filter(call => countDelivered(call) > 0).length,
		logs: routers.flatMap(router => router.lines.slice(-400)),
	};
};
