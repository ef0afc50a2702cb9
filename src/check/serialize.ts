import {createHash} from 'node:crypto';
import {isCollection, isIndexed, isKeyed} from 'immutable';
import type {World} from './state.js';

const compareText = (a: string, b: string): number => (a < b ? -1 : (a > b ? 1 : 0));

const writeSorted = (values: Iterable<unknown>): string => [...values].map(value => writeValue(value)).toSorted(compareText).join(',');

/** Worlds share most of their parts, which are never changed in place. */
const written = new WeakMap<object, string>();

const writeValue = (value: unknown): string => {
	if (typeof value !== 'object' || value === null) {
		return String(value);
	}

	const known = written.get(value);
	const text = known ?? writeObject(value);
	written.set(value, text);
	return text;
};

/** Writes an object so that equal values give equal text, whatever the order of their keys. */
const writeObject = (value: object): string => {
	if (isKeyed(value)) {
		return `{${value.entrySeq().toArray().map(([key, each]) => `${String(key)}:${writeValue(each)}`).toSorted(compareText).join(',')}}`;
	}

	if (isIndexed(value)) {
		return `[${value.toArray().map(each => writeValue(each)).join(',')}]`;
	}

	if (isCollection(value)) {
		return writeSorted(value.toArray());
	}

	if (Array.isArray(value)) {
		return `[${value.map(each => writeValue(each)).join(',')}]`;
	}

	return `{${Object.entries(value).filter(([, each]) => each !== undefined).map(([key, each]) => `${key}:${writeValue(each)}`).toSorted(compareText).join(',')}}`;
};

/**
Names a world by a digest: equal worlds have equal names. What is under way is
taken as a set, since the checker may deliver any part of it next.

@param world - The world.
@returns The digest.
*/
export const serializeWorld = (world: World): string => {
	const {
		writes, calls, told, executions, changes, inputs, ...rest
	} = world;
	const text = [writeValue(rest), ...[writes, calls, told, executions, changes, inputs].map(values => writeSorted(values))].join(';');
	return createHash('md5').update(text).digest('base64');
};
