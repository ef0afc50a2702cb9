import type {z} from 'zod';
import {createFault} from './kinds.js';
import type {Fault} from './kinds.js';

/**
Describes why a value does not fit its schema.

@param error - What the schema found.
@param root - The name of the value itself.
@returns A fault that names the first wrong field.
*/
export const describeIssue = (error: z.ZodError, root: string): Fault => {
	const [issue] = error.issues;
	const field = issue === undefined || issue.path.length === 0 ? root : issue.path.join('.');
	return createFault('bad-request', `${field}: ${issue?.message ?? 'is not valid'}`);
};
