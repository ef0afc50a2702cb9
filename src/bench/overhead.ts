import process from 'node:process';
import {build} from 'hdr-histogram-js';
import type {Histogram} from 'hdr-histogram-js';
import {sleep} from '../loop/index.js';
import {fitLine, readUsage} from './measure.js';
import {startProcesses, stopPrograms} from './processes.js';
import type {ProcessFleet, Program} from './processes.js';

type WriteLine = (line: string) => void;

const warmUpCount = 30;
const pairCount = 300;
const idleTimeMs = 3000;
const loadDurationMs = 6000;
const workerCount = 24;

const createHistogram = (): Histogram => build({lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3});

const buildChatBody = (content: string, tokens: number) => JSON.stringify({
	model: 'stone-advice', messages: [{role: 'user', content}], stream: true, max_tokens: tokens,
});

const headers = {authorization: 'Bearer key-studio-1', 'content-type': 'application/json'};

/** Requests a stream, reads it to its end, and returns the time to the first chunk in microseconds. */
const measureFirstTokenUs = async (address: string, body: string): Promise<number> => {
	const start = process.hrtime.bigint();
	const response = await fetch(`http://${address}/v1/chat/completions`, {method: 'POST', headers, body});
	const reader = response.body!.getReader();
	await reader.read();
	const elapsedUs = Number(process.hrtime.bigint() - start) / 1000;
	const readToEnd = async (): Promise<void> => {
		const {done} = await reader.read();
		return done ? undefined : readToEnd();
	};

	await readToEnd();
	return elapsedUs;
};

const formatPercentiles = (name: string, histogram: Histogram): string =>
	`${name}: p50 ${(histogram.getValueAtPercentile(50) / 1000).toFixed(2)} ms, p99 ${(histogram.getValueAtPercentile(99) / 1000).toFixed(2)} ms`;

const comparePairs = async (engineAddress: string, routerAddress: string, write: WriteLine) => {
	const directLatency = createHistogram();
	const routedLatency = createHistogram();
	const addedLatency = createHistogram();
	for (const index of Array.from({length: warmUpCount + pairCount}).keys()) {
		const body = buildChatBody(`pair ${index}`, 4);
		const directUs = await measureFirstTokenUs(engineAddress, body);
		const routedUs = await measureFirstTokenUs(routerAddress, body);
		if (index >= warmUpCount) {
			directLatency.recordValue(Math.round(directUs));
			routedLatency.recordValue(Math.round(routedUs));
			addedLatency.recordValue(Math.max(1, Math.round(routedUs - directUs)));
		}
	}

	write(formatPercentiles('first token, engine called directly', directLatency));
	write(formatPercentiles('first token, through the fleet', routedLatency));
	write(formatPercentiles('added by the fleet, per pair of requests', addedLatency));
};

/** The result of one load run: completed requests, elapsed time, and the CPU time used meanwhile. */
type Load = Readonly<{requests: number; routerCpuMs: number; agentCpuMs: number; elapsedMs: number}>;

/** Runs streams at a fixed concurrency, and measures the CPU time of the router and the agent. */
const runLoad = async (fleet: ProcessFleet, tokens: number): Promise<Load> => {
	const address = fleet.routers[0]!.started.address!;
	const [router, agent] = [fleet.routers[0]!.child.pid!, fleet.engineAgent.child.pid!];
	const before = [readUsage(router), readUsage(agent)] as const;
	const start = performance.now();
	let requests = 0;
	const runWorker = async (worker: number): Promise<void> => {
		if (performance.now() - start > loadDurationMs) {
			return;
		}

		await measureFirstTokenUs(address, buildChatBody(`load ${worker} ${requests}`, tokens));
		requests += 1;
		return runWorker(worker);
	};

	await Promise.all(Array.from({length: workerCount}, async (_, worker) => runWorker(worker)));
	return {
		requests, elapsedMs: performance.now() - start, routerCpuMs: readUsage(router).cpuMs - before[0].cpuMs, agentCpuMs: readUsage(agent).cpuMs - before[1].cpuMs,
	};
};

const measureCpuCost = async (fleet: ProcessFleet, write: WriteLine) => {
	const tokenCounts = [4, 16, 48];
	const points: Array<Readonly<{tokens: number; load: Load}>> = [];
	for (const tokens of tokenCounts) {
		points.push({tokens, load: await runLoad(fleet, tokens)});
	}

	points.forEach(({tokens, load}) => {
		write(`${tokens} tokens per stream: ${(load.requests * 1000 / load.elapsedMs).toFixed(0)} requests/s, `
			+ `router ${(load.routerCpuMs / load.requests).toFixed(3)} ms CPU per request, agent ${(load.agentCpuMs / load.requests).toFixed(3)} ms CPU per request`);
	});
	const router = fitLine(points.map(({tokens, load}) => [tokens, load.routerCpuMs / load.requests]));
	const agent = fitLine(points.map(({tokens, load}) => [tokens, load.agentCpuMs / load.requests]));
	write(`router CPU: ${router.intercept.toFixed(3)} ms per request + ${(router.slope * 1000).toFixed(1)} us per token (fit error ${(router.error * 100).toFixed(0)}%)`);
	write(`agent CPU: ${agent.intercept.toFixed(3)} ms per request + ${(agent.slope * 1000).toFixed(1)} us per token (fit error ${(agent.error * 100).toFixed(0)}%)`);
	const shortestLoad = points[0]!.load;
	write(`requests/s per router core: ${(shortestLoad.requests * 1000 / shortestLoad.routerCpuMs).toFixed(0)} at 4 tokens`);
};

const openStreams = async (address: string, count: number, firstIndex: number): Promise<ReadonlyArray<ReadableStreamDefaultReader<Uint8Array>>> =>
	Promise.all(Array.from({length: count}, async (_, index) => {
		const response = await fetch(`http://${address}/v1/chat/completions`, {method: 'POST', headers, body: buildChatBody(`open ${firstIndex + index}`, 64)});
		const reader = response.body!.getReader();
		await reader.read();
		return reader;
	}));

const measureStreamMemory = async (fleet: ProcessFleet, write: WriteLine) => {
	const [router] = fleet.routers;
	await fleet.setFaults(fleet.engine, {slowness: 60});
	const streamCounts = [0, 50, 100, 150];
	const points: Array<readonly [number, number]> = [];
	for (const openCount of streamCounts) {
		await openStreams(router!.started.address!, openCount === 0 ? 0 : 50, openCount);
		await sleep(500);
		points.push([openCount, readUsage(router!.child.pid!).memoryBytes]);
	}

	await fleet.setFaults(fleet.engine, {slowness: 1});
	const fit = fitLine(points);
	write(`router memory: ${(fit.slope / 1024).toFixed(1)} KB per open stream (fit error ${(fit.error * 100).toFixed(0)}%, ${streamCounts.join('/')} streams)`);
};

const formatIdleMemory = (name: string, program: Program): string => {
	const usage = readUsage(program.child.pid!);
	return `${name} idle: RSS ${(usage.memoryBytes / 1024 / 1024).toFixed(0)} MB`;
};

/**
Measures the latency, CPU time and memory that the fleet adds, compared with calling
an engine directly in the same run.

@param write - Receives each line of the result.
*/
export const benchOverhead = async (write: WriteLine): Promise<void> => {
	const fleet = await startProcesses(1, {engineCapacity: 400});
	try {
		await sleep(idleTimeMs);
		write(formatIdleMemory('router', fleet.routers[0]!));
		write(formatIdleMemory('agent', fleet.engineAgent));
		await fleet.callOperatorApi(fleet.routers[0]!, 'POST', '/operator/v1/budgets/studio-1', {change: 'bench', add: 100_000_000});
		await comparePairs(fleet.engine.started.address!, fleet.routers[0]!.started.address!, write);
		await measureCpuCost(fleet, write);
		await measureStreamMemory(fleet, write);
	} finally {
		stopPrograms();
	}
};
