import process from 'node:process';
import {build} from 'hdr-histogram-js';
import type {Histogram} from 'hdr-histogram-js';
import {sleep} from '../loop/index.js';
import {fitLine, readUsage} from './measure.js';
import {startProcesses, stopPrograms} from './processes.js';
import type {ProcessFleet, Program} from './processes.js';

type Write = (line: string) => void;

const warmUps = 30;
const pairs = 300;
const idlePause = 3000; // Milliseconds
const loadTime = 6000; // Milliseconds
const concurrency = 24;

const createHistogram = (): Histogram => build({lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3});

const ask = (content: string, tokens: number) => JSON.stringify({
	model: 'stone-advice', messages: [{role: 'user', content}], stream: true, max_tokens: tokens,
});

const headers = {authorization: 'Bearer key-studio-1', 'content-type': 'application/json'};

/** Asks for a stream, and tells the microseconds to its first part. */
const timeFirstToken = async (address: string, body: string): Promise<number> => {
	const start = process.hrtime.bigint();
	const response = await fetch(`http://${address}/v1/chat/completions`, {method: 'POST', headers, body});
	const reader = response.body!.getReader();
	await reader.read();
	const elapsed = Number(process.hrtime.bigint() - start) / 1000;
	const drain = async (): Promise<void> => {
		const {done} = await reader.read();
		return done ? undefined : drain();
	};

	await drain();
	return elapsed;
};

const describe = (name: string, histogram: Histogram): string =>
	`${name}: p50 ${(histogram.getValueAtPercentile(50) / 1000).toFixed(2)} ms, p99 ${(histogram.getValueAtPercentile(99) / 1000).toFixed(2)} ms`;

const comparePairs = async (direct: string, through: string, write: Write) => {
	const alone = createHistogram();
	const routed = createHistogram();
	const added = createHistogram();
	for (const index of Array.from({length: warmUps + pairs}).keys()) {
		const body = ask(`pair ${index}`, 4);
		const first = await timeFirstToken(direct, body);
		const second = await timeFirstToken(through, body);
		if (index >= warmUps) {
			alone.recordValue(Math.round(first));
			routed.recordValue(Math.round(second));
			added.recordValue(Math.max(1, Math.round(second - first)));
		}
	}

	write(describe('first token, engine called directly', alone));
	write(describe('first token, through the fleet', routed));
	write(describe('added by the fleet, pair by pair', added));
};

type Load = Readonly<{requests: number; router: number; agent: number; elapsed: number}>;

/** Keeps a number of streams running for a while, and tells what they cost the router and the agent. */
const runLoad = async (fleet: ProcessFleet, tokens: number): Promise<Load> => {
	const address = fleet.routers[0]!.started.address!;
	const [router, agent] = [fleet.routers[0]!.child.pid!, fleet.engineAgent.child.pid!];
	const before = [readUsage(router), readUsage(agent)] as const;
	const start = performance.now();
	let requests = 0;
	const work = async (worker: number): Promise<void> => {
		if (performance.now() - start > loadTime) {
			return;
		}

		await timeFirstToken(address, ask(`load ${worker} ${requests}`, tokens));
		requests += 1;
		return work(worker);
	};

	await Promise.all(Array.from({length: concurrency}, async (_, worker) => work(worker)));
	return {
		requests, elapsed: performance.now() - start, router: readUsage(router).cpu - before[0].cpu, agent: readUsage(agent).cpu - before[1].cpu,
	};
};

const measureLoads = async (fleet: ProcessFleet, write: Write) => {
	const sizes = [4, 16, 48];
	const points: Array<Readonly<{tokens: number; load: Load}>> = [];
	for (const tokens of sizes) {
		points.push({tokens, load: await runLoad(fleet, tokens)});
	}

	points.forEach(({tokens, load}) => {
		write(`${tokens} tokens a stream: ${(load.requests * 1000 / load.elapsed).toFixed(0)} requests a second, `
			+ `router ${(load.router / load.requests).toFixed(3)} ms CPU a request, agent ${(load.agent / load.requests).toFixed(3)} ms`);
	});
	const router = fitLine(points.map(({tokens, load}) => [tokens, load.router / load.requests]));
	const agent = fitLine(points.map(({tokens, load}) => [tokens, load.agent / load.requests]));
	write(`router CPU: ${router.intercept.toFixed(3)} ms a request + ${(router.slope * 1000).toFixed(1)} us a token (fit error ${(router.error * 100).toFixed(0)}%)`);
	write(`agent CPU: ${agent.intercept.toFixed(3)} ms a request + ${(agent.slope * 1000).toFixed(1)} us a token (fit error ${(agent.error * 100).toFixed(0)}%)`);
	const short = points[0]!.load;
	write(`requests a second a router core: ${(short.requests * 1000 / short.router).toFixed(0)} at 4 tokens`);
};

const openStreams = async (address: string, count: number, from: number): Promise<ReadonlyArray<ReadableStreamDefaultReader<Uint8Array>>> =>
	Promise.all(Array.from({length: count}, async (_, index) => {
		const response = await fetch(`http://${address}/v1/chat/completions`, {method: 'POST', headers, body: ask(`open ${from + index}`, 64)});
		const reader = response.body!.getReader();
		await reader.read();
		return reader;
	}));

const measureStreams = async (fleet: ProcessFleet, write: Write) => {
	const [router] = fleet.routers;
	await fleet.setFaults(fleet.engine, {slowness: 60});
	const steps = [0, 50, 100, 150];
	const points: Array<readonly [number, number]> = [];
	for (const open of steps) {
		await openStreams(router!.started.address!, open === 0 ? 0 : 50, open);
		await sleep(500);
		points.push([open, readUsage(router!.child.pid!).memory]);
	}

	await fleet.setFaults(fleet.engine, {slowness: 1});
	const fit = fitLine(points);
	write(`router memory: ${(fit.slope / 1024).toFixed(1)} KB an open stream (fit error ${(fit.error * 100).toFixed(0)}%, ${steps.join('/')} streams)`);
};

const describeIdle = (name: string, program: Program): string => {
	const usage = readUsage(program.child.pid!);
	return `${name} idle: RSS ${(usage.memory / 1024 / 1024).toFixed(0)} MB`;
};

/**
Measures what the fleet adds to calling an engine directly, in one run.

@param write - Takes each line of the result.
*/
export const benchOverhead = async (write: Write): Promise<void> => {
	const fleet = await startProcesses(1, {engineCapacity: 400});
	try {
		await sleep(idlePause);
		write(describeIdle('router', fleet.routers[0]!));
		write(describeIdle('agent', fleet.engineAgent));
		await fleet.operate(fleet.routers[0]!, 'POST', '/operator/v1/budgets/studio-1', {change: 'bench', add: 100_000_000});
		await comparePairs(fleet.engine.started.address!, fleet.routers[0]!.started.address!, write);
		await measureLoads(fleet, write);
		await measureStreams(fleet, write);
	} finally {
		stopPrograms();
	}
};
