import process from 'node:process';
import {send} from '../harness-2/client.js';
import {openPlatform, sleep} from '../harness-2/deployment.js';
import {runCase} from '../harness-2/record.js';
import {startReplica} from '../harness-2/replica.js';
import {startStore} from '../harness-2/store.js';

const tenant = 'studio';
const key = 'key-of-studio';
const prepaidTokens = {first: 20_000, raised: 200_000};

/** Tokens of one request: its prompt, and its most output. */
const promptTokens = 1000;
const outputTokens = 40;
const stride = 4;

/** Interval between requests, and how long they come before the trouble, in ms. */
const requestIntervalMs = 20;
const trafficMs = 2600;

/** Time for which the store is away, in ms. */
const awayMs = 700;

/** Time from the kill until the store goes away, in ms. */
const earlierMs = Number(process.env.EARLIER_MS ?? 0);

/** Time after the trouble until requests come again, in ms. */
const calmMs = 4000;

const createManifest = (version, prepaid) => ({
	version,
	routes: [{
		name: 'r-consult', host: 'h.example', prefix: '/consult/', kind: 'streaming', timeoutMs: 6000, targetLatencyMs: 500, priority: 1, service: 'llm',
		maxAttempts: 2, anonymous: false, sticky: true, resumable: true, gapAimMs: 250,
	}],
	services: [{
		name: 'llm', healthPath: '/health', maxConnections: 600, protocol: 'h1', tls: false, engine: {slots: 64, kvCapacity: 500_000, stride},
	}],
	limits: {
		maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
	},
	tenants: [{
		name: tenant, apiKeys: [key], priority: 1, prepaid,
	}],
});

await runCase(new URL('.', import.meta.url), async ({record, hasTrouble, closeLater}) => {
	const store = await startStore();
	closeLater(store.close);
	let manifest = createManifest(1, prepaidTokens.first);
	store.put('op', 'config', manifest);
	const replicas = await Promise.all(['v1', 'v1'].map(async version => startReplica({
		store, service: 'llm', version, stride,
	})));
	replicas.forEach(({close}) => {
		closeLater(close);
	});
	const platform = openPlatform(store.address, line => {
		if (/event=(?:holds|started|feed)/v.test(line)) {
			record.write(line);
		}
	});
	closeLater(platform.close);
	const [a, b] = [await platform.startEdge('front-a-1'), await platform.startEdge('front-a-2')];
	await platform.awaitReady([a, b]);
	// Both routers have drawn their shares of the first budget.
	await sleep(3500);

	/** Outcomes of all requests; those that ran are counted with their prompt and the output that was delivered. */
	const outcomes = [];
	const sendOne = async edge => {
		const outcome = await send({
			port: edge.port, path: '/consult/1', headers: {
				Authorization: `Token ${key}`, Model: 'm', 'Token-Counts': `${promptTokens},${outputTokens}`, 'Prompt-Prefix': `${outcomes.length.toString(16)}:${promptTokens}`,
				'Request-Deadline-Ms': '3000',
			},
		});
		outcomes.push(outcome);
		return outcome;
	};

	const countTokens = () => {
		const ran = new Set(replicas.flatMap(({runs}) => runs.filter(({events}) => events.length > 0).map(({attempt}) => attempt)));
		const delivered = outcomes.reduce((sum, {events}) => sum + (events.length * stride), 0);
		return (ran.size * promptTokens) + delivered;
	};

	const describe = () => {
		const statuses = [...new Set(outcomes.map(({status}) => status))].toSorted((first, second) => first - second);
		const counts = statuses.map(status => `${status}: ${outcomes.filter(outcome => outcome.status === status).length}`).join(', ');
		return `${outcomes.length} requests ended (${counts}), ${countTokens()} tokens used of ${manifest.tenants[0].prepaid}`;
	};

	const copyAt = performance.now();
	record.write('the store makes its copy');
	await sleep(200);
	manifest = createManifest(2, prepaidTokens.raised);
	store.put('op', 'config', manifest);
	record.write(`the operator raises prepaid from ${prepaidTokens.first} to ${prepaidTokens.raised}`);
	await sleep(500);
	const pending = [];
	for (const end = performance.now() + trafficMs; performance.now() < end;) {
		pending.push(sendOne(a));
		await sleep(requestIntervalMs);
	}

	await Promise.all(pending);
	record.write(`before the trouble: ${describe()}`);
	if (hasTrouble) {
		if (process.env.KILL !== '0') {
			a.signal('SIGKILL');
			record.write('a machine loses its process');
		}

		await sleep(earlierMs);
		store.leave();
		record.write('the store goes away');
		await sleep(awayMs);
		store.comeBackAsOf(copyAt);
		store.put('op', 'config', manifest);
		record.write(`the store comes back from its copy, ${Math.round(performance.now() - copyAt)} ms old; the operator has written its manifest again`);
	}

	await sleep(calmMs);
	await platform.awaitReady([a, b]);
	for (let count = 0; count < 300; count += 1) {
		pending.push(sendOne(count % 2 === 0 ? a : b));
		await sleep(requestIntervalMs);
	}

	await Promise.all(pending);
	record.write(`at the end: ${describe()}`);
	replicas.forEach(({id, runs}) => {
		record.write(`replica ${id} ran ${runs.length} requests`);
	});
	return countTokens() > prepaidTokens.raised;
});
