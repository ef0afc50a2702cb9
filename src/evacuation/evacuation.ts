import {Map} from 'immutable';

/**
The data centres whose endpoints get nothing new, by name, and when this router learned of it, in ms.

Failure that this addresses: an operator empties a data centre, for maintenance or ahead of
a power cut. Its endpoints are healthy and lightly loaded then, so that every rule of
placement would choose them.
*/
export type Evacuations = Map<string, number>;

/** No data centre is evacuated. */
export const noEvacuations: Evacuations = Map();

/** What one row says about a data centre. */
export type EvacuationChange = Readonly<{dataCentre: string; isEvacuated: boolean}>;

/**
Applies changes in the order in which they were made.

@param evacuations - The evacuations.
@param changes - The changes, the oldest first.
@param now - The current time in ms.
@returns The evacuations.
*/
export const updateEvacuations = (evacuations: Evacuations, changes: readonly EvacuationChange[], now: number): Evacuations => changes.reduce(
	(updated, {dataCentre, isEvacuated}) => isEvacuated ? updated.set(dataCentre, updated.get(dataCentre) ?? now) : updated.delete(dataCentre),
	evacuations,
);

/**
Replaces all evacuations by those that were read together.

@param evacuations - The evacuations that were known before.
@param changes - What the rows say.
@param now - The current time in ms.
@returns The evacuations. One that was known before keeps its beginning.
*/
export const replaceEvacuations = (evacuations: Evacuations, changes: readonly EvacuationChange[], now: number): Evacuations =>
	updateEvacuations(noEvacuations, changes, now).map((since, dataCentre) => evacuations.get(dataCentre) ?? since);
