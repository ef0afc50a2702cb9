import {createServer} from 'node:http';
import {performance} from 'node:perf_hooks';

/** Interval at which a replica writes its entry, in ms; `heartbeatMs` of the settings. */
const heartbeatMs = 1200;

let replicaCount = 0;

/** Reads the tokens that a request names: of its prompt, and the most of its output. */
const parseTokens = headers => String(headers['token-counts'] ?? '0,0').split(',').map(Number);

/**
Starts a stand-in of a model replica. It writes its entry into the store at each heartbeat, streams events of some tokens each,
goes on after `Last-Event-Id`, and drops a request when its connection closes.

@param options - The store, the service, the software version, tokens of an event, and times in ms.
@returns The replica, with the runs that it has begun.
*/
export const startReplica = async ({
	store, service, version, stride, firstMs = 40, eventMs = 25,
}) => {
	const runs = [];
	replicaCount += 1;
	const state = {
		id: `i-${replicaCount}${service}${version}`, born: 1_700_000_000_000 + replicaCount, running: 0, sequence: 0,
	};

	const beat = () => {
		state.sequence += 1;
		store.put('servers', state.id, {
			service, address: state.address, zone: 'z-a', version, slots: 64, state: 'ready', coldRemainingMs: 0, stage: 'both', models: [{name: 'm', version: 1, adapters: []}],
			sequence: state.sequence, born: state.born,
		});
	};

	const stream = (incoming, response, run) => {
		const [, output] = parseTokens(incoming.headers);
		const last = Math.ceil(output / stride);
		let next = Number(incoming.headers['last-event-id'] ?? 0) + 1;
		let timer;
		state.running += 1;
		response.on('close', () => {
			state.running -= 1;
			run.endedAt = performance.now();
			clearTimeout(timer);
		});
		const emit = () => {
			if (next <= last) {
				run.events.push(next);
				response.write(`id: ${next}\ndata: ${version}:${next}\n\n`);
				next += 1;
			}

			if (next > last) {
				response.end();
			} else {
				timer = setTimeout(emit, eventMs);
			}
		};

		timer = setTimeout(() => {
			response.writeHead(200, {
				'Content-Type': 'text/event-stream', 'Attempt-Id': incoming.headers['attempt-id'], 'Response-Seal': `seal.${state.id}`, 'Replica-Load': `${state.running},0,64`,
			});
			emit();
		}, firstMs);
	};

	const server = createServer((incoming, response) => {
		incoming.resume();
		response.on('error', () => undefined);
		incoming.on('end', () => {
			const {headers} = incoming;
			if (headers['expect-instance'] !== undefined && headers['expect-instance'] !== state.id) {
				response.writeHead(421, {'Replica-Id': state.id, 'Not-Executed': '1'}).end();
				return;
			}

			const [prompt] = parseTokens(headers);
			const run = {
				at: performance.now(), replica: state.id, version, service, attempt: headers['attempt-id'], prompt, events: [], endedAt: undefined,
			};
			runs.push(run);
			stream(incoming, response, run);
		});
	});
	server.keepAliveTimeout = 60_000;
	await new Promise(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	state.address = `127.0.0.1:${server.address().port}`;
	beat();
	const timer = setInterval(beat, heartbeatMs);
	return {
		id: state.id,
		runs,
		close() {
			clearInterval(timer);
			server.close();
			server.closeAllConnections();
		},
	};
};
