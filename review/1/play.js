import {Agent} from 'node:http';
import {formatAnswer, startReplica} from '../replica.js';
import {
	manifestLimits, runPlay, sendRequest, sleep,
} from '../system.js';

/** Clients with kept channels, whose requests a sound replica is serving when the answer with the wrong byte comes. */
const clientCount = 12;

/** Work of the sound replica, in ms. */
const workMs = 500;

/** `contactMs` of the installation: the machines are in touch when nothing has happened to them for so long. */
const contactMs = 3000;

/** The rule allows that many lost requests. */
const allowedLosses = 3;

const createRoute = (name, service) => ({
	name, host: 'shop.example', prefix: `/${name}/`, kind: 'safe', timeoutMs: 3000, targetLatencyMs: 386, priority: 2, service, maxAttempts: 2, anonymous: true,
});

await runPlay(import.meta.url, async ({store, record, startEdge, startRelay, awaitReady, hasTrouble}) => {
	const received = [];
	const sound = await startReplica({
		store, id: 'i-sound', service: 'catalog', serve({id, path}, socket) {
			received.push(id);
			record(`i-sound: runs ${id}`);
			setTimeout(() => {
				socket.write(formatAnswer(id, `answer to ${id}`));
			}, path.endsWith('/slow') ? workMs : 20);
		},
	});
	const faulty = await startReplica({
		store, id: 'i-faulty', service: 'search', serve({id}, socket) {
			const answer = formatAnswer(id, `answer to ${id}`).replace('Content-Type:', 'Replica-Load: 1,0,64\r\nContent-Type:');
			record(`i-faulty: answers ${id}${hasTrouble ? ' with one wrong byte in its head, a blank for the hyphen of "Replica-Load"' : ''}`);
			socket.write(hasTrouble ? answer.replace('Replica-Load:', 'Replica Load:') : answer);
		},
	});
	store.put('op', 'config', {
		version: 1,
		routes: [createRoute('catalog', 'catalog'), createRoute('search', 'search')],
		services: [{name: 'catalog', maxConnections: 100}, {name: 'search', maxConnections: 100}],
		limits: manifestLimits,
	});
	const relay = await startRelay('side-a-1');
	const edges = [await startEdge('front-a-1', [relay.fields.listen.control]), await startEdge('front-b-1', [relay.fields.listen.control])];
	await Promise.all(edges.map(async edge => awaitReady(edge)));
	await sleep(contactMs + 1000);

	const agents = edges.map(() => Array.from({length: clientCount}, () => new Agent({keepAlive: true, maxSockets: 1})));
	const send = async (edge, path, id, agent) => {
		record(`client: sends ${id} to ${edge.name}`);
		const result = await sendRequest({
			port: edge.fields.port, path, agent, limitMs: 4000, headers: {Host: 'shop.example', 'Attempt-Id': id, 'Request-Deadline-Ms': '3000'},
		});
		record(`client: ${id} got ${result.isComplete ? `status ${result.status}` : `no answer (${result.error})`}`);
		return {...result, id, edge};
	};

	// Each client has used its channel before, so that it is a kept one.
	await Promise.all(edges.flatMap((edge, index) => agents[index].map(async (agent, client) => send(edge, '/catalog/quick', `first-${index}-${client}`, agent))));
	const pending = edges.flatMap((edge, index) => agents[index].map(async (agent, client) => send(edge, '/catalog/slow', `catalog-${index}-${client}`, agent)));
	await sleep(workMs / 2);
	const first = await send(edges[0], '/search/x', 'search-0', new Agent());
	// A safe request is sent once more, on a new channel, by its client; retries reach other daemons.
	if (first.status !== 200) {
		await send(edges[1], '/search/x', 'search-1', new Agent());
	}

	const results = await Promise.all(pending);
	await sleep(500);
	const losses = edges.map(edge => ({edge, count: results.filter(result => result.edge === edge && received.includes(result.id) && result.status === undefined).length}));
	const crashes = edges.flatMap(edge => edge.ends.filter(({isOwn}) => isOwn).map(({code}) => `${edge.name} ended by itself with code ${code}: ${edge.log.find(line => /Error/v.test(line)) ?? ''}`));
	sound.close();
	faulty.close();
	return {
		summary: [
			...losses.map(({edge, count}) => `${edge.name}: ${count} of ${clientCount} requests on kept channels were passed on to a sound replica and got no answer; allowed are ${allowedLosses}`),
			...crashes,
		],
		broken: [
			...losses.filter(({count}) => count > allowedLosses).map(({edge, count}) => `LOST: ${edge.name} closed ${count} kept channels without an answer`),
			...(crashes.length > 0 ? [`${crashes.length} processes ended by themselves`] : []),
		],
	};
});
