import {send} from '../client-2.js';
import {openPlatform, sleep} from '../deployment-2.js';
import {runCase} from '../record-2.js';
import {startReplica} from '../replica-2.js';
import {startStore} from '../store-2.js';

/** `contactMs` of the settings. */
const contactMs = 3000;

/** Parts of prompts: one that all requests of the route share, and one on which replicas crash. */
const sharedPart = 'a1';
const crashPart = 'bad0';

/** Interval between sound requests, in ms: a quiet service. */
const soundIntervalMs = 2000;

/** Requests with the crashing part, and the interval between them, in ms. */
const crashingCount = 10;
const crashingIntervalMs = 3600;

/** Requests with the part that may still reach replicas. */
const maxLate = 3;

const manifest = {
	version: 1,
	routes: [{
		name: 'r-draft', host: 'h.example', prefix: '/draft/', kind: 'streaming', timeoutMs: 6000, targetLatencyMs: 500, priority: 1, service: 'llm',
		maxAttempts: 2, anonymous: true, sticky: true, resumable: true, gapAimMs: 250,
	}],
	services: [{
		name: 'llm', healthPath: '/health', maxConnections: 600, protocol: 'h1', tls: false, engine: {slots: 64, kvCapacity: 500_000, stride: 4},
	}],
	limits: {
		maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
	},
};

await runCase(new URL('.', import.meta.url), async ({record, hasTrouble, closeLater}) => {
	const store = await startStore();
	closeLater(store.close);
	store.put('op', 'config', manifest);
	const crashes = [];
	const replicas = await Promise.all(Array.from({length: 6}, async () => startReplica({
		store, service: 'llm', version: 'v1', stride: 4, firstMs: 95, eventMs: 20, crashPart: hasTrouble ? crashPart : undefined, onCrash({replica, attempt}) {
			crashes.push(performance.now());
			record.write(`crash ${crashes.length}: ${replica}, on request ${attempt}`);
		},
	})));
	replicas.forEach(({close}) => {
		closeLater(close);
	});
	const platform = openPlatform(store.address, line => {
		if (/event=(?:started|part|request-|crash)/v.test(line)) {
			record.write(line);
		}
	});
	closeLater(platform.close);
	const edges = [await platform.startEdge('front-a-1'), await platform.startEdge('front-a-2')];
	await platform.awaitReady(edges);

	let count = 0;
	const sendOne = async parts => {
		count += 1;
		return send({
			port: edges[count % edges.length].port, path: `/draft/${count}`, body: `prompt ${count}`, headers: {
				Model: 'm', 'Token-Counts': '500,40', 'Prompt-Prefix': [...parts, count.toString(16)].map(id => `${id}:100`).join(','), 'Request-Deadline-Ms': '6000',
			},
		});
	};

	const sound = [];
	const timer = setInterval(() => {
		sound.push(sendOne([sharedPart]));
	}, soundIntervalMs);
	closeLater(() => {
		clearInterval(timer);
	});
	await sleep(2000);

	const startedAt = performance.now();
	const sendCrashing = async at => {
		await sleep(at);
		const {attempt, status} = await sendOne([sharedPart, crashPart]);
		record.write(`request ${attempt} with the part, sent at ${(at / 1000).toFixed(1)} s, got ${status}`);
	};

	await Promise.all(Array.from({length: crashingCount}, async (_, index) => sendCrashing(index * crashingIntervalMs)));
	await sleep(1000);
	clearInterval(timer);
	const ended = await Promise.all(sound);
	const from = (crashes[4] ?? Number.POSITIVE_INFINITY) + contactMs;
	const late = replicas.flatMap(({runs}) => runs).filter(({at, parts}) => at > from && parts.includes(crashPart));
	late.forEach(({at, replica, attempt}) => {
		record.write(`counted: ${replica} got request ${attempt} at ${((at - startedAt) / 1000).toFixed(1)} s`);
	});
	const whole = ended.filter(({status, isWhole}) => status === 200 && isWhole).length;
	record.write(`${crashes.length} crashes; ${late.length} requests with the part reached replicas later than ${contactMs} ms after the fifth, of ${maxLate} allowed`);
	record.write(`${whole} of ${ended.length} sound requests were served`);
	return late.length > maxLate;
});
