import {expect, test} from 'vitest';
import {startLoop} from './loop.js';

type State = Readonly<{handled: readonly number[]}>;

/** Starts a loop on a fake clock, which each handled event advances by 10 ms. */
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
