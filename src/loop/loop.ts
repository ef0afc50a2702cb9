import {Stream} from 'most';
import type {Scheduler, Sink} from 'most';

/** What a decision gives: the next state and what is to be done. */
export type Step<State, Effect> = Readonly<{
	state: State;
	effects: readonly Effect[];
}>;

/** A pure decision. `now` is in milliseconds of the process's clock. */
export type Handler<State, Event, Effect> = (state: State, event: Event, now: number) => Step<State, Effect>;

/** A running loop: events go in, effects come out, one at a time. */
export type Loop<State, Event> = Readonly<{
	post: (event: Event) => void;
	state: () => State;
	/** Settles when the loop has stopped; rejects if a handler threw. */
	finished: Promise<void>;
	stop: () => void;
}>;

type LoopOptions<State, Event, Effect> = Readonly<{
	initial: State;
	handle: Handler<State, Event, Effect>;
	perform: (effect: Effect) => void;
	clock: () => number;
}>;

/**
Runs a pure handler over a `most` stream of events on the one thread.

An event posted while another is handled waits for its turn, so that handlers
and effects never interleave.

@param options - The initial state, the handler, what performs effects, and the clock.
@returns The running loop.
*/
export const startLoop = <State, Event, Effect>(options: LoopOptions<State, Event, Effect>): Loop<State, Event> => {
	const {initial, handle, perform, clock} = options;
	let state = initial;
	let emit: (event: Event) => void = () => undefined;
	let end: () => void = () => undefined;
	let waiting: Event[] = [];
	let isBusy = false;

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

	const drain = () => {
		const batch = waiting;
		waiting = [];
		batch.forEach(event => {
			emit(event);
		});
		isBusy = waiting.length > 0;
		if (isBusy) {
			queueMicrotask(drain);
		}
	};

	const post = (event: Event) => {
		waiting.push(event);
		if (!isBusy) {
			isBusy = true;
			queueMicrotask(drain);
		}
	};

	const first: Step<State, Effect> = {state: initial, effects: []};
	const finished = events
		.scan((previous, event) => handle(previous.state, event, clock()), first)
		.observe((step: Step<State, Effect>) => {
			state = step.state;
			step.effects.forEach(effect => {
				perform(effect);
			});
		});

	return {
		post, state: () => state, finished: finished as Promise<void>, stop() {
			end();
		},
	};
};
