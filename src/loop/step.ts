import type {Step} from './loop.js';

/**
Keeps the state and does nothing.

@param state - The state.
@returns A step without effects.
*/
export const stay = <State>(state: State): Step<State, never> => ({state, effects: []});

/**
Goes on from a decision with another one on the state that it left.

@param step - The first decision.
@param decide - The second one.
@returns The last state with the effects of both in order.
*/
export const chain = <State, Effect>(step: Step<State, Effect>, decide: (state: State) => Step<State, Effect>): Step<State, Effect> => {
	const next = decide(step.state);
	return {state: next.state, effects: step.effects.length === 0 ? next.effects : [...step.effects, ...next.effects]};
};

/**
Makes one decision for each item, each on the state that the one before it left.

@param state - The state to begin with.
@param items - The items.
@param decide - The decision for one item.
@returns The last state with all effects in order.
*/
export const chainAll = <State, Effect, Item>(
	state: State,
	items: readonly Item[],
	decide: (state: State, item: Item) => Step<State, Effect>,
): Step<State, Effect> =>
	items.reduce<Step<State, Effect>>((step, item) => chain(step, current => decide(current, item)), {state, effects: []});
