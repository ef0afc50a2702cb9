import {connect, createServer} from 'node:net';
import {createAttemptId, send} from '../client-2.js';
import {openPlatform, sleep} from '../deployment-2.js';
import {runCase} from '../record-2.js';
import {startReplica} from '../replica-2.js';
import {startStore} from '../store-2.js';

/** A stream has 180 events of 4 tokens, one every 60 ms. */
const stride = 4;
const outputTokens = 720;
const eventMs = 60;
const firstMs = 95;

/** Number of streams, and the interval between their starts, in ms. */
const streamCount = 40;
const startIntervalMs = 30;

/** Number and output of the new streams with which the ones that are taken up are compared. */
const newCount = 20;
const newOutputTokens = 40;

/** Time for which the store is away, in ms. */
const awayMs = 700;

/** `contactMs` of the settings. */
const contactMs = 3000;

/** A client tries to take its stream up a few times. */
const maxTries = 4;
const retryDelayMs = 250;

const manifest = {
	version: 1,
	routes: [{
		name: 'r-draft', host: 'h.example', prefix: '/draft/', kind: 'streaming', timeoutMs: 15_000, targetLatencyMs: 500, priority: 1, service: 'llm',
		maxAttempts: 2, anonymous: true, sticky: true, resumable: true, gapAimMs: 250,
	}],
	services: [{
		name: 'llm', healthPath: '/health', maxConnections: 600, protocol: 'h1', tls: false, engine: {slots: 64, kvCapacity: 500_000, stride},
	}],
	limits: {
		maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
	},
};

/** Starts a proxy that can reset half of the connections that it has open, on both sides. */
const startProxy = async port => {
	const open = new Set();
	const server = createServer(client => {
		const router = connect(port, '127.0.0.1');
		const pair = [client, router];
		open.add(pair);
		pair.forEach(socket => {
			socket.on('error', () => undefined);
			socket.on('close', () => {
				open.delete(pair);
			});
		});
		client.pipe(router);
		router.pipe(client);
	});
	await new Promise(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const reset = pairs => {
		pairs.flat().forEach(socket => {
			socket.resetAndDestroy();
		});
		return pairs.length;
	};

	return {
		port: server.address().port,
		resetHalf: () => reset([...open].filter((_, index) => index % 2 === 0)),
		close() {
			server.close();
			reset([...open]);
		},
	};
};

await runCase(new URL('.', import.meta.url), async ({record, hasTrouble, closeLater}) => {
	const store = await startStore();
	closeLater(store.close);
	store.put('op', 'config', manifest);
	await Promise.all(['v1', 'v1', 'v2', 'v2'].map(async version => {
		const replica = await startReplica({
			store, service: 'llm', version, stride, firstMs, eventMs,
		});
		closeLater(replica.close);
		record.write(`replica ${replica.id} of version ${version} registers`);
	}));
	const platform = openPlatform(store.address, line => {
		if (/event=(?:started|feed|call-ended)/v.test(line)) {
			record.write(line);
		}
	});
	closeLater(platform.close);
	const [beginning, resuming] = [await platform.startEdge('front-a-1'), await platform.startEdge('front-a-2')];
	await platform.awaitReady([beginning, resuming]);
	const proxy = await startProxy(beginning.port);
	closeLater(proxy.close);
	await sleep(1000);

	const copyAt = performance.now();
	record.write('the store makes its copy');
	await sleep(500);

	const createHeaders = (index, attempt, output) => ({
		'Attempt-Id': attempt, Model: 'm', 'Token-Counts': `400,${output}`, 'Prompt-Prefix': `${index.toString(16)}:400`, 'Request-Deadline-Ms': '15000',
	});

	/** Asks the second router for the rest of a stream until it goes on. */
	const takeUp = async (index, origin, lastId) => {
		const tries = [];
		for (let count = 0; count < maxTries; count += 1) {
			const attempt = createAttemptId();
			const outcome = await send({
				port: resuming.port, path: '/draft/1', headers: {...createHeaders(index, attempt, outputTokens), 'Last-Event-Id': String(lastId), Resumes: origin},
			});
			tries.push(`${attempt} ${outcome.status || outcome.reason}, ${outcome.events.length} events`);
			if (outcome.events.length > 0) {
				return {tries, goesOn: true};
			}

			await sleep(outcome.headers['retry-after'] === undefined ? retryDelayMs : Number(outcome.headers['retry-after']) * 1000);
		}

		return {tries, goesOn: false};
	};

	/** Sends a request through the proxy, and takes its stream up at the second router if the connection breaks. */
	const readStream = async index => {
		const origin = createAttemptId();
		const first = await send({port: proxy.port, path: '/draft/1', headers: createHeaders(index, origin, outputTokens)});
		const lastId = first.events.at(-1)?.id;
		const isTakenUp = !first.isWhole && lastId !== undefined;
		const {tries, goesOn} = isTakenUp ? await takeUp(index, origin, lastId) : {tries: [], goesOn: false};
		return {
			index, isTakenUp, goesOn, text: [`${origin} ${first.status || first.reason}, ${first.events.length} events${first.isWhole ? '' : ', broken off'}`, ...tries].join('; '),
		};
	};

	const streams = [];
	for (let index = 0; index < streamCount; index += 1) {
		streams.push(readStream(index));
		await sleep(startIntervalMs);
	}

	await sleep(300);
	if (hasTrouble) {
		store.leave();
		record.write('the store goes away');
		await sleep(awayMs);
		store.comeBackAsOf(copyAt);
		record.write(`the store comes back from its copy, ${Math.round(performance.now() - copyAt)} ms old`);
	} else {
		await sleep(awayMs);
	}

	await sleep(contactMs + 1000);
	record.write(`${proxy.resetHalf()} of ${streamCount} connections to front-a-1 are reset`);
	const fresh = await Promise.all(Array.from({length: newCount}, async (_, index) => send({
		port: resuming.port, path: '/draft/1', headers: createHeaders(1000 + index, createAttemptId(), newOutputTokens),
	})));
	const begun = fresh.filter(({events}) => events.length > 0).length;
	const ended = await Promise.all(streams);
	ended.forEach(({index, text}) => {
		record.write(`stream ${index}: ${text}`);
	});
	const taken = ended.filter(({isTakenUp}) => isTakenUp);
	const goingOn = taken.filter(({goesOn}) => goesOn).length;
	record.write(`${begun} of ${newCount} new streams begin at front-a-2; ${goingOn} of ${taken.length} streams that are taken up there go on`);
	return taken.length >= 12 && goingOn / taken.length < begun / newCount / 2;
});
