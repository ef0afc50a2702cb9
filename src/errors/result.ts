import results from 'ts-results';
import type {Result as ResultOf} from 'ts-results';
import type {Fault} from './kinds.js';

/** A value, or the fault that kept it from being made. */
export type Result<T, E = Fault> = ResultOf<T, E>;

/**
Wraps a value as a success.

@param value - The value.
@returns The successful result.
*/
// eslint-disable-next-line new-cap -- ts-results names its constructors so.
export const succeed = <T>(value: T): Result<T, never> => results.Ok(value);

/**
Wraps an error as a failure.

@param error - The error.
@returns The failed result.
*/
// eslint-disable-next-line new-cap -- ts-results names its constructors so.
export const fail = <E>(error: E): Result<never, E> => results.Err(error);
