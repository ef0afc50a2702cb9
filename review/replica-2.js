import {createServer} from 'node:http';
import {performance} from 'node:perf_hooks';

/** Interval at which a replica writes its entry, in ms; `heartbeatMs` of the settings. */
const heartbeatMs = 1200;

/** Intervals of silence after which the entry of a replica is removed. */
const silentBeats = 3;

/** Time for which a replica is away after a crash, in ms. */
const crashDownMs = 2000;

let lifetimeCount = 0;

/** Reads the tokens that a request names: of its prompt, and the most of its output. */
const parseTokens = headers => String(headers['token-counts'] ?? '0,0').split(',').map(Number);

/** Reads the parts of a prompt that other requests may share: all but the last. */
const parseSharedParts = headers => String(headers['prompt-prefix'] ?? '').split(',').slice(0, -1).map(part => part.split(':')[0]);

/**
Starts a stand-in of a model replica. It writes its entry into the store at each heartbeat, streams events of some tokens each,
goes on after `Last-Event-Id`, and drops a request when its connection closes.

@param options - The store, the service, the software version, tokens of an event, times in ms, and the prompt part on which it crashes as
it begins to write an answer, if any. After a crash it comes back with a new id.
@returns The replica, with the runs that it has begun.
*/
export const startReplica = async ({
	store, service, version, stride, firstMs = 40, eventMs = 25, crashPart, onCrash = () => undefined,
}) => {
	const runs = [];
	const state = {
		id: '', born: 0, running: 0, sequence: 0, isDown: false, timer: undefined,
	};

	const beat = () => {
		state.sequence += 1;
		store.put('servers', state.id, {
			service, address: state.address, zone: 'z-a', version, slots: 64, state: 'ready', coldRemainingMs: 0, stage: 'both', models: [{name: 'm', version: 1, adapters: []}],
			sequence: state.sequence, born: state.born,
		});
	};

	/** Begins a lifetime. */
	const begin = () => {
		lifetimeCount += 1;
		Object.assign(state, {
			id: `i-${lifetimeCount}${service}${version}`, born: 1_700_000_000_000 + lifetimeCount, sequence: 0, isDown: false,
		});
		beat();
		state.timer = setInterval(beat, heartbeatMs);
	};

	/** Ends a lifetime as a crash does, and begins another one after a while. */
	const crash = () => {
		const {id} = state;
		state.isDown = true;
		clearInterval(state.timer);
		server.close();
		server.closeAllConnections();
		setTimeout(() => {
			store.put('servers', id, undefined);
		}, silentBeats * heartbeatMs);
		setTimeout(() => {
			server.listen(Number(state.address.split(':')[1]), '127.0.0.1', begin);
		}, crashDownMs);
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
			if (crashPart !== undefined && parseSharedParts(incoming.headers).includes(crashPart)) {
				onCrash(run);
				crash();
				return;
			}

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
				at: performance.now(), replica: state.id, version, service, attempt: headers['attempt-id'], parts: parseSharedParts(headers), prompt, events: [], endedAt: undefined,
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
	begin();
	return {
		id: state.id,
		runs,
		close() {
			clearInterval(state.timer);
			server.close();
			server.closeAllConnections();
		},
	};
};
