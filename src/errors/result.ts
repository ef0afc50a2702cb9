import results from 'ts-results';
import type {Result as ResultOf} from 'ts-results';
import type {Fault} from './kinds.js';

/** A value, or the error that prevented it; a fault by default. */
export type Result<T, E = Fault> = ResultOf<T, E>;

/**
Creates a successful result.

@param value - The value.
@returns The result.
*/
// eslint-disable-next-line new-cap -- ts-results has capitalised constructor functions.
export const succeed = <T>(value: T): Result<T, never> => results.Ok(value);

/**
Creates a failed result.

@param error - The error.
@returns The result.
*/
// eslint-disable-next-line new-cap -- ts-results has capitalised constructor functions.
export const fail = <E>(error: E): Result<never, E> => results.Err(error);
