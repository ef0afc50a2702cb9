import type {z} from 'zod';
import {createFault} from './kinds.js';
import type {Fault} from './kinds.js';

/**
Converts a schema validation error to a `bad-request` fault.

@param error - The validation error of zod.
@param root - The name to report if the error concerns the value as a whole.
@returns A fault that names the first invalid field.
*/
export const createValidationFault = (error: z.ZodError, root: string): Fault => {
	const [issue] = error.issues;
	const field = issue === undefined || issue.path.length === 0 ? root : issue.path.join('.');
	return createFault('bad-request', `${field}: ${issue?.message ?? 'is not valid'}`);
};
