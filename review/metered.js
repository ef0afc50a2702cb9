import {Agent} from 'node:http';
import {performance} from 'node:perf_hooks';
import {serveStream, startReplica} from './replica.js';
import {manifestLimits, sendRequest} from './system.js';

/** Size of each request: prompt tokens, events, and tokens that an event holds. */
const size = {prompt: 480, events: 10, stride: 4};

/** What a request costs at its most, in tokens. */
export const maxCost = size.prompt + (size.events * size.stride);

/** Number of loads so far, so that each request has its own id. */
let loads = 0;

const apiKey = 'key-of-the-firm';

/**
Formats a manifest with one metered route and one tenant.

@param version - Version of the manifest.
@param prepaid - Tokens of the tenant.
@returns The manifest.
*/
export const createManifest = (version, prepaid) => ({
	version,
	routes: [{
		name: 'draft',
		host: 'firm.example',
		prefix: '/draft/',
		kind: 'streaming',
		timeoutMs: 5000,
		targetLatencyMs: 500,
		priority: 1,
		service: 'models',
		maxAttempts: 1,
		resumable: false,
		sticky: true,
		gapAimMs: 250,
	}],
	services: [{
		name: 'models', maxConnections: 360, engine: {slots: 64, kvCapacity: 551_016, stride: size.stride},
	}],
	limits: manifestLimits,
	tenants: [{name: 'firm', apiKeys: [apiKey], prepaid}],
});

/**
Starts replicas of the metered service, which count what they run.

@param store - The store.
@param count - Number of replicas.
@returns The ids of the requests that ran, and a function that closes the replicas.
*/
export const startModels = async (store, count) => {
	const ran = new Set();
	const replicas = await Promise.all(Array.from({length: count}, async (_, index) => startReplica({
		store, id: `i-model-${index}`, service: 'models', serve({id}, socket) {
			serveStream(socket, {
				id, events: size.events, firstMs: 60, gapMs: 5,
			}, () => {
				ran.add(id);
			});
		},
	})));
	return {
		ran,
		close() {
			replicas.forEach(replica => {
				replica.close();
			});
		},
	};
};

/**
Sends requests of the tenant to routers at a steady rate.

@param edges - The routers.
@param intervalMs - Time between two requests to one router.
@param record - Records what was sent and answered.
@returns The results, and a function that stops.
*/
export const startLoad = (edges, intervalMs, record) => {
	const results = [];
	loads += 1;
	const prefix = `load${loads}`;
	const prefixId = loads.toString(16);
	let count = 0;
	const timers = edges.map(edge => {
		const agent = new Agent({keepAlive: true, maxSockets: 40});
		return setInterval(async () => {
			count += 1;
			const id = `${prefix}-${count}`;
			const result = await sendRequest({
				port: edge.fields.port, path: '/draft/x', agent, limitMs: 5000, headers: {
					Host: 'firm.example',
					'Attempt-Id': id,
					'Request-Deadline-Ms': '5000',
					Authorization: `Token ${apiKey}`,
					Model: 'm',
					'Token-Counts': `${size.prompt},${size.events * size.stride}`,
					'Prompt-Prefix': `a1:400,${prefixId}${count.toString(16).padStart(6, '0')}:80`,
				},
			});
			results.push({...result, id, edge});
			record(`client: ${id} at ${edge.name} got ${result.status === undefined ? `no answer (${result.error})` : `status ${result.status}`}, ${countEvents(result)} events`);
		}, intervalMs);
	});
	return {
		results,
		/** Tells whether requests have been served in the last milliseconds. */
		hasServed: withinMs => results.some(({status, endedAt}) => status === 200 && endedAt > performance.now() - withinMs),
		stop() {
			timers.forEach(timer => {
				clearInterval(timer);
			});
		},
	};
};

/** Counts the whole events that a client received. */
const countEvents = ({status, text}) => status === 200 ? text.split('\n\n').length - 1 : 0;

/**
Counts the tokens that the tenant got: the prompt once for each request that ran, and the events that were delivered.

@param ran - The requests that ran.
@param results - What the clients received.
@returns Tokens.
*/
export const countTokens = (ran, results) => (ran.size * size.prompt) + results.reduce((sum, result) => sum + (countEvents(result) * size.stride), 0);
