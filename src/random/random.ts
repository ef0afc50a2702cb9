import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** A source of random numbers that gives the same ones for the same seed. */
export type Random = Readonly<{
	/** Draws a whole number from 0 up to, but not including, the bound. */
	pick: (bound: number) => number;
	/** Draws a number in [0, 1). */
	draw: () => number;
}>;

const resolution = 1_000_000;

/**
Creates a source of random numbers.

@param seed - A whole number.
@returns The source.
*/
export const createRandom = (seed: number): Random => {
	const generator = xoroshiro128plus(Math.trunc(seed));
	const pick = (bound: number) => bound <= 1 ? 0 : uniformInt(generator, 0, bound - 1);
	return {pick, draw: () => pick(resolution) / resolution};
};
