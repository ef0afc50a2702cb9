import {z} from 'zod';
import {defaultMachineLimits} from '../memory-account/index.js';

/** A positive number; an empty text, as a template renders an absent value, is the default. */
const createLimit = (fallback: number) => z.string().default('').transform((text, context) => {
	const value = text.trim() === '' ? fallback : Number(text);
	if (Number.isFinite(value) && value > 0) {
		return value;
	}

	context.addIssue({code: 'custom', message: `"${text}" must be a number above 0`});
	return z.NEVER;
});

/** Keys of the `[limits]` section of the settings: limits of the machine. */
export const limitsSchema = z.object({
	/** Memory, in MB. */
	memory: createLimit(defaultMachineLimits.memoryMb),
	/** Descriptors that the process may have open. */
	descriptors: createLimit(defaultMachineLimits.descriptors),
});

/** The `[limits]` section of a program that needs no other limits. */
export const limitsSection = limitsSchema.prefault({});
