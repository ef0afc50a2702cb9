import {Agent} from 'node:http';
import {send} from '../client-2.js';
import {openPlatform, sleep} from '../deployment-2.js';
import {runCase} from '../record-2.js';
import {startReplica} from '../replica-2.js';
import {startStore} from '../store-2.js';

/** `graceS` of the settings, and the time after the stop signal up to which requests are excused that are cut at its end, in ms. */
const graceMs = 8000;
const excusedMs = 3000;

/** An event holds 4 tokens, and comes each 25 ms. */
const stride = 4;
const eventMs = 25;

/** Events of the streams: on one route always many, on the other one mostly few. */
const indexEvents = 200;
const draftEvents = {min: 8, max: 28, most: 200};

/** Clients that ask for short drafts until the stop signal, and those that ask for an index and then for a long draft, on one connection. */
const draftClients = 12;
const indexClients = 4;

/** Time for which drafts are sent before the index streams begin, and from then to the stop signal, in ms. */
const usualMs = 5000;
const untilStopMs = 1500;

const createRoute = (name, priority) => ({
	name, host: 'h.example', prefix: `/${name}/`, kind: 'streaming', timeoutMs: 15_000, targetLatencyMs: 500, priority, service: 'llm',
	maxAttempts: 2, anonymous: true, sticky: true, resumable: true, gapAimMs: 250,
});

const manifest = {
	version: 1,
	routes: [createRoute('index', 1), createRoute('draft', 2)],
	services: [{
		name: 'llm', healthPath: '/health', maxConnections: 600, protocol: 'h1', tls: false, engine: {slots: 64, kvCapacity: 500_000, stride},
	}],
	limits: {
		maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
	},
};

await runCase(new URL('.', import.meta.url), async ({record, hasTrouble, closeLater}) => {
	const store = await startStore();
	closeLater(store.close);
	store.put('op', 'config', manifest);
	const replicas = await Promise.all(['v1', 'v1'].map(async version => startReplica({
		store, service: 'llm', version, stride, firstMs: 95, eventMs,
	})));
	replicas.forEach(({close}) => {
		closeLater(close);
	});
	const platform = openPlatform(store.address, line => {
		if (/event=(?:started|stopp)/v.test(line) || (/event=call-ended/v.test(line) && /outcome=(?:deadline|cut|not-ready)/v.test(line))) {
			record.write(line);
		}
	});
	closeLater(platform.close);
	const edge = await platform.startEdge('front-a-1');
	await platform.awaitReady([edge]);
	await sleep(1000);

	let count = 0;
	let stoppedAt = Number.POSITIVE_INFINITY;
	const createAgent = () => new Agent({keepAlive: true, maxSockets: 1});
	const sendOne = async (route, events, agent) => {
		count += 1;
		return send({
			port: edge.port, path: `/${route}/1`, agent, headers: {
				Model: 'm', 'Token-Counts': `200,${events * stride}`, 'Prompt-Prefix': `${count.toString(16)}:200`, 'Request-Deadline-Ms': '15000',
			},
		});
	};

	const sendDrafts = async index => {
		const agent = createAgent();
		for (let turn = 0; performance.now() < stoppedAt; turn += 1) {
			await sendOne('draft', draftEvents.min + (((index * 7) + (turn * 5)) % (draftEvents.max - draftEvents.min)), agent);
		}
	};

	const drafts = Array.from({length: draftClients}, async (_, index) => sendDrafts(index));
	await sleep(usualMs);
	const sendIndexAndDraft = async () => {
		const agent = createAgent();
		const index = await sendOne('index', indexEvents, agent);
		return [index, await sendOne('draft', draftEvents.most, agent)];
	};

	const sessions = Array.from({length: indexClients}, async () => sendIndexAndDraft());
	await sleep(untilStopMs);
	stoppedAt = performance.now();
	if (hasTrouble) {
		edge.signal('SIGTERM');
		record.write('the platform sends SIGTERM');
		setTimeout(() => {
			if (edge.getStarts() === 1) {
				edge.signal('SIGKILL');
				record.write('the platform sends SIGKILL');
			}
		}, graceMs);
	}

	await Promise.all(drafts);
	const ended = await Promise.all(sessions);
	const outcomes = ended.flat();
	outcomes.forEach(({attempt, sentAt, endedAt, status, isWhole, events, reason}) => {
		record.write(`request ${attempt}, sent ${((sentAt - stoppedAt) / 1000).toFixed(2)} s after the signal, ended at ${((endedAt - stoppedAt) / 1000).toFixed(2)} s: ${status || reason}, `
			+ `${isWhole ? 'whole' : 'broken off'}, ${events.length} events`);
	});
	const ran = new Set(replicas.flatMap(({runs}) => runs.map(({attempt}) => attempt)));
	// Requests that were passed on to a replica, and whose connection ended without a complete answer.
	const lost = outcomes.filter(({attempt, sentAt, isWhole}) => ran.has(attempt) && !isWhole && sentAt - stoppedAt > excusedMs);
	record.write(`${lost.length} requests that were sent later than ${excusedMs} ms after the signal, and passed on, ended without a complete answer`);
	return lost.length > 0;
});
