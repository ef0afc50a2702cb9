import {expect, test} from 'vitest';
import {startLoop} from './loop.js';

type State = Readonly<{handled: readonly number[]}>;

/** Starts a loop on a fake clock, which each handled event advances by 10 ms. Events from 100 on are urgent. */
const startTestLoop = (slice?: number) => {
	let now = 0;
	const loop = startLoop<State, number, number>({
		initial: {handled: []},
		handle(state, event) {
			now += 10;
			return {state: {handled: [...state.handled, event]}, effects: []};
		},
		perform: () => undefined,
		clock: () => now,
		isUrgent: event => event >= 100,
		...(slice !== undefined && {slice}),
	});
	return {loop, handled: () => loop.state().handled};
};

const events = Array.from({length: 10}, (_, index) => index);

const awaitNextIteration = async (): Promise<void> => new Promise(resolve => {
	setImmediate(resolve);
});

test('without a time slice, all queued events are handled in order in one iteration of the event loop', async () => {
	const {loop, handled} = startTestLoop();
	events.forEach(event => {
		loop.post(event);
	});
	await awaitNextIteration();
	expect(handled()).toEqual(events);
});

test('with a time slice, the loop yields to sockets and timers, and keeps the order of events', async () => {
	const {loop, handled} = startTestLoop(25);
	events.forEach(event => {
		loop.post(event);
	});
	await Promise.resolve();
	await awaitNextIteration();
	expect(handled().length).toBeLessThanOrEqual(6);
	expect(loop.delay()).toBeGreaterThanOrEqual(30);
	loop.post(10);
	await awaitNextIteration();
	await awaitNextIteration();
	await awaitNextIteration();
	await awaitNextIteration();
	expect(handled()).toEqual([...events, 10]);
	expect(loop.delay()).toBe(0);
});

// Guards against a change of the configuration that waits behind a backlog of requests.
test('an urgent event is handled before a backlog, and after the urgent ones that were posted before it', async () => {
	const {loop, handled} = startTestLoop(25);
	events.forEach(event => {
		loop.post(event);
	});
	await Promise.resolve();
	const before = handled();
	loop.post(100);
	loop.post(101);
	await awaitNextIteration();
	expect(handled().slice(0, before.length + 2)).toEqual([...before, 100, 101]);
	await awaitNextIteration();
	await awaitNextIteration();
	await awaitNextIteration();
	expect(handled().toSorted((a, b) => a - b)).toEqual([...events, 100, 101]);
});

test('an urgent event alone is handled', async () => {
	const {loop, handled} = startTestLoop();
	loop.post(100);
	await awaitNextIteration();
	expect(handled()).toEqual([100]);
});

/** Starts a loop whose effects are the events, of which negative ones throw. */
const startFailingLoop = (onFailure: (effect: number, error: unknown) => void) => {
	const performed: number[] = [];
	const loop = startLoop<State, number, number>({
		initial: {handled: []},
		handle: (state, event) => ({state: {handled: [...state.handled, event]}, effects: [event, Math.abs(event)]}),
		perform(effect) {
			if (effect < 0) {
				throw new Error(`effect ${effect}`);
			}

			performed.push(effect);
		},
		clock: () => 0,
		onFailure,
	});
	loop.post(-1);
	loop.post(2);
	return {loop, performed};
};

// Guards against an effect of one request that ends all others with the loop.
test('an effect that throws is reported, and the loop goes on', async () => {
	const failures: unknown[] = [];
	const {loop, performed} = startFailingLoop((effect, error) => {
		failures.push([effect, String(error)]);
	});
	await awaitNextIteration();
	expect(failures).toEqual([[-1, 'Error: effect -1']]);
	expect(performed).toEqual([1, 2, 2]);
	expect(loop.state().handled).toEqual([-1, 2]);
});
