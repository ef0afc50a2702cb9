import type {IncomingMessage, Server} from 'node:http';
import {connect, Server as SocketServer} from 'node:net';
import type {Socket} from 'node:net';
import {
	boundWait, createReadDelay, decideQueueAction, recordAcceptance, recordLag, recordPoll, recordProbe, recordProbeSent, recordQueuePoll,
} from '../read-delay/index.js';
import type {Acceptance, QueueAction} from '../read-delay/index.js';
import type {SocketAddress} from '../server/address.js';

/** Watches how long requests wait until they are read, and keeps the accept queue of a server short. */
export type AcceptQueue = Readonly<{
	/** Begins to listen again after failures; called once the server listens for the first time. */
	start: () => void;
	/** Records how late a periodic timer fired, in ms. */
	recordLag: (lagMs: number) => void;
	/** Returns the longest time for which a request that is read now may have waited, in ms. */
	boundWait: (incoming: IncomingMessage) => number;
	/** Refuses new connections, and resets those in the queue, until `resume`: their clients can try another router at once. */
	pause: () => void;
	resume: () => void;
	/** Accepts no further connections. */
	close: () => void;
}>;

type AcceptQueueOptions = Readonly<{
	server: Server;
	/** Listen address of the server. */
	address: SocketAddress;
	clock: () => number;
	/** Called when the connections in the queue have been reset. */
	onReset: (ageMs: number) => void;
	/** Called when the address cannot be listened on; it is tried again. */
	onListenFailure: (error: Error) => void;
}>;

/** Limit of probes in the queue. */
const maxProbes = 12;

/** Lag of a timer up to which the event loop counts as having polled its sockets in time, in ms. */
const maxUsualLagMs = 5;

/** Delay before the address is listened on again after a failure, in ms. */
const listenRetryMs = 50;

/**
Watches the accept queue of a server.

@param options - The server, which has not accepted a connection yet.
@returns The watched queue.
*/
export const watchAcceptQueue = (options: AcceptQueueOptions): AcceptQueue => {
	const {server, address, clock, onReset, onListenFailure} = options;
	let delay = createReadDelay();
	let isWatching = false;
	let isClosed = false;
	let isPaused = false;
	/** First requests whose connections are known; a further request is no longer the first. */
	const acceptances = new WeakMap<Socket, Acceptance>();
	const probes = new Map<Socket, number>();

	const listenAgain = () => {
		if (!isClosed && !isPaused) {
			server.listen(address.port, address.host);
		}
	};

	const dropProbes = () => {
		[...probes.keys()].forEach(probe => probe.destroy());
		probes.clear();
	};

	/** Stops listening. The kernel resets what is in the queue. */
	const stopListening = () => {
		dropProbes();
		// The method of `http.Server` would also close idle connections.
		SocketServer.prototype.close.call(server);
		delay = {...createReadDelay(), stallMs: delay.stallMs, polls: delay.polls};
	};

	const actions: Readonly<Record<QueueAction, () => void>> = {
		none: () => undefined,
		probe() {
			const sentAt = clock();
			delay = recordProbeSent(delay, sentAt);
			if (probes.size >= maxProbes) {
				return;
			}

			const probe = connect(address.port, address.host);
			probes.set(probe, sentAt);
			probe.on('error', () => undefined);
			probe.on('close', () => {
				probes.delete(probe);
			});
		},
		reset() {
			const ageMs = clock() - (delay.queuedSince ?? clock());
			stopListening();
			listenAgain();
			onReset(ageMs);
		},
	};

	/** Runs after the sockets have been polled, in each iteration until the queue is empty. */
	const watch = () => {
		delay = recordQueuePoll(delay);
		isWatching = delay.queuedSince !== undefined;
		if (!isWatching || isClosed || isPaused) {
			return;
		}

		actions[decideQueueAction(delay, clock())]();
		setImmediate(watch);
	};

	/** Recognizes a probe by its port; returns when it was sent. */
	const takeProbe = (socket: Socket): number | undefined => {
		const [probe, sentAt] = [...probes].find(([each]) => each.localPort === socket.remotePort && each.localAddress === socket.remoteAddress) ?? [];
		probe?.destroy();
		return sentAt;
	};

	server.prependListener('connection', (socket: Socket) => {
		const recorded = recordAcceptance(delay, clock());
		const probeSentAt = probes.size === 0 ? undefined : takeProbe(socket);
		delay = probeSentAt === undefined ? recorded.delay : recordProbe(recorded.delay, probeSentAt);
		acceptances.set(socket, recorded.acceptance);
		if (probeSentAt !== undefined) {
			socket.destroy();
		}

		if (!isWatching) {
			isWatching = true;
			setImmediate(watch);
		}
	});

	return {
		start() {
			server.on('error', error => {
				onListenFailure(error);
				setTimeout(listenAgain, listenRetryMs);
			});
		},
		recordLag(lagMs) {
			if (lagMs > maxUsualLagMs) {
				delay = recordLag(delay, lagMs);
				setImmediate(() => {
					delay = recordPoll(delay);
				});
			}
		},
		boundWait({socket}) {
			const wait = boundWait(delay, acceptances.get(socket), clock());
			acceptances.delete(socket);
			return wait;
		},
		pause() {
			if (!isPaused && !isClosed) {
				isPaused = true;
				stopListening();
			}
		},
		resume() {
			if (isPaused) {
				isPaused = false;
				listenAgain();
			}
		},
		close() {
			isClosed = true;
			dropProbes();
		},
	};
};
