import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** A seeded pseudo-random number generator: the same seed gives the same sequence. */
export type Random = Readonly<{
	/** Draws a uniform integer in [0, bound); 0 if the bound is 1 or less. */
	pick: (bound: number) => number;
	/** Draws a uniform number in [0, 1), a multiple of 1e-6. */
	draw: () => number;
}>;

const fractionSteps = 1_000_000;

/**
Creates a seeded pseudo-random number generator (xoroshiro128+).

@param seed - The seed, truncated to an integer.
@returns The generator.
*/
export const createRandom = (seed: number): Random => {
	const generator = xoroshiro128plus(Math.trunc(seed));
	const pick = (bound: number) => bound <= 1 ? 0 : uniformInt(generator, 0, bound - 1);
	return {pick, draw: () => pick(fractionSteps) / fractionSteps};
};
