import {Stream} from 'most';
import type {Scheduler, Sink} from 'most';
import {createIterationClock, handleSlice, maxIterationMs} from './turns.js';

/** The result of a handler: the next state, and the effects to perform. */
export type Step<State, Effect> = Readonly<{
	state: State;
	effects: readonly Effect[];
}>;

/** A pure function that handles one event. `now` is the time of the loop's clock, in ms. */
export type Handler<State, Event, Effect> = (state: State, event: Event, now: number) => Step<State, Effect>;

/** A running event loop, which handles one event at a time and performs its effects before the next. */
export type Loop<State, Event> = Readonly<{
	post: (event: Event) => void;
	state: () => State;
	/** Returns the queueing delay of the oldest event, in ms; 0 if the queue is empty. */
	delay: () => number;
	/** Resolves when the loop has stopped. What a handler throws is thrown out of the loop, and ends the process. */
	finished: Promise<void>;
	stop: () => void;
}>;

type LoopOptions<State, Event, Effect> = Readonly<{
	initial: State;
	handle: Handler<State, Event, Effect>;
	perform: (effect: Effect) => void;
	/** Handles an effect that threw; may throw to end the process, as happens without it. */
	onFailure?: (effect: Effect, error: unknown) => void;
	clock: () => number;
	/** Tells which events are handled before all others that are queued, in the order in which they were posted; none by default. */
	isUrgent?: (event: Event) => boolean;
	/** Tells, when the turn of a queued event has come, whether nobody needs it any more; by default, none is dropped. */
	isObsolete?: (event: Event) => boolean;
	/** Time slice in ms, after which the loop yields to Node's sockets and timers; unlimited by default. */
	slice?: number;
}>;

/** Time for reading the sockets from which they are polled once more before events are handled, in ms: those that were read first may have more to say. */
const longPollMs = 100;

/** A queued event, and the time at which it was posted, in ms. */
type QueuedEvent<Event> = Readonly<{event: Event; postedAt: number}>;

const failLoop = (_effect: unknown, error: unknown): never => {
	throw error;
};

/**
Runs a pure handler over a `most` stream of events.

An event that is posted while another one is handled is queued, so that handlers
and effects never interleave.

Load pattern: events arrive faster than they are handled. Node accepts one connection
per iteration of its event loop, so n new client connections take n iterations to accept.
With a time slice, iterations stay short however many events are queued.

Load pattern: a backlog of requests is queued when the configuration changes, or when their clients leave. Urgent events do not
wait for it, so that the requests are handled by what is known when their turn comes. Once an iteration is long, events
are handled after all sockets that are ready have been read: what a process reads late counts before it acts.

An effect that throws belongs to one request or to the process, which `onFailure` decides; the effects after it are
performed all the same. A handler that throws ends the process: its state can no longer be relied on.

@param options - The initial state, the handler, the functions that perform effects and handle their failures, the clock in ms, and the time slice in ms.
@returns The running loop.
*/
export const startLoop = <State, Event, Effect>(options: LoopOptions<State, Event, Effect>): Loop<State, Event> => {
	const {
		initial, handle, perform, onFailure = failLoop, clock, isUrgent = () => false, isObsolete = () => false, slice = Number.POSITIVE_INFINITY,
	} = options;
	let state = initial;
	let emit: (event: Event) => void = () => undefined;
	let end: () => void = () => undefined;
	let queue: Array<QueuedEvent<Event>> = [];
	let urgentQueue: Event[] = [];
	const measureIteration = createIterationClock(clock);
	let isScheduled = false;
	/** When the sockets may have been polled first since events were last handled. */
	let readingSince = 0;
	let hasPolledAgain = false;

	const events = new Stream<Event>({
		run(sink: Sink<Event>, scheduler: Scheduler) {
			emit = event => {
				sink.event(scheduler.now(), event);
			};

			end = () => {
				sink.end(scheduler.now());
			};

			return {dispose: () => undefined};
		},
	});

	const drainUrgent = () => {
		const batch = urgentQueue;
		urgentQueue = [];
		batch.forEach(event => {
			emit(event);
		});
	};

	const handleQueued = ({event}: QueuedEvent<Event>) => {
		if (!isObsolete(event)) {
			emit(event);
		}
	};

	/** Runs at once while the iteration is short, and otherwise after the sockets have been polled. */
	const drainQueue = () => {
		const start = clock();
		if (!hasPolledAgain && start - readingSince >= longPollMs) {
			hasPolledAgain = true;
			setImmediate(drainQueue);
			return;
		}

		const isUsedUp = () => clock() - start >= slice;
		do {
			const batch = queue;
			queue = [];
			const left = handleSlice(batch, handleQueued, isUsedUp);
			// Events that were posted meanwhile are handled in the same slice.
			queue = [...left, ...queue];
		} while (queue.length > 0 && !isUsedUp());

		hasPolledAgain = false;
		isScheduled = queue.length > 0;
		if (isScheduled) {
			readingSince = clock();
			setImmediate(drainQueue);
		}
	};

	const post = (event: Event) => {
		if (isUrgent(event)) {
			urgentQueue.push(event);
			queueMicrotask(drainUrgent);
			return;
		}

		queue.push({event, postedAt: clock()});
		if (!isScheduled) {
			isScheduled = true;
			readingSince = clock();
			if (measureIteration() < maxIterationMs) {
				queueMicrotask(drainQueue);
			} else {
				setImmediate(drainQueue);
			}
		}
	};

	const initialStep: Step<State, Effect> = {state: initial, effects: []};
	const finished = events
		.scan((previous, event) => handle(previous.state, event, clock()), initialStep)
		.observe((step: Step<State, Effect>) => {
			state = step.state;
			step.effects.forEach(effect => {
				try {
					perform(effect);
				} catch (error) {
					onFailure(effect, error);
				}
			});
		});

	return {
		post,
		state: () => state,
		delay: () => queue.length === 0 ? 0 : clock() - queue[0]!.postedAt,
		finished: finished as Promise<void>,
		stop() {
			end();
		},
	};
};
