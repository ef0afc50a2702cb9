import type {EvacuationChange} from '../evacuation/index.js';
import type {StoredRow} from '../store/index.js';
import {configurationKey, evacuationKeyPrefix} from './tables.js';

/** What the rows of the operator's table say. */
export type OperatorRows = Readonly<{
	/** The latest configuration row; undefined if there is none. */
	configuration: StoredRow | undefined;
	/** Number of older versions of that row among the rows. */
	superseded: number;
	/** Evacuated data centres, the oldest change first. */
	evacuations: readonly EvacuationChange[];
}>;

/**
Splits the rows of the operator's table by what they say.

@param rows - The rows. A change feed may contain several versions of a row, oldest first.
@returns The configuration row and the evacuations. A row without value has been removed; any other value is an evacuation.
*/
export const splitOperatorRows = (rows: readonly StoredRow[]): OperatorRows => ({
	configuration: rows.findLast(({key}) => key === configurationKey),
	superseded: Math.max(0, rows.filter(({key}) => key === configurationKey).length - 1),
	evacuations: rows.filter(({key}) => key.startsWith(evacuationKeyPrefix))
		.map(({key, value}) => ({dataCentre: key.slice(evacuationKeyPrefix.length), isEvacuated: value !== undefined})),
});
