import type {Step} from './loop.js';

/**
Creates a step that keeps the state and has no effects.

@param state - The current state.
@returns The step.
*/
export const keepState = <State>(state: State): Step<State, never> => ({state, effects: []});

/**
Applies a handler to the state that a step left, and combines the effects of both.

@param step - The first step.
@param decide - Computes the second step from the state of the first.
@returns The final state, with the effects of both in order.
*/
export const chain = <State, Effect>(step: Step<State, Effect>, decide: (state: State) => Step<State, Effect>): Step<State, Effect> => {
	const next = decide(step.state);
	return {state: next.state, effects: step.effects.length === 0 ? next.effects : [...step.effects, ...next.effects]};
};

/**
Applies a handler to each item in turn, each time on the state that the step before it left.

@param state - The initial state.
@param items - The items, in the order in which they are handled.
@param decide - Computes the step for one item.
@returns The final state, with all effects in order.
*/
export const chainAll = <State, Effect, Item>(
	state: State,
	items: readonly Item[],
	decide: (state: State, item: Item) => Step<State, Effect>,
): Step<State, Effect> =>
	items.reduce<Step<State, Effect>>((step, item) => chain(step, current => decide(current, item)), {state, effects: []});
